// Measures the write gap of each failure over many seeds and prints one JSON line for each.
//
//     build/writegap [RUNS]
#include "writegapmeasurement.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace cicadagap;

int main(int argc, char **argv)
{
    const int runs = argc > 1 ? std::atoi(argv[1]) : 50;
    for (const WriteGapFault &failure : WriteGapFaults) {
        std::vector<Millis> gaps;
        int changes = 0;
        for (int i = 0; i < runs; ++i) {
            const WriteGapResult gap = measureWriteGap(failure, static_cast<std::uint64_t>(i) + 1);
            gaps.push_back(gap.length);
            changes += gap.changes;
        }
        std::sort(gaps.begin(), gaps.end());
        const auto at = [&gaps](double q) {
            return gaps[static_cast<std::size_t>(q * static_cast<double>(gaps.size() - 1))].count();
        };
        std::cout << "{\"failure\":\"" << failure.name << "\",\"runs\":" << runs
                  << ",\"p50Ms\":" << at(0.5) << ",\"p99Ms\":" << at(0.99)
                  << ",\"maxMs\":" << gaps.back().count() << ",\"changesOfPrimary\":" << changes
                  << "}\n";
    }
    return 0;
}
