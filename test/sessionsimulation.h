// A deterministic simulation for SessionEngine, in simulated time: hosts, one semi-synchronously
// replicated group, the platform's store and promotion service, callers, and injected faults. All
// random choices are drawn from a seed. A GuaranteeChecker checks what callers were told against
// what the instances ran.
#pragma once

#include "base/millis.h"
#include "base/names.h"

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// The faults that can be injected. Most last for a random time. FaultNames has their names.
enum class SimulatedFault {
    CrashPrimary,    // The primary's connections break; it comes back with its log.
    SilencePrimary,  // The primary neither receives nor sends anything.
    RestartReplica,  // A replica's process restarts at once, sometimes with an empty log.
    CutHost,         // One host and one instance cannot reach each other.
    LagReplicas,     // Replicas apply entries 1 s after they received them.
    LoseAnswers,     // Some statements run, and their connections break before the answer.
    DelayCommands,   // Some commands get no response and are carried out seconds later.
    DelayPromotions, // Some promotions get no response and are carried out seconds later.
    LeavePrimary,    // The primary announces that it leaves and is replaced by a new instance.
    KillHost,        // A host's process is killed and started again at once.
    FreezeHost,      // A host's process is suspended.
    StoreDown,       // The store does not answer.
    SplitPrimary,    // The primary is cut off from its replicas and from some hosts.
    CutReplica,      // One replica receives nothing from the primary.
    RestoreStore,    // The store is away for a moment, and comes back from an older copy of itself.
    UnlistReplica,   // A replica's entry is missing from the store, while it goes on receiving.
    LeaveReplica,    // A new replica starts; another one leaves, and its log goes with it.
    RefuseRestores,  // Some statements that restore a session's state fail without effect.
};

inline constexpr NameTable<SimulatedFault, 18> FaultNames{{{
    {SimulatedFault::CrashPrimary, "crash-primary"},
    {SimulatedFault::SilencePrimary, "silence-primary"},
    {SimulatedFault::RestartReplica, "restart-replica"},
    {SimulatedFault::CutHost, "cut-host"},
    {SimulatedFault::LagReplicas, "lag-replicas"},
    {SimulatedFault::LoseAnswers, "lose-answers"},
    {SimulatedFault::DelayCommands, "delay-commands"},
    {SimulatedFault::DelayPromotions, "delay-promotions"},
    {SimulatedFault::LeavePrimary, "leave-primary"},
    {SimulatedFault::KillHost, "kill-host"},
    {SimulatedFault::FreezeHost, "freeze-host"},
    {SimulatedFault::StoreDown, "store-down"},
    {SimulatedFault::SplitPrimary, "split-primary"},
    {SimulatedFault::CutReplica, "cut-replica"},
    {SimulatedFault::RestoreStore, "restore-store"},
    {SimulatedFault::UnlistReplica, "unlist-replica"},
    {SimulatedFault::LeaveReplica, "leave-replica"},
    {SimulatedFault::RefuseRestores, "refuse-restores"},
}}};

struct SimulationOptions
{
    std::uint64_t seed = 1;
    int hosts = 3;
    int sessionsPerHost = 6;
    int maxConnections = 22; // That an instance accepts; with few, hosts relay through gateways.
    Millis duration = Millis(20'000); // Faults begin between 1 s and half of it plus 1 s.
    // The platform checks fencing tokens; if not, a replaced primary goes on leading for a while.
    bool fencedPromotions = true;
    // Hosts act as if the platform checked fencing tokens, to show what that breaks.
    bool hostsIgnoreMissingFence = false;
    // Callers show keys of three tenants. At times that no seed changes some keys are withdrawn and
    // some moved to another tenant, and later the former ones come back.
    bool tenants = false;
    // Hosts open connections in the name of another tenant, to show that it is noticed.
    bool hostsSwapTenants = false;
    // Hosts go on with the first keys, to show that it is noticed.
    bool hostsForgetKeyChanges = false;
    std::vector<SimulatedFault> faults; // Each is injected once, at a random time.
    // Callers choose the texts of CallerTexts. If not, the seeds stand for the same runs as ever.
    bool arbitraryTexts = false;
    // Gets a line for each fault, command, promotion and event of a group; null for none.
    std::ostream *trace = nullptr;
};

struct SimulationReport
{
    std::vector<std::string> violations;
    int answered = 0;
    int refused = 0;
    int uncertain = 0; // Statements that may have run.
    int promotions = 0;
    int replicaReads = 0;
    Millis longestWriteGap;      // Longest time between two acknowledged writes.
    bool servesAtTheEnd = false; // A write was acknowledged in the last second.
};

// Runs one simulation to its end.
SimulationReport runSimulation(const SimulationOptions &options);

} // namespace cicadagap
