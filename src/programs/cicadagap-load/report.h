// What a run showed: latencies by class, replica share, the write gap, and a comparison of what
// callers were told with the rows that the stand-ins hold.
#pragma once

#include "runner.h"

#include <map>
#include <string>
#include <vector>

namespace cicadagap {

struct ClassReport
{
    std::size_t count = 0;
    std::size_t ran = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    Millis p50;
    Millis p99;
    Millis max;
};

struct LoadReport
{
    std::string workload;
    Millis duration;
    double answersPerSecond = 0;
    std::map<std::string, ClassReport> classes;
    double replicaShareBounded = 0; // Of reads that accept an age.
    double replicaShareOwn = 0;     // Of reads of the session's own writes.
    Millis writeGap;             // Longest time without an acknowledged write, in the worst group.
    std::size_t written = 0;     // Acknowledged.
    std::size_t lost = 0;        // Acknowledged, but not there.
    std::size_t doubled = 0;     // There more than once.
    std::size_t falseNotRun = 0; // There, though "not run".
    std::size_t unsettled = 0;   // Still "may have run" at the end.
    std::size_t stale = 0;       // Reads that missed the session's own write.
    std::size_t mixed = 0;       // As counted by the stand-ins.
    std::size_t cut = 0;         // Answers that broke off.

    bool clean() const { return lost + doubled + falseNotRun + stale + mixed == 0; }
};

// Rows by group, key and value, as counted in the instances that lead.
using RowCounts = std::map<std::string, std::map<std::string, int>>;

LoadReport makeReport(const Workload &workload, Millis duration,
                      const std::vector<Observation> &observations,
                      const std::vector<WrittenValue> &written, const RowCounts &rows);
std::string reportJson(const LoadReport &report);
// Latency of each answer over time, by class, with the write gap marked.
std::string reportSvg(const LoadReport &report, const Workload &workload,
                      const std::vector<Observation> &observations);

} // namespace cicadagap
