#include "steward.h"

#include "base/hash.h"
#include "process/log.h"
#include "version/settingsreader.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr Millis TickInterval(20);
constexpr Millis CallTimeout(700); // Of calls to other stewards and to the daemon.
constexpr Millis PlatformTimeout(2000);
// Between updates of the daemon while nothing changes, to find out whether it missed anything.
constexpr Millis ViewUpdateInterval(500);
constexpr Millis HostListInterval(2000);
constexpr Millis JoinInterval(1000);
constexpr std::size_t PlatformReadersPerDataCentre = 2;
constexpr std::size_t MaxRecordsPerMessage = 500; // Also in the answer to a host that joins.
constexpr int ScanLimit = 200; // Rows per read of several rows from the platform.

// The description of this host. Each start has a higher incarnation.
HostInfo selfInfo(const HostSettings &settings)
{
    HostInfo self;
    self.name = settings.host;
    self.dataCentre = settings.dataCentre;
    self.callerAddress = settings.callerAddress;
    self.peerAddress = settings.peerAddress;
    self.stewardAddress = settings.stewardAddress;
    self.incarnation = static_cast<std::uint64_t>(timeOfDay().count());
    return self;
}

// A seed for random numbers that differs between hosts and between starts.
std::uint64_t seedOf(const HostSettings &settings)
{
    return hash64(settings.host, static_cast<std::uint64_t>(timeOfDay().count()));
}

std::string groupKey(const std::string &team, const std::string &group)
{
    return team + "/" + group;
}

FeedRow toFeedRow(const TableRow &row)
{
    return {.key = row.key,
            .version = row.version,
            .value = row.value,
            .epoch = row.epoch,
            .tableEpoch = row.tableEpoch};
}

} // namespace

Steward::Steward(EventLoop *loop, HostSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_membership({.self = selfInfo(m_settings)}, seedOf(m_settings))
    , m_gossip({.self = m_settings.host}, &m_records, seedOf(m_settings) + 1)
    , m_feed({})
{
}

bool Steward::start(Reason *reason)
{
    const auto listen = parseEndpoint(m_settings.stewardAddress, reason);
    m_platform = HttpTableStore::create(m_loop, *parseEndpoint(m_settings.platformAddress, reason));
    m_targets = HttpTargetClient::create(m_loop, m_settings.host);
    m_daemon = PeerClient::create(m_loop, *parseEndpoint(m_settings.peerAddress, reason));
    m_server = PeerServer::listen(
        m_loop, *listen,
        [this](const PeerRequest &request, const PeerRespond &respond) {
            onCall(request, respond);
        },
        reason);
    if (!m_server)
        return false;
    publishHost(m_membership.self());
    m_loop->every(TickInterval, [this] { tick(); });
    return true;
}

void Steward::leave()
{
    logEvent(LogLevel::Info, "host.leaving", {});
    publishHost(m_membership.leave());
}

void Steward::onCall(const PeerRequest &request, const PeerRespond &respond)
{
    if (request.path == "/probe") {
        probeOnBehalf(request.body, respond);
        return;
    }
    if (request.path == "/join") {
        onGossip(request.body);
        respond(encodeGossip(m_settings.host, knownHosts()));
        return;
    }
    if (request.path == "/gossip")
        onGossip(request.body);
    else if (request.path == "/vote")
        onSuspicionVote(request.body);
    else if (request.path == "/hint")
        onFailureReport(request.body);
    else if (request.path == "/leaving")
        leave();
    // Each answer states the age of this host's settings. That is how the hosts that do not read
    // from the platform themselves receive the confirmations of the platform readers.
    respond(json::serialize(json::object{{"settingsAgeMs", settingsAge().count()}}));
}

void Steward::onGossip(const std::string &body)
{
    std::string from;
    Reason reason;
    const auto message = decodeGossip(body, &from, &reason);
    if (!message) {
        logEvent(LogLevel::Warning, "gossip.malformed", {{"reason", reason.text()}});
        return;
    }
    std::vector<Record> changed;
    const std::vector<GossipSend> answers = m_gossip.onMessage(from, *message, &changed);
    for (const Record &record : changed)
        onChanged(record);
    sendGossip(answers);
}

void Steward::onSuspicionVote(const std::string &body)
{
    const auto object = parseObject(body, nullptr);
    if (!object)
        return;
    const std::string key = textMember(*object, "group");
    const auto found = m_monitoredGroups.find(key);
    if (found == m_monitoredGroups.end())
        return;
    carryOut(key,
             found->second.monitor.onSuspicionVote(
                 m_clock.now(), textMember(*object, "dataCentre"),
                 static_cast<std::uint64_t>(numberMember(*object, "term")),
                 flagMember(*object, "suspect")));
}

void Steward::onFailureReport(const std::string &body)
{
    const auto object = parseObject(body, nullptr);
    if (!object)
        return;
    const std::string key = groupKey(textMember(*object, "team"), textMember(*object, "group"));
    const auto found = m_monitoredGroups.find(key);
    if (found != m_monitoredGroups.end()) {
        carryOut(
            key,
            found->second.monitor.onFailureReport(m_clock.now(), textMember(*object, "instance")));
        return;
    }
    // This steward does not monitor the group. Forward the report once to the stewards that do,
    // which may not have noticed the failure themselves.
    const auto team = m_teams.find(textMember(*object, "team"));
    if (team == m_teams.end() || flagMember(*object, "passed"))
        return;
    json::object forwarded = *object;
    forwarded["passed"] = true;
    const auto group = team->second.groups.find(textMember(*object, "group"));
    if (group == team->second.groups.end())
        return;
    std::set<std::string> dataCentres;
    for (const auto &instance : group->second.instances)
        dataCentres.insert(instance.second.dataCentre);
    for (const std::string &dataCentre : dataCentres) {
        const auto order = rendezvousOrder(key, m_membership.aliveIn(dataCentre));
        if (!order.empty())
            send(order.front(), {"/hint", json::serialize(forwarded)}, nullptr);
    }
}

void Steward::probeOnBehalf(const std::string &body, const PeerRespond &respond)
{
    const auto object = parseObject(body, nullptr);
    const std::string target = object ? textMember(*object, "target") : std::string();
    send(target, {"/ping", "{}"}, [respond](const std::optional<json::object> &answer) {
        respond(json::serialize(json::object{{"reached", answer.has_value()}}));
    });
}

void Steward::tick()
{
    const Millis now = m_clock.now();
    probeNeighbours();
    for (const std::string &name : m_membership.takeRemoved())
        m_records.remove(hostKey(name));
    if (m_assignmentOutdated) {
        m_assignmentOutdated = false;
        assignGroups();
    }
    carryOutReads(m_feed.onTick(now, readsPlatform()));
    if (now >= m_nextHostList)
        readHostList();
    if (m_alone && now >= m_nextJoin)
        joinThroughSeeds();
    std::vector<std::string> keys;
    for (const auto &entry : m_monitoredGroups)
        keys.push_back(entry.first);
    for (const std::string &key : keys)
        carryOut(key, m_monitoredGroups.at(key).monitor.onTick(now));
    sendGossip(m_gossip.onTick(now));
    if (!m_recordsForDaemon.empty() || now >= m_nextViewUpdate)
        sendViewUpdate();
}

void Steward::sendGossip(const std::vector<GossipSend> &sends)
{
    for (const GossipSend &item : sends)
        send(item.to, {"/gossip", encodeGossip(m_settings.host, item.message)}, nullptr);
}

void Steward::send(const std::string &host, const PeerRequest &request, ReplyHandler onReply)
{
    const std::shared_ptr<PeerClient> peer = clientForHost(host);
    if (!peer) {
        if (onReply)
            onReply(std::nullopt);
        return;
    }
    const Millis sentAt = m_clock.now();
    peer->call(request, CallTimeout, [this, sentAt, onReply](const PeerReply &reply) {
        // Each client has its own strand, but the event loop has a single thread, so no lock is
        // needed.
        const auto object
            = reply.verdict == Verdict::Ran ? parseObject(reply.body, nullptr) : std::nullopt;
        if (object && object->contains("settingsAgeMs")) {
            const Millis confirmed = sentAt - Millis(numberMember(*object, "settingsAgeMs"));
            m_settingsConfirmedAt = std::max(m_settingsConfirmedAt.value_or(confirmed), confirmed);
        }
        if (onReply)
            onReply(object);
    });
}

std::shared_ptr<PeerClient> Steward::clientForHost(const std::string &host)
{
    const HostInfo *info = m_membership.find(host);
    return info ? clientForAddress(info->stewardAddress) : nullptr;
}

std::shared_ptr<PeerClient> Steward::clientForAddress(const std::string &address)
{
    std::shared_ptr<PeerClient> &peer = m_clients[address];
    if (!peer) {
        const auto endpoint = parseEndpoint(address, nullptr);
        if (endpoint)
            peer = PeerClient::create(m_loop, *endpoint);
    }
    return peer;
}

void Steward::publish(const Record &record)
{
    if (m_gossip.publish(record))
        onChanged(record);
}

void Steward::publishHost(const HostInfo &host)
{
    publish({hostKey(host.name), hostVersion(host), encodeHost(host)});
}

void Steward::onChanged(const Record &record)
{
    m_recordsForDaemon.push_back(record);
    if (record.key.starts_with("host/")) {
        handleHostRecord(record);
    } else if (record.key.starts_with(SettingsPrefix)) {
        Problems problems;
        auto team = readTeamSettings(record.body, record.key, &problems);
        for (const Problem &problem : problems)
            logEvent(LogLevel::Error, "settings.rejected", {{"problem", problem.text()}});
        if (team) {
            const std::string name = team->team;
            m_teams[name] = std::move(*team);
            logEvent(LogLevel::Info, "settings.learnt",
                     {{"team", name}, {"version", static_cast<std::int64_t>(record.version)}});
        }
        m_assignmentOutdated = true;
    } else if (record.key.starts_with("primary/")) {
        const std::string key = record.key.substr(record.key.find('/') + 1);
        const std::string primary = decodePrimary(record.body);
        const auto found = m_monitoredGroups.find(key);
        if (found != m_monitoredGroups.end())
            found->second.monitor.onAnnounced(m_clock.now(), record.version, primary);
    }
}

void Steward::handleHostRecord(const Record &record)
{
    const auto host = decodeHost(record.body, nullptr);
    if (!host)
        return;
    const auto refutation = m_membership.onHost(m_clock.now(), *host);
    if (refutation)
        publishHost(*refutation);
    m_assignmentOutdated = true;
}

void Steward::probeNeighbours()
{
    for (const ProbeRequest &request : m_membership.onTick(m_clock.now())) {
        const auto handleOutcome = [this, request](bool reached) {
            const auto dead = m_membership.onProbe(m_clock.now(), request, reached);
            if (!dead)
                return;
            logEvent(LogLevel::Warning, "host.dead", {{"name", dead->name}});
            publishHost(*dead);
        };
        if (request.via.empty()) {
            send(request.target, {"/ping", "{}"},
                 [handleOutcome](const std::optional<json::object> &answer) {
                     handleOutcome(answer.has_value());
                 });
            continue;
        }
        const std::string body = json::serialize(json::object{{"target", request.target}});
        send(request.via, {"/probe", body},
             [handleOutcome](const std::optional<json::object> &answer) {
                 if (answer)
                     handleOutcome(flagMember(*answer, "reached"));
             });
    }
}

void Steward::joinThroughSeeds()
{
    m_nextJoin = m_clock.now() + JoinInterval;
    GossipMessage message;
    message.records.push_back({hostKey(m_settings.host), hostVersion(m_membership.self()),
                               encodeHost(m_membership.self())});
    const std::string body = encodeGossip(m_settings.host, message);
    for (const std::string &seed : m_settings.seeds) {
        const auto peer = clientForAddress(seed);
        if (!peer || seed == m_settings.stewardAddress)
            continue;
        peer->call({"/join", body}, CallTimeout, [this](const PeerReply &reply) {
            if (reply.verdict == Verdict::Ran)
                onGossip(reply.body);
        });
    }
}

GossipMessage Steward::knownHosts() const
{
    GossipMessage message;
    for (const Record *record : m_records.withPrefix("host/")) {
        if (message.records.size() < MaxRecordsPerMessage)
            message.records.push_back(*record);
    }
    return message;
}

void Steward::readHostList()
{
    // Only platform readers request the list. The others receive the hosts from them by gossip.
    m_nextHostList = m_clock.now() + HostListInterval;
    if (m_hostListReadInProgress || !(m_alone || readsPlatform()))
        return;
    m_hostListReadInProgress = true;
    m_platform->hosts(PlatformTimeout, [this](const std::optional<PlatformHosts> &list) {
        m_hostListReadInProgress = false;
        handleHostList(list);
    });
}

void Steward::handleHostList(const std::optional<PlatformHosts> &list)
{
    if (!list)
        return;
    for (const HostInfo &host : m_membership.onPlatformList(m_clock.now(), list->hosts))
        publishHost(host);
    m_assignmentOutdated = m_assignmentOutdated || m_membership.size() != m_hostCount;
    const std::set<std::string> leaving(list->leavingTargets.begin(), list->leavingTargets.end());
    for (const auto &team : m_teams) {
        for (const auto &group : team.second.groups) {
            for (const auto &instance : group.second.instances) {
                const std::string key = leavingKey(team.first, instance.first);
                const Record *known = m_records.find(key);
                if (leaving.contains(instance.first) && !(known && decodeLeaving(known->body)))
                    publish({key, static_cast<std::uint64_t>(timeOfDay().count()),
                             encodeLeaving(true)});
            }
        }
    }
}

bool Steward::readsPlatform() const
{
    return m_isPlatformReader || m_teams.empty();
}

void Steward::carryOutReads(const std::vector<FeedAction> &actions)
{
    for (const FeedAction &action : actions) {
        switch (action.step) {
        case FeedStep::ReadHead:
            m_platform->row(
                action.key, PlatformTimeout, [this](const std::optional<TableRow> &row) {
                    std::optional<FeedHead> head;
                    if (row) {
                        head = FeedHead{.tableEpoch = row->tableEpoch};
                        const std::string &text = row->value;
                        std::from_chars(text.data(), text.data() + text.size(), head->number);
                    }
                    carryOutReads(m_feed.onHead(m_clock.now(), head));
                });
            break;
        case FeedStep::ReadTeam:
            m_platform->row(action.key, PlatformTimeout,
                            [this](const std::optional<TableRow> &row) {
                                std::vector<FeedRecord> records;
                                std::optional<FeedRow> feedRow;
                                if (row)
                                    feedRow = toFeedRow(*row);
                                const auto next = m_feed.onTeam(m_clock.now(), feedRow, &records);
                                publishSettings(records);
                                carryOutReads(next);
                            });
            break;
        case FeedStep::ReadLog:
        case FeedStep::ReadAll: {
            const bool log = action.step == FeedStep::ReadLog;
            const std::string prefix = log ? SettingsLogPrefix : SettingsPrefix;
            m_platform->scan(prefix, action.key, ScanLimit, PlatformTimeout,
                             [this, log](const std::optional<std::vector<TableRow>> &rows) {
                                 std::optional<std::vector<FeedRow>> feedRows;
                                 if (rows) {
                                     feedRows.emplace();
                                     for (const TableRow &row : *rows)
                                         feedRows->push_back(toFeedRow(row));
                                 }
                                 std::vector<FeedRecord> records;
                                 const auto next = log
                                     ? m_feed.onLog(m_clock.now(), feedRows)
                                     : m_feed.onAll(m_clock.now(), feedRows, &records);
                                 publishSettings(records);
                                 carryOutReads(next);
                             });
            break;
        }
        }
    }
    if (const auto confirmed = m_feed.confirmedAt())
        m_settingsConfirmedAt = std::max(m_settingsConfirmedAt.value_or(*confirmed), *confirmed);
}

void Steward::publishSettings(const std::vector<FeedRecord> &records)
{
    for (const FeedRecord &record : records)
        publish({settingsKey(record.team), record.version, record.body, record.epoch});
}

void Steward::assignGroups()
{
    std::vector<std::string> peers;
    m_aliveByDataCentre.clear();
    for (const HostInfo &host : m_membership.hosts()) {
        peers.push_back(host.name);
        if (host.state == HostState::Alive)
            m_aliveByDataCentre[host.dataCentre].push_back(host.name);
    }
    m_hostCount = m_membership.size();
    m_alone = peers.size() == 1;
    m_gossip.setPeers(std::move(peers));
    const auto readers = rendezvousTop("settings", m_aliveByDataCentre[m_settings.dataCentre],
                                       PlatformReadersPerDataCentre);
    m_isPlatformReader
        = std::find(readers.begin(), readers.end(), m_settings.host) != readers.end();
    std::set<std::string> wanted;
    for (const auto &team : m_teams) {
        for (const auto &group : team.second.groups) {
            assignGroup(team.second, group.first);
            wanted.insert(groupKey(team.first, group.first));
        }
    }
    std::erase_if(m_monitoredGroups,
                  [&wanted](const auto &entry) { return !wanted.contains(entry.first); });
    for (auto &entry : m_monitoredGroups)
        entry.second.monitor.setIntervals(m_monitoredGroups.size());
}

void Steward::assignGroup(const TeamSettings &team, const std::string &group)
{
    const GroupSettings &settings = team.groups.at(group);
    const std::string key = groupKey(team.team, group);
    std::set<std::string> dataCentres;
    for (const auto &instance : settings.instances)
        dataCentres.insert(instance.second.dataCentre);
    // Most groups are monitored by other stewards. Whether this host is the first in its own data
    // centre is the cheapest way to find out.
    const auto first = [this, &key](const std::string &dataCentre) {
        return rendezvousTop(key, m_aliveByDataCentre[dataCentre], 1);
    };
    const bool isMonitoredHere = dataCentres.contains(m_settings.dataCentre)
        && first(m_settings.dataCentre) == std::vector<std::string>{m_settings.host};
    if (!isMonitoredHere) {
        m_monitoredGroups.erase(key);
        return;
    }
    std::vector<std::string> stewards;
    for (const std::string &dataCentre : dataCentres) {
        for (std::string &steward : first(dataCentre))
            stewards.push_back(std::move(steward));
    }
    stewards = rendezvousOrder(key, std::move(stewards));
    const auto self = std::find(stewards.begin(), stewards.end(), m_settings.host);
    const auto rank = static_cast<int>(self - stewards.begin());
    const auto found = m_monitoredGroups.find(key);
    std::map<std::string, Endpoint> endpoints;
    for (const auto &instance : settings.instances)
        endpoints[instance.first] = *parseEndpoint(instance.second.address, nullptr);
    if (found != m_monitoredGroups.end() && found->second.instances == endpoints) {
        found->second.monitor.setMonitors(rank, stewards.size());
        found->second.stewards = std::move(stewards);
        return;
    }
    GroupMonitor::Options options;
    options.group = key;
    options.dataCentre = m_settings.dataCentre;
    for (const auto &instance : settings.instances)
        options.instances[instance.first] = instance.second.dataCentre;
    options.rank = rank;
    options.monitorDataCentres = stewards.size();
    m_monitoredGroups.erase(key);
    MonitoredGroup &monitored
        = m_monitoredGroups
              .emplace(key,
                       MonitoredGroup{GroupMonitor(std::move(options)), team.team, group, endpoints,
                                      std::move(stewards), team.timeouts.probe})
              .first->second;
    if (const Record *primary = m_records.find(primaryKey(team.team, group)))
        monitored.monitor.onAnnounced(m_clock.now(), primary->version,
                                      decodePrimary(primary->body));
    logEvent(LogLevel::Info, "group.watched", {{"group", key}, {"rank", rank}});
}

void Steward::carryOut(const std::string &key, const std::vector<MonitorAction> &actions)
{
    for (const MonitorAction &action : actions) {
        const auto found = m_monitoredGroups.find(key);
        if (found == m_monitoredGroups.end())
            return;
        carryOutOne(key, &found->second, action);
    }
}

void Steward::carryOutOne(const std::string &key, MonitoredGroup *monitored,
                          const MonitorAction &action)
{
    switch (action.step) {
    case MonitorStep::Probe:
        probe(key, *monitored, action);
        break;
    case MonitorStep::SuspicionVote:
        logEvent(LogLevel::Info, action.suspect ? "primary.suspected" : "primary.trusted",
                 {{"group", key}, {"term", static_cast<std::int64_t>(action.term)}});
        broadcastSuspicionVote(*monitored, action);
        break;
    case MonitorStep::Seal:
        seal(key, *monitored, action);
        break;
    case MonitorStep::Promote:
        promote(key, *monitored, action);
        break;
    case MonitorStep::Follow:
        m_targets->follow(monitored->instances.at(action.instance), action.term, action.primary,
                          monitored->probeTimeout, [](const std::optional<FollowReply> &) {});
        break;
    case MonitorStep::Announce:
        logEvent(LogLevel::Info, "primary.announced",
                 {{"group", key},
                  {"term", static_cast<std::int64_t>(action.term)},
                  {"primary", action.primary}});
        publish({primaryKey(monitored->team, monitored->group), action.term,
                 encodePrimary(action.primary)});
        // The other hosts and the daemon must receive the new primary without waiting for the next
        // tick.
        sendGossip(m_gossip.onTick(m_clock.now()));
        sendViewUpdate();
        break;
    }
}

void Steward::probe(const std::string &key, const MonitoredGroup &monitored,
                    const MonitorAction &action)
{
    m_targets->status(monitored.instances.at(action.instance), action.newConnection,
                      monitored.probeTimeout,
                      [this, key, action](const std::optional<InstanceReport> &report) {
                          const auto found = m_monitoredGroups.find(key);
                          if (found == m_monitoredGroups.end())
                              return;
                          if (report)
                              publishLeaving(found->second, *report);
                          carryOut(key,
                                   found->second.monitor.onProbed(m_clock.now(), action.instance,
                                                                  action.newConnection, report));
                      });
}

void Steward::seal(const std::string &key, const MonitoredGroup &monitored,
                   const MonitorAction &action)
{
    logEvent(LogLevel::Info, "primary.sealing",
             {{"group", key},
              {"instance", action.instance},
              {"term", static_cast<std::int64_t>(action.term)}});
    m_targets->follow(
        monitored.instances.at(action.instance), action.term, {}, monitored.probeTimeout,
        [this, key, action](const std::optional<FollowReply> &answer) {
            const auto found = m_monitoredGroups.find(key);
            if (!answer || found == m_monitoredGroups.end())
                return;
            carryOut(key,
                     found->second.monitor.onSealed(m_clock.now(), action.instance,
                                                    answer->accepted, answer->term, answer->last));
        });
}

void Steward::promote(const std::string &key, const MonitoredGroup &monitored,
                      const MonitorAction &action)
{
    m_targets->promote(
        monitored.instances.at(action.instance), action.term, monitored.probeTimeout,
        [this, key, action](const std::optional<bool> &accepted) {
            const auto found = m_monitoredGroups.find(key);
            if (!accepted || found == m_monitoredGroups.end())
                return;
            carryOut(key,
                     found->second.monitor.onPromoted(m_clock.now(), action.instance, *accepted));
        });
}

void Steward::broadcastSuspicionVote(const MonitoredGroup &monitored, const MonitorAction &action)
{
    const std::string body
        = json::serialize(json::object{{"group", groupKey(monitored.team, monitored.group)},
                                       {"dataCentre", m_settings.dataCentre},
                                       {"term", action.term},
                                       {"suspect", action.suspect}});
    for (const std::string &steward : monitored.stewards) {
        if (steward != m_settings.host)
            send(steward, {"/vote", body}, nullptr);
    }
}

void Steward::publishLeaving(const MonitoredGroup &monitored, const InstanceReport &report)
{
    const std::string key = leavingKey(monitored.team, report.name);
    const Record *known = m_records.find(key);
    const bool knownLeaving = known && decodeLeaving(known->body);
    if (report.leaving != knownLeaving)
        publish(
            {key, static_cast<std::uint64_t>(timeOfDay().count()), encodeLeaving(report.leaving)});
}

void Steward::sendViewUpdate()
{
    if (m_viewUpdateInProgress)
        return;
    m_viewUpdateInProgress = true;
    m_nextViewUpdate = m_clock.now() + ViewUpdateInterval;
    ViewUpdate push;
    push.hash = m_records.hash();
    push.settingsAge = settingsAge();
    const std::size_t count = std::min(m_recordsForDaemon.size(), MaxRecordsPerMessage);
    const auto end = m_recordsForDaemon.begin() + static_cast<std::ptrdiff_t>(count);
    push.records.assign(m_recordsForDaemon.begin(), end);
    m_recordsForDaemon.erase(m_recordsForDaemon.begin(), end);
    m_daemon->call({"/view", encodeViewUpdate(push)}, CallTimeout,
                   [this, hash = push.hash](const PeerReply &reply) {
                       m_viewUpdateInProgress = false;
                       const bool behind
                           = reply.verdict != Verdict::Ran || decodeHash(reply.body) != hash;
                       if (!behind || !m_recordsForDaemon.empty())
                           return;
                       // The daemon missed something, for example because it restarted. Send
                       // everything again.
                       for (const Record *record : m_records.withPrefix(""))
                           m_recordsForDaemon.push_back(*record);
                       m_nextViewUpdate = m_clock.now() + TickInterval;
                       if (reply.verdict != Verdict::Ran)
                           m_nextViewUpdate = m_clock.now() + ViewUpdateInterval;
                   });
}

Millis Steward::settingsAge() const
{
    const Millis now = m_clock.now();
    return now - m_settingsConfirmedAt.value_or(Millis());
}

} // namespace cicadagap
