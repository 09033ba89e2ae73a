// Tests of how a platform reader notices hosts that have stopped.
#include "session/hostliveness.h"

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

} // namespace
} // namespace cicadagap
