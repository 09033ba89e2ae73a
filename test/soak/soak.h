// The soak test: runs session servers as separate processes against a stand-in deployment, while
// faults that are drawn from a seed, one after another or overlapping, are injected. A
// GuaranteeChecker for each group checks what callers were told against what the instances ran.
#pragma once

#include "configurationcheck.h"
#include "faultproxy.h"
#include "guaranteechecker.h"
#include "hostprocess.h"
#include "soakcaller.h"
#include "standindeployment.h"
#include "storestorms.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// The faults. Links are the connections to one instance; peers are the other hosts' connections to
// one host; Store... concerns the platform's store.
enum class SoakFault {
    KillHost,
    FreezeHost,
    StopHost,
    ReloadHost,
    CrashInstance,
    LeavingInstance,
    SlowInstance,
    FailingInstance,
    LostAnswers,
    LaggingReplicas,
    IsolatedReplication,
    DelayedCommands,
    DelayedPromotions,
    DelayedLinks,
    PausedLinks,
    PausedOneWay,
    ResetLinks,
    SilentLinks,
    PausedPeers,
    ResetPeers,
    PausedStore,
    StoreDown,
    StoreNoResponse,
    StoreSlow,
    StoreLosesAnswers,
    StoreDropsHistory,
    ConfigurationChange,
    AllHostsKilled,
    StoreRestored,   // Only with SoakOptions::restores.
    RefusedRestores, // Only with SoakOptions::refusals.
};

inline constexpr NameTable<SoakFault, 30> SoakFaultNames{{{
    {SoakFault::KillHost, "kill-host"},
    {SoakFault::FreezeHost, "freeze-host"},
    {SoakFault::StopHost, "stop-host"},
    {SoakFault::ReloadHost, "reload-host"},
    {SoakFault::CrashInstance, "crash-instance"},
    {SoakFault::LeavingInstance, "leaving-instance"},
    {SoakFault::SlowInstance, "slow-instance"},
    {SoakFault::FailingInstance, "failing-instance"},
    {SoakFault::LostAnswers, "lost-answers"},
    {SoakFault::LaggingReplicas, "lagging-replicas"},
    {SoakFault::IsolatedReplication, "unlinked-instance"},
    {SoakFault::DelayedCommands, "late-orders"},
    {SoakFault::DelayedPromotions, "late-promotions"},
    {SoakFault::DelayedLinks, "delayed-links"},
    {SoakFault::PausedLinks, "held-links"},
    {SoakFault::PausedOneWay, "held-one-way"},
    {SoakFault::ResetLinks, "reset-links"},
    {SoakFault::SilentLinks, "silent-links"},
    {SoakFault::PausedPeers, "held-peers"},
    {SoakFault::ResetPeers, "reset-peers"},
    {SoakFault::PausedStore, "held-store"},
    {SoakFault::StoreDown, "store-down"},
    {SoakFault::StoreNoResponse, "store-mute"},
    {SoakFault::StoreSlow, "store-slow"},
    {SoakFault::StoreLosesAnswers, "store-loses-answers"},
    {SoakFault::StoreDropsHistory, "store-forgets"},
    {SoakFault::ConfigurationChange, "configuration-change"},
    {SoakFault::AllHostsKilled, "all-hosts-killed"},
    {SoakFault::StoreRestored, "store-restored"},
    {SoakFault::RefusedRestores, "refused-restores"},
}}};

struct SoakOptions
{
    std::uint64_t seed = 1;
    int hosts = 4;
    int groups = 2;
    int callers = 36;
    int tenants = 0;      // Whose keys callers show by turns; 0 if they need none.
    int connections = 22; // That an instance accepts; with few, hosts relay through gateways.
    bool fencedPromotions = true; // See StandinDeployment::Options.
    // Besides the other faults, the store comes back from an older copy of itself, once to three
    // times.
    bool restores = false;
    // Besides the other faults, all instances refuse some of the statements that restore a
    // session's state, from the start until the faults end.
    bool refusals = false;
    // Besides the other faults if drawn, otherwise in their place: the store turns hosts away while
    // the configuration changes quickly.
    StormSchedule storms = StormSchedule::None;
    // Faults begin 1.5 s after the start at the earliest, spread over two thirds of this time.
    Millis duration = Millis(15'000);
    std::string address = "127.0.0.1"; // Of all listeners; simultaneous runs need different ones.
    std::string program;               // The path of the session server.
    std::string work;                  // The directory for boot files and logs.
};

struct SoakReport
{
    std::vector<std::string> violations;
    std::map<BrokenRule, int> broken;
    std::vector<std::string> faults;
    int answered = 0;
    int refused = 0;
    int uncertain = 0; // Statements that may have run.
    int replicaReads = 0;
    int promotions = 0;
    int configurations = 0;
    int configurationAnswersJudged = 0;
    std::map<std::string, Millis> configurationDelays; // See ConfigurationCheck::longestDelays().
    Millis longestWriteGap; // Longest time without an acknowledged write, in any group.
};

class Soak : private DeploymentObserver
{
public:
    explicit Soak(SoakOptions options);
    ~Soak() override;

    // Runs the test with the seed; false and a reason if it cannot start. Call once.
    bool run(SoakReport *report, Reason *reason);

private:
    struct Host
    {
        std::unique_ptr<FaultProxy> store; // Through which it reaches the platform.
        std::unique_ptr<FaultProxy> peers; // Through which other hosts reach it.
        std::unique_ptr<HostProcess> process;
        Endpoint callers;
        std::string bootFile;            // The path of its settings file,
        std::string settings;            // what it holds but for the grace period,
        std::size_t settingsWritten = 0; // and how often it was written.
        bool mayRestart = true; // False while it is to stay down, or a restart is scheduled.
    };

    // The checks of one group.
    struct GroupCheck
    {
        std::unique_ptr<GuaranteeChecker> checker;
        std::map<std::uint64_t, std::string> tokenHolders; // Hosts by fencing token.
    };

    void onRead(const std::string &group, const GroupInstance &instance,
                const InstanceConnection &connection, const Statement &statement) override;
    void onWrite(const std::string &group, const GroupInstance &instance,
                 const InstanceConnection &connection, const Statement &statement) override;
    void onOther(const std::string &group, const InstanceConnection &connection,
                 const Statement &statement) override;
    void onPromoted(const std::string &group, const GroupInstance &newPrimary) override;
    void onPromotionRequest(const StoreServer::PromotionRequest &promotion) override;

    bool start(Reason *reason);
    bool startInstances(Reason *reason);
    bool prepareHosts(Reason *reason);
    void startCallers();
    void scheduleFaults();
    void scheduleRestores();
    void refuseRestores();
    void startStorms();
    void restoreStore(Millis age);
    void apply(SoakFault fault, Millis length);
    static void writeSettings(Host *host);
    void applyToHost(SoakFault fault, Millis length);
    void applyToInstance(SoakFault fault, Millis length);
    void applyToLinks(SoakFault fault, Millis length);
    void applyToStore(SoakFault fault, Millis length);
    void restartHosts();
    bool startHost(std::size_t index, Reason *reason);
    void probeConfiguration();
    void probe(std::size_t index, std::uint64_t version);
    void reportFault(const std::string &text);
    void endFaults();
    void checkRecovery();
    void finishWhenStopped();
    std::string randomInstance();
    FaultProxy *instanceProxy(const std::string &instance);
    void addViolation(const std::string &text);
    Millis now() const { return m_clock.now(); }

    SoakOptions m_options;
    Random m_random;
    SteadyClock m_clock;
    EventLoop m_loop;
    StandinDeployment m_deployment;
    ConfigurationCheck m_configurationCheck;
    std::unique_ptr<StoreStorms> m_storms;
    std::vector<std::unique_ptr<Host>> m_hosts;
    // By the id of the first instance at the address.
    std::map<std::string, std::unique_ptr<FaultProxy>> m_instanceProxies;
    std::map<std::string, GroupCheck> m_groupChecks;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::map<std::string, int> m_answeredBefore; // By group, when the faults ended.
    SoakReport m_report;
    Millis m_startedAt;
    Millis m_faultsEndedAt;
};

} // namespace cicadagap
