// Measures the write gap: how long writes cannot land after a failure, in virtual time with the
// Cooperativa's latencies (1 ms inside a data centre, 12 ms between regions).
#pragma once

#include "clustersimulation.h"

#include <string_view>

namespace cicadagap {

struct WriteGapFault
{
    std::string_view name;
    void (*apply)(ClusterSimulation *simulation,
                  const std::string &number); // Of the primary and its host.
    int changes = 0;                          // Of primary, that it should bring about.
};

struct WriteGapResult
{
    Millis length;
    int changes = 0; // Of primary, after the first.
};

extern const std::vector<WriteGapFault> WriteGapFaults;

// Applies the failure once while callers write and observes for 15 s.
WriteGapResult measureWriteGap(const WriteGapFault &failure, std::uint64_t seed);

} // namespace cicadagap
