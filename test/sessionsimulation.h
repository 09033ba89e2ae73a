// A small world in virtual time for SessionEngine: hosts, one semi-synchronously replicated group,
// the platform's store and promotion service, callers, and failures drawn from a seed. It checks
// what callers were told against what the instances did.
#pragma once

#include "base/millis.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// Failures that a schedule may draw.
enum class SimulatedFault {
    CrashPrimary,   // Its connections break; it comes back with its log.
    SilencePrimary, // Nothing reaches or leaves it for a while.
    RestartReplica, // Its process restarts at once; at times with an empty log.
    CutHost,        // One host and one instance do not reach each other.
    LagReplicas,    // Replicas apply seconds late.
    LoseAnswers,    // Statements run and their answers are lost.
    LateOrders,     // Orders get no answer and are carried out seconds later.
    LatePromotions, // Promotions get no answer and are carried out seconds later.
    LeavePrimary,   // The primary announces that it leaves, goes, and a new instance comes.
    KillHost,       // A host's process is killed and starts again.
    FreezeHost,     // A host stands still.
    StoreDown,      // The store answers nothing.
};

struct SimulationOptions
{
    std::uint64_t seed = 1;
    int hosts = 3;
    int sessionsPerHost = 6;
    int maxConnections = 22; // Of an instance; few of them make hosts relay through gateways.
    Millis duration = Millis(20'000);   // Failures end before the last quarter.
    std::vector<SimulatedFault> faults; // In order, at random moments.
};

struct SimulationReport
{
    std::vector<std::string> violations;
    int answered = 0;
    int refused = 0;
    int uncertain = 0; // Writes that may have run.
    int promotions = 0;
    int replicaReads = 0;
    Millis longestWriteGap; // Between two acknowledged writes.
    bool servesAtTheEnd = false;
};

SimulationReport runSimulation(const SimulationOptions &options);

} // namespace cicadagap
