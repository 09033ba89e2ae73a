// Tests of which hosts read the platform's store themselves, and when they repeat a reading.
#include "session/readingpolicy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <ostream>
#include <set>
#include <string>

namespace cicadagap {
namespace {

constexpr ReaderAgeLimits Limits{
    .configuration = Millis(2400), .instances = Millis(3500), .configurationBound = Millis(5000)};

struct ReaderState
{
    std::string name;
    Millis age; // Of its configuration.
    std::optional<Millis> readingTime;
    bool isRecent = false;
};

std::ostream &operator<<(std::ostream &output, const ReaderState &state)
{
    return output << state.name;
}

class ReaderStates : public testing::TestWithParam<ReaderState>
{
};

TEST_P(ReaderStates, DecideWhoReads)
{
    const ReaderState &state = GetParam();
    const PlatformUpdate update{.routingAge = state.age, .readingTime = state.readingTime};
    EXPECT_EQ(hasRecentConfiguration(update, Limits), state.isRecent);
}

// A reader that begins to read again and again is not waited for any longer than one that began
// once.
INSTANTIATE_TEST_SUITE_P(
    Cases, ReaderStates,
    testing::Values(ReaderState{"quiet", Millis(2399), std::nullopt, true},
                    ReaderState{"cutOff", Millis(2400), std::nullopt, false},
                    ReaderState{"busy", Millis(6000), Millis(4400), true},
                    ReaderState{"busyForTooLong", Millis(6000), Millis(5000), false},
                    ReaderState{"beginsAgain", Millis(7400), Millis(10), false}),
    testing::PrintToStringParamName());

constexpr Millis LongWait(1500);

struct JudgementCase
{
    std::string name;
    Millis age; // Of the reader's configuration.
    Millis listsAge;
    std::optional<Millis> readingTime;
    bool reachesPlatform = true;
    Millis pause;
    Millis wait;
};

std::ostream &operator<<(std::ostream &output, const JudgementCase &entry)
{
    return output << entry.name;
}

class JudgementOfAReader : public testing::TestWithParam<JudgementCase>
{
};

// Guards against two failures: a follower learned only from its reader, and late, that the reader
// was cut off from the store; and it asked a reader that knew so again and again without a pause.
TEST_P(JudgementOfAReader, TellsWhenToAskAgain)
{
    const JudgementCase &entry = GetParam();
    const ReaderJudgement judgement = judgeReader({.routingAge = entry.age,
                                                   .instancesAge = entry.listsAge,
                                                   .readingTime = entry.readingTime,
                                                   .reachesPlatform = entry.reachesPlatform},
                                                  Limits);
    EXPECT_EQ(judgement.pause, entry.pause);
    EXPECT_EQ(judgement.wait, entry.wait);
    // Without a newer reading, the answer to the next request comes no later than that.
    const bool isQuiet = judgement.isRecent() && !entry.readingTime;
    const Millis answeredAt = entry.age + judgement.pause + judgement.wait;
    EXPECT_TRUE(!isQuiet || answeredAt <= Limits.configuration + judgement.pause);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, JudgementOfAReader,
    testing::Values(JudgementCase{"fresh", Millis(100), Millis(0), std::nullopt, true, Millis(0),
                                  LongWait},
                    JudgementCase{"ageing", Millis(2000), Millis(0), std::nullopt, true, Millis(0),
                                  Millis(400)},
                    JudgementCase{"almostOutdated", Millis(2399), Millis(0), std::nullopt, true,
                                  Millis(0), Millis(1)},
                    JudgementCase{"outdated", Millis(2400), Millis(0), std::nullopt, true,
                                  Millis(200), Millis(0)},
                    JudgementCase{"cutOff", Millis(2000), Millis(0), std::nullopt, false,
                                  Millis(200), Millis(200)},
                    JudgementCase{"cutOffAndAlmostOutdated", Millis(2300), Millis(0), std::nullopt,
                                  false, Millis(200), Millis(0)},
                    JudgementCase{"outdatedLists", Millis(0), Millis(3500), std::nullopt, true,
                                  Millis(200), Millis(0)},
                    JudgementCase{"receiving", Millis(3000), Millis(0), Millis(1000), true,
                                  Millis(0), LongWait}),
    testing::PrintToStringParamName());

// A transfer without end must not hide that an instance failed.
TEST(ReadingPolicy, ALongTransferFillsTheLinkUpToTheBound)
{
    EXPECT_FALSE(mayFillLink(std::nullopt, Limits));
    EXPECT_FALSE(mayFillLink(Millis(50), Limits));
    EXPECT_TRUE(mayFillLink(Millis(200), Limits));
    EXPECT_TRUE(mayFillLink(Millis(4999), Limits));
    EXPECT_FALSE(mayFillLink(Millis(5000), Limits));
}

TEST(ReadingPolicy, CountsTheTimeOnTheWay)
{
    PlatformUpdate update{.routingAge = Millis(3000), .readingTime = Millis(4000)};
    update.addAge(Millis(1000));
    EXPECT_FALSE(hasRecentConfiguration(update, Limits));
}

TEST(ReadingPolicy, ListsAreNotExcusedByABusyReader)
{
    const PlatformUpdate update{.instancesAge = Millis(3500), .readingTime = Millis(100)};
    EXPECT_FALSE(hasRecentLists(update, Limits));
}

// Hosts that failed together: how many repeat within the same tenth of the longest delay.
TEST(ReadingPolicy, HostsThatFailedTogetherDoNotRepeatTogether)
{
    constexpr int Hosts = 100;
    constexpr int Failures = 10;
    constexpr Millis First(250);
    constexpr Millis Longest(4000);
    std::multiset<std::int64_t> tenths;
    for (int host = 0; host < Hosts; ++host) {
        Random random(hash64(std::to_string(host)));
        const Millis delay = readingRetryDelay(First, Longest, Failures, false, &random);
        EXPECT_GE(delay, Longest / 2);
        EXPECT_LE(delay, Longest);
        tenths.insert(delay.count() * 10 / Longest.count());
    }
    for (const std::int64_t tenth : tenths)
        EXPECT_LE(tenths.count(tenth), std::size_t(Hosts) * 2 / 5);
}

TEST(ReadingPolicy, TheReaderRepeatsSoon)
{
    Random random(1);
    EXPECT_EQ(readingRetryDelay(Millis(250), Millis(4000), 10, true, &random), Millis(250));
    EXPECT_EQ(readingRetryDelay(Millis(250), Millis(4000), 0, false, &random), Millis(250));
}

constexpr Millis FirstDelay(250);
constexpr Millis LongestDelay = FirstDelay * 16;

class BackoffOfAHost : public testing::Test
{
protected:
    void fail(int times, bool isReader = false)
    {
        for (int i = 0; i < times; ++i)
            backoff.onReading(now, {.succeeded = false, .isReader = isReader}, &m_random);
    }

    Millis now = Millis(100'000);
    ReadingBackoff backoff = ReadingBackoff(FirstDelay);

private:
    Random m_random = Random(7);
};

TEST_F(BackoffOfAHost, GrowsWithFailuresInARow)
{
    EXPECT_EQ(backoff.remaining(now), Millis(0));
    fail(1);
    EXPECT_LE(backoff.remaining(now), FirstDelay);
    fail(9);
    EXPECT_GE(backoff.remaining(now), LongestDelay / 2);
    EXPECT_LE(backoff.remaining(now), LongestDelay);
    EXPECT_EQ(backoff.remaining(now + LongestDelay), Millis(0));
    fail(1, true);
    EXPECT_EQ(backoff.remaining(now), FirstDelay);
}

// Guards against this failure: a host that had read in vain while the store was down followed a
// reader again, and when that one was lost much later, its first failure made it wait for seconds.
TEST_F(BackoffOfAHost, EndsWhenItFollowsARecentReader)
{
    fail(10);
    backoff.onFollowing();
    EXPECT_EQ(backoff.remaining(now), Millis(0));
    EXPECT_TRUE(backoff.lastFailed());
    fail(1);
    EXPECT_LE(backoff.remaining(now), FirstDelay);
}

// Guards against this failure: the delay was longer than the time in which a host that reaches the
// store again has to have the newest version.
TEST_F(BackoffOfAHost, IsBoundedByTheTimeForAChange)
{
    constexpr Millis Bound(3000);
    backoff.setBound(Bound);
    for (int i = 0; i < 100; ++i) {
        fail(1);
        EXPECT_LE(backoff.remaining(now), Bound);
    }
    EXPECT_GE(backoff.remaining(now), Bound / 2);
}

TEST_F(BackoffOfAHost, EndsWithASuccess)
{
    fail(10);
    Random random(7);
    backoff.onReading(now, {.succeeded = true}, &random);
    EXPECT_EQ(backoff.remaining(now), Millis(0));
    EXPECT_FALSE(backoff.lastFailed());
}

} // namespace
} // namespace cicadagap
