#include "request/burnrate.h"

namespace cicadagap {

namespace {

constexpr Millis BucketLength(10'000);

} // namespace

void BurnTracker::record(Millis now, bool good)
{
    const Millis start((now.count() / BucketLength.count()) * BucketLength.count());
    if (m_buckets.empty() || m_buckets.back().start < start)
        m_buckets.push_back({start, {}});
    while (now - m_buckets.front().start > BurnWindows.back() + BucketLength)
        m_buckets.pop_front();
    AnswerCounts &counts = m_buckets.back().counts;
    ++(good ? counts.good : counts.bad);
}

AnswerCounts BurnTracker::window(Millis now, Millis length) const
{
    AnswerCounts sum;
    for (auto it = m_buckets.rbegin(); it != m_buckets.rend(); ++it) {
        if (now - it->start > length)
            break;
        sum.good += it->counts.good;
        sum.bad += it->counts.bad;
    }
    return sum;
}

double burnRate(AnswerCounts counts, double goodPercent)
{
    const std::uint64_t all = counts.good + counts.bad;
    if (all == 0)
        return 0;
    const double badShare = static_cast<double>(counts.bad) / static_cast<double>(all);
    return badShare / (1.0 - goodPercent / 100.0);
}

} // namespace cicadagap
