// Plays random schedules of faults around a primary that leaves, in simulated time, and looks for
// broken guarantees. Prints one line for each schedule that breaks one, and a summary in JSON.
//
//     build/departures FIRST END fenced|unfenced
//
// With the variable CICADAGAP_TRACE set, what happens in each is written to standard error.
#include "sessionsimulation.h"

#include "base/hash.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace cicadagap;

namespace {

constexpr std::uint64_t FaultKinds = 14; // Of SimulatedFault.
constexpr std::uint64_t MostFaults = 5;  // Besides the departure.
constexpr int ManyConnections = 22;
constexpr int FewConnections = 5; // So few that hosts relay through gateways.

SimulationOptions schedule(std::uint64_t seed, bool fenced)
{
    constexpr std::uint64_t Spread = 7919; // Keeps the draws apart from the simulation's own.
    Random random(seed * Spread + 13);
    SimulationOptions options{.seed = seed,
                              .hosts = seed % 2 == 0 ? 3 : 4,
                              .maxConnections = seed % 3 == 0 ? FewConnections : ManyConnections,
                              .fencedPromotions = fenced,
                              .faults = {SimulatedFault::LeavePrimary}};
    const std::uint64_t count = 1 + random.below(MostFaults);
    for (std::uint64_t i = 0; i < count; ++i)
        options.faults.push_back(static_cast<SimulatedFault>(random.below(FaultKinds)));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string mode = argc == 4 ? argv[3] : "";
    if (mode != "fenced" && mode != "unfenced") {
        std::cerr << "usage: departures FIRST END fenced|unfenced\n";
        return 2;
    }
    const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
    const std::uint64_t end = std::strtoull(argv[2], nullptr, 10);
    std::uint64_t broken = 0;
    for (std::uint64_t seed = first; seed < end; ++seed) {
        SimulationOptions options = schedule(seed, mode == "fenced");
        if (std::getenv("CICADAGAP_TRACE"))
            options.trace = &std::cerr;
        const SimulationReport report = runSimulation(options);
        if (report.violations.empty())
            continue;
        ++broken;
        std::cout << "seed " << seed << ", faults";
        for (const SimulatedFault fault : options.faults)
            std::cout << ' ' << static_cast<int>(fault);
        std::cout << ", " << report.violations.size() << ": " << report.violations.front() << '\n';
    }
    std::cout << "{\"schedules\":" << end - first << ",\"mode\":\"" << mode
              << "\",\"broken\":" << broken << "}\n";
    return broken == 0 ? 0 : 1;
}
