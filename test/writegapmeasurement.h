// Measures the write gap: the time in which no write is acknowledged after a fault. Runs in
// simulated time with the network latencies of the customer Cooperativa: 1 ms inside a data centre,
// 12 ms between regions.
#pragma once

#include "clustersimulation.h"

#include <string_view>

namespace cicadagap {

struct WriteGapFault
{
    std::string_view name;
    void (*apply)(ClusterSimulation *simulation,
                  const std::string &number); // The number of the primary and its host.
    int changes = 0;                          // Changes of primary that the fault should cause.
};

struct WriteGapResult
{
    Millis length;
    int changes = 0; // Changes of primary after the fault.
};

extern const std::vector<WriteGapFault> WriteGapFaults;

// Injects the fault once while callers write, and observes the next 15 s.
WriteGapResult measureWriteGap(const WriteGapFault &fault, std::uint64_t seed);

} // namespace cicadagap
