#include "session/readingpolicy.h"

#include <algorithm>

namespace cicadagap {

namespace {

constexpr int MaxRetryDoublings = 16; // Against overflow; the longest delay is a bound of its own.
constexpr Millis UpdateWait(1500);    // How long the platform reader may wait for a change.
constexpr Millis PauseBetweenRequests(200); // To a reader whose answers are of no use now.
// A shorter transfer delays answers by less than an instance may be silent for.
constexpr Millis LinkFillTime(200);

} // namespace

bool hasRecentConfiguration(const PlatformUpdate &update, const ReaderAgeLimits &limits)
{
    if (update.routingAge < limits.configuration)
        return true;
    // The age is bounded too, as a reader may begin again and again.
    return update.readingTime && *update.readingTime < limits.configurationBound
        && update.routingAge < limits.configuration + limits.configurationBound;
}

bool hasRecentLists(const PlatformUpdate &update, const ReaderAgeLimits &limits)
{
    return update.instancesAge < limits.instances;
}

ReaderJudgement judgeReader(const PlatformUpdate &update, const ReaderAgeLimits &limits)
{
    ReaderJudgement judgement{.configurationRecent = hasRecentConfiguration(update, limits),
                              .listsRecent = hasRecentLists(update, limits)};
    if (!judgement.isRecent() || !update.reachesPlatform)
        judgement.pause = PauseBetweenRequests;
    if (!judgement.isRecent())
        return judgement;
    // While a newer configuration arrives at the reader, its own may be older.
    const Millis left = limits.configuration - update.routingAge - judgement.pause;
    const bool isArriving = update.routingAge >= limits.configuration;
    judgement.wait = isArriving ? UpdateWait : std::clamp(left, Millis(0), UpdateWait);
    return judgement;
}

bool mayFillLink(std::optional<Millis> readingTime, const ReaderAgeLimits &limits)
{
    return readingTime && *readingTime >= LinkFillTime && *readingTime < limits.configurationBound;
}

Millis readingRetryDelay(Millis first, Millis longest, int failures, bool isReader, Random *random)
{
    if (isReader || failures == 0)
        return first;
    const Millis doubled = first * (std::int64_t(1) << std::min(failures - 1, MaxRetryDoublings));
    const Millis half = std::min(doubled, longest) / 2;
    const auto choices = static_cast<std::uint64_t>(half.count() + 1);
    return half + Millis(static_cast<std::int64_t>(random->below(choices)));
}

void ReadingBackoff::onReading(Millis now, const Result &result, Random *random)
{
    m_lastFailed = !result.succeeded;
    m_failures = result.succeeded ? 0 : m_failures + 1;
    m_due = result.succeeded
        ? now
        : now + readingRetryDelay(m_first, m_longest, m_failures, result.isReader, random);
}

void ReadingBackoff::onFollowing()
{
    m_failures = 0;
    m_due = Millis(0);
}

Millis ReadingBackoff::remaining(Millis now) const
{
    return std::max(m_due - now, Millis(0));
}

} // namespace cicadagap
