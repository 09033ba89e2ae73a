#include "soak.h"

#include "base64.h"
#include "portreservation.h"
#include "session/hostdirectory.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace cicadagap {

namespace {

constexpr Millis StoreCopyInterval(400);
constexpr Millis StoreAbsence(600); // Before it comes back from a copy.
constexpr Millis RestartDelay(300);
constexpr Millis CheckInterval(50);
constexpr Millis ProbeInterval(150);
// A deployment that has not recovered this long after the faults ended is taken never to recover.
constexpr Millis RecoveryLimit(60'000);
constexpr int AnswersToRecover = 30; // Of each group.

StandinDeployment::Options deploymentOptions(const SoakOptions &options)
{
    return {.groups = options.groups,
            .tenants = options.tenants,
            .connections = static_cast<std::size_t>(options.connections),
            .fencedPromotions = options.fencedPromotions,
            .address = options.address};
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_loop({.threads = 1})
    , m_deployment(&m_loop, deploymentOptions(m_options), this)
{
}

Soak::~Soak() = default;

bool Soak::run(SoakReport *report, Reason *reason)
{
    m_startedAt = now();
    if (!start(reason))
        return false;
    m_loop.run();
    for (auto &row : m_groupChecks) {
        const GuaranteeReport &groupReport = row.second.checker->report();
        for (const std::string &text : groupReport.violations)
            m_report.violations.push_back(row.first + " " + text);
        for (const auto &[rule, times] : groupReport.broken)
            m_report.broken[rule] += times;
        m_report.answered += groupReport.answered;
        m_report.refused += groupReport.refused;
        m_report.uncertain += groupReport.uncertain;
        m_report.replicaReads += groupReport.replicaReads;
        m_report.longestWriteGap = std::max(m_report.longestWriteGap, groupReport.longestWriteGap);
    }
    m_report.configurations = static_cast<int>(m_deployment.configurationVersion());
    *report = m_report;
    return true;
}

bool Soak::start(Reason *reason)
{
    if (!m_deployment.start(reason) || !startInstances(reason))
        return false;
    // Hosts reach each other through proxies, so their records are rewritten to name these.
    m_deployment.storeServer().setRowRewrite([this](TableRow *row) {
        std::optional<HostRecord> record = parseHostRecord(decodeBase64(row->value), nullptr);
        if (row->table != "hosts" || !record)
            return;
        const auto index = static_cast<std::size_t>(std::stoi(record->host.substr(1)));
        record->peerEndpoint = m_hosts[index]->peers->endpoint();
        row->value = encodeBase64(hostRecordText(*record));
    });
    if (!prepareHosts(reason))
        return false;
    for (const std::unique_ptr<Host> &host : m_hosts) {
        if (!host->process->start(reason))
            return false;
    }
    startCallers();
    scheduleFaults();
    if (m_options.restores)
        scheduleRestores();
    if (m_options.refusals)
        refuseRestores();
    m_loop.every(CheckInterval, [this] { restartHosts(); });
    m_loop.every(ProbeInterval, [this] { probeConfiguration(); });
    return true;
}

bool Soak::startInstances(Reason *reason)
{
    for (const std::string &id : m_deployment.instances()) {
        auto proxy = std::make_unique<FaultProxy>(&m_loop, m_deployment.server(id).endpoint());
        if (!proxy->start(reason))
            return false;
        m_deployment.setPublishedEndpoint(id, proxy->endpoint());
        m_instanceProxies[id] = std::move(proxy);
    }
    for (const std::string &group : m_deployment.groups()) {
        GroupCheck &check = m_groupChecks[group];
        check.checker = std::make_unique<GuaranteeChecker>(
            GuaranteeChecker::Options{.seed = m_random.next(),
                                      .texts = GuaranteeChecker::Texts::Arbitrary,
                                      .idPrefix = group + "q"},
            &m_deployment.group(group));
    }
    return true;
}

// All ports are reserved before the first process starts.
bool Soak::prepareHosts(Reason *reason)
{
    PortReservation ports(&m_loop, m_options.address);
    for (int i = 0; i < m_options.hosts; ++i) {
        const std::string name = "h" + std::to_string(i);
        const Endpoint peers = ports.take();
        Host &host = *m_hosts.emplace_back(std::make_unique<Host>());
        host.callers = ports.take();
        host.store = std::make_unique<FaultProxy>(&m_loop, m_deployment.store());
        host.peers = std::make_unique<FaultProxy>(&m_loop, peers);
        if (!host.store->start(reason) || !host.peers->start(reason))
            return false;
        host.bootFile = m_options.work + "/" + name + ".conf";
        host.settings = m_deployment.bootFileText({.name = name,
                                                   .dataCentre = i % 3,
                                                   .callerEndpoint = host.callers,
                                                   .readinessEndpoint = ports.take(),
                                                   .peerPort = peers.port,
                                                   .storeEndpoint = host.store->endpoint()});
        writeSettings(&host);
        host.process = std::make_unique<HostProcess>(
            HostProcess::Options{.program = m_options.program,
                                 .bootFile = host.bootFile,
                                 .log = m_options.work + "/" + name + ".log"});
    }
    return true;
}

void Soak::startCallers()
{
    const std::vector<StandinDatabase> &databases = m_deployment.databases();
    for (int i = 0; i < m_options.callers; ++i) {
        const StandinDatabase &database = databases[static_cast<std::size_t>(i) % databases.size()];
        GuaranteeChecker *checker = m_groupChecks.at(database.group).checker.get();
        const std::size_t number = checker->addCaller(database.consistency);
        SoakCaller::Options caller{.database = database.name, .seed = m_random.next()};
        if (m_options.tenants > 0) {
            const int tenant = i % m_options.tenants;
            caller.key = StandinDeployment::tenantKey(tenant);
            checker->setTenant(number, StandinDeployment::tenantName(tenant), Millis(0));
        }
        m_callers.push_back(
            std::make_unique<SoakCaller>(&m_loop, std::move(caller), checker, number, [this] {
                return m_hosts[m_random.below(m_hosts.size())]->callers;
            }));
        SoakCaller *started = m_callers.back().get();
        m_loop.after(Millis(200 + 5 * i), [started] { started->start(); });
    }
}

// The faults begin 1.5 s after the start at the earliest, spread over two thirds of the duration,
// and last up to a quarter of it; several may be in effect at a time.
void Soak::scheduleFaults()
{
    const auto span = static_cast<std::uint64_t>(m_options.duration.count());
    constexpr auto Kinds = static_cast<std::uint64_t>(SoakFault::StoreRestored);
    const std::uint64_t count = 3 + m_random.below(1 + span / 1000);
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto fault = static_cast<SoakFault>(m_random.below(Kinds));
        const Millis when(1500 + static_cast<std::int64_t>(m_random.below(span * 2 / 3)));
        const Millis length(200 + static_cast<std::int64_t>(m_random.below(span / 4)));
        m_loop.after(when, [this, fault, length] { apply(fault, length); });
    }
    m_loop.after(m_options.duration, [this] { endFaults(); });
}

// From a source of its own, so that a seed has the same other faults with and without restores.
void Soak::scheduleRestores()
{
    constexpr std::uint64_t MaxAgeMs = 6000;
    Random random(hash64("restores", m_options.seed));
    const auto span = static_cast<std::uint64_t>(m_options.duration.count());
    const std::uint64_t count = 1 + random.below(3);
    for (std::uint64_t i = 0; i < count; ++i) {
        const Millis when(2500 + static_cast<std::int64_t>(random.below(span * 2 / 3)));
        const Millis age(static_cast<std::int64_t>(random.below(MaxAgeMs)));
        m_loop.after(when, [this, age] { restoreStore(age); });
    }
    m_loop.every(StoreCopyInterval, [this] { m_deployment.storeServer().keepCopy(); });
}

void Soak::refuseRestores()
{
    constexpr int RefusedShare = 5; // One in so many.
    m_report.faults.push_back("0 " + std::string(SoakFaultNames.name(SoakFault::RefusedRestores))
                              + " " + std::to_string(m_options.duration.count()));
    for (const std::string &id : m_deployment.instances())
        m_deployment.server(id).faults().refuseRestoresEvery = RefusedShare;
}

void Soak::restoreStore(Millis age)
{
    m_report.faults.push_back(std::to_string((now() - m_startedAt).count()) + " "
                              + std::string(SoakFaultNames.name(SoakFault::StoreRestored)) + " "
                              + std::to_string(age.count()));
    m_deployment.storeServer().faults().down = true;
    m_loop.after(StoreAbsence, [this, age] {
        m_deployment.storeServer().faults().down = false;
        m_deployment.putStoreBack(age);
    });
}

void Soak::apply(SoakFault fault, Millis length)
{
    m_report.faults.push_back(std::to_string((now() - m_startedAt).count()) + " "
                              + std::string(SoakFaultNames.name(fault)) + " "
                              + std::to_string(length.count()));
    if (fault <= SoakFault::ReloadHost || fault == SoakFault::AllHostsKilled)
        applyToHost(fault, length);
    else if (fault <= SoakFault::DelayedCommands)
        applyToInstance(fault, length);
    else if (fault >= SoakFault::DelayedLinks && fault <= SoakFault::PausedStore)
        applyToLinks(fault, length);
    else
        applyToStore(fault, length);
}

void Soak::applyToHost(SoakFault fault, Millis length)
{
    Host *host = m_hosts[m_random.below(m_hosts.size())].get();
    HostProcess *process = host->process.get();
    switch (fault) {
    case SoakFault::KillHost:
        host->mayRestart = false;
        process->signal(SIGKILL);
        m_loop.after(length, [host] { host->mayRestart = true; });
        return;
    case SoakFault::AllHostsKilled:
        for (const std::unique_ptr<Host> &entry : m_hosts)
            entry->process->signal(SIGKILL);
        return;
    case SoakFault::FreezeHost:
        process->signal(SIGSTOP);
        m_loop.after(length, [process] { process->signal(SIGCONT); });
        return;
    case SoakFault::StopHost:
        process->signal(SIGTERM);
        return;
    default:
        writeSettings(host);
        process->signal(SIGHUP);
        return;
    }
}

// Replaces the host's settings file as a whole. The grace period stays the same or gets shorter, in
// every form that the platform may use.
void Soak::writeSettings(Host *host)
{
    constexpr std::array GraceForms{"6", "5.5", "6.0", "0.6e1", ""};
    const std::string next = host->bootFile + ".next";
    std::ofstream(next) << host->settings << "bounds.grace_period_s="
                        << GraceForms[host->settingsWritten % GraceForms.size()] << '\n';
    ++host->settingsWritten;
    std::filesystem::rename(next, host->bootFile);
}

void Soak::applyToInstance(SoakFault fault, Millis length)
{
    const std::string id = randomInstance();
    InstanceServer *server = &m_deployment.server(id);
    const std::string group = id.substr(0, id.find('-'));
    switch (fault) {
    case SoakFault::CrashInstance:
        m_deployment.crash(id);
        m_loop.after(length, [this, id] { m_deployment.restart(id); });
        return;
    case SoakFault::LeavingInstance:
        m_deployment.leave(id);
        return;
    case SoakFault::SlowInstance:
        server->faults().extraStatementTime = Millis(40);
        m_loop.after(length, [server] { server->faults().extraStatementTime = Millis(0); });
        return;
    case SoakFault::FailingInstance:
        server->faults().failEvery = 4;
        m_loop.after(length, [server] { server->faults().failEvery = 0; });
        return;
    case SoakFault::LostAnswers:
        server->faults().loseAnswers = 5;
        return;
    case SoakFault::LaggingReplicas:
        m_deployment.setApplyDelay(group, Millis(800));
        m_loop.after(length, [this, group] { m_deployment.setApplyDelay(group, Millis(8)); });
        return;
    case SoakFault::IsolatedReplication:
        m_deployment.setReplicating(id, false);
        m_loop.after(length, [this, id] { m_deployment.setReplicating(id, true); });
        return;
    default:
        server->faults().commandDelay = Millis(1500);
        m_loop.after(length, [server] { server->faults().commandDelay = Millis(0); });
        return;
    }
}

void Soak::applyToLinks(SoakFault fault, Millis length)
{
    const Host &host = *m_hosts[m_random.below(m_hosts.size())];
    const bool peers = fault == SoakFault::PausedPeers || fault == SoakFault::ResetPeers;
    FaultProxy *proxy = instanceProxy(randomInstance());
    if (peers)
        proxy = host.peers.get();
    else if (fault == SoakFault::PausedStore)
        proxy = host.store.get();
    FaultProxy::Faults &faults = proxy->faults();
    switch (fault) {
    case SoakFault::ResetLinks:
    case SoakFault::ResetPeers:
        proxy->resetAll();
        return;
    case SoakFault::SilentLinks:
        proxy->silenceOpen();
        return;
    case SoakFault::DelayedLinks:
        faults.delay = Millis(120);
        break;
    case SoakFault::PausedOneWay:
        faults.pauseToClient = true;
        break;
    default:
        faults.pauseToServer = true;
        faults.pauseToClient = true;
        break;
    }
    m_loop.after(length, [proxy] { proxy->faults() = {}; });
}

void Soak::applyToStore(SoakFault fault, Millis length)
{
    StoreFaults &faults = m_deployment.storeServer().faults();
    switch (fault) {
    case SoakFault::DelayedPromotions:
        faults.promotionDelay = Millis(2500);
        break;
    case SoakFault::StoreDown:
        faults.down = true;
        break;
    case SoakFault::StoreNoResponse:
        faults.noResponse = true;
        break;
    case SoakFault::StoreSlow:
        faults.delay = Millis(400);
        break;
    case SoakFault::StoreLosesAnswers:
        faults.loseAnswers = 6;
        return;
    case SoakFault::StoreDropsHistory:
        m_deployment.storeServer().dropHistory();
        return;
    default:
        m_deployment.changeConfiguration();
        return;
    }
    m_loop.after(length, [this] { m_deployment.storeServer().faults() = {}; });
}

// Restarts processes that have ended, as the platform does.
void Soak::restartHosts()
{
    for (const std::unique_ptr<Host> &host : m_hosts) {
        if (!host->mayRestart || host->process->running())
            continue;
        host->mayRestart = false;
        m_loop.after(RestartDelay, [this, host = host.get()] {
            Reason reason;
            host->mayRestart = true;
            // The end of another fault may have allowed a restart meanwhile.
            if (!host->process->running() && !host->process->start(&reason))
                addViolation("a host cannot be restarted: " + reason.text());
        });
    }
}

// Checks that a host never goes back to an older configuration. Each version has a database of its
// own: a process that accepted a session for the database of one version must not accept one for
// that of an earlier version afterwards.
void Soak::probeConfiguration()
{
    const std::uint64_t newest = m_deployment.configurationVersion();
    const std::size_t index = m_random.below(m_hosts.size());
    const Host &host = *m_hosts[index];
    const std::uint64_t version = newest > 1 && m_random.below(2) == 0 ? newest - 1 : newest;
    const std::uint64_t servedBefore
        = host.servedIncarnation == host.process->incarnation() ? host.servedVersion : 0;
    probeDatabase(
        &m_loop, host.callers, StandinDeployment::versionDatabase(version),
        [=, this, incarnation = host.process->incarnation()](const std::optional<bool> &accepted) {
            onProbe(index, incarnation, servedBefore, version, accepted);
        });
}

void Soak::onProbe(std::size_t index, int incarnation, std::uint64_t servedBefore,
                   std::uint64_t version, std::optional<bool> accepted)
{
    Host &host = *m_hosts[index];
    if (!accepted.value_or(false) || incarnation != host.process->incarnation())
        return;
    if (version < servedBefore)
        addViolation("host " + std::to_string(index) + " went back from version "
                     + std::to_string(servedBefore) + " to " + std::to_string(version));
    const bool same = host.servedIncarnation == incarnation;
    host.servedVersion = same ? std::max(host.servedVersion, version) : version;
    host.servedIncarnation = incarnation;
}

// Ends the faults; those whose timers still run end by them.
void Soak::endFaults()
{
    m_deployment.storeServer().faults() = {};
    for (const std::string &id : m_deployment.instances()) {
        m_deployment.server(id).faults() = {};
        m_deployment.setReplicating(id, true);
        m_deployment.restart(id);
    }
    for (const std::string &group : m_deployment.groups())
        m_answeredBefore[group] = m_groupChecks.at(group).checker->report().answered;
    m_faultsEndedAt = now();
    checkRecovery();
}

// Checks whether the deployment has recovered: each group answers and acknowledges writes, and each
// host uses the newest configuration.
void Soak::checkRecovery()
{
    const bool groupsAnswer
        = std::all_of(m_groupChecks.begin(), m_groupChecks.end(), [this](const auto &row) {
              const GuaranteeReport &groupReport = row.second.checker->report();
              return groupReport.answered >= m_answeredBefore[row.first] + AnswersToRecover
                  && groupReport.lastWrite && *groupReport.lastWrite > m_faultsEndedAt;
          });
    const bool hostsServe = std::all_of(m_hosts.begin(), m_hosts.end(), [this](const auto &host) {
        return host->servedIncarnation == host->process->incarnation()
            && host->servedVersion == m_deployment.configurationVersion();
    });
    const bool timedOut = now() - m_faultsEndedAt > RecoveryLimit;
    if (timedOut && !groupsAnswer)
        addViolation("a group has not recovered");
    if (timedOut && !hostsServe)
        addViolation("a host does not serve the newest configuration");
    if (!timedOut && (!groupsAnswer || !hostsServe)) {
        m_loop.after(CheckInterval, [this] { checkRecovery(); });
        return;
    }
    for (const std::unique_ptr<SoakCaller> &caller : m_callers)
        caller->stop();
    finishWhenStopped();
}

void Soak::finishWhenStopped()
{
    const bool stopped = std::all_of(m_callers.begin(), m_callers.end(),
                                     [](const auto &caller) { return caller->stopped(); });
    if (!stopped && now() - m_faultsEndedAt < RecoveryLimit * 2) {
        m_loop.after(CheckInterval, [this] { finishWhenStopped(); });
        return;
    }
    for (auto &row : m_groupChecks)
        row.second.checker->checkFinalState(now());
    for (const std::unique_ptr<Host> &host : m_hosts) {
        if (!host->process->unexpectedEnd().empty())
            addViolation("a host's process ended unexpectedly: " + host->process->unexpectedEnd());
    }
    m_loop.stop();
}

// Any instance; in half of the calls a primary, if there is one.
std::string Soak::randomInstance()
{
    if (m_random.below(2) == 0) {
        const std::vector<std::string> groups = m_deployment.groups();
        std::string primary = m_deployment.primary(groups[m_random.below(groups.size())]);
        if (!primary.empty())
            return primary;
    }
    const std::vector<std::string> ids = m_deployment.instances();
    return ids[m_random.below(ids.size())];
}

// A successor listens at its predecessor's address and is reached through the same proxy. Its id is
// the predecessor's with an "n" appended.
FaultProxy *Soak::instanceProxy(const std::string &instance)
{
    const std::string first = instance.substr(0, instance.find('n'));
    return m_instanceProxies.at(first).get();
}

void Soak::addViolation(const std::string &text)
{
    m_report.violations.push_back(std::to_string((now() - m_startedAt).count()) + " ms: " + text);
}

void Soak::onRead(const std::string &group, const GroupInstance &instance,
                  const InstanceConnection &connection, const Statement &statement)
{
    m_groupChecks.at(group).checker->onRead(instance, connection, statement, now());
}

void Soak::onWrite(const std::string &group, const GroupInstance &instance,
                   const InstanceConnection &connection, const Statement &statement)
{
    static_cast<void>(instance);
    m_groupChecks.at(group).checker->onWrite(connection, statement, now());
}

void Soak::onOther(const std::string &group, const InstanceConnection &connection,
                   const Statement &statement)
{
    m_groupChecks.at(group).checker->onOther(connection, statement, now());
}

void Soak::onPromoted(const std::string &group, const GroupInstance &newPrimary)
{
    ++m_report.promotions;
    m_groupChecks.at(group).checker->onPromoted(newPrimary, now());
}

void Soak::onPromotionRequest(const StoreServer::PromotionRequest &promotion)
{
    std::map<std::uint64_t, std::string> &holders = m_groupChecks.at(promotion.group).tokenHolders;
    const std::string &holder
        = holders.emplace(promotion.fencingToken, promotion.holder).first->second;
    if (holder != promotion.holder)
        addViolation("two hosts used one fencing token");
    if (!m_options.fencedPromotions && promotion.fencingToken < holders.rbegin()->first)
        addViolation("a fencing token went down");
}

} // namespace cicadagap
