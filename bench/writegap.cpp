// Measures the write gap (the time in which no write is acknowledged) after each kind of fault,
// over many seeds and in simulated time. Prints one JSON line for each fault.
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
    for (const WriteGapFault &fault : WriteGapFaults) {
        std::vector<Millis> gaps;
        int changes = 0;
        for (int i = 0; i < runs; ++i) {
            const WriteGapResult result = measureWriteGap(fault, static_cast<std::uint64_t>(i) + 1);
            gaps.push_back(result.length);
            changes += result.changes;
        }
        std::sort(gaps.begin(), gaps.end());
        const auto quantile = [&gaps](double q) {
            return gaps[static_cast<std::size_t>(q * static_cast<double>(gaps.size() - 1))].count();
        };
        std::cout << "{\"failure\":\"" << fault.name << "\",\"runs\":" << runs
                  << ",\"p50Ms\":" << quantile(0.5) << ",\"p99Ms\":" << quantile(0.99)
                  << ",\"maxMs\":" << gaps.back().count() << ",\"changesOfPrimary\":" << changes
                  << "}\n";
    }
    return 0;
}
