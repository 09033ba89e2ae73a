// Tests of ReplicaLag: what is remembered of replicas that lag.
#include "session/replicalag.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace cicadagap {
namespace {

constexpr Millis First(250);
constexpr Millis Longest(1000);

ReplicaLag makeLag()
{
    return ReplicaLag({.firstMemory = First, .longestMemory = Longest});
}

struct AgeCase
{
    std::string name;
    Millis refused;
    Millis asked;
    bool behind = false;
};

class LagOfAge : public testing::TestWithParam<AgeCase>
{
};

TEST_P(LagOfAge, ConcernsReadsThatNeedAsRecentData)
{
    ReplicaLag lag = makeLag();
    EXPECT_TRUE(lag.onBehind(Millis(1000), "i1", GetParam().refused));
    EXPECT_EQ(lag.isBehind(Millis(1001), "i1", GetParam().asked), GetParam().behind);
    EXPECT_FALSE(lag.isBehind(Millis(1001), "i2", GetParam().asked));
    EXPECT_FALSE(lag.isBehind(Millis(1000) + First, "i1", GetParam().asked));
}

INSTANTIATE_TEST_SUITE_P(Ages, LagOfAge,
                         testing::Values(AgeCase{"same", Millis(1500), Millis(1500), true},
                                         AgeCase{"moreRecent", Millis(1500), Millis(0), true},
                                         AgeCase{"alittleOlder", Millis(1500), Millis(1520), true},
                                         AgeCase{"older", Millis(1500), Millis(2500), false}),
                         [](const auto &info) { return info.param.name; });

TEST(ReplicaLag, IsRememberedForLongerIfItLasts)
{
    ReplicaLag lag = makeLag();
    Millis now(0);
    for (const Millis memory : {First, First * 2, Longest, Longest}) {
        EXPECT_EQ(lag.onBehind(now, "i1", Millis(1500)), now == Millis(0));
        // A second refusal in the same time is that of a read which was under way.
        EXPECT_FALSE(lag.onBehind(now, "i1", Millis(1500)));
        EXPECT_TRUE(lag.isBehind(now + memory - Millis(1), "i1", Millis(1500)));
        now = now + memory;
        EXPECT_FALSE(lag.isBehind(now, "i1", Millis(1500)));
    }
}

TEST(ReplicaLag, EndsWithAReadThatIsServed)
{
    ReplicaLag lag = makeLag();
    EXPECT_FALSE(lag.onServed("i1", Millis(1500)));
    lag.onBehind(Millis(0), "i1", Millis(1500));
    EXPECT_FALSE(lag.onServed("i1", Millis(4000)));
    EXPECT_TRUE(lag.isBehind(Millis(1), "i1", Millis(1500)));
    EXPECT_TRUE(lag.onServed("i1", Millis(1500)));
    EXPECT_FALSE(lag.isBehind(Millis(1), "i1", Millis(1500)));
    EXPECT_TRUE(lag.onBehind(Millis(2), "i1", Millis(1500)));
    lag.keepOnly({"i2"});
    EXPECT_FALSE(lag.isBehind(Millis(3), "i1", Millis(1500)));
}

// Reads that arrive all the time at a replica which lags for a while, and then catches up.
TEST(ReplicaLag, SparesALaggingReplicaMostReads)
{
    constexpr Millis Interval(20);
    constexpr Millis CaughtUpAt(6000);
    ReplicaLag lag({});
    int refused = 0;
    std::optional<Millis> servedAt;
    for (Millis now(0); now < Millis(10'000) && !servedAt; now = now + Interval) {
        if (lag.isBehind(now, "i1", Millis(1500)))
            continue;
        if (now >= CaughtUpAt) {
            lag.onServed("i1", Millis(1500));
            servedAt = now;
        } else {
            lag.onBehind(now, "i1", Millis(1500));
            ++refused;
        }
    }
    EXPECT_LE(refused, 10); // Of 300.
    ASSERT_TRUE(servedAt);
    EXPECT_LE(*servedAt, CaughtUpAt + Millis(1000));
}

} // namespace
} // namespace cicadagap
