// Tests of PrimaryTracker: evidence about a group's primary that arrives late or out of order.
#include "session/primarytracker.h"

#include "session/readlease.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

// A piece of evidence. A case lists them in the order of arrival.
struct Event
{
    enum class Kind {
        ProvenPrimary,   // Proven by the answer to a request that was sent at `sentAt`.
        NotPrimary,      // Denied by the answer to such a request.
        ReportedPrimary, // By a gateway.
        RegisteredA,     // "a" is registered as the primary.
        RegisteredB,     // "b" is registered as the primary.
    };

    Kind kind = Kind::ProvenPrimary;
    std::string instance;
    Millis at;
    Millis sentAt;
    std::uint64_t term = 1;
};

struct PrimaryTrackerCase
{
    const char *name;
    bool probing = true;
    std::vector<Event> events;
    std::string primary;
};

class PrimaryTrackerEvents : public testing::TestWithParam<PrimaryTrackerCase>
{
protected:
    static void apply(const Event &event, PrimaryTracker *tracker)
    {
        switch (event.kind) {
        case Event::Kind::ProvenPrimary:
            tracker->onProvenPrimary(event.at, event.instance, event.sentAt, {.term = event.term});
            return;
        case Event::Kind::NotPrimary:
            tracker->onNotPrimary(event.at, event.instance, event.sentAt);
            return;
        case Event::Kind::ReportedPrimary:
            tracker->onReportedPrimary(event.at, event.instance);
            return;
        case Event::Kind::RegisteredA:
        case Event::Kind::RegisteredB:
            const bool aIsPrimary = event.kind == Event::Kind::RegisteredA;
            tracker->setInstances(
                event.at,
                {{.id = "a", .registeredAsPrimary = aIsPrimary, .incarnation = 1},
                 {.id = "b", .registeredAsPrimary = !aIsPrimary, .incarnation = 1},
                 {.id = "c", .incarnation = 1}});
            return;
        }
    }
};

TEST_P(PrimaryTrackerEvents, UsesTheNewestEvidence)
{
    PrimaryTracker tracker;
    tracker.setProbing(GetParam().probing);
    for (const Event &event : GetParam().events)
        apply(event, &tracker);
    EXPECT_EQ(tracker.primary(), GetParam().primary);
}

using Kind = Event::Kind;

INSTANTIATE_TEST_SUITE_P(
    All, PrimaryTrackerEvents,
    testing::Values(
        PrimaryTrackerCase{.name = "registeredRole",
                           .events = {{Kind::RegisteredA, "", Millis(0)}},
                           .primary = "a"},
        // The request was sent before the promotion.
        PrimaryTrackerCase{.name = "denialOlderThanTheProof",
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::NotPrimary, "b", Millis(1030), Millis(900)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "denialNewerThanTheProof",
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::NotPrimary, "b", Millis(1030), Millis(1010)}},
                           .primary = ""},
        // The failed primary's entry remains in the list for a while.
        PrimaryTrackerCase{.name = "roleOfAPrimaryThatWasReplaced",
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::RegisteredA, "", Millis(1200)},
                                      {Kind::NotPrimary, "b", Millis(1600), Millis(1500)}},
                           .primary = ""},
        PrimaryTrackerCase{.name = "relayedProofOutlivesAnOldRole",
                           .probing = false,
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "b", Millis(1000), Millis(990), 2},
                                      {Kind::RegisteredA, "", Millis(1200)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "gatewaysReportOutlivesAnOldRole",
                           .probing = false,
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ReportedPrimary, "b", Millis(1000)},
                                      {Kind::RegisteredA, "", Millis(1200)}},
                           .primary = "b"},
        PrimaryTrackerCase{.name = "aNewRoleIsAccepted",
                           .probing = false,
                           .events = {{Kind::RegisteredA, "", Millis(0)},
                                      {Kind::ProvenPrimary, "a", Millis(500), Millis(490), 1},
                                      {Kind::RegisteredB, "", Millis(1200)}},
                           .primary = "b"}),
    [](const auto &info) { return std::string(info.param.name); });

// A primary that is trusted only under a read lease. The group has the instances a (the primary of
// term 2), b and c.
class LeasedPrimary : public testing::Test
{
protected:
    LeasedPrimary()
    {
        tracker.setInstances(Millis(0), {{.id = "a"}, {.id = "b"}, {.id = "c"}});
        tracker.onProvenPrimary(Millis(110), "a", Millis(100), {2, 7});
    }

    bool hasSample() const { return tracker.replicaAge().newestSample().has_value(); }

    PrimaryTracker tracker{{.needsReadLease = true}};
};

TEST_F(LeasedPrimary, IsTrustedWithEvidenceOnly)
{
    EXPECT_EQ(tracker.primary(), "a");
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(100)));
    EXPECT_FALSE(hasSample());
    tracker.onCommitAcknowledged("a", Millis(100));
    EXPECT_TRUE(tracker.wasPrimaryAt("a", Millis(100) + ReadLeaseDuration));
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(101) + ReadLeaseDuration));
    EXPECT_FALSE(tracker.wasPrimaryAt("b", Millis(100)));
    EXPECT_TRUE(hasSample());
}

// Once it has become a replica itself, its status says nothing about the others.
TEST_F(LeasedPrimary, IsNotTrustedForItsOwnStatusAsAReplica)
{
    tracker.onNotPrimary(Millis(300), "a", Millis(250));
    tracker.onStatus(Millis(310), "a", Millis(260), {.primary = false, .term = 2});
    EXPECT_FALSE(hasSample());
    tracker.onProvenPrimary(Millis(320), "a", Millis(270), {2, 8});
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(280)));
}

TEST_F(LeasedPrimary, IsTrustedForTheStatusOfAReplicaThatReceives)
{
    tracker.onStatus(Millis(140), "b", Millis(120), {.term = 2, .pausedTerm = 3});
    tracker.onStatus(Millis(160), "c", Millis(145), {.term = 2, .pausedTerm = 3});
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(120)));
    tracker.onStatus(Millis(250), "b", Millis(230), {.term = 2});
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(230)));
    tracker.onStatus(Millis(270), "c", Millis(250), {.term = 2, .pausedTerm = 3});
    EXPECT_TRUE(tracker.wasPrimaryAt("a", Millis(230) + ReadLeaseDuration));
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(231) + ReadLeaseDuration));
}

// A replica that was released after a promotion, and has not heard of it, looks like one that was
// never sealed. The new primary's answer tells.
TEST_F(LeasedPrimary, IsNotTrustedForAReplicaThatHasNotHeardOfItsSuccessor)
{
    tracker.onStatus(Millis(200), "b", Millis(180), {.term = 2});
    // Asked before the answer of b arrived: c may have become primary in between.
    tracker.onStatus(Millis(210), "c", Millis(199), {.term = 2});
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(180)));
    tracker.onStatus(Millis(260), "c", Millis(240), {.primary = true, .term = 3});
    EXPECT_EQ(tracker.primary(), "c");
    EXPECT_FALSE(tracker.wasPrimaryAt("c", Millis(180)));
}

// A promoter may have stopped before it let the replicas receive again. Without a sealed replica,
// statements may wait because this host has no connection yet, as after a loss of all power.
class WaitForEvidence : public LeasedPrimary, public testing::WithParamInterface<bool>
{
};

TEST_P(WaitForEvidence, CountsAsStallIfAReplicaIsSealed)
{
    const bool sealed = GetParam();
    Millis now(500);
    for (; now <= Millis(2200); now = now + Millis(20)) {
        tracker.onTick(now);
        tracker.onProvenPrimary(now, "a", now, {2, 7});
        tracker.onWaitForReadLease(now, Millis(500));
        if (sealed)
            tracker.onStatus(now, "b", now, {.term = 2, .pausedTerm = 3});
        const bool expected = sealed && now > Millis(500 + 1500);
        EXPECT_EQ(tracker.cause(now) == PrimaryChangeCause::Stalled, expected) << now.count();
    }
    tracker.onProvenPrimary(now + Millis(200), "a", now + Millis(200), {2, 7});
    EXPECT_EQ(tracker.cause(now + Millis(200)), PrimaryChangeCause::None);
}

INSTANTIATE_TEST_SUITE_P(All, WaitForEvidence, testing::Bool(),
                         [](const auto &info) { return info.param ? "sealed" : "noneSealed"; });

// Without evidence only a write is let through, and only while nothing hints at a change.
TEST_F(LeasedPrimary, ServesWritesUnlessThereAreSignsOfAChange)
{
    EXPECT_TRUE(tracker.mayServe(Millis(500), "a", Millis(500), /*onlyWrites=*/true));
    EXPECT_FALSE(tracker.mayServe(Millis(500), "a", Millis(500), /*onlyWrites=*/false));
    EXPECT_FALSE(tracker.mayServe(Millis(500), "b", Millis(500), /*onlyWrites=*/true));
    tracker.onStatus(Millis(510), "b", Millis(500), {.term = 2, .pausedTerm = 3});
    EXPECT_FALSE(tracker.mayServe(Millis(520), "a", Millis(520), /*onlyWrites=*/true));
    EXPECT_TRUE(tracker.mayServe(Millis(2000), "a", Millis(2000), /*onlyWrites=*/true));
    tracker.onStatus(Millis(2010), "b", Millis(2000), {.term = 3});
    EXPECT_FALSE(tracker.mayServe(Millis(5000), "a", Millis(5000), /*onlyWrites=*/true));
}

// Once an instance has reported a later term, transactions at the primary of an earlier one prove
// nothing.
TEST_F(LeasedPrimary, IsNotProvenAfterALaterTermWasReported)
{
    tracker.onCommitAcknowledged("a", Millis(100));
    tracker.onNotPrimary(Millis(150), "a", Millis(140));
    tracker.onStatus(Millis(160), "b", Millis(150), {.term = 3});
    tracker.onProvenPrimary(Millis(200), "a", Millis(190), {2, 8});
    EXPECT_EQ(tracker.primary(), "");
}

TEST_F(LeasedPrimary, IsDroppedOnceAReplicaHoldsEntriesOfALaterTerm)
{
    tracker.onPosition(Millis(200), "b", Millis(190), {3, 9});
    EXPECT_EQ(tracker.primary(), "");
}

// What an old primary holds beyond its successor's log was never received by anyone.
TEST_F(LeasedPrimary, IsNotTrustedForEntriesOfItsPredecessor)
{
    tracker.onProvenPrimary(Millis(400), "b", Millis(390), {2, 6});
    tracker.onPosition(Millis(400), "b", Millis(390), {2, 6});
    tracker.onPosition(Millis(420), "a", Millis(410), {2, 9});
    EXPECT_FALSE(tracker.wasPrimaryAt("b", Millis(390)));
}

// This host may not know that the instance was primary, but the instance says so itself.
TEST_F(LeasedPrimary, IsNotTrustedForEntriesOfAnInstanceThatRegisteredAsPrimary)
{
    tracker.onPosition(Millis(110), "a", Millis(100), {2, 7});
    tracker.setInstances(Millis(120),
                         {{.id = "a"}, {.id = "b"}, {.id = "c", .registeredAsPrimary = true}});
    tracker.onPosition(Millis(130), "c", Millis(125), {2, 9});
    EXPECT_FALSE(tracker.wasPrimaryAt("a", Millis(100)));
    tracker.onPosition(Millis(140), "b", Millis(135), {2, 9});
    EXPECT_TRUE(tracker.wasPrimaryAt("a", Millis(100)));
}

TEST_F(LeasedPrimary, IsQueriedOnlyWhileAStatementWaits)
{
    const std::vector<std::string> all{"a", "b", "c"};
    const std::vector<std::string> replicas{"b", "c"};
    EXPECT_TRUE(tracker.instancesToLocate(Millis(500)).empty());
    EXPECT_TRUE(tracker.instancesToQuery(Millis(500)).empty());
    for (Millis now(500); now < Millis(700); now = now + Millis(20)) {
        tracker.onWaitForReadLease(now, Millis(500));
        EXPECT_TRUE(tracker.instancesToQuery(now).empty()) << now.count();
    }
    EXPECT_EQ(tracker.instancesToLocate(Millis(700)), all);
    EXPECT_TRUE(tracker.instancesToLocate(Millis(710)).empty());
    EXPECT_EQ(tracker.instancesToQuery(Millis(700)), replicas);
    EXPECT_TRUE(tracker.instancesToQuery(Millis(710)).empty());
    tracker.onCommitAcknowledged("a", Millis(760));
    EXPECT_TRUE(tracker.instancesToLocate(Millis(770)).empty());
    EXPECT_TRUE(tracker.instancesToQuery(Millis(770)).empty());
}

// Guards against this failure: while a long version of the configuration arrived, all primaries
// were taken for failed, since their answers waited behind it.
TEST(PrimaryTracker, HoldsNoSilenceAgainstAnInstanceWhileTheOwnLinkIsFull)
{
    constexpr Millis Tick(50);
    constexpr Millis FreeAt(2000);
    PrimaryTracker tracker;
    tracker.setInstances(Millis(0), {{.id = "a", .registeredAsPrimary = true}, {.id = "b"}});
    tracker.onProvenPrimary(Millis(0), "a", Millis(0), {.term = 1});
    tracker.onRequestSent(Millis(0), "a");
    Millis now(0);
    for (; now < FreeAt; now = now + Tick) {
        tracker.excuseSilence(now);
        tracker.onTick(now);
        ASSERT_EQ(tracker.primary(), "a");
    }
    // An instance that failed meanwhile is noticed as soon afterwards as at any other time.
    for (; now < FreeAt + Millis(650); now = now + Tick)
        tracker.onTick(now);
    EXPECT_EQ(tracker.cause(now - Tick), PrimaryChangeCause::None);
    tracker.onTick(now + Tick);
    EXPECT_EQ(tracker.cause(now + Tick), PrimaryChangeCause::Unreachable);
}

// Two instances may be registered as primary. If neither answers, the primary has to be replaced;
// it must not be looked for at one and the other by turns.
TEST(PrimaryTracker, DoesNotTurnFromOneSilentPrimaryToAnother)
{
    PrimaryTracker tracker;
    const std::vector<RegisteredInstance> instances{{.id = "a", .registeredAsPrimary = true},
                                                    {.id = "b", .registeredAsPrimary = true},
                                                    {.id = "c"}};
    tracker.setInstances(Millis(0), instances);
    tracker.onRequestSent(Millis(0), "a");
    tracker.onRequestSent(Millis(0), "b");
    for (Millis now(20); now <= Millis(1000); now = now + Millis(20))
        tracker.onTick(now);
    EXPECT_EQ(tracker.primary(), "");
    EXPECT_EQ(tracker.cause(Millis(1000)), PrimaryChangeCause::Unreachable);
}

// A statement that was sent to a primary before it was replaced may never be answered.
TEST(PrimaryTracker, CountsOnlyWritesAtThePresentPrimaryAsWaiting)
{
    PrimaryTracker tracker;
    tracker.setInstances(Millis(0), {{.id = "a"}, {.id = "b"}});
    tracker.onProvenPrimary(Millis(100), "a", Millis(90), {1, 1});
    EXPECT_TRUE(tracker.concernsPrimary("a", Millis(100)));
    tracker.onProvenPrimary(Millis(200), "b", Millis(190), {2, 1});
    tracker.onProvenPrimary(Millis(300), "a", Millis(290), {3, 1});
    EXPECT_FALSE(tracker.concernsPrimary("a", Millis(100)));
    EXPECT_FALSE(tracker.concernsPrimary("b", Millis(300)));
    EXPECT_TRUE(tracker.concernsPrimary("a", Millis(300)));
}

} // namespace
} // namespace cicadagap
