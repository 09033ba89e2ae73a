#include "workload.h"

#include <array>

namespace cicadagap {

namespace {

constexpr std::size_t InstancesPerGroup = 3;

// What the settings of all groups of a workload have in common.
struct GroupLayout
{
    std::array<std::string_view, 3> dataCentres;
    int slots;
    int connections;
};

// Returns the members of "groups" in the team's settings.
std::string groupsText(const std::vector<std::string> &groups, const GroupLayout &layout)
{
    std::string text;
    for (std::size_t g = 0; g < groups.size(); ++g) {
        text += "        \"" + groups[g] + "\": {\n            \"instances\": {\n";
        for (std::size_t i = 0; i < InstancesPerGroup; ++i) {
            const std::string number = std::to_string(g * InstancesPerGroup + i + 1);
            text += "                \"t" + number;
            text += "\": {\"address\": \"%ADDRESS:" + number;
            text += "%\", \"dataCentre\": \"" + std::string(layout.dataCentres.at((g + i) % 3));
            text += "\"},\n";
        }
        text += "            },\n            \"slots\": " + std::to_string(layout.slots)
            + ", \"connections\": " + std::to_string(layout.connections) + "\n        },\n";
    }
    return text;
}

Workload cooperativa()
{
    Workload workload;
    workload.name = "cooperativa";
    workload.team = "valle";
    workload.groups = {"tensile-cali", "tensile-medellin", "tensile-bogota"};
    workload.operations = {{"pull.log", "entry", true, true, 3},
                           {"pull.read", "entry", false, false, 3},
                           {"certificate.check", "check", false, false, 3},
                           {"audit.review", "audit", false, false, 1}};
    const GroupLayout layout{{"cali", "medellin", "bogota"}, 3, 20};
    workload.settings = R"({
    "team": "valle",
    "groups": {
)" + groupsText(workload.groups, layout)
        + R"(    },
    "statements": {
        "pull.log": {"kind": "write", "class": "entry", "neverRepeat": true},
        "pull.read": {"kind": "read", "class": "entry"},
        "certificate.check": {"kind": "read", "class": "check", "maxAgeMs": 5000},
        "audit.review": {"kind": "read", "class": "audit", "maxAgeMs": 60000},
    },
    "classes": {
        "entry": {"priority": "top", "reservedSlots": 1},
        "check": {"weight": 3},
        "audit": {"weight": 1},
    },
    "objectives": {
        "entry": {"latencyMs": 250, "goodPercent": 99.9},
        "check": {"latencyMs": 500, "goodPercent": 99},
    },
    "timeouts": {"statementMs": 8000},
    "tokenKeys": ["valle-key-2", "valle-key-1"],
}
)";
    return workload;
}

Workload ashgrove()
{
    Workload workload;
    workload.name = "ashgrove";
    workload.team = "ashgrove";
    workload.groups = {"batches-vermont", "batches-newhampshire", "batches-maine"};
    workload.operations = {{"batch.post", "yard", true, true, 2},
                           {"batch.read", "yard", false, false, 2},
                           {"burn.history", "history", false, false, 4},
                           {"yield.reconcile", "reconciliation", false, false, 2}};
    const GroupLayout layout{{"vermont", "newhampshire", "maine"}, 5, 55};
    workload.settings = R"({
    "team": "ashgrove",
    "groups": {
)" + groupsText(workload.groups, layout)
        + R"(    },
    "statements": {
        "batch.post": {"kind": "write", "class": "yard", "neverRepeat": true},
        "batch.read": {"kind": "read", "class": "yard"},
        "burn.history": {"kind": "read", "class": "history", "maxAgeMs": 10000},
        "yield.reconcile": {"kind": "read", "class": "reconciliation", "maxAgeMs": 60000},
    },
    "classes": {
        "yard": {"priority": "top", "reservedSlots": 2},
        "history": {"weight": 3},
        "reconciliation": {"weight": 1},
    },
    "objectives": {
        "yard": {"latencyMs": 200, "goodPercent": 99.9},
        "history": {"latencyMs": 1000, "goodPercent": 99},
    },
    "timeouts": {"statementMs": 8000},
    "tokenKeys": ["ashgrove-key-2", "ashgrove-key-1"],
}
)";
    return workload;
}

} // namespace

std::optional<Workload> workloadNamed(const std::string &name)
{
    if (name == "cooperativa")
        return cooperativa();
    if (name == "ashgrove")
        return ashgrove();
    return std::nullopt;
}

std::string settingsFor(const Workload &workload, const std::vector<std::string> &addresses)
{
    std::string text = workload.settings;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::string placeholder = "%ADDRESS:" + std::to_string(i + 1) + "%";
        const std::size_t start = text.find(placeholder);
        if (start != std::string::npos)
            text.replace(start, placeholder.size(), addresses[i]);
    }
    return text;
}

} // namespace cicadagap
