// The two users' workloads by name, and the rows of one run.
#pragma once

#include "base/millis.h"
#include "base/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// One kind of request that callers make.
struct Operation
{
    std::string statement; // As declared in the team's settings.
    std::string className;
    bool write = false;
    bool marked = false; // Carries a request id.
    int weight = 1;      // Share among the workload's operations.
};

struct Workload
{
    std::string name;
    std::string team;
    std::vector<std::string> groups;
    std::vector<Operation> operations;
    Millis think = Millis(50); // Mean time between a session's requests.
    std::string settings;      // The team's settings; %ADDRESS:n% stands for instance n's address.
};

// "cooperativa" or "ashgrove"; nothing for another name.
std::optional<Workload> workloadNamed(const std::string &name);
// The settings with the instances' addresses filled in, three for each group.
std::string settingsFor(const Workload &workload, const std::vector<std::string> &addresses);

} // namespace cicadagap
