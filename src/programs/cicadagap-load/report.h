// The report of a run: latencies by priority class, the share of reads that replicas served, the
// write gap (the longest time without an acknowledged write), and a comparison of the answers that
// callers got with the rows of the stand-in targets.
#pragma once

#include "runner.h"

#include <map>
#include <string>
#include <vector>

namespace cicadagap {

// The answers to requests of one priority class, counted by verdict. Latencies are those of
// requests that ran.
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

// Violations are `lost`, `duplicated`, `falseNotRun`, `stale` and `interleaved`.
struct LoadReport
{
    std::string workload;
    Millis duration;
    double answersPerSecond = 0;
    std::map<std::string, ClassReport> classes;
    double replicaShareBoundedAge = 0; // Of reads that accept data of a maximum age.
    double replicaShareOwnWrites = 0;  // Of reads that must see the session's own writes.
    Millis writeGap;                   // Of the group with the longest one.
    std::size_t acknowledgedWrites = 0;
    std::size_t lost = 0;        // Acknowledged writes that are not stored.
    std::size_t duplicated = 0;  // Writes that are stored more than once.
    std::size_t falseNotRun = 0; // Writes that are stored but were answered "not run".
    std::size_t unresolved = 0;  // Writes that were "may have run" to the end.
    std::size_t stale = 0;       // Reads that did not see a write of their session.
    std::size_t interleaved = 0; // Interleaved transactions, as counted by the stand-ins.
    std::size_t cutAnswers = 0;  // Calls whose connection failed before the whole answer.

    // Whether there were no violations.
    bool clean() const { return lost + duplicated + falseNotRun + stale + interleaved == 0; }
};

// How often each row is stored on the primary of its group, by group and "<key>/<value>".
using RowCounts = std::map<std::string, std::map<std::string, int>>;

// The caller fills in `interleaved` and `cutAnswers`.
LoadReport makeReport(const Workload &workload, Millis duration,
                      const std::vector<Observation> &observations,
                      const std::vector<WriteRecord> &writes, const RowCounts &rows);
std::string reportJson(const LoadReport &report);
// Returns an SVG picture of the latency of each answer over time, by priority class, with the write
// gap in its title.
std::string reportSvg(const LoadReport &report, const Workload &workload,
                      const std::vector<Observation> &observations);

} // namespace cicadagap
