#include "gatewaypool.h"

#include "base/hash.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr Millis StatusTimeout(700);
constexpr Millis SampleTimeout(500);
constexpr Millis FailureReportTimeout(500);
constexpr Millis LedgerCleanupInterval(60'000);
constexpr Millis LedgerCleanupTimeout(5000);

AdmissionQueue::Options queueOptions(const TeamSettings &team)
{
    AdmissionQueue::Options options;
    options.capacity = static_cast<std::size_t>(team.limits.queueLength);
    options.aging = team.limits.aging;
    for (const auto &entry : team.classes)
        options.classes.push_back(
            {entry.first, entry.second.priority == Priority::Top, entry.second.weight});
    return options;
}

} // namespace

GatewayPool::GatewayPool(Options options)
    : m_options(std::move(options))
{
}

void GatewayPool::submit(const ForwardedRequest &forwarded,
                         std::function<void(const GatewayReply &)> done)
{
    const std::string key = instanceKey(forwarded.team, forwarded.instance);
    Shard &shard = shardFor(key);
    Replies replies;
    {
        MutexLock lock(&shard.mutex);
        RunningGateway *running = forwarded.request.transaction.empty()
            ? currentGateway(&shard, forwarded.team, forwarded.group, forwarded.instance, &replies)
            : findByTransaction(&shard, key, forwarded.request.transaction);
        if (!running) {
            const bool inTransaction = !forwarded.request.transaction.empty();
            const Cause cause = inTransaction ? Cause::NoTransaction : Cause::UnknownTeam;
            replies.emplace_back([done, cause] { done({Verdict::NotRun, cause}); });
        } else {
            GatewayRequest request = forwarded.request;
            request.id = ++m_lastRequestId;
            const Millis now = m_clock.now();
            request.deadline = now + forwarded.timeLeft;
            const auto found = running->classes.find(forwarded.className);
            request.priorityClass = found == running->classes.end()
                ? running->classes.at(DefaultClass)
                : found->second;
            running->replyCallbacks[request.id] = std::move(done);
            runActions(running, running->gateway.submit(now, std::move(request)), &replies);
        }
    }
    sendReplies(replies);
}

std::optional<GatewayPool::PositionSample> GatewayPool::positionSample(const std::string &team,
                                                                       const std::string &group,
                                                                       const std::string &instance)
{
    Shard &shard = shardFor(instanceKey(team, instance));
    Replies replies;
    std::optional<PositionSample> sample;
    {
        MutexLock lock(&shard.mutex);
        if (RunningGateway *running = currentGateway(&shard, team, group, instance, &replies)) {
            const Millis now = m_clock.now();
            runActions(running, running->gateway.onPositionSampleRequested(now), &replies);
            const ReplicaAge &replicaAge = running->gateway.replicaAge();
            if (const auto newest = replicaAge.newestSample())
                sample = PositionSample{replicaAge.newestPosition(), now - *newest};
        }
    }
    sendReplies(replies);
    return sample;
}

void GatewayPool::refresh()
{
    for (const std::string &teamName : m_options.view->teams()) {
        const auto team = m_options.view->team(teamName);
        for (const auto &group : team->settings.groups) {
            const auto view = m_options.view->group(teamName, group.first);
            if (!view)
                continue;
            for (const InstanceRoute &route : view->instances) {
                const bool preferred
                    = !route.gateways.empty() && route.gateways.front() == m_options.view->self();
                const std::string key = instanceKey(teamName, route.name);
                Shard &shard = shardFor(key);
                Replies replies;
                {
                    MutexLock lock(&shard.mutex);
                    const bool known = shard.gateways.contains(key);
                    const bool isPrimary = route.name == view->primary;
                    if (known || (preferred && isPrimary))
                        currentGateway(&shard, teamName, group.first, route.name, &replies);
                }
                sendReplies(replies);
            }
        }
    }
}

void GatewayPool::tick()
{
    const Millis now = m_clock.now();
    for (Shard &shard : m_shards) {
        Replies replies;
        {
            MutexLock lock(&shard.mutex);
            for (auto &entry : shard.gateways) {
                for (const auto &running : entry.second) {
                    runActions(running.get(), running->gateway.onTick(now), &replies);
                    cleanUpLedger(running.get(), now, &replies);
                }
                std::erase_if(entry.second, [](const std::unique_ptr<RunningGateway> &running) {
                    return running->retiring && running->gateway.idle()
                        && running->connections.empty();
                });
            }
        }
        sendReplies(replies);
    }
}

void GatewayPool::drain()
{
    m_draining = true;
    for (Shard &shard : m_shards) {
        MutexLock lock(&shard.mutex);
        for (auto &entry : shard.gateways) {
            for (const auto &running : entry.second)
                running->gateway.drain();
        }
    }
}

bool GatewayPool::idle() const
{
    for (const Shard &shard : m_shards) {
        MutexLock lock(&shard.mutex);
        for (const auto &entry : shard.gateways) {
            for (const auto &running : entry.second) {
                if (!running->gateway.idle())
                    return false;
            }
        }
    }
    return true;
}

std::map<std::string, Gateway::Counters> GatewayPool::counters() const
{
    std::map<std::string, Gateway::Counters> result;
    for (const Shard &shard : m_shards) {
        MutexLock lock(&shard.mutex);
        for (const auto &entry : shard.gateways) {
            if (!entry.second.empty())
                result[entry.first] = entry.second.back()->gateway.counters();
        }
    }
    return result;
}

GatewayPool::Shard &GatewayPool::shardFor(const std::string &key)
{
    return m_shards.at(hash64(key) % ShardCount);
}

GatewayPool::RunningGateway *GatewayPool::currentGateway(Shard *shard, const std::string &team,
                                                         const std::string &group,
                                                         const std::string &instance,
                                                         Replies *replies)
{
    const auto version = m_options.view->team(team);
    if (!version)
        return nullptr;
    const Millis now = m_clock.now();
    auto &versions = shard->gateways[instanceKey(team, instance)];
    const bool outdated = versions.empty() || versions.back()->settingsVersion != version->version;
    if (outdated) {
        auto created = createGateway(*version, group, instance);
        if (!created)
            return nullptr;
        if (!versions.empty()) {
            RunningGateway &old = *versions.back();
            old.retiring = true;
            old.gateway.drain();
            runActions(&old, old.gateway.setQuota(now, 0), replies);
        }
        versions.push_back(std::move(created));
    }
    RunningGateway *running = versions.back().get();
    applyView(running, now, replies);
    return running;
}

std::unique_ptr<GatewayPool::RunningGateway>
GatewayPool::createGateway(const VersionedTeamSettings &team, const std::string &group,
                           const std::string &instance)
{
    const auto groupSettings = team.settings.groups.find(group);
    if (groupSettings == team.settings.groups.end())
        return nullptr;
    const auto instanceSettings = groupSettings->second.instances.find(instance);
    if (instanceSettings == groupSettings->second.instances.end())
        return nullptr;
    const std::uint64_t number = ++m_lastGatewayNumber;
    Gateway::Options options;
    options.instance = instance;
    options.groupSize = groupSettings->second.instances.size();
    options.slots = groupSettings->second.slots;
    options.queue = queueOptions(team.settings);
    for (const auto &entry : team.settings.classes)
        options.reservedSlots += entry.second.reservedSlots;
    options.transactionPrefix = m_options.view->self() + "~" + instance + "~"
        + std::to_string(m_options.incarnation) + "." + std::to_string(number) + ".";
    options.transactionIdleTimeout = team.settings.timeouts.transactionIdle;
    options.maxDataWait = team.settings.timeouts.replicaWait;
    options.attemptTimeout = team.settings.timeouts.attempt;
    const ConnectionQuota::Options quota{.connections = groupSettings->second.connections};
    auto running = std::make_unique<RunningGateway>(options, quota);
    running->team = team.settings.team;
    running->group = group;
    running->instance = instance;
    running->number = number;
    running->settingsVersion = team.version;
    running->endpoint = *parseEndpoint(instanceSettings->second.address, nullptr);
    running->connectTimeout = team.settings.timeouts.connect;
    running->ledgerRetention = team.settings.timeouts.ledgerRetention;
    for (std::size_t i = 0; i < options.queue.classes.size(); ++i)
        running->classes[options.queue.classes[i].name] = i;
    if (m_draining)
        running->gateway.drain();
    return running;
}

GatewayPool::RunningGateway *GatewayPool::findByTransaction(Shard *shard, const std::string &key,
                                                            const std::string &transaction)
{
    // The form is "<host>~<instance>~<incarnation>.<number>.<count>".
    const std::size_t last = transaction.rfind('.');
    if (last == std::string::npos || last == 0)
        return nullptr;
    const std::size_t first = transaction.rfind('.', last - 1);
    if (first == std::string::npos)
        return nullptr;
    const std::string digits = transaction.substr(first + 1, last - first - 1);
    for (const auto &running : shard->gateways[key]) {
        if (std::to_string(running->number) == digits)
            return running.get();
    }
    return nullptr;
}

GatewayPool::RunningGateway *GatewayPool::findByNumber(Shard *shard, const std::string &key,
                                                       std::uint64_t number)
{
    const auto found = shard->gateways.find(key);
    if (found == shard->gateways.end())
        return nullptr;
    for (const auto &running : found->second) {
        if (running->number == number)
            return running.get();
    }
    return nullptr;
}

void GatewayPool::applyView(RunningGateway *running, Millis now, Replies *replies)
{
    const auto view = m_options.view->group(running->team, running->group);
    if (!view)
        return;
    const auto route
        = std::find_if(view->instances.begin(), view->instances.end(),
                       [running](const InstanceRoute &r) { return r.name == running->instance; });
    if (route == view->instances.end())
        return;
    const auto self
        = std::find(route->gateways.begin(), route->gateways.end(), m_options.view->self());
    running->quota.setRank(now, static_cast<int>(self - route->gateways.begin()));
    const bool isPrimary = view->primary == running->instance;
    runActions(running, running->gateway.setRole(now, view->term, isPrimary, route->leaving),
               replies);
    runActions(running, running->gateway.setQuota(now, running->quota.allowed(now)), replies);
}

void GatewayPool::cleanUpLedger(RunningGateway *running, Millis now, Replies *replies)
{
    if (now < running->nextLedgerCleanup || running->retiring || m_draining)
        return;
    const bool first = running->nextLedgerCleanup == Millis();
    running->nextLedgerCleanup = now + LedgerCleanupInterval;
    // Only the preferred gateway of the primary deletes rows, and not before one interval has
    // passed.
    if (first || !running->quota.preferred() || !running->gateway.isPrimary())
        return;
    GatewayRequest request{
        .id = ++m_lastRequestId, .write = true, .deadline = now + LedgerCleanupTimeout};
    request.priorityClass = running->classes.at(DefaultClass);
    request.operations = encodeLedgerCleanup(timeOfDay());
    runActions(running, running->gateway.submit(now, std::move(request)), replies);
}

void GatewayPool::runActions(RunningGateway *running, const GatewayActions &actions,
                             Replies *replies)
{
    for (const GatewayAction &action : actions) {
        if (const auto *opening = std::get_if<OpenConnection>(&action)) {
            open(running, opening->connection);
        } else if (const auto *closing = std::get_if<CloseConnection>(&action)) {
            const auto found = running->connections.find(closing->connection);
            if (found != running->connections.end()) {
                found->second->close();
                running->connections.erase(found);
            }
        } else if (const auto *call = std::get_if<TargetCall>(&action)) {
            callTarget(running, *call);
        } else if (const auto *send = std::get_if<SendReply>(&action)) {
            const auto found = running->replyCallbacks.find(send->work);
            if (found != running->replyCallbacks.end()) {
                replies->emplace_back(
                    [done = std::move(found->second), reply = send->reply] { done(reply); });
                running->replyCallbacks.erase(found);
            }
        } else if (const auto *poll = std::get_if<PollStatus>(&action)) {
            pollStatus(running, poll->delay);
        } else if (std::holds_alternative<FetchPositionSample>(action)) {
            fetchPositionSample(running);
        } else {
            reportFailure(running);
        }
    }
}

void GatewayPool::open(RunningGateway *running, std::uint64_t connection)
{
    const std::string key = instanceKey(running->team, running->instance);
    const std::uint64_t number = running->number;
    m_options.targets->open(running->endpoint, running->connectTimeout,
                            [self = shared_from_this(), key, number,
                             connection](const std::shared_ptr<TargetConnection> &opened) {
                                self->handleEvent(
                                    key, number,
                                    [connection, &opened](RunningGateway *running, Millis now) {
                                        if (!opened)
                                            return running->gateway.onOpenFailed(now, connection);
                                        running->connections[connection] = opened;
                                        return running->gateway.onOpened(now, connection);
                                    });
                            });
}

void GatewayPool::callTarget(RunningGateway *running, const TargetCall &call)
{
    const auto found = running->connections.find(call.connection);
    if (found == running->connections.end())
        return;
    const std::string key = instanceKey(running->team, running->instance);
    const std::uint64_t number = running->number;
    found->second->call(
        call, running->ledgerRetention,
        [self = shared_from_this(), key, number,
         connection = call.connection](const std::optional<TargetAnswer> &answer, bool sent) {
            self->handleEvent(key, number,
                              [connection, &answer, sent](RunningGateway *running, Millis now) {
                                  if (answer)
                                      return running->gateway.onAnswer(now, connection, *answer);
                                  const auto broken = running->connections.find(connection);
                                  if (broken != running->connections.end()) {
                                      broken->second->close();
                                      running->connections.erase(broken);
                                  }
                                  return running->gateway.onConnectionLost(now, connection, sent);
                              });
        });
}

void GatewayPool::pollStatus(RunningGateway *running, Millis delay)
{
    const std::string key = instanceKey(running->team, running->instance);
    const auto fetch = [self = shared_from_this(), key, number = running->number,
                        endpoint = running->endpoint] { self->fetchStatus(key, number, endpoint); };
    if (delay.count() == 0)
        fetch();
    else
        m_options.loop->after(delay, fetch);
}

void GatewayPool::fetchStatus(const std::string &key, std::uint64_t number,
                              const Endpoint &endpoint)
{
    const Millis sentAt = m_clock.now();
    m_options.targets->status(
        endpoint, false, StatusTimeout,
        [self = shared_from_this(), key, number,
         sentAt](const std::optional<InstanceReport> &report) {
            self->handleEvent(key, number, [sentAt, &report](RunningGateway *running, Millis now) {
                return report ? running->gateway.onStatus(now, sentAt, *report)
                              : running->gateway.onStatusFailed(now);
            });
        });
}

void GatewayPool::fetchPositionSample(RunningGateway *running)
{
    const auto view = m_options.view->group(running->team, running->group);
    if (!view)
        return;
    const auto route
        = std::find_if(view->instances.begin(), view->instances.end(),
                       [&view](const InstanceRoute &r) { return r.name == view->primary; });
    if (route == view->instances.end() || route->gateways.empty())
        return;
    const std::string key = instanceKey(running->team, running->instance);
    const std::uint64_t number = running->number;
    const Millis sentAt = m_clock.now();
    const std::string &host = route->gateways.front();
    const auto deliverSample = [self = shared_from_this(), key, number, sentAt](Position last,
                                                                                Millis age) {
        self->handleEvent(key, number, [last, sentAt, age](RunningGateway *running, Millis now) {
            return running->gateway.onPositionSample(now, sentAt - age, last);
        });
    };
    if (host == m_options.view->self()) {
        // Posted, because this shard's mutex is held and the primary's gateway may be in the same
        // shard.
        m_options.loop->post([self = shared_from_this(), deliverSample, team = running->team,
                              group = running->group, primary = view->primary] {
            if (const auto sample = self->positionSample(team, group, primary))
                deliverSample(sample->last, sample->age);
        });
        return;
    }
    const auto client = m_options.peers(host);
    if (!client)
        return;
    const json::object body{
        {"team", running->team}, {"group", running->group}, {"instance", view->primary}};
    client->call({"/sample", json::serialize(body)}, SampleTimeout,
                 [deliverSample](const PeerReply &reply) {
                     const auto object = parseObject(reply.body, nullptr);
                     if (object && object->contains("ageMs"))
                         deliverSample(decodePosition(*object, "last"),
                                       Millis(numberMember(*object, "ageMs")));
                 });
}

void GatewayPool::reportFailure(RunningGateway *running)
{
    const json::object body{
        {"team", running->team}, {"group", running->group}, {"instance", running->instance}};
    m_options.steward->call({"/hint", json::serialize(body)}, FailureReportTimeout,
                            [](const PeerReply &) {});
}

void GatewayPool::handleEvent(const std::string &key, std::uint64_t number,
                              const std::function<GatewayActions(RunningGateway *, Millis)> &event)
{
    Shard &shard = shardFor(key);
    Replies replies;
    {
        MutexLock lock(&shard.mutex);
        if (RunningGateway *running = findByNumber(&shard, key, number))
            runActions(running, event(running, m_clock.now()), &replies);
    }
    sendReplies(replies);
}

void GatewayPool::sendReplies(const Replies &replies)
{
    for (const auto &reply : replies)
        reply();
}

std::string GatewayPool::instanceKey(const std::string &team, const std::string &instance)
{
    return team + "/" + instance;
}

} // namespace cicadagap
