// The fault soak: session servers as separate processes against the stand-in deployment, with
// failures from a seed that come in series and overlap. What callers and instances see is checked
// while it runs.
#pragma once

#include "faultproxy.h"
#include "guaranteechecker.h"
#include "hostprocess.h"
#include "soakcaller.h"
#include "standindeployment.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

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
    UnlinkedInstance,
    LateOrders,
    LatePromotions,
    DelayedLinks,
    HeldLinks,
    HeldOneWay,
    ResetLinks,
    SilentLinks,
    HeldPeers,
    ResetPeers,
    HeldStore,
    StoreDown,
    StoreMute,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets,
    ConfigurationChange,
    AllHostsKilled,
};

inline constexpr NameTable<SoakFault, 28> SoakFaultNames{{{
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
    {SoakFault::UnlinkedInstance, "unlinked-instance"},
    {SoakFault::LateOrders, "late-orders"},
    {SoakFault::LatePromotions, "late-promotions"},
    {SoakFault::DelayedLinks, "delayed-links"},
    {SoakFault::HeldLinks, "held-links"},
    {SoakFault::HeldOneWay, "held-one-way"},
    {SoakFault::ResetLinks, "reset-links"},
    {SoakFault::SilentLinks, "silent-links"},
    {SoakFault::HeldPeers, "held-peers"},
    {SoakFault::ResetPeers, "reset-peers"},
    {SoakFault::HeldStore, "held-store"},
    {SoakFault::StoreDown, "store-down"},
    {SoakFault::StoreMute, "store-mute"},
    {SoakFault::StoreSlow, "store-slow"},
    {SoakFault::StoreLosesAnswers, "store-loses-answers"},
    {SoakFault::StoreForgets, "store-forgets"},
    {SoakFault::ConfigurationChange, "configuration-change"},
    {SoakFault::AllHostsKilled, "all-hosts-killed"},
}}};

struct SoakOptions
{
    std::uint64_t seed = 1;
    int hosts = 4;
    int groups = 2;
    int callers = 36;
    int connections = 22; // Of an instance; few of them make hosts relay through gateways.
    Millis duration = Millis(15'000);  // Failures begin no later than after two thirds of it.
    std::string address = "127.0.0.1"; // Of everything; its own for each run at the same time.
    std::string program;               // The session server.
    std::string work;                  // A directory for settings and logs.
};

struct SoakReport
{
    std::vector<std::string> violations;
    std::vector<std::string> faults;
    int answered = 0;
    int refused = 0;
    int uncertain = 0;
    int replicaReads = 0;
    int promotions = 0;
    int configurations = 0;
    Millis longestWriteGap;
};

class Soak : private DeploymentObserver
{
public:
    explicit Soak(SoakOptions options);
    ~Soak() override;

    // Plays one seed; false and a reason if it cannot start.
    bool play(SoakReport *report, Reason *reason);

private:
    struct Host
    {
        std::unique_ptr<FaultProxy> store; // Its way to the platform.
        std::unique_ptr<FaultProxy> peers; // Other hosts' way to it.
        std::unique_ptr<HostProcess> process;
        Endpoint callers;
        bool mayRun = true;
        std::uint64_t seenVersion = 0; // Highest version whose database this process served.
        int seenIncarnation = 0;
    };

    // A group's callers and what they were promised.
    struct GroupCheck
    {
        std::unique_ptr<GuaranteeChecker> checker;
        std::map<std::uint64_t, std::string> tokenHolders;
    };

    void onRead(const std::string &group, const GroupInstance &instance,
                const InstanceConnection &connection, const Statement &statement) override;
    void onWrite(const std::string &group, const GroupInstance &instance,
                 const InstanceConnection &connection, const Statement &statement) override;
    void onPromoted(const std::string &group, const GroupInstance &newPrimary) override;
    void onPromotionOrder(const StoreServer::PromotionOrder &order) override;

    bool start(Reason *reason);
    bool startInstances(Reason *reason);
    bool prepareHosts(Reason *reason);
    void startCallers();
    void scheduleFaults();
    void apply(SoakFault fault, Millis length);
    void applyToHost(SoakFault fault, Millis length);
    void applyToInstance(SoakFault fault, Millis length);
    void applyToLinks(SoakFault fault, Millis length);
    void applyToStore(SoakFault fault, Millis length);
    void watchHosts();
    void probeConfigurations();
    void onProbe(std::size_t host, int incarnation, std::uint64_t seen, std::uint64_t version,
                 std::optional<bool> accepted);
    void endFaults();
    void waitForRecovery();
    void finish();
    std::string anyInstance();
    FaultProxy *instanceProxy(const std::string &instance);
    void violate(const std::string &text);
    Millis now() const { return m_clock.now(); }

    SoakOptions m_options;
    Random m_random;
    SteadyClock m_clock;
    EventLoop m_loop;
    StandinDeployment m_deployment;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_instanceProxies; // By first id.
    std::map<std::string, GroupCheck> m_checks;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::map<std::string, int> m_answeredBefore; // By group, when the failures ended.
    SoakReport m_report;
    Millis m_startedAt;
    Millis m_faultsEndedAt;
};

} // namespace cicadagap
