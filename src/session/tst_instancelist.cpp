#include "session/instancelist.h"

#include <gtest/gtest.h>

namespace cicadagap {
namespace {

RegisteredInstance instance(bool leaving)
{
    return {.id = "i", .group = "g", .leaving = leaving};
}

TEST(InstanceList, ReportsADepartureOnce)
{
    InstanceList list({});
    EXPECT_TRUE(list.update(Millis(1000), {instance(false)}, Millis(990)).empty());
    const auto departures = list.update(Millis(3000), {instance(true)}, Millis(2990));
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_TRUE(departures[0].announced);
    EXPECT_EQ(departures[0].lastReady, Millis(990));
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(990 + 7000 - 500));
    EXPECT_TRUE(list.update(Millis(4000), {instance(true)}, Millis(3990)).empty());
}

// A host that starts cannot tell since when an instance leaves.
TEST(InstanceList, DoesNotKnowSinceWhenAnInstanceLeavesThatItNeverSawReady)
{
    InstanceList list({});
    const auto departures = list.update(Millis(3000), {instance(true)}, Millis(2990));
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_EQ(departures[0].lastReady, std::nullopt);
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(3000));
}

TEST(InstanceList, TakesAnInstanceThatIsNotRegisteredForLeavingAndThenRemovesIt)
{
    InstanceList list({.leavingAfterMissing = Millis(2000), .removedAfterMissing = Millis(5000)});
    list.update(Millis(0), {instance(false)}, Millis(0));
    EXPECT_TRUE(list.update(Millis(1000), {}, Millis(1000)).empty());
    EXPECT_FALSE(list.find("i")->leaving);
    const auto departures = list.update(Millis(3100), {}, Millis(3100));
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_FALSE(departures[0].announced);
    EXPECT_EQ(departures[0].lastReady, Millis(0));
    EXPECT_TRUE(list.find("i")->leaving);
    list.update(Millis(6100), {}, Millis(6100));
    EXPECT_EQ(list.find("i"), nullptr);
}

// While it counts as registered, a change of primary waits for it to be sealed.
TEST(InstanceList, RemovesAnInstanceThatLeftAsAnnounced)
{
    InstanceList list({.removedAfterLeaving = Millis(500)});
    list.update(Millis(0), {instance(true)}, Millis(0));
    list.update(Millis(1000), {}, Millis(1000));
    EXPECT_NE(list.find("i"), nullptr);
    list.update(Millis(1600), {}, Millis(1600));
    EXPECT_EQ(list.find("i"), nullptr);
}

// Guards against this failure: a shorter drain time in the settings file was taken over by hosts
// that restarted, and the others went on sending work to leaving instances.
TEST(InstanceList, ShortensTheTimeOfLeavingInstances)
{
    const Millis margin(500);
    InstanceList list({.drainTime = Millis(7000), .drainMargin = margin});
    list.update(Millis(0), {instance(false)}, Millis(0));
    list.update(Millis(1000), {instance(true)}, Millis(1000));
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(7000) - margin);
    list.setDrainTime(Millis(4000));
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(4000) - margin);
    list.setDrainTime(Millis(9000));
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(4000) - margin);
    list.update(Millis(2000), {instance(false)}, Millis(2000));
    list.update(Millis(3000), {instance(true)}, Millis(3000));
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(11'000) - margin);
}

// Its process was started again under the same id.
TEST(InstanceList, ForgetsADepartureOfAnInstanceThatIsReadyAgain)
{
    InstanceList list({});
    list.update(Millis(1000), {instance(true)}, Millis(1000));
    EXPECT_TRUE(list.update(Millis(2000), {instance(false)}, Millis(2000)).empty());
    EXPECT_TRUE(list.newWorkUntil().empty());
    EXPECT_EQ(list.update(Millis(3000), {instance(true)}, Millis(3000)).size(), 1U);
}

// An older list may arrive after a newer one, when a host changes its platform reader.
TEST(InstanceList, KeepsTheNewestInstantAtWhichAnInstanceWasReady)
{
    InstanceList list({});
    list.update(Millis(2000), {instance(false)}, Millis(1900));
    list.update(Millis(2100), {instance(false)}, Millis(500));
    const auto departures = list.update(Millis(3000), {instance(true)}, Millis(2990));
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_EQ(departures[0].lastReady, Millis(1900));
}

// The store was restored from a copy of before the notice.
TEST(InstanceList, TakesNoNoticeBackByAListThatIsNotSettled)
{
    InstanceList list({});
    list.update(Millis(1000), {instance(false)}, Millis(1000));
    list.update(Millis(2000), {instance(true)}, Millis(2000));
    EXPECT_TRUE(list.update(Millis(6000), {instance(false)}, Millis(6000), false).empty());
    EXPECT_TRUE(list.find("i")->leaving);
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(1000 + 7000 - 500));
    EXPECT_TRUE(list.update(Millis(9000), {instance(true)}, Millis(9000)).empty());
    EXPECT_EQ(list.newWorkUntil().at("i"), Millis(1000 + 7000 - 500));
}

// The notice was accepted just before the store was lost, and no host saw it.
TEST(InstanceList, CountsTheDrainTimeFromASettledList)
{
    InstanceList list({});
    list.update(Millis(1000), {instance(false)}, Millis(1000));
    list.update(Millis(6000), {instance(false)}, Millis(6000), false);
    const auto departures = list.update(Millis(8000), {instance(true)}, Millis(8000), false);
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_EQ(departures[0].lastReady, Millis(1000));
    EXPECT_EQ(list.readAt(), Millis(1000));
}

// It registered after the copy was made.
TEST(InstanceList, MissesNoInstanceByAListThatIsNotSettled)
{
    InstanceList list({.leavingAfterMissing = Millis(2500), .removedAfterMissing = Millis(5000)});
    list.update(Millis(0), {instance(false)}, Millis(0));
    list.update(Millis(1000), {}, Millis(1000));
    list.update(Millis(9000), {}, Millis(9000), false);
    EXPECT_FALSE(list.find("i")->leaving);
    list.update(Millis(11'000), {}, Millis(11'000));
    EXPECT_FALSE(list.find("i")->leaving);
    list.update(Millis(12'000), {}, Millis(12'000));
    EXPECT_TRUE(list.find("i")->leaving);
}

TEST(InstanceList, BringsNoEndedInstanceBackByAListThatIsNotSettled)
{
    InstanceList list({.removedAfterLeaving = Millis(500)});
    list.update(Millis(0), {instance(true)}, Millis(0));
    list.update(Millis(1000), {}, Millis(1000));
    list.update(Millis(1600), {}, Millis(1600));
    ASSERT_EQ(list.find("i"), nullptr);
    list.update(Millis(3000), {instance(false)}, Millis(3000), false);
    EXPECT_EQ(list.find("i"), nullptr);
    // Another process under the same id.
    RegisteredInstance restarted = instance(false);
    restarted.incarnation = 1;
    list.update(Millis(3100), {restarted}, Millis(3100), false);
    EXPECT_NE(list.find("i"), nullptr);
}

} // namespace
} // namespace cicadagap
