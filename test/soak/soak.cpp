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
constexpr Millis ProbeInterval(40);
// Longer than a process that was told to stop may take; its successor's start counts anew.
constexpr Millis LongestStop(10'000);
// A deployment that has not recovered this long after the faults ended is taken never to recover.
constexpr Millis RecoveryLimit(60'000);
constexpr int AnswersToRecover = 30; // Of each group.

// How the customers' deployments bound a change of the configuration.
struct ConfigurationBounds
{
    Millis bound;
    Millis stableTime;
};

ConfigurationBounds configurationBounds(const SoakOptions &options)
{
    constexpr std::array Deployments{
        ConfigurationBounds{.bound = Millis(3000), .stableTime = Millis(5000)},
        ConfigurationBounds{.bound = Millis(3000), .stableTime = Millis(4000)},
        ConfigurationBounds{.bound = Millis(5000), .stableTime = Millis(6000)}};
    return Deployments[options.seed % Deployments.size()];
}

std::string hostName(std::size_t index)
{
    return "h" + std::to_string(index);
}

int dataCentreOf(std::size_t host)
{
    constexpr std::size_t DataCentres = 3;
    return static_cast<int>(host % DataCentres);
}

ConfigurationCheck::Options checkOptions(const SoakOptions &options)
{
    const ConfigurationBounds bounds = configurationBounds(options);
    return {.hosts = static_cast<std::size_t>(options.hosts),
            .bound = bounds.bound,
            .stableTime = bounds.stableTime};
}

StandinDeployment::Options deploymentOptions(const SoakOptions &options)
{
    return {.groups = options.groups,
            .tenants = options.tenants,
            .connections = static_cast<std::size_t>(options.connections),
            .fencedPromotions = options.fencedPromotions,
            .configurationBound = configurationBounds(options).bound,
            .address = options.address};
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_loop({.threads = 1})
    , m_deployment(&m_loop, deploymentOptions(m_options), this)
    , m_configurationCheck(checkOptions(m_options))
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
    m_report.configurationAnswersJudged = m_configurationCheck.judged();
    m_report.configurationDelays = m_configurationCheck.longestDelays();
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
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!startHost(i, reason))
            return false;
    }
    startCallers();
    startStorms();
    const bool storms
        = m_options.storms == StormSchedule::Rounds || m_options.storms == StormSchedule::Idle;
    if (!storms)
        scheduleFaults();
    m_loop.after(m_options.duration, [this] { endFaults(); });
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
        const std::string name = hostName(static_cast<std::size_t>(i));
        const Endpoint peers = ports.take();
        const std::optional<Endpoint> store = m_deployment.storeServer().listenFor(
            name, {.address = m_options.address, .port = 0}, reason);
        if (!store)
            return false;
        Host &host = *m_hosts.emplace_back(std::make_unique<Host>());
        host.callers = ports.take();
        host.store = std::make_unique<FaultProxy>(&m_loop, *store);
        host.peers = std::make_unique<FaultProxy>(&m_loop, peers);
        if (!host.store->start(reason) || !host.peers->start(reason))
            return false;
        host.bootFile = m_options.work + "/" + name + ".conf";
        host.settings
            = m_deployment.bootFileText({.name = name,
                                         .dataCentre = dataCentreOf(static_cast<std::size_t>(i)),
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
    // Beside storms there are fewer, as hosts are judged only while they are in touch.
    const Millis interval(m_options.storms == StormSchedule::None ? 1000 : 5000);
    const std::uint64_t count
        = 3 + m_random.below(1 + span / static_cast<std::uint64_t>(interval.count()));
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto fault = static_cast<SoakFault>(m_random.below(Kinds));
        const Millis when(1500 + static_cast<std::int64_t>(m_random.below(span * 2 / 3)));
        const Millis length(200 + static_cast<std::int64_t>(m_random.below(span / 4)));
        m_loop.after(when, [this, fault, length] { apply(fault, length); });
    }
}

void Soak::startStorms()
{
    std::vector<StoreStorms::Host> hosts;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        hosts.push_back({.name = hostName(i),
                         .dataCentre = StandinDeployment::dataCentreName(dataCentreOf(i)),
                         .store = m_hosts[i]->store.get()});
    m_storms = std::make_unique<StoreStorms>(
        &m_loop, &m_deployment, &m_configurationCheck, std::move(hosts),
        StoreStorms::Options{
            .schedule = m_options.storms, .seed = m_options.seed, .duration = m_options.duration},
        [this](const std::string &text) { reportFault(text); });
    m_configurationCheck.onAcknowledged(now(), m_deployment.configurationVersion(),
                                        m_storms->label());
    m_storms->start();
}

void Soak::reportFault(const std::string &text)
{
    m_report.faults.push_back(std::to_string((now() - m_startedAt).count()) + " " + text);
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
    reportFault(std::string(SoakFaultNames.name(SoakFault::StoreRestored)) + " "
                + std::to_string(age.count()));
    m_configurationCheck.disruptAll(now(), now() + StoreAbsence + StandinDeployment::RefillTime);
    m_deployment.storeServer().faults().down = true;
    m_loop.after(StoreAbsence, [this, age] {
        m_deployment.storeServer().faults().down = false;
        m_deployment.putStoreBack(age);
    });
}

void Soak::apply(SoakFault fault, Millis length)
{
    reportFault(std::string(SoakFaultNames.name(fault)) + " " + std::to_string(length.count()));
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
    const std::size_t index = m_random.below(m_hosts.size());
    Host *host = m_hosts[index].get();
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
        m_configurationCheck.disrupt(index, now(), now() + length);
        process->signal(SIGSTOP);
        m_loop.after(length, [process] { process->signal(SIGCONT); });
        return;
    case SoakFault::StopHost:
        m_configurationCheck.disrupt(index, now(), now() + LongestStop);
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
    const std::size_t index = m_random.below(m_hosts.size());
    const Host &host = *m_hosts[index];
    const bool peers = fault == SoakFault::PausedPeers || fault == SoakFault::ResetPeers;
    FaultProxy *proxy = instanceProxy(randomInstance());
    if (peers)
        proxy = host.peers.get();
    else if (fault == SoakFault::PausedStore)
        proxy = host.store.get();
    if (peers || fault == SoakFault::PausedStore)
        m_configurationCheck.disrupt(index, now(), now() + length);
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
    const bool disrupts = fault >= SoakFault::StoreDown && fault <= SoakFault::StoreLosesAnswers;
    if (disrupts)
        m_configurationCheck.disruptAll(now(), now() + length);
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
        m_storms->changeConfiguration();
        return;
    }
    m_loop.after(length, [this] { m_deployment.storeServer().faults() = {}; });
}

// Restarts processes that have ended, as the platform does.
void Soak::restartHosts()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Host *host = m_hosts[i].get();
        if (!host->mayRestart || host->process->running())
            continue;
        host->mayRestart = false;
        m_loop.after(RestartDelay, [this, host, i] {
            Reason reason;
            host->mayRestart = true;
            // The end of another fault may have allowed a restart meanwhile.
            if (!host->process->running() && !startHost(i, &reason))
                addViolation("a host cannot be restarted: " + reason.text());
        });
    }
}

bool Soak::startHost(std::size_t index, Reason *reason)
{
    m_configurationCheck.disrupt(index, now(), now());
    return m_hosts[index]->process->start(reason);
}

// Asks each host for the database of the newest configuration, and for that of the one which it is
// known to use.
void Soak::probeConfiguration()
{
    const std::uint64_t newest = m_deployment.configurationVersion();
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const std::uint64_t served
            = m_configurationCheck.servedVersion(i, m_hosts[i]->process->incarnation());
        probe(i, newest);
        if (served > 0 && served < newest)
            probe(i, served);
    }
}

void Soak::probe(std::size_t index, std::uint64_t version)
{
    const Host &host = *m_hosts[index];
    const int incarnation = host.process->incarnation();
    const ConfigurationCheck::Probe sent{.host = index,
                                         .incarnation = incarnation,
                                         .version = version,
                                         .sentAt = now(),
                                         .servedBefore
                                         = m_configurationCheck.servedVersion(index, incarnation)};
    probeDatabase(&m_loop, host.callers, StandinDeployment::versionDatabase(version),
                  [this, sent](const std::optional<bool> &accepted) {
                      if (!accepted
                          || sent.incarnation != m_hosts[sent.host]->process->incarnation())
                          return;
                      const std::optional<std::string> violation
                          = m_configurationCheck.onAnswer(now(), sent, *accepted);
                      if (violation)
                          addViolation(*violation);
                  });
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
    bool hostsServe = true;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        hostsServe = hostsServe
            && m_configurationCheck.servedVersion(i, m_hosts[i]->process->incarnation())
                == m_deployment.configurationVersion();
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
