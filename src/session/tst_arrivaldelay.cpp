// Guards against this failure (review/5): a host that had been suspended took a list of instances
// that had waited in its socket's buffer for a new one, and sent work to instances for too long.
#include "session/arrivaldelay.h"

#include <gtest/gtest.h>

namespace cicadagap {
namespace {

constexpr Millis RequestedAt(10'000);

// Ticks every 20 ms from 0 to `end`.
ArrivalDelay tickedUntil(Millis end)
{
    ArrivalDelay delay;
    for (Millis now = Millis(0); now <= end; now = now + Millis(20))
        delay.onTick(now);
    return delay;
}

TEST(ArrivalDelay, IsShortWhileTheProcessRuns)
{
    const ArrivalDelay delay = tickedUntil(Millis(10'100));
    EXPECT_EQ(delay.bound(Millis(10'110), RequestedAt), Millis(10));
}

TEST(ArrivalDelay, CountsASuspensionBeforeTheNextTick)
{
    const ArrivalDelay delay = tickedUntil(Millis(10'100));
    EXPECT_EQ(delay.bound(Millis(13'600), RequestedAt), Millis(3500));
}

TEST(ArrivalDelay, CountsASuspensionAfterTheNextTick)
{
    ArrivalDelay delay = tickedUntil(Millis(10'100));
    delay.onTick(Millis(13'600));
    delay.onTick(Millis(13'620));
    EXPECT_EQ(delay.bound(Millis(13'630), RequestedAt), Millis(3530));
    EXPECT_EQ(delay.bound(Millis(14'601), RequestedAt), Millis(981));
}

// An answer cannot have been sent before its request.
TEST(ArrivalDelay, IsNotLongerThanTheTimeSinceTheRequest)
{
    ArrivalDelay delay = tickedUntil(Millis(10'100));
    delay.onTick(Millis(13'600));
    EXPECT_EQ(delay.bound(Millis(13'640), Millis(13'610)), Millis(30));
}

} // namespace
} // namespace cicadagap
