// The workloads of the two customers, by name.
#pragma once

#include "base/millis.h"
#include "base/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// One kind of request that callers send.
struct WorkloadOperation
{
    std::string statement; // A statement name of the team's settings.
    std::string className;
    bool write = false;
    bool hasRequestId = false; // It has a request id, so that its outcome can be queried.
    int weight = 1;            // Its share is its weight divided by the sum of all weights.
};

// The requests of one customer and the settings that they need.
struct Workload
{
    std::string name;
    std::string team;
    std::vector<std::string> groups;
    std::vector<WorkloadOperation> operations;
    Millis thinkTime = Millis(50); // The mean pause of a session between two requests.
    std::string settings; // The team's settings, with %ADDRESS:n% for the address of instance n.
};

// Returns the workload "cooperativa" or "ashgrove", or std::nullopt for another name.
std::optional<Workload> workloadNamed(const std::string &name);
// Returns the workload's settings with the addresses of the instances filled in. `addresses` has
// three for each group, in the order of the groups.
std::string settingsFor(const Workload &workload, const std::vector<std::string> &addresses);

} // namespace cicadagap
