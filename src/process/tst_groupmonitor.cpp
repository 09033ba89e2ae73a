#include "process/groupmonitor.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cicadagap {

namespace {

GroupMonitor::Options options(int rank = 0)
{
    return {.group = "g",
            .dataCentre = "d2",
            .instances = {{"t1", "d1"}, {"t2", "d2"}, {"t3", "d3"}},
            .rank = rank,
            .monitorDataCentres = 3};
}

InstanceReport primaryReport(std::uint64_t term = 1)
{
    return {.name = "t1", .primary = true, .term = term, .following = "t1", .last = {term, 5}};
}

bool has(const std::vector<MonitorAction> &actions, MonitorStep step)
{
    return std::any_of(actions.begin(), actions.end(),
                       [step](const MonitorAction &action) { return action.step == step; });
}

// A monitor that knows t1 as the primary of term 1 and then failed to reach it on new connections.
GroupMonitor monitorThatSuspects(int rank = 0)
{
    GroupMonitor monitor(options(rank));
    monitor.onProbed(Millis(0), "t1", false, primaryReport());
    monitor.onProbed(Millis(100), "t1", true, std::nullopt);
    monitor.onProbed(Millis(200), "t1", true, std::nullopt);
    return monitor;
}

} // namespace

TEST(GroupMonitor, FailuresOnOldConnectionsCauseNoSuspicion)
{
    GroupMonitor monitor(options());
    monitor.onProbed(Millis(0), "t1", false, primaryReport());
    for (std::int64_t i = 1; i < 50; ++i) {
        const auto actions = monitor.onProbed(Millis(i * 200), "t1", false, std::nullopt);
        EXPECT_FALSE(has(actions, MonitorStep::SuspicionVote));
        monitor.onProbed(Millis(i * 200 + 100), "t1", true, primaryReport());
    }
    EXPECT_FALSE(monitor.suspects());
}

TEST(GroupMonitor, SuspicionOfOneDataCentreCausesNoFailover)
{
    GroupMonitor monitor = monitorThatSuspects();
    EXPECT_TRUE(monitor.suspects());
    for (int i = 0; i < 200; ++i)
        EXPECT_FALSE(has(monitor.onTick(Millis(200 + i * 20)), MonitorStep::Seal));
}

TEST(GroupMonitor, SuspicionOfTwoDataCentresReplacesThePrimary)
{
    GroupMonitor monitor = monitorThatSuspects();
    const auto actions = monitor.onSuspicionVote(Millis(210), "d3", 1, true);
    EXPECT_EQ(std::count_if(actions.begin(), actions.end(),
                            [](const MonitorAction &a) {
                                return a.step == MonitorStep::Seal && a.term == 2;
                            }),
              3);
    monitor.onSealed(Millis(220), "t2", true, 2, {1, 4});
    monitor.onSealed(Millis(221), "t3", true, 2, {1, 5});
    const auto promote = monitor.onTick(Millis(300));
    const auto chosen = std::find_if(promote.begin(), promote.end(), [](const MonitorAction &a) {
        return a.step == MonitorStep::Promote;
    });
    ASSERT_NE(chosen, promote.end());
    EXPECT_EQ(chosen->instance, "t3");
    const auto announce = monitor.onPromoted(Millis(310), "t3", true);
    EXPECT_TRUE(has(announce, MonitorStep::Announce));
    EXPECT_EQ(monitor.primary(), "t3");
    EXPECT_EQ(monitor.term(), 2U);
}

TEST(GroupMonitor, SuspicionVotesExpireAndCanBeWithdrawn)
{
    GroupMonitor expired = monitorThatSuspects(1);
    expired.onSuspicionVote(Millis(210), "d3", 1, true);
    EXPECT_FALSE(has(expired.onTick(Millis(2300)), MonitorStep::Seal));
    GroupMonitor withdrawn = monitorThatSuspects(1);
    withdrawn.onSuspicionVote(Millis(210), "d3", 1, true);
    withdrawn.onSuspicionVote(Millis(220), "d3", 1, false);
    EXPECT_FALSE(has(withdrawn.onTick(Millis(900)), MonitorStep::Seal));
}

TEST(GroupMonitor, MonitorsOfHigherRankWaitLonger)
{
    GroupMonitor monitor = monitorThatSuspects(2);
    EXPECT_FALSE(has(monitor.onSuspicionVote(Millis(210), "d3", 1, true), MonitorStep::Seal));
    monitor.onSuspicionVote(Millis(900), "d3", 1, true);
    EXPECT_FALSE(has(monitor.onTick(Millis(1000)), MonitorStep::Seal));
    EXPECT_TRUE(has(monitor.onTick(Millis(1010)), MonitorStep::Seal));
}

TEST(GroupMonitor, ReplacesALeavingPrimaryWithoutSuspicion)
{
    GroupMonitor monitor(options());
    InstanceReport report = primaryReport();
    report.leaving = true;
    monitor.onProbed(Millis(0), "t1", false, report);
    EXPECT_TRUE(has(monitor.onTick(Millis(20)), MonitorStep::Seal));
    monitor.onSealed(Millis(30), "t1", true, 2, {1, 9});
    monitor.onSealed(Millis(31), "t2", true, 2, {1, 8});
    const auto actions = monitor.onSealed(Millis(32), "t3", true, 2, {1, 7});
    ASSERT_TRUE(has(actions, MonitorStep::Promote));
    // Of the instances that stay, t2 has the highest position.
    EXPECT_EQ(actions.front().instance, "t2");
}

TEST(GroupMonitor, MakesAnInstanceOfALowerTermFollowThePrimary)
{
    GroupMonitor monitor(options());
    monitor.onProbed(Millis(0), "t1", false, primaryReport(4));
    const auto actions
        = monitor.onProbed(Millis(10), "t2", false, InstanceReport{.name = "t2", .term = 2});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].step, MonitorStep::Follow);
    EXPECT_EQ(actions[0].primary, "t1");
    EXPECT_EQ(actions[0].term, 4U);
}

TEST(GroupMonitor, PromotesTheFirstPrimaryOfANewGroup)
{
    GroupMonitor monitor(options());
    monitor.onTick(Millis(5000));
    monitor.onSuspicionVote(Millis(5900), "d1", 0, true);
    EXPECT_TRUE(has(monitor.onTick(Millis(6000)), MonitorStep::Seal));
}

namespace {

struct PromotionCase
{
    std::string name;
    std::map<std::string, Position> sealed;
    std::vector<std::string> avoid;
    std::string chosen; // The promoted instance; empty if there is none.
};

std::ostream &operator<<(std::ostream &out, const PromotionCase &c)
{
    return out << c.name;
}

} // namespace

class PromotionCases : public testing::TestWithParam<PromotionCase>
{
};

TEST_P(PromotionCases, PromotesTheHighestPositionOfASealedMajority)
{
    Promotion promotion(
        {.instances = {"t1", "t2", "t3"}, .highestTerm = 6, .avoid = GetParam().avoid}, Millis(0));
    std::vector<PromotionAction> actions;
    const auto add = [&actions](const std::vector<PromotionAction> &more) {
        actions.insert(actions.end(), more.begin(), more.end());
    };
    for (const auto &sealed : GetParam().sealed)
        add(promotion.onSealed(Millis(1), sealed.first, true, 7, sealed.second));
    add(promotion.onTick(Millis(60)));
    if (GetParam().chosen.empty()) {
        EXPECT_TRUE(actions.empty());
        EXPECT_EQ(promotion.onTick(Millis(1500)).front().step, PromotionStep::GiveUp);
        return;
    }
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0], (PromotionAction{PromotionStep::Promote, GetParam().chosen, 7}));
}

INSTANTIATE_TEST_SUITE_P(
    All, PromotionCases,
    testing::Values(
        PromotionCase{"no majority sealed", {{"t1", {6, 9}}}, {}, ""},
        PromotionCase{"highest index", {{"t1", {6, 8}}, {"t2", {6, 9}}}, {}, "t2"},
        PromotionCase{"term precedes index", {{"t1", {5, 90}}, {"t2", {6, 9}}}, {}, "t2"},
        PromotionCase{"leaving instance is not promoted",
                      {{"t1", {6, 9}}, {"t2", {6, 8}}, {"t3", {6, 7}}},
                      {"t1"},
                      "t2"},
        PromotionCase{
            "leaving instance is needed", {{"t1", {6, 9}}, {"t2", {6, 8}}}, {"t1"}, "t1"}));

} // namespace cicadagap
