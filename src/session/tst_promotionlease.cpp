// Tests of the rows that hold promotion leases.
#include "session/promotionlease.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace cicadagap {
namespace {

struct LeaseCase
{
    std::string name;
    std::optional<PromotionLease> current;
    std::optional<std::uint64_t> token; // Of the new lease; nothing if it cannot be acquired.
    std::uint64_t era = 0;
};

class PromotionLeaseRows : public testing::TestWithParam<LeaseCase>
{
};

TEST_P(PromotionLeaseRows, CanBeAcquiredOnlyWhenFree)
{
    constexpr Millis StoreNow(1000);
    const std::optional<PromotionLease> lease
        = nextLease(GetParam().current, "a", {.now = StoreNow, .era = GetParam().era});
    ASSERT_EQ(lease.has_value(), GetParam().token.has_value());
    if (!lease)
        return;
    EXPECT_EQ(lease->fencingToken, *GetParam().token);
    EXPECT_EQ(lease->until, StoreNow + LeaseDuration);
    EXPECT_EQ(parseLease(leaseText(*lease), nullptr), lease);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, PromotionLeaseRows,
    testing::Values(
        LeaseCase{"absent", std::nullopt, 1},
        LeaseCase{"held", PromotionLease{"b", 4, Millis(1001)}, std::nullopt},
        LeaseCase{"lapsed", PromotionLease{"b", 4, Millis(1000)}, 5},
        LeaseCase{"own", PromotionLease{"a", 4, Millis(9000)}, 5},
        LeaseCase{"absentInALaterEra", std::nullopt, 2 * TokensPerEra + 1, 2},
        LeaseCase{"ofAnEarlierEra", PromotionLease{"b", 4, Millis(1000)}, 2 * TokensPerEra + 1, 2},
        LeaseCase{"ofTheSameEra", PromotionLease{"b", 2 * TokensPerEra + 7, Millis(1000)},
                  2 * TokensPerEra + 8, 2}),
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
    constexpr Millis StoreNow(1000);
    const PromotionLease current{"a", 4, Millis(3000)};
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
    EXPECT_EQ(nextLease(next, "b", {.now = lapse - Millis(1)})->candidate, "i1");
    EXPECT_EQ(nextLease(next, "b", {.now = lapse})->candidate, "");
    EXPECT_EQ(leaseWithCandidate(next, "a", 4, "", StoreNow), current);
}

INSTANTIATE_TEST_SUITE_P(Rows, PromotionLeaseCandidates,
                         testing::Values(CandidateCase{"own", "a", 4, true},
                                         CandidateCase{"ofAnotherHost", "b", 4, false},
                                         CandidateCase{"ofAnEarlierLease", "a", 3, false}),
                         [](const auto &info) { return info.param.name; });

TEST(PromotionLeaseText, IsRefusedIfInvalid)
{
    for (const char *text :
         {"", "{}", "[]", R"({"holder":1,"fencingToken":1,"untilMs":1})",
          R"({"holder":"a","fencingToken":-1,"untilMs":1})",
          R"({"holder":"a","fencingToken":1,"untilMs":"x"})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"candidate":"i"})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"candidate":1,"candidateUntilMs":2})",
          R"({"holder":"a","fencingToken":1,"untilMs":1,"candidateUntilMs":2})"}) {
        Reason reason;
        EXPECT_FALSE(parseLease(text, &reason)) << text;
        EXPECT_FALSE(reason.text().empty());
    }
}

} // namespace
} // namespace cicadagap
