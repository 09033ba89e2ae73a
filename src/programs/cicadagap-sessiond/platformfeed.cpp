#include "platformfeed.h"

#include "process/log.h"
#include "session/epochstart.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// How long the store may wait for a change of the configuration: this part of the time in which a
// change has to be in force, within these bounds. If the store does not answer, a host notices that
// after the wait and a timeout, and has to read again within the rest of that time.
constexpr std::int64_t WaitsInBound = 4;
constexpr Millis MinConfigurationWait(500);
constexpr Millis MaxConfigurationWait(5000);
constexpr Millis ConfigurationRetryDelay(250); // After a failed call.
constexpr Millis InstanceInterval(2000);       // Between two readings of the instances.
constexpr Millis InstanceRetryDelay(400); // After a failed call, or while a primary is missing.
constexpr Millis HostInterval(4000);      // Between two readings of the hosts.
constexpr Millis StartupTime(600);        // After it, hosts that started together have registered.
constexpr Millis
    FirstFollowTime(400); // A starting host waits so long for the reader's first update.
constexpr Millis StoppedHostCheckInterval(2000); // Between two checks of the platform reader.
constexpr Millis HostRetryDelay(300);            // After a failed call.
constexpr Millis RoleCheckInterval(100);         // Between checks whether this host must read.
constexpr Millis UpdateMargin(1000);    // Added to the wait for the first byte of the answer.
constexpr Millis UpdateRetryDelay(100); // After a failed call to the platform reader.
// A platform reader whose data is older than this is taken to be cut off from the platform. Its
// configuration may be this much older than the wait for a change.
constexpr Millis ConfigurationAgeMargin(800);
constexpr Millis MaxInstancesAge(3500);

} // namespace

PlatformFeed::PlatformFeed(EventLoop *loop, SessionEngine *engine, PlatformClient *platform,
                           Options options, FindPeer findPeer,
                           std::function<void()> onConfiguration)
    : m_loop(loop)
    , m_engine(engine)
    , m_platform(platform)
    , m_self(std::move(options.self))
    , m_random(hash64(m_self.host))
    , m_findPeer(std::move(findPeer))
    , m_onConfiguration(std::move(onConfiguration))
    , m_epoch({})
    , m_registration(m_self.host, {})
    , m_configurationBackoff(ConfigurationRetryDelay)
    , m_instancesBackoff(InstanceRetryDelay)
    , m_hostsBackoff(HostRetryDelay)
{
    setConfigurationBound(options.configurationBound);
}

void PlatformFeed::setConfigurationBound(Millis bound)
{
    m_configurationWait
        = std::clamp(bound / WaitsInBound, MinConfigurationWait, MaxConfigurationWait);
    // A host that reaches the store again has to have the newest version within the bound.
    m_configurationBackoff.setBound(bound);
    m_ageLimits = {.configuration = m_configurationWait + ConfigurationAgeMargin,
                   .instances = MaxInstancesAge,
                   .configurationBound = bound};
}

void PlatformFeed::start()
{
    m_startedAt = now();
    registerIfDue();
    readHosts();
    m_loop->every(StoppedHostCheckInterval, [this] { withdrawStoppedHosts(); });
}

// Starts to read the rest once the list of hosts shows whom to ask. When all hosts start at once,
// the platform's store serves the list to each of them, and the rest to few.
void PlatformFeed::startReading()
{
    if (std::exchange(m_reading, true))
        return;
    m_followUntil = now() + FirstFollowTime;
    followReader();
    readConfiguration();
    readInstances();
}

void PlatformFeed::announceLeaving()
{
    m_self.leaving = true;
    registerSelf();
}

void PlatformFeed::onTick()
{
    m_arrivalDelay.onTick(now());
    m_cache.onTick(now());
    const std::optional<Millis> readingTime = m_platform->configurationTransferTime();
    const bool fillsLink = mayFillLink(readingTime, m_ageLimits);
    if (fillsLink != std::exchange(m_fillsLink, fillsLink))
        logEvent(LogLevel::Info, fillsLink ? "platform.link-full" : "platform.link-free",
                 {{"readingMs", readingTime.value_or(Millis(0)).count()}});
    if (fillsLink)
        m_engine->onOwnLinkFull(now());
    registerIfDue();
}

void PlatformFeed::answerPeer(const PeerRequest &request, const PeerRespond &respond)
{
    Reason reason;
    const std::optional<PlatformUpdateRequest> updateRequest
        = decodePlatformUpdateRequest(request.body, &reason);
    if (!updateRequest) {
        logEvent(LogLevel::Warning, "peer.request-unreadable", {{"reason", reason.text()}});
        respond({});
        return;
    }
    m_liveness.onRequest(now(), updateRequest->host);
    m_cache.requestUpdate(now(), *updateRequest, [this, respond](PlatformUpdate update) {
        update.storeEpoch = m_epoch.number();
        update.storeEpochAge = now() - m_epoch.beganBy();
        update.readingTime = m_platform->configurationTransferTime();
        respond(encodePlatformUpdate(update));
    });
}

// Whether this host has to read the platform: it is the platform reader, or the platform reader's
// data is too old.
bool PlatformFeed::mustRead(Reading what)
{
    updateRole();
    const bool isRecent
        = what == Reading::Configuration ? m_reader.configurationRecent : m_reader.listsRecent;
    return m_followedReader.empty() || (!isRecent && now() >= m_followUntil);
}

void PlatformFeed::loseReader()
{
    m_reader = {};
}

void PlatformFeed::updateRole()
{
    const std::string platformReader = m_engine->platformReader(now());
    const bool isReader = platformReader.empty() || platformReader == m_self.host;
    const std::string following = isReader ? std::string() : platformReader;
    if (following != m_followedReader) {
        logEvent(LogLevel::Info, isReader ? "platform.reading" : "platform.following",
                 {{"reader", isReader ? m_self.host : platformReader}});
        m_followedReader = following;
        loseReader();
    }
}

// Repeats `read` later if this host need not read now: it follows a recent reader, which also ends
// the wait after failures, or that wait is not over.
bool PlatformFeed::postpones(Reading what, ReadingBackoff *backoff, void (PlatformFeed::*read)())
{
    Millis wait = RoleCheckInterval;
    if (mustRead(what))
        wait = std::min(backoff->remaining(now()), RoleCheckInterval);
    else
        backoff->onFollowing();
    if (wait > Millis(0))
        m_loop->after(wait, [this, read] { (this->*read)(); });
    return wait > Millis(0);
}

void PlatformFeed::readConfiguration()
{
    if (postpones(Reading::Configuration, &m_configurationBackoff,
                  &PlatformFeed::readConfiguration))
        return;
    const bool waitForChange
        = !m_configurationBackoff.lastFailed() && m_engine->configurationVersion() > 0;
    m_platform->configuration(
        waitForChange ? m_configurationWait : Millis(0),
        [this, requestedAt = now()](const std::optional<ConfigurationReading> &reading) {
            const bool usable = isUsable("configuration", reading);
            findEpochStart();
            recordReading("configuration", &m_configurationBackoff, usable);
            if (usable) {
                m_cache.setRouting(now(), reading->value, m_arrivalDelay.bound(now(), requestedAt));
                applyRouting(reading->value);
            }
            m_loop->after(Millis(0), [this] { readConfiguration(); });
        });
}

void PlatformFeed::readInstances()
{
    if (postpones(Reading::Lists, &m_instancesBackoff, &PlatformFeed::readInstances))
        return;
    requestInstances([this](bool succeeded) {
        const bool complete = !m_engine->needsInstances(now());
        const Millis next = complete ? InstanceInterval : InstanceRetryDelay;
        m_loop->after(succeeded ? next : Millis(0), [this] { readInstances(); });
    });
}

void PlatformFeed::readInstancesNow()
{
    requestInstances([](bool) {});
}

void PlatformFeed::requestInstances(const std::function<void(bool succeeded)> &done)
{
    const Millis readAt = now();
    m_platform->instances([this, readAt, done](const std::optional<InstanceReading> &reading) {
        bool usable = isUsable("instances", reading);
        if (usable
            && !m_cache.setInstances(now(), reading->value, reading->position, now() - readAt)) {
            logOutdated("instances", reading->position);
            usable = false;
        }
        findEpochStart();
        recordReading("instances", &m_instancesBackoff, usable);
        if (usable)
            applyInstances();
        done(usable);
    });
}

void PlatformFeed::readHosts()
{
    if (m_reading && postpones(Reading::Lists, &m_hostsBackoff, &PlatformFeed::readHosts))
        return;
    m_platform->hosts([this, requestedAt = now()](const std::optional<HostReading> &reading) {
        const bool usable = isUsable("hosts", reading);
        recordReading("hosts", &m_hostsBackoff, usable);
        if (usable) {
            m_cache.setHosts(now(), reading->value, reading->position, now() - requestedAt);
            applyHosts(reading->value);
        }
        startReading();
        // Hosts that start together see only some of the others at first, so the list is read again
        // soon.
        const bool starting = now() < m_startedAt + StartupTime;
        const Millis next = starting ? StartupTime : HostInterval;
        m_loop->after(usable ? next : Millis(0), [this] { readHosts(); });
    });
}

// Passes the list to the engine. This host's own record is always part of it, also while the stored
// one is missing or was written by this host's previous process.
void PlatformFeed::applyHosts(std::vector<HostRecord> hosts)
{
    const auto stored = std::find_if(hosts.begin(), hosts.end(), [this](const HostRecord &record) {
        return record.host == m_self.host;
    });
    if (stored != hosts.end()) {
        if (stored->leaving && !m_self.leaving) {
            logEvent(LogLevel::Warning, "host.taken-for-stopped", {});
            registerSelf();
        }
        hosts.erase(stored);
    }
    hosts.push_back(m_self);
    m_engine->onHosts(now(), hosts);
}

// Requests updates from the platform reader, one after the other. While it does not reply, this
// host reads the platform itself.
void PlatformFeed::followReader()
{
    updateRole();
    const std::string platformReader = m_followedReader;
    const std::shared_ptr<PeerClient> peer
        = platformReader.empty() ? nullptr : m_findPeer(platformReader);
    if (!peer) {
        m_loop->after(RoleCheckInterval, [this] { followReader(); });
        return;
    }
    // The first request does not wait for a change: its reply shows whether the reader's data is
    // recent enough.
    const Millis wait = m_reader.wait;
    PlatformUpdateRequest request = m_cache.request(wait);
    request.host = m_self.host;
    peer->callForTransfer({.path = "/bulletin", .body = encodePlatformUpdateRequest(request)},
                          wait + UpdateMargin, {},
                          [this, platformReader, requestedAt = now()](const PeerReply &reply) {
                              Reason reason;
                              std::optional<PlatformUpdate> update = reply.verdict == Verdict::Ran
                                  ? decodePlatformUpdate(reply.body, &reason)
                                  : std::nullopt;
                              if (update)
                                  logRefusedEntry(reason.text());
                              if (update && platformReader == m_followedReader) {
                                  update->addAge(m_arrivalDelay.bound(now(), requestedAt));
                                  judge(*update);
                                  resolveDelta(&*update);
                                  update->addAge(reply.transferTime);
                                  applyUpdate(*update);
                                  m_loop->after(m_reader.pause, [this] { followReader(); });
                                  return;
                              }
                              logEvent(LogLevel::Warning, "platform.reader-failed",
                                       {{"reader", platformReader}, {"reason", reason.text()}});
                              loseReader();
                              m_followUntil = now();
                              m_engine->onPlatformReaderFailed(now(), platformReader);
                              m_loop->after(UpdateRetryDelay, [this] { followReader(); });
                          });
}

// Logs why an entry of the reader's lists was left out, once for each reason.
void PlatformFeed::logRefusedEntry(const std::string &reason)
{
    if (reason == std::exchange(m_refusedEntry, reason) || reason.empty())
        return;
    logEvent(LogLevel::Warning, "platform.entry-refused",
             {{"reader", m_followedReader}, {"reason", reason}});
}

// Judges the ages when the reader began to send: its data does not become useless because the
// transfer took long.
void PlatformFeed::judge(const PlatformUpdate &update)
{
    const ReaderJudgement judgement = judgeReader(update, m_ageLimits);
    const bool recent = judgement.isRecent();
    if (recent != m_reader.isRecent())
        logEvent(LogLevel::Info, recent ? "platform.reader-fresh" : "platform.reader-outdated",
                 {{"reader", m_followedReader},
                  {"configurationAgeMs", update.routingAge.count()},
                  {"instancesAgeMs", update.instancesAge.count()},
                  {"readingMs", update.readingTime.value_or(Millis(0)).count()}});
    m_reader = judgement;
}

// Logs why a difference does not fit to the configuration in force, which stays so.
void PlatformFeed::resolveDelta(PlatformUpdate *update)
{
    Reason reason;
    if (!m_cache.resolveDelta(update, &reason))
        logEvent(LogLevel::Warning, "configuration.difference-refused",
                 {{"reader", m_followedReader},
                  {"version", static_cast<std::int64_t>(update->routingDelta->changed.version)},
                  {"reason", reason.text()}});
}

void PlatformFeed::applyUpdate(const PlatformUpdate &update)
{
    m_epoch.onAge(now(), update.storeEpoch, update.storeEpochAge);
    noteEpoch();
    m_cache.refresh(now(), update);
    if (update.routing)
        applyRouting(*update.routing);
    if (m_reader.listsRecent)
        applyInstances();
    if (update.hosts)
        applyHosts(*update.hosts);
}

void PlatformFeed::applyInstances()
{
    if (!m_cache.instances())
        return;
    const Millis readAt = m_cache.instancesReadAt();
    m_engine->onInstances(now(), *m_cache.instances(), readAt, m_epoch.settled(readAt));
}

// Learns, once for each epoch, since when it lasts.
void PlatformFeed::findEpochStart()
{
    const std::uint64_t epoch = m_epoch.number();
    if (epoch == std::exchange(m_epochSought, epoch))
        return;
    cicadagap::findEpochStart(
        m_platform, epoch, [this, epoch](const std::optional<EpochStart> &start) {
            if (!start) {
                m_epochSought = 0;
                return;
            }
            const Millis age = start->storeNow - start->seenAt;
            logEvent(LogLevel::Info, "platform.epoch-began",
                     {{"epoch", static_cast<std::int64_t>(epoch)}, {"ageMs", age.count()}});
            if (m_epoch.onAge(now(), epoch, age))
                applyInstances();
        });
}

void PlatformFeed::applyRouting(const RoutingTable &routing)
{
    if (routing.version > m_engine->configurationVersion())
        logEvent(LogLevel::Info, "configuration.in-force",
                 {{"version", static_cast<std::int64_t>(routing.version)},
                  {"databases", static_cast<std::int64_t>(routing.databases.size())},
                  {"from", m_followedReader.empty() ? std::string("platform") : m_followedReader}});
    m_engine->onConfiguration(now(), routing);
    m_onConfiguration();
}

// The store may have forgotten this host's record in an earlier epoch.
void PlatformFeed::noteEpoch()
{
    m_registration.onEpoch(now(), m_epoch.number());
}

void PlatformFeed::registerIfDue()
{
    if (m_registration.takeDue(now()))
        registerSelf();
}

// Writes this host's record. Its heartbeat shows other hosts that this one is alive.
void PlatformFeed::registerSelf()
{
    ++m_self.heartbeat;
    m_platform->registerHost(m_self, [](Verdict verdict) {
        if (verdict != Verdict::Ran)
            logEvent(LogLevel::Warning, "host.not-registered",
                     {{"verdict", VerdictNames.name(verdict)}});
    });
}

// As the platform reader, marks the records of hosts of this data centre that have stopped, so that
// they are not chosen as gateways any more.
void PlatformFeed::withdrawStoppedHosts()
{
    const bool isReader
        = m_reading && m_followedReader.empty() && !m_configurationBackoff.lastFailed();
    if (!isReader || !m_cache.hosts())
        return;
    std::vector<HostRecord> followers;
    for (const HostRecord &record : *m_cache.hosts()) {
        if (record.dataCentre == m_self.dataCentre && record.host != m_self.host && !record.leaving)
            followers.push_back(record);
    }
    for (HostRecord &record : m_liveness.takeSilent(now(), followers)) {
        logEvent(LogLevel::Warning, "host.stopped", {{"host", record.host}});
        record.leaving = true;
        m_platform->registerHost(record, [host = record.host](Verdict verdict) {
            if (verdict != Verdict::Ran)
                logEvent(LogLevel::Warning, "host.not-withdrawn",
                         {{"host", host}, {"verdict", VerdictNames.name(verdict)}});
        });
    }
}

// Whether the store answered, and not in an earlier epoch than it did before.
template <typename Value>
bool PlatformFeed::isUsable(std::string_view what,
                            const std::optional<StoreReading<Value>> &reading)
{
    if (!reading)
        return false;
    const std::uint64_t known = m_epoch.number();
    const StorePosition position = reading->position;
    const StoreEpoch::Answer answer = m_epoch.onAnswer(now(), position.epoch);
    noteEpoch();
    if (answer == StoreEpoch::Answer::NewEpoch)
        logEvent(LogLevel::Warning, "platform.epoch",
                 {{"call", what},
                  {"epoch", static_cast<std::int64_t>(position.epoch)},
                  {"before", static_cast<std::int64_t>(known)},
                  {"version", static_cast<std::int64_t>(position.version)}});
    else if (answer == StoreEpoch::Answer::Outdated)
        logOutdated(what, position);
    return answer != StoreEpoch::Answer::Outdated;
}

// An older answer arrived after a newer one.
void PlatformFeed::logOutdated(std::string_view what, StorePosition position)
{
    logEvent(LogLevel::Warning, "platform.answer-outdated",
             {{"call", what},
              {"epoch", static_cast<std::int64_t>(position.epoch)},
              {"known", static_cast<std::int64_t>(m_epoch.number())},
              {"version", static_cast<std::int64_t>(position.version)}});
}

void PlatformFeed::recordReading(std::string_view what, ReadingBackoff *backoff, bool succeeded)
{
    if (succeeded == backoff->lastFailed()) {
        logEvent(succeeded ? LogLevel::Info : LogLevel::Warning,
                 succeeded ? "platform.regained" : "platform.lost", {{"what", what}});
    }
    const bool isReader = m_followedReader.empty();
    backoff->onReading(now(), {.succeeded = succeeded, .isReader = isReader}, &m_random);
    m_cache.setReachesPlatform(
        now(), !m_configurationBackoff.lastFailed() && !m_instancesBackoff.lastFailed());
}

} // namespace cicadagap
