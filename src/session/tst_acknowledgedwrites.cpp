// An acknowledged write is in the log of each instance that is promoted, also when the instances
// that receive are not those that a host knows of, or change during a change of primary.
#include "changescenario.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis DepartureTime(1000);
constexpr Millis End(30'000);

class AcknowledgedWrites : public testing::Test
{
protected:
    AcknowledgedWrites()
        : scenario({.promotionTime = Millis(300), .farReceiveDelay = Millis(12)})
    {
        if (std::getenv("CICADAGAP_TRACE"))
            scenario.trace = &std::cerr;
        scenario.startProcess(0);
    }

    ChangeScenario scenario;
};

struct UnlistedCase
{
    std::string name;
    std::vector<std::string> unlisted; // The instances without an entry in the list.
    Millis listedAgainAfter;           // The departure.
};

class UnlistedReceiver : public AcknowledgedWrites, public testing::WithParamInterface<UnlistedCase>
{
};

// Guards against this failure (review/7): a replica without an entry received what a leaving
// primary acknowledged, and another replica was promoted that lacked it.
TEST_P(UnlistedReceiver, LosesNoWriteWhenThePrimaryLeaves)
{
    for (const std::string &id : GetParam().unlisted)
        scenario.setListed(id, false);
    scenario.runUntil(DepartureTime);
    scenario.leave("a");
    scenario.at(DepartureTime + GetParam().listedAgainAfter, [this] {
        for (const std::string &id : GetParam().unlisted)
            scenario.setListed(id, true);
    });
    scenario.runUntil(End);
    EXPECT_EQ(scenario.lostWrites, std::vector<std::string>{});
    EXPECT_FALSE(scenario.group.primary()->leaving);
}

INSTANTIATE_TEST_SUITE_P(Departures, UnlistedReceiver,
                         testing::Values(UnlistedCase{"near", {"b"}, Millis(2000)},
                                         UnlistedCase{"far", {"c"}, Millis(2000)},
                                         UnlistedCase{"nearForLong", {"b"}, Millis(20'000)},
                                         UnlistedCase{"alwaysListed", {}, Millis(0)}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace cicadagap
