// Tests of the texts that hosts write into the store and read back: lease rows and host records.
#include "session/hostdirectory.h"
#include "session/promotionlease.h"

#include "mutatedtext.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <ostream>
#include <set>
#include <string>

namespace cicadagap {
namespace {

constexpr std::int64_t MaxStoreNumber = std::int64_t(1) << 53;

rc::Gen<Millis> anyInstant()
{
    return rc::gen::map(rc::gen::inRange<std::int64_t>(-MaxStoreNumber, MaxStoreNumber + 1),
                        [](std::int64_t count) { return Millis(count); });
}

PromotionLease anyLease()
{
    PromotionLease lease{.holder = *anyUtf8(),
                         .fencingToken
                         = *rc::gen::inRange<std::uint64_t>(0, std::uint64_t(MaxStoreNumber) + 1),
                         .until = *anyInstant(),
                         .epoch = *rc::gen::inRange<std::uint64_t>(0, 1'000'001)};
    if (*rc::gen::arbitrary<bool>()) {
        lease.candidate = *anyUtf8();
        lease.candidateUntil = Millis(*rc::gen::inRange<std::int64_t>(1, MaxStoreNumber));
    }
    lease.resumes = *rc::gen::container<std::set<std::string>>(anyUtf8());
    for (const std::string &id : *rc::gen::container<std::set<std::string>>(anyUtf8()))
        lease.openResumes[id] = *anyInstant();
    return lease;
}

HostRecord anyHostRecord()
{
    const Endpoint endpoint{.address = *rc::gen::element<std::string>("10.0.0.1", "::1"),
                            .port = *rc::gen::inRange<std::uint16_t>(1, 65535)};
    return {.host = "h" + *anyUtf8(),
            .dataCentre = *anyUtf8(),
            .peerEndpoint = endpoint,
            .weight = *rc::gen::inRange(1, 64'000) / 1000.0,
            .heartbeat = *rc::gen::arbitrary<std::uint64_t>(),
            .leaving = *rc::gen::arbitrary<bool>()};
}

TEST(LeaseRows, SurviveARoundTrip)
{
    EXPECT_TRUE(rc::check([] {
        const PromotionLease lease = anyLease();
        RC_ASSERT(parseLease(leaseText(lease), nullptr) == lease);
    }));
}

// Guards against this failure: a time in another form of the same number hid the lease, so that no
// primary of the group could be replaced.
TEST(LeaseRows, MayHoldTimesInAnyFormOfANumber)
{
    const auto lease = parseLease(R"({"holder":"a","fencingToken":2e0,"untilMs":1.5e3,)"
                                  R"("candidate":"i","candidateUntilMs":2500.0,)"
                                  R"("openResumes":{"j":3e3}})",
                                  nullptr);
    ASSERT_TRUE(lease);
    EXPECT_EQ(lease->until, Millis(1500));
    EXPECT_EQ(lease->candidateUntil, Millis(2500));
    EXPECT_EQ(lease->openResumes.at("j"), Millis(3000));
}

TEST(HostRecords, SurviveARoundTrip)
{
    EXPECT_TRUE(rc::check([] {
        const HostRecord record = anyHostRecord();
        RC_ASSERT(parseHostRecord(hostRecordText(record), nullptr) == record);
    }));
}

// Whether the lease that follows has a higher token and ends after it began.
bool canBeFollowed(const PromotionLease &lease)
{
    const StoreInstant instant{.now = Millis(MaxStoreNumber), .epoch = lease.epoch};
    const LeaseOffer offer = nextLease(lease, "another", instant, {.fencedPromotions = true});
    return !offer.lease
        || (offer.lease->fencingToken > lease.fencingToken && offer.lease->until > instant.now);
}

TEST(LeaseRows, AreRefusedOrCanBeFollowedAfterMutations)
{
    EXPECT_TRUE(rc::check([] {
        Reason reason;
        const auto lease = parseLease(mutated(leaseText(anyLease())), &reason);
        RC_ASSERT((lease ? canBeFollowed(*lease) : !reason.text().empty()));
    }));
}

TEST(HostRecords, AreRefusedOrUsableAfterMutations)
{
    EXPECT_TRUE(rc::check([] {
        Reason reason;
        const auto record = parseHostRecord(mutated(hostRecordText(anyHostRecord())), &reason);
        RC_ASSERT((record ? isUsable(*record) : !reason.text().empty()));
    }));
}

struct OddRow
{
    std::string name;
    std::string text;
};

std::ostream &operator<<(std::ostream &output, const OddRow &odd)
{
    return output << odd.name;
}

class OddLeaseRows : public testing::TestWithParam<OddRow>
{
};

// Guards against these failures: the fencing token after the greatest one was 0, and an instant
// near the greatest one overflowed.
TEST_P(OddLeaseRows, AreRefusedWithAReason)
{
    Reason reason;
    EXPECT_FALSE(parseLease(GetParam().text, &reason));
    EXPECT_FALSE(reason.text().empty());
}

std::string leaseWith(const std::string &token, const std::string &until,
                      const std::string &more = "")
{
    return R"({"holder":"a","fencingToken":)" + token + R"(,"untilMs":)" + until + more + "}";
}

INSTANTIATE_TEST_SUITE_P(
    All, OddLeaseRows,
    testing::Values(
        OddRow{"greatestToken", leaseWith("18446744073709551615", "1")},
        OddRow{"tokenBeyondTheBound", leaseWith("9007199254740993", "1")},
        OddRow{"tokenBeyondDouble", leaseWith("1e999", "1")},
        OddRow{"latestEnd", leaseWith("1", "9223372036854775807")},
        OddRow{"earliestEnd", leaseWith("1", "-9223372036854775808")},
        OddRow{"latestCandidate",
               leaseWith("1", "1", R"(,"candidate":"i","candidateUntilMs":9223372036854775807)")},
        OddRow{"latestResume", leaseWith("1", "1", R"(,"openResumes":{"i":9223372036854775807})")},
        OddRow{"greatestEpoch", leaseWith("1", "1", R"(,"epoch":18446744073709551615)")},
        OddRow{"deeplyNested", leaseWith("1", "1", R"(,"more":)" + std::string(100'000, '['))},
        OddRow{"holderThatIsNotUtf8", "{\"holder\":\"a\xff\",\"fencingToken\":1,\"untilMs\":1}"}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace cicadagap
