// Tests of the rows that hold promotion leases.
#include "session/promotionlease.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>

namespace cicadagap {
namespace {

constexpr Millis StoreNow(100'000);

struct LeaseCase
{
    std::string name;
    std::optional<PromotionLease> current;
    StoreInstant instant;
    std::optional<std::uint64_t> token; // Of the new lease; nothing if it cannot be acquired.
    Millis heldFor;                     // Without a token.
    bool fencedPromotions = true;
    Millis openUntil; // With a token.
};

class PromotionLeaseRows : public testing::TestWithParam<LeaseCase>
{
};

TEST_P(PromotionLeaseRows, CanBeAcquiredOnlyWhenFree)
{
    const LeaseOffer offer = nextLease(GetParam().current, "a", GetParam().instant,
                                       {.fencedPromotions = GetParam().fencedPromotions});
    ASSERT_EQ(offer.lease.has_value(), GetParam().token.has_value());
    if (!offer.lease) {
        EXPECT_EQ(offer.heldFor, GetParam().heldFor);
        return;
    }
    EXPECT_EQ(offer.lease->fencingToken, *GetParam().token);
    EXPECT_EQ(offer.lease->until, StoreNow + LeaseDuration);
    EXPECT_EQ(offer.lease->candidateUntil, GetParam().openUntil);
    EXPECT_EQ(offer.lease->candidate, "");
    EXPECT_EQ(parseLease(leaseText(*offer.lease), nullptr), offer.lease);
}

PromotionLease leaseOf(const std::string &holder, std::uint64_t token, Millis until,
                       std::uint64_t epoch = 0)
{
    return {.holder = holder, .fencingToken = token, .until = until, .epoch = epoch};
}

constexpr StoreInstant NoEpoch{.now = StoreNow};

// Epoch 2, which began so long ago.
constexpr StoreInstant secondEpoch(Millis age)
{
    return {.now = StoreNow, .epoch = 2, .epochSeenAt = StoreNow - age};
}

constexpr Millis Ahead(1);
constexpr std::uint64_t FirstToken = 2 * TokensPerEpoch + 1;

INSTANTIATE_TEST_SUITE_P(
    Rows, PromotionLeaseRows,
    testing::Values(
        LeaseCase{"absent", std::nullopt, NoEpoch, 1},
        LeaseCase{"held", leaseOf("b", 4, StoreNow + Ahead), NoEpoch, std::nullopt, Ahead},
        LeaseCase{"lapsed", leaseOf("b", 4, StoreNow), NoEpoch, 5},
        LeaseCase{"own", leaseOf("a", 4, StoreNow + Millis(9000)), NoEpoch, 5},
        LeaseCase{"absentInAnOldEpoch", std::nullopt, secondEpoch(ForgottenRequestLimit),
                  FirstToken},
        LeaseCase{"ofAnEarlierEpochInAnOldEpoch", leaseOf("b", 4, Millis(0), 1),
                  secondEpoch(ForgottenRequestLimit), FirstToken},
        LeaseCase{"ofTheSameEpochThatBeganNow", leaseOf("b", FirstToken + 6, StoreNow, 2),
                  secondEpoch(Millis(0)), FirstToken + 7},
        // The lost row may have held a lease that another host acquired just before.
        LeaseCase{"absentWhileALostHolderMayAct", std::nullopt, secondEpoch(LeaseDuration - Ahead),
                  std::nullopt, Ahead},
        LeaseCase{"ownOfAnEarlierEpochWhileALostHolderMayAct", leaseOf("a", 4, StoreNow, 1),
                  secondEpoch(LeaseDuration - Ahead), std::nullopt, Ahead},
        LeaseCase{"absentWhileALostRequestMayBeCarriedOut", std::nullopt,
                  secondEpoch(LeaseDuration), FirstToken, Millis(0), true,
                  StoreNow - LeaseDuration + ForgottenRequestLimit},
        LeaseCase{"unfencedWhileALostRequestMayBeCarriedOut", std::nullopt,
                  secondEpoch(LatePromotionLimit - Ahead), std::nullopt, Ahead, false},
        LeaseCase{"unfencedAfterLostRequests", std::nullopt, secondEpoch(LatePromotionLimit),
                  FirstToken, Millis(0), false},
        // An old build wrote the row in the present epoch.
        LeaseCase{"withoutAnEpochAndHeld", leaseOf("b", 7, StoreNow + Ahead),
                  secondEpoch(ForgottenRequestLimit), std::nullopt, Ahead},
        LeaseCase{"withoutAnEpochAndATokenOfThisOne", leaseOf("b", FirstToken, StoreNow),
                  secondEpoch(ForgottenRequestLimit), FirstToken + 1}),
    [](const auto &info) { return info.param.name; });

struct CandidateCase
{
    std::string name;
    std::string holder;
    std::uint64_t token = 0;
    bool written = false;
};

class PromotionLeaseCandidates : public testing::TestWithParam<CandidateCase>
{
};

TEST_P(PromotionLeaseCandidates, AreWrittenOnlyUnderTheLease)
{
    const PromotionLease current = leaseOf("a", 4, StoreNow + Millis(2000));
    const std::optional<PromotionLease> next
        = leaseWithCandidate(current, GetParam().holder, GetParam().token, "i1", StoreNow);
    ASSERT_EQ(next.has_value(), GetParam().written);
    if (!next)
        return;
    EXPECT_EQ(next->candidate, "i1");
    EXPECT_EQ(next->candidateUntil, StoreNow + LatePromotionLimit);
    EXPECT_EQ(next->until, current.until);
    EXPECT_EQ(parseLease(leaseText(*next), nullptr), next);
    // The next holder has to know of it for as long as a request for it may be carried out.
    const Millis lapse = next->candidateUntil;
    EXPECT_EQ(nextLease(next, "b", {.now = lapse - Ahead}, {}).lease->candidate, "i1");
    EXPECT_EQ(nextLease(next, "b", {.now = lapse}, {}).lease->candidate, "");
    EXPECT_EQ(leaseWithCandidate(next, "a", 4, "", StoreNow), current);
}

INSTANTIATE_TEST_SUITE_P(Rows, PromotionLeaseCandidates,
                         testing::Values(CandidateCase{"own", "a", 4, true},
                                         CandidateCase{"ofAnotherHost", "b", 4, false},
                                         CandidateCase{"ofAnEarlierLease", "a", 3, false}),
                         [](const auto &info) { return info.param.name; });

// A request that the store has forgotten may promote any instance, until its time is over.
TEST(PromotionLeaseCandidates, KeepAForgottenRequestOpen)
{
    PromotionLease current = leaseOf("a", FirstToken, StoreNow + LeaseDuration, 2);
    current.candidateUntil = StoreNow + Millis(2000);
    const auto recorded = leaseWithCandidate(current, "a", FirstToken, "i1", StoreNow);
    ASSERT_TRUE(recorded);
    EXPECT_EQ(recorded->candidate, "");
    EXPECT_EQ(recorded->candidateUntil, StoreNow + LatePromotionLimit);
    EXPECT_EQ(leaseWithCandidate(current, "a", FirstToken, "", StoreNow), current);
    const Millis later = current.candidateUntil;
    EXPECT_EQ(leaseWithCandidate(current, "a", FirstToken, "i1", later)->candidate, "i1");
}

// A resume may be sent until its lease ends, and is carried out late.
TEST(PromotionLeaseResumes, AreKnownToLaterHoldersForAsLongAsTheyMayBeCarriedOut)
{
    const PromotionLease first = leaseOf("a", 4, StoreNow + LeaseDuration);
    const std::optional<PromotionLease> named = leaseWithResumes(first, "a", 4, {"i1", "i2"});
    ASSERT_TRUE(named);
    EXPECT_EQ(parseLease(leaseText(*named), nullptr), named);
    const Millis end = named->until + LateCommandLimit;

    const StoreInstant lapse{.now = named->until};
    const PromotionLease second = *nextLease(named, "b", lapse, {}).lease;
    EXPECT_TRUE(second.resumes.empty());
    EXPECT_EQ(second.openResumes, (std::map<std::string, Millis>{{"i1", end}, {"i2", end}}));
    EXPECT_EQ(parseLease(leaseText(second), nullptr), second);
    // The holders after that one know of them too. What it takes out is its own.
    const PromotionLease settled = *leaseWithResumes(second, "b", 5, {});
    EXPECT_EQ(nextLease(settled, "b", {.now = end - Ahead}, {}).lease->openResumes,
              second.openResumes);
    EXPECT_TRUE(nextLease(settled, "b", {.now = end}, {}).lease->openResumes.empty());
}

TEST(PromotionLeaseResumes, AreForgottenOnceAllWereAnswered)
{
    const PromotionLease first = leaseOf("a", 4, StoreNow + LeaseDuration);
    const PromotionLease named = *leaseWithResumes(first, "a", 4, {"i1"});
    EXPECT_EQ(leaseWithResumes(named, "a", 4, {}), first);
    EXPECT_FALSE(leaseWithResumes(named, "a", 3, {}));
    EXPECT_FALSE(leaseWithResumes(named, "b", 4, {}));
}

// A host counts on its own clock.
TEST(PromotionLeaseResumes, EndOnTheHostsClock)
{
    PromotionLease lease = leaseOf("a", 4, StoreNow + LeaseDuration);
    lease.openResumes["i1"] = StoreNow + Millis(700);
    const LeaseResult result = acquiredLease(
        lease, {.requestedAt = Millis(40), .readAt = Millis(50), .storeNow = StoreNow});
    EXPECT_EQ(result.actUntil, Millis(40) + LeaseActingTime);
    EXPECT_EQ(result.openResumes, (std::map<std::string, Millis>{{"i1", Millis(750)}}));
}

TEST(PromotionLeaseText, IsRefusedIfInvalid)
{
    for (const char *text :
         {"", "{}", "[]", R"({"holder":1,"fencingToken":1,"untilMs":1})",
          R"({"holder":"a","fencingToken":-1,"untilMs":1})",
          R"({"holder":"a","fencingToken":1,"untilMs":"x"})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"epoch":"x"})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"epoch":-1})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"candidate":"i"})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"candidate":1,"candidateUntilMs":2})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"candidateUntilMs":2})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"resumes":{}})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"resumes":[1]})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"openResumes":[]})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"openResumes":{"i":"x"}})"}) {
        Reason reason;
        EXPECT_FALSE(parseLease(text, &reason)) << text;
        EXPECT_FALSE(reason.text().empty());
    }
}

} // namespace
} // namespace cicadagap
