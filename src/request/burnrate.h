// The burn rate of a service level objective: how fast a priority class of requests uses up its
// error budget, which is the share of bad answers that its objective allows.
//
// The burn rate over a window is (bad / all) / (1 - objective), with the objective as the share of
// answers that must be good. A rate of 1 uses up the error budget exactly. A long and a short
// window together distinguish a problem that lasts from one that is over. (Beyer et al., "The Site
// Reliability Workbook", 2018, ch. 5.)
//
//     BurnTracker tracker;
//     tracker.record(now, /*good=*/true);
//     double rate = burnRate(tracker.window(now, BurnWindows[0]), 99.9);
#pragma once

#include "base/millis.h"

#include <array>
#include <cstdint>
#include <deque>

namespace cicadagap {

// The windows of the burn report: five minutes and one hour.
inline constexpr std::array<Millis, 2> BurnWindows{Millis(300'000), Millis(3'600'000)};

// Numbers of answers that met the objective and that did not.
struct AnswerCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

// Counts the good and bad answers of one priority class, in buckets of ten seconds that are kept
// for the longest of BurnWindows. Not thread-safe.
class BurnTracker
{
public:
    // Counts one answer. `now` must not go back between calls.
    void record(Millis now, bool good);
    // Returns the sum of all buckets that began at most `length` ago.
    AnswerCounts window(Millis now, Millis length) const;

private:
    struct Bucket
    {
        Millis start;
        AnswerCounts counts;
    };

    std::deque<Bucket> m_buckets;
};

// Returns the burn rate of `counts` if `goodPercent` of the answers must be good, or 0 if there are
// no answers.
double burnRate(AnswerCounts counts, double goodPercent);

} // namespace cicadagap
