// Tests of the check that versions of the configuration are in force in time.
#include "configurationcheck.h"

#include <gtest/gtest.h>

#include <ostream>

namespace cicadagap {
namespace {

constexpr Millis Start(100'000);
constexpr std::size_t Host = 1;

// Version 2 replaces version 1 at Start; the host is asked once.
struct ProbeCase
{
    const char *name;
    std::uint64_t version;
    Millis sentAt; // After Start.
    bool accepted;
    std::optional<Millis> disruptedUntil; // After Start; from a second before it.
    bool violates;
};

std::ostream &operator<<(std::ostream &out, const ProbeCase &entry)
{
    return out << entry.name;
}

class ProbeOfAHost : public testing::TestWithParam<ProbeCase>
{
};

TEST_P(ProbeOfAHost, ViolatesTheBoundIfItIsOlderThanAllowed)
{
    ConfigurationCheck check({.hosts = 2, .bound = Millis(3000), .stableTime = Millis(5000)});
    check.onAcknowledged(Start - Millis(60'000), 1, "calm");
    check.onAcknowledged(Start, 2, "storm");
    if (GetParam().disruptedUntil)
        check.disrupt(Host, Start - Millis(1000), Start + *GetParam().disruptedUntil);
    const Millis sentAt = Start + GetParam().sentAt;
    const auto violation = check.onAnswer(
        sentAt + Millis(1),
        {.host = Host, .incarnation = 1, .version = GetParam().version, .sentAt = sentAt},
        GetParam().accepted);
    EXPECT_EQ(violation.has_value(), GetParam().violates) << violation.value_or("");
}

INSTANTIATE_TEST_SUITE_P(
    Answers, ProbeOfAHost,
    testing::Values(ProbeCase{"oldAcceptedInTime", 1, Millis(3000), true, std::nullopt, false},
                    ProbeCase{"oldAcceptedLate", 1, Millis(3001), true, std::nullopt, true},
                    ProbeCase{"oldRefusedLate", 1, Millis(3001), false, std::nullopt, false},
                    ProbeCase{"newRefusedInTime", 2, Millis(3000), false, std::nullopt, false},
                    ProbeCase{"newRefusedLate", 2, Millis(3001), false, std::nullopt, true},
                    ProbeCase{"newAcceptedLate", 2, Millis(3001), true, std::nullopt, false},
                    ProbeCase{"lateWhileDisrupted", 1, Millis(3001), true, Millis(6000), false},
                    ProbeCase{"lateSoonAfterADisruption", 1, Millis(5999), true, Millis(1000),
                              false},
                    ProbeCase{"lateAfterADisruption", 1, Millis(6000), true, Millis(1000), true}),
    testing::PrintToStringParamName());

TEST(ConfigurationCheck, NoticesAProcessThatGoesBack)
{
    ConfigurationCheck check({.hosts = 2});
    check.onAcknowledged(Start, 1, "calm");
    check.onAcknowledged(Start + Millis(1), 2, "calm");
    const ConfigurationCheck::Probe probe{
        .host = Host, .incarnation = 1, .version = 2, .sentAt = Start + Millis(2)};
    EXPECT_FALSE(check.onAnswer(Start + Millis(3), probe, true));
    ConfigurationCheck::Probe older = probe;
    older.version = 1;
    EXPECT_FALSE(check.onAnswer(Start + Millis(4), older, true)); // It was sent before.
    older.servedBefore = check.servedVersion(Host, 1);
    EXPECT_TRUE(check.onAnswer(Start + Millis(5), older, true));
    EXPECT_EQ(check.servedVersion(Host, 2), 0U);
}

TEST(ConfigurationCheck, ReportsTheLongestDelayAtHostsThatWereInTouch)
{
    ConfigurationCheck check({.hosts = 2});
    check.disrupt(0, Start, Start + Millis(10));
    check.onAcknowledged(Start, 1, "calm");
    check.onAcknowledged(Start + Millis(100), 2, "storm");
    for (const std::size_t host : {0U, 1U})
        check.onAnswer(Start + Millis(900),
                       {.host = host, .incarnation = 1, .version = 2, .sentAt = Start}, true);
    EXPECT_EQ(check.longestDelays().at("calm"), Millis(900));
    EXPECT_EQ(check.longestDelays().at("storm"), Millis(800));
}

} // namespace
} // namespace cicadagap
