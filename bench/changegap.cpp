// Measures the write gap of changes of primary in simulated time: the longest time between two
// acknowledged writes, in simulations with one fault each. The platform takes 300 ms for a
// promotion. Prints one JSON line for each kind of change, with times in milliseconds.
//
//     build/changegap SEEDS
#include "sessionsimulation.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <vector>

using namespace cicadagap;

namespace {

struct ChangeKind
{
    std::string_view name;
    std::vector<SimulatedFault> faults;
};

const std::vector<ChangeKind> changeKinds{
    {"none", {}},
    {"planned", {SimulatedFault::LeavePrimary}},
    {"planned-late-promotions", {SimulatedFault::LeavePrimary, SimulatedFault::DelayPromotions}},
    {"crash", {SimulatedFault::CrashPrimary}},
    {"silence", {SimulatedFault::SilencePrimary}},
};

Millis quantile(const std::vector<Millis> &sorted, double share)
{
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc == 2 ? std::strtoull(argv[1], nullptr, 10) : 0;
    if (seeds == 0) {
        std::cerr << "usage: changegap SEEDS\n";
        return 2;
    }
    for (const ChangeKind &kind : changeKinds) {
        std::vector<Millis> gaps;
        int promotions = 0;
        std::size_t violations = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const SimulationReport report
                = runSimulation({.seed = seed, .maxConnections = 22, .faults = kind.faults});
            gaps.push_back(report.longestWriteGap);
            promotions += report.promotions;
            violations += report.violations.size();
        }
        std::sort(gaps.begin(), gaps.end());
        std::cout << "{\"kind\":\"" << kind.name << "\",\"seeds\":" << seeds
                  << ",\"gapP50Ms\":" << quantile(gaps, 0.5).count()
                  << ",\"gapP99Ms\":" << quantile(gaps, 0.99).count()
                  << ",\"gapMaxMs\":" << gaps.back().count() << ",\"promotions\":" << promotions
                  << ",\"violations\":" << violations << "}\n";
    }
    return 0;
}
