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
            .watcherDataCentres = 3};
}

InstanceReport leader(std::uint64_t term = 1)
{
    return {.name = "t1", .primary = true, .term = term, .following = "t1", .last = {term, 5}};
}

bool has(const std::vector<MonitorAction> &actions, MonitorStep step)
{
    return std::any_of(actions.begin(), actions.end(),
                       [step](const MonitorAction &action) { return action.step == step; });
}

// A watch that has seen t1 lead term 1 and then fails its fresh probes.
GroupMonitor suspicious(int rank = 0)
{
    GroupMonitor watch(options(rank));
    watch.onProbed(Millis(0), "t1", false, leader());
    watch.onProbed(Millis(100), "t1", true, std::nullopt);
    watch.onProbed(Millis(200), "t1", true, std::nullopt);
    return watch;
}

} // namespace

TEST(GroupMonitor, AnOldConnectionsFailureProvesNothing)
{
    GroupMonitor watch(options());
    watch.onProbed(Millis(0), "t1", false, leader());
    for (std::int64_t i = 1; i < 50; ++i) {
        const auto actions = watch.onProbed(Millis(i * 200), "t1", false, std::nullopt);
        EXPECT_FALSE(has(actions, MonitorStep::SuspicionVote));
        watch.onProbed(Millis(i * 200 + 100), "t1", true, leader());
    }
    EXPECT_FALSE(watch.suspects());
}

TEST(GroupMonitor, OneDataCentresSuspicionChangesNothing)
{
    GroupMonitor watch = suspicious();
    EXPECT_TRUE(watch.suspects());
    for (int i = 0; i < 200; ++i)
        EXPECT_FALSE(has(watch.onTick(Millis(200 + i * 20)), MonitorStep::Seal));
}

TEST(GroupMonitor, TwoDataCentresChangeThePrimary)
{
    GroupMonitor watch = suspicious();
    const auto actions = watch.onSuspicionVote(Millis(210), "d3", 1, true);
    EXPECT_EQ(std::count_if(actions.begin(), actions.end(),
                            [](const MonitorAction &a) {
                                return a.step == MonitorStep::Seal && a.term == 2;
                            }),
              3);
    watch.onSealed(Millis(220), "t2", true, 2, {1, 4});
    watch.onSealed(Millis(221), "t3", true, 2, {1, 5});
    const auto promote = watch.onTick(Millis(300));
    const auto chosen = std::find_if(promote.begin(), promote.end(), [](const MonitorAction &a) {
        return a.step == MonitorStep::Promote;
    });
    ASSERT_NE(chosen, promote.end());
    EXPECT_EQ(chosen->instance, "t3");
    const auto announce = watch.onPromoted(Millis(310), "t3", true);
    EXPECT_TRUE(has(announce, MonitorStep::Announce));
    EXPECT_EQ(watch.primary(), "t3");
    EXPECT_EQ(watch.term(), 2U);
}

TEST(GroupMonitor, VotesExpireAndAreTakenBack)
{
    GroupMonitor expired = suspicious(1);
    expired.onSuspicionVote(Millis(210), "d3", 1, true);
    EXPECT_FALSE(has(expired.onTick(Millis(2300)), MonitorStep::Seal));
    GroupMonitor withdrawn = suspicious(1);
    withdrawn.onSuspicionVote(Millis(210), "d3", 1, true);
    withdrawn.onSuspicionVote(Millis(220), "d3", 1, false);
    EXPECT_FALSE(has(withdrawn.onTick(Millis(900)), MonitorStep::Seal));
}

TEST(GroupMonitor, LaterRanksWaitTheirTurn)
{
    GroupMonitor watch = suspicious(2);
    EXPECT_FALSE(has(watch.onSuspicionVote(Millis(210), "d3", 1, true), MonitorStep::Seal));
    watch.onSuspicionVote(Millis(900), "d3", 1, true);
    EXPECT_FALSE(has(watch.onTick(Millis(1000)), MonitorStep::Seal));
    EXPECT_TRUE(has(watch.onTick(Millis(1010)), MonitorStep::Seal));
}

TEST(GroupMonitor, TakesALeavingPrimaryOutWithoutSuspicion)
{
    GroupMonitor watch(options());
    InstanceReport report = leader();
    report.leaving = true;
    watch.onProbed(Millis(0), "t1", false, report);
    EXPECT_TRUE(has(watch.onTick(Millis(20)), MonitorStep::Seal));
    watch.onSealed(Millis(30), "t1", true, 2, {1, 9});
    watch.onSealed(Millis(31), "t2", true, 2, {1, 8});
    const auto actions = watch.onSealed(Millis(32), "t3", true, 2, {1, 7});
    ASSERT_TRUE(has(actions, MonitorStep::Promote));
    EXPECT_EQ(actions.front().instance, "t2"); // The furthest of those that stay.
}

TEST(GroupMonitor, BringsAStrayInstanceBack)
{
    GroupMonitor watch(options());
    watch.onProbed(Millis(0), "t1", false, leader(4));
    const auto actions
        = watch.onProbed(Millis(10), "t2", false, InstanceReport{.name = "t2", .term = 2});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].step, MonitorStep::Follow);
    EXPECT_EQ(actions[0].primary, "t1");
    EXPECT_EQ(actions[0].term, 4U);
}

TEST(GroupMonitor, GivesANewGroupItsFirstPrimary)
{
    GroupMonitor watch(options());
    watch.onTick(Millis(5000));
    watch.onSuspicionVote(Millis(5900), "d1", 0, true);
    EXPECT_TRUE(has(watch.onTick(Millis(6000)), MonitorStep::Seal));
}

namespace {

struct PromotionCase
{
    std::string name;
    std::map<std::string, Position> sealed;
    std::vector<std::string> avoid;
    std::string chosen; // Empty: nobody.
};

std::ostream &operator<<(std::ostream &out, const PromotionCase &c)
{
    return out << c.name;
}

} // namespace

class PromotionTable : public testing::TestWithParam<PromotionCase>
{
};

TEST_P(PromotionTable, ChoosesTheHighestOfAMajority)
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
    All, PromotionTable,
    testing::Values(
        PromotionCase{"minority", {{"t1", {6, 9}}}, {}, ""},
        PromotionCase{"highest index", {{"t1", {6, 8}}, {"t2", {6, 9}}}, {}, "t2"},
        PromotionCase{"term before length", {{"t1", {5, 90}}, {"t2", {6, 9}}}, {}, "t2"},
        PromotionCase{
            "leaving passed over", {{"t1", {6, 9}}, {"t2", {6, 8}}, {"t3", {6, 7}}}, {"t1"}, "t2"},
        PromotionCase{"leaving needed", {{"t1", {6, 9}}, {"t2", {6, 8}}}, {"t1"}, "t1"}));

} // namespace cicadagap
