// An acknowledged write is in the log of each instance that is promoted, also when the instances
// that receive are not those that a host knows of, or change during a change of primary.
#include "changescenario.h"

#include "base/names.h"

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

// Guards against this failure (review/2): an instance that started between the request for a
// promotion and its effect let the old primary, which the promoter could not reach, acknowledge.
struct StartingCase
{
    Millis after; // The failure.
    bool listed = true;
};

class StartingInstance : public AcknowledgedWrites, public testing::WithParamInterface<StartingCase>
{
};

TEST_P(StartingInstance, LosesNoWriteWhenItStartsDuringAChange)
{
    constexpr Millis Failure(12'000);
    scenario.othersReachAll = true;
    scenario.runUntil(Failure);
    scenario.cutPrimary(0);
    scenario.at(Failure + GetParam().after, [this] {
        scenario.setListed("d", GetParam().listed);
        scenario.startInstance("d");
    });
    scenario.runUntil(End);
    EXPECT_EQ(scenario.lostWrites, std::vector<std::string>{});
    EXPECT_EQ(scenario.promotions.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Changes, StartingInstance,
                         testing::Values(StartingCase{Millis(40)}, StartingCase{Millis(60)},
                                         StartingCase{Millis(100)}, StartingCase{Millis(200)},
                                         StartingCase{Millis(300)}, StartingCase{Millis(60), false},
                                         StartingCase{Millis(200), false}),
                         [](const auto &info) {
                             return "after" + std::to_string(info.param.after.count())
                                 + (info.param.listed ? "" : "_unlisted");
                         });

// Guards against this failure (review/1): a leaving replica was the only one to receive what a cut
// primary acknowledged, and ended; a replica was promoted that had received nothing of it.
class EndedReceiver : public AcknowledgedWrites, public testing::WithParamInterface<Millis>
{
};

TEST_P(EndedReceiver, LosesNoWriteThatItAloneReceived)
{
    constexpr Millis Departure(12'000);
    constexpr Millis Cut(17'000);
    constexpr Millis EndOfReplica(19'000);
    constexpr Millis EndOfCut(24'000);
    scenario.runUntil(Departure);
    scenario.leave("c");
    scenario.runUntil(Cut);
    scenario.receiveNothing = {"b"};
    scenario.hosts[0]->unreachable = "a";
    scenario.at(EndOfReplica, [this] { scenario.end("c"); });
    // The host notices the cut only now; it would seal the leaving replica before.
    scenario.at(EndOfReplica + GetParam(),
                [this] { scenario.hosts[0]->cause = PrimaryChangeCause::Unreachable; });
    scenario.at(EndOfReplica + Millis(100), [this] {
        scenario.receiveNothing.insert("d");
        scenario.startInstance("d");
    });
    scenario.at(EndOfCut, [this] {
        scenario.receiveNothing.clear();
        scenario.hosts[0]->unreachable.clear();
    });
    scenario.runUntil(Millis(40'000));
    EXPECT_EQ(scenario.lostWrites, std::vector<std::string>{});
    ASSERT_TRUE(scenario.group.primary());
}

INSTANTIATE_TEST_SUITE_P(Changes, EndedReceiver,
                         testing::Values(Millis(0), Millis(300), Millis(2000), Millis(4000)),
                         [](const auto &info) {
                             return "noticed" + std::to_string(info.param.count());
                         });

// How the request comes to stay open.
enum class Beginning {
    Leaves,     // The primary leaves, and the platform does not answer.
    LeavesSoon, // As Leaves, but its time is nearly over, so that nothing is gained by waiting.
    Crashes,    // The primary does not run any more, and the platform does not answer.
};

constexpr NameTable<Beginning, 3> BeginningNames{{{
    {Beginning::Leaves, "leaves"},
    {Beginning::LeavesSoon, "leavesSoon"},
    {Beginning::Crashes, "crashes"},
}}};

struct OpenPromotionCase
{
    Beginning beginning = Beginning::Leaves;
    NextHolder holder = NextHolder::SameHost;
    Millis lateness;             // Of the promotions that are requested while the fault lasts.
    Millis secondDeparture;      // Of the candidate, after the first one.
    bool successorStarts = true; // Of the candidate.
};

std::string caseName(const testing::TestParamInfo<OpenPromotionCase> &info)
{
    return std::string(BeginningNames.name(info.param.beginning)) + "_"
        + std::string(NextHolderNames.name(info.param.holder)) + "_"
        + std::to_string(info.param.lateness.count()) + "late_"
        + std::to_string(info.param.secondDeparture.count())
        + (info.param.successorStarts ? "" : "_noSuccessor");
}

class OpenPromotion : public AcknowledgedWrites,
                      public testing::WithParamInterface<OpenPromotionCase>
{
protected:
    static constexpr Millis FaultTime = Millis(6000);

    void begin()
    {
        switch (GetParam().beginning) {
        case Beginning::Leaves:
            scenario.leave("a");
            return;
        case Beginning::LeavesSoon:
            scenario.leave("a", Millis(2000));
            return;
        case Beginning::Crashes:
            scenario.crashPrimary(0);
            return;
        }
    }
};

// Guards against this failure (review/8): while a request to promote an instance could still be
// carried out, that instance was sealed and another one received.
TEST_P(OpenPromotion, LosesNoWriteWhenItsCandidateLeavesToo)
{
    scenario.runUntil(DepartureTime);
    scenario.promotionLateness = GetParam().lateness;
    begin();
    scenario.at(DepartureTime + GetParam().secondDeparture, [this] {
        if (GetParam().successorStarts)
            scenario.startInstance("d");
        scenario.leave("b");
        scenario.continueOn(GetParam().holder);
    });
    scenario.at(DepartureTime + FaultTime, [this] { scenario.promotionLateness = Millis(0); });
    scenario.runUntil(End);
    EXPECT_EQ(scenario.lostWrites, std::vector<std::string>{});
    ASSERT_TRUE(scenario.group.primary());
    EXPECT_FALSE(scenario.group.primary()->leaving);
}

INSTANTIATE_TEST_SUITE_P(
    Departures, OpenPromotion,
    testing::Values(
        OpenPromotionCase{Beginning::Leaves, NextHolder::SameHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::OtherHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::RestartedHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::SameHost, Millis(6000), Millis(2000)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::OtherHost, Millis(9000), Millis(2000)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::RestartedHost, Millis(9000), Millis(1000)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::SameHost, Millis(9000), Millis(500)},
        OpenPromotionCase{Beginning::Leaves, NextHolder::SameHost, Millis(3500), Millis(2000),
                          false},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::SameHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::OtherHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::RestartedHost, Millis(3500),
                          Millis(2000)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::SameHost, Millis(6000), Millis(2000)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::OtherHost, Millis(9000), Millis(2000)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::RestartedHost, Millis(9000),
                          Millis(1000)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::SameHost, Millis(9000), Millis(500)},
        OpenPromotionCase{Beginning::LeavesSoon, NextHolder::SameHost, Millis(3500), Millis(2000),
                          false},
        OpenPromotionCase{Beginning::Crashes, NextHolder::SameHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::OtherHost, Millis(3500), Millis(2000)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::RestartedHost, Millis(3500),
                          Millis(2000)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::SameHost, Millis(6000), Millis(2000)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::OtherHost, Millis(9000), Millis(2000)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::RestartedHost, Millis(9000),
                          Millis(1000)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::SameHost, Millis(9000), Millis(500)},
        OpenPromotionCase{Beginning::Crashes, NextHolder::SameHost, Millis(3500), Millis(2000),
                          false}),
    caseName);

} // namespace
} // namespace cicadagap
