// Service-level burn: how fast a class of requests uses up the share of bad answers that its
// objective allows.
//
// The burn rate over a window is (bad / all) / (1 - promised share); 1 uses up the allowance
// exactly. A long and a short window together tell a lasting problem from a past one. (Beyer et
// al., "The Site Reliability Workbook", 2018, ch. 5.)
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

// The windows that the report shows: five minutes and one hour.
inline constexpr std::array<Millis, 2> BurnWindows{Millis(300'000), Millis(3'600'000)};

struct AnswerCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

// Counts good and bad answers in buckets over the longest window. Not thread-safe.
class BurnTracker
{
public:
    void record(Millis now, bool good);
    AnswerCounts window(Millis now, Millis length) const;

private:
    struct Bucket
    {
        Millis start;
        AnswerCounts counts;
    };

    std::deque<Bucket> m_buckets;
};

// The burn rate for `counts` under a promise of `goodPercent`; 0 without answers.
double burnRate(AnswerCounts counts, double goodPercent);

} // namespace cicadagap
