#include "platformfeed.h"

#include "process/log.h"

#include <utility>

namespace cicadagap {

namespace {

constexpr Millis ConfigurationWait(1000); // For a change, at the store.
constexpr Millis ConfigurationRetry(250); // After a failed call.
constexpr Millis InstanceInterval(2000);  // Between readings of the instances' entries.
constexpr Millis InstanceRetry(400);
constexpr Millis HostRenewal(10'000);      // Of this host's record; HostDirectory knows it too.
constexpr Millis HostInterval(4000);       // Between readings of the hosts' records.
constexpr Millis FirstHosts(600);          // Hosts that start together have registered by then.
constexpr Millis HostRetry(400);           // While no list of hosts is known.
constexpr Millis IdleCheck(200);           // Between looks whether the platform has to be read.
constexpr Millis PlatformUpdateWait(1500); // For news, at the reader.
constexpr Millis PlatformUpdateMargin(1000);
constexpr Millis PlatformUpdateRetry(100); // After a failed call to a reader.
// A reader whose configuration and instances are older than this does not reach the platform.
constexpr Millis FreshConfiguration(1800);
constexpr Millis FreshInstances(3500);

} // namespace

PlatformFeed::PlatformFeed(EventLoop *loop, SessionEngine *engine, PlatformClient *platform,
                           HostRecord self, LinkTo linkTo, std::function<void()> configured)
    : m_loop(loop)
    , m_engine(engine)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_linkTo(std::move(linkTo))
    , m_configured(std::move(configured))
{
}

void PlatformFeed::start()
{
    m_startedAt = now();
    readConfiguration();
    registerSelf();
    readHosts();
    readInstances();
    m_loop->every(HostRenewal, [this] { registerSelf(); });
    m_loop->after(FirstHosts, [this] { follow(); });
}

void PlatformFeed::leave()
{
    m_self.leaving = true;
    registerSelf();
}

void PlatformFeed::tick()
{
    m_board.onTick(now());
}

void PlatformFeed::answerPeer(const PeerRequest &request, const PeerRespond &respond)
{
    Reason reason;
    const std::optional<PlatformUpdateRequest> wanted
        = decodePlatformUpdateRequest(request.body, &reason);
    if (!wanted) {
        logEvent(LogLevel::Warning, "peer.request-unreadable", {{"reason", reason.text()}});
        respond({});
        return;
    }
    m_board.ask(now(), *wanted, [respond](const PlatformUpdate &bulletin) {
        respond(encodePlatformUpdate(bulletin));
    });
}

// Whether this host reads the platform: it is the reader, or the reader is out of date.
bool PlatformFeed::readsItself()
{
    const std::string reader = m_engine->platformReader(now());
    const bool self = reader.empty() || reader == m_self.host;
    const std::string following = self ? std::string() : reader;
    if (following != m_following) {
        logEvent(LogLevel::Info, self ? "platform.reading" : "platform.following",
                 {{"reader", self ? m_self.host : reader}});
        m_following = following;
        m_readerIsFresh = false;
    }
    return self || !m_readerIsFresh;
}

void PlatformFeed::readConfiguration()
{
    if (!readsItself()) {
        m_loop->after(IdleCheck, [this] { readConfiguration(); });
        return;
    }
    const bool known = m_configurationReachable && m_engine->configurationVersion() > 0;
    m_platform->configuration(
        known ? ConfigurationWait : Millis(0), [this](const std::optional<RoutingTable> &table) {
            setReachable("configuration", &m_configurationReachable, table.has_value());
            if (table) {
                m_board.setRouting(now(), *table);
                applyRouting(*table);
            }
            m_loop->after(table ? Millis(0) : ConfigurationRetry, [this] { readConfiguration(); });
        });
}

void PlatformFeed::readInstances()
{
    if (!readsItself()) {
        m_loop->after(IdleCheck, [this] { readInstances(); });
        return;
    }
    m_platform->instances([this](const std::optional<std::vector<RegisteredInstance>> &instances) {
        setReachable("instances", &m_instancesReachable, instances.has_value());
        if (instances) {
            m_board.setInstances(now(), *instances);
            m_engine->onInstances(now(), *instances);
        }
        const bool calm = instances && !m_engine->needsInstances();
        m_loop->after(calm ? InstanceInterval : InstanceRetry, [this] { readInstances(); });
    });
}

void PlatformFeed::readHosts()
{
    if (!readsItself()) {
        m_loop->after(IdleCheck, [this] { readHosts(); });
        return;
    }
    m_platform->hosts([this](const std::optional<std::vector<HostRecord>> &hosts) {
        setReachable("hosts", &m_hostsReachable, hosts.has_value());
        if (hosts) {
            m_board.setHosts(now(), *hosts);
            applyHosts(*hosts);
        }
        // Hosts that start together see only some of the others at first.
        const bool early = now() < m_startedAt + FirstHosts;
        const Millis next = early ? FirstHosts : HostInterval;
        m_loop->after(hosts ? next : HostRetry, [this] { readHosts(); });
    });
}

// This host is one of them, also while its record is missing or still that of the process before.
void PlatformFeed::applyHosts(std::vector<HostRecord> hosts)
{
    std::erase_if(hosts, [this](const HostRecord &record) { return record.host == m_self.host; });
    hosts.push_back(m_self);
    m_engine->onHosts(now(), hosts);
}

// Asks the reader again and again; falls back to the platform while it does not answer.
void PlatformFeed::follow()
{
    readsItself();
    const std::string reader = m_following;
    const std::shared_ptr<PeerClient> link = reader.empty() ? nullptr : m_linkTo(reader);
    if (!link) {
        m_loop->after(IdleCheck, [this] { follow(); });
        return;
    }
    // The first answer is wanted at once: it tells whether the reader is up to date.
    const Millis wait = m_readerIsFresh ? PlatformUpdateWait : Millis(0);
    link->call({.path = "/bulletin", .body = encodePlatformUpdateRequest(m_board.request(wait))},
               wait + PlatformUpdateMargin, [this, reader](const PeerReply &answer) {
                   Reason reason;
                   const std::optional<PlatformUpdate> bulletin = answer.verdict == Verdict::Ran
                       ? decodePlatformUpdate(answer.body, &reason)
                       : std::nullopt;
                   if (bulletin && reader == m_following) {
                       takeBulletin(*bulletin);
                       m_loop->after(m_readerIsFresh ? Millis(0) : IdleCheck, [this] { follow(); });
                       return;
                   }
                   logEvent(LogLevel::Warning, "platform.reader-failed",
                            {{"reader", reader}, {"reason", reason.text()}});
                   m_readerIsFresh = false;
                   m_engine->onPlatformReaderFailed(now(), reader);
                   m_loop->after(PlatformUpdateRetry, [this] { follow(); });
               });
}

void PlatformFeed::takeBulletin(const PlatformUpdate &bulletin)
{
    const bool fresh
        = bulletin.routingAge < FreshConfiguration && bulletin.instancesAge < FreshInstances;
    if (fresh != m_readerIsFresh)
        logEvent(LogLevel::Info, fresh ? "platform.reader-fresh" : "platform.reader-outdated",
                 {{"reader", m_following},
                  {"configurationAgeMs", bulletin.routingAge.count()},
                  {"instancesAgeMs", bulletin.instancesAge.count()}});
    m_readerIsFresh = fresh;
    m_board.refresh(now(), bulletin);
    if (bulletin.routing)
        applyRouting(*bulletin.routing);
    if (fresh && m_board.instances())
        m_engine->onInstances(now(), *m_board.instances());
    if (bulletin.hosts)
        applyHosts(*bulletin.hosts);
}

void PlatformFeed::applyRouting(const RoutingTable &routing)
{
    if (routing.version > m_engine->configurationVersion())
        logEvent(LogLevel::Info, "configuration.in-force",
                 {{"version", static_cast<std::int64_t>(routing.version)},
                  {"databases", static_cast<std::int64_t>(routing.databases.size())},
                  {"from", m_following.empty() ? std::string("platform") : m_following}});
    m_engine->onConfiguration(now(), routing);
    m_configured();
}

// Keeps this host's record fresh; the last one says that it leaves.
void PlatformFeed::registerSelf()
{
    ++m_self.heartbeat;
    m_platform->registerHost(m_self, [](Verdict verdict) {
        if (verdict != Verdict::Ran)
            logEvent(LogLevel::Warning, "host.not-registered",
                     {{"verdict", VerdictNames.name(verdict)}});
    });
}

void PlatformFeed::setReachable(std::string_view what, bool *reachable, bool reached)
{
    if (*reachable != reached) {
        logEvent(reached ? LogLevel::Info : LogLevel::Warning,
                 reached ? "platform.regained" : "platform.lost", {{"what", what}});
    }
    *reachable = reached;
    m_board.setReachesPlatform(now(), m_configurationReachable && m_instancesReachable);
}

} // namespace cicadagap
