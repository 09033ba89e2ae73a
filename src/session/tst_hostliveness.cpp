// Tests of how a platform reader notices hosts that have stopped.
#include "session/hostliveness.h"
#include "session/hostregistration.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis CheckInterval(1000);
constexpr Millis Silence(5000);
constexpr Millis Duration(20'000);

struct LivenessCase
{
    std::string name;
    std::function<bool(Millis)> asks;            // Whether the host asks at the time of a check.
    std::function<bool(Millis)> readerSuspended; // No checks and no requests then.
    std::function<std::uint64_t(Millis)> heartbeat;
    std::vector<Millis> reported; // When the host is reported as stopped.
};

class HostLivenessReports : public testing::TestWithParam<LivenessCase>
{
};

TEST_P(HostLivenessReports, NameHostsThatHaveStopped)
{
    HostLiveness liveness({.silence = Silence, .checkLimit = CheckInterval * 2});
    std::vector<Millis> reported;
    for (Millis now(0); now <= Duration; now = now + CheckInterval) {
        if (GetParam().readerSuspended(now))
            continue;
        const std::vector<HostRecord> hosts{{.host = "h", .heartbeat = GetParam().heartbeat(now)}};
        if (!liveness.takeSilent(now, hosts).empty())
            reported.push_back(now);
        if (GetParam().asks(now))
            liveness.onRequest(now, "h");
    }
    EXPECT_EQ(reported, GetParam().reported);
}

bool always(Millis)
{
    return true;
}

bool never(Millis)
{
    return false;
}

std::uint64_t unchanged(Millis)
{
    return 1;
}

INSTANTIATE_TEST_SUITE_P(
    All, HostLivenessReports,
    testing::Values(
        LivenessCase{"running", always, never, unchanged, {}},
        LivenessCase{
            "slow", [](Millis now) { return now.count() % 5000 == 0; }, never, unchanged, {}},
        LivenessCase{"stoppedBeforeItAsked",
                     never,
                     never,
                     unchanged,
                     {Millis(6000), Millis(12'000), Millis(18'000)}},
        LivenessCase{"stopped",
                     [](Millis now) { return now < Millis(10'000); },
                     never,
                     unchanged,
                     {Millis(15'000)}},
        // Its requests could not arrive.
        LivenessCase{"readerWasSuspended",
                     always,
                     [](Millis now) { return now > Millis(5000) && now < Millis(15'000); },
                     unchanged,
                     {}},
        // A host of an earlier version renews its record and does not say who asks.
        LivenessCase{"renewsItsRecord",
                     never,
                     never,
                     [](Millis now) { return std::uint64_t(now.count() / 4000); },
                     {}}),
    [](const auto &info) { return info.param.name; });

// The store was restored from a copy of before the record was withdrawn.
TEST(HostLiveness, ReportsAHostAgainWhoseRecordComesBackAsItWas)
{
    HostLiveness liveness({.silence = Millis(10'000)});
    const std::vector<HostRecord> records{{.host = "a", .heartbeat = 3}};
    Millis now(0);
    std::size_t reports = 0;
    for (; reports == 0; now = now + Millis(2000))
        reports = liveness.takeSilent(now, records).size();
    EXPECT_TRUE(liveness.takeSilent(now, records).empty());
    EXPECT_TRUE(liveness.takeSilent(now + Millis(2000), {}).empty());
    EXPECT_EQ(liveness.takeSilent(now + Millis(4000), records).size(), 1U);
    EXPECT_TRUE(liveness.takeSilent(now + Millis(6000), {}).empty());
    // Its process was started again.
    EXPECT_TRUE(liveness.takeSilent(now + Millis(8000), {{.host = "a", .heartbeat = 1}}).empty());
    EXPECT_TRUE(liveness.takeSilent(now + Millis(10'000), records).empty());
}

TEST(HostRegistration, WritesAtOnceAtTheIntervalAndInEachEpoch)
{
    HostRegistration registration("host-1", {.interval = Millis(60'000), .spread = Millis(4000)});
    EXPECT_TRUE(registration.takeDue(Millis(1000)));
    registration.onEpoch(Millis(1100), 1);
    EXPECT_FALSE(registration.takeDue(Millis(6000)));
    registration.onEpoch(Millis(10'000), 2);
    EXPECT_TRUE(registration.takeDue(Millis(14'000)));
    registration.onEpoch(Millis(15'000), 2);
    EXPECT_FALSE(registration.takeDue(Millis(73'999)));
    EXPECT_TRUE(registration.takeDue(Millis(74'000)));
}

TEST(HostRegistration, SpreadsTheWritesOfAllHosts)
{
    constexpr int Hosts = 1000;
    int early = 0;
    for (int i = 0; i < Hosts; ++i) {
        HostRegistration registration("host-" + std::to_string(i), {.spread = Millis(4000)});
        registration.takeDue(Millis(0));
        registration.onEpoch(Millis(0), 1);
        registration.onEpoch(Millis(1000), 2);
        early += registration.takeDue(Millis(1000 + 1000)) ? 1 : 0;
        EXPECT_TRUE(registration.takeDue(Millis(200'000)));
    }
    // A quarter of the spread is over.
    EXPECT_GT(early, Hosts / 4 - Hosts / 16);
    EXPECT_LT(early, Hosts / 4 + Hosts / 16);
}

} // namespace
} // namespace cicadagap
