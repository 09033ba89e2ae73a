// Tests of the evidence that a primary has not been replaced. The group has the primary a and the
// replicas b and c.
#include "session/readlease.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

// A piece of evidence. A case lists them in the order of arrival.
struct Evidence
{
    enum class Kind {
        Commit,          // Acknowledged by the primary.
        PrimaryPosition, // The end of the primary's log.
        ReplicaPosition, // Held by the replica.
        Unsealed,        // The replica's answer to a status query.
        Reset,
    };

    Kind kind = Kind::Commit;
    std::string replica;
    Millis sentAt;
    Position end;
};

using Kind = Evidence::Kind;

struct ReadLeaseCase
{
    std::string name;
    int syncReplicas = 1;
    std::vector<Evidence> evidence;
    std::optional<Millis> renewedAt; // The lease lasts from here; nothing without a lease.
};

class ReadLeaseEvidence : public testing::TestWithParam<ReadLeaseCase>
{
};

TEST_P(ReadLeaseEvidence, RenewsTheLease)
{
    ReadLease lease;
    lease.setSyncReplicas(GetParam().syncReplicas);
    for (const Evidence &evidence : GetParam().evidence) {
        switch (evidence.kind) {
        case Kind::Commit:
            lease.onCommitAcknowledged(evidence.sentAt);
            break;
        case Kind::PrimaryPosition:
            lease.onPrimaryPosition(evidence.sentAt, evidence.end);
            break;
        case Kind::ReplicaPosition:
            lease.onReplicaPosition(evidence.replica, evidence.end);
            break;
        case Kind::Unsealed:
            lease.onReplicaUnsealed(evidence.replica, evidence.sentAt);
            break;
        case Kind::Reset:
            lease.reset();
            break;
        }
    }
    std::optional<Millis> end;
    if (GetParam().renewedAt)
        end = *GetParam().renewedAt + ReadLeaseDuration;
    EXPECT_EQ(lease.until(), end);
    EXPECT_EQ(lease.covers(end.value_or(Millis(0))), end.has_value());
    EXPECT_FALSE(lease.covers(end.value_or(Millis(0)) + Millis(1)));
}

INSTANTIATE_TEST_SUITE_P(
    All, ReadLeaseEvidence,
    testing::Values(
        ReadLeaseCase{.name = "none", .evidence = {}},
        ReadLeaseCase{.name = "commit",
                      .evidence = {{Kind::Commit, "", Millis(100)}},
                      .renewedAt = Millis(100)},
        ReadLeaseCase{.name = "olderCommitLater",
                      .evidence = {{Kind::Commit, "", Millis(100)}, {Kind::Commit, "", Millis(70)}},
                      .renewedAt = Millis(100)},
        // The entry after 2.7 was appended after the answer to the request of 100.
        ReadLeaseCase{.name = "replicaBeyondThePrimarysPosition",
                      .evidence = {{Kind::PrimaryPosition, "", Millis(100), {2, 7}},
                                   {Kind::PrimaryPosition, "", Millis(150), {2, 9}},
                                   {Kind::ReplicaPosition, "b", Millis(0), {2, 8}}},
                      .renewedAt = Millis(100)},
        ReadLeaseCase{.name = "replicaAtThePrimarysPosition",
                      .evidence = {{Kind::PrimaryPosition, "", Millis(100), {2, 7}},
                                   {Kind::ReplicaPosition, "b", Millis(0), {2, 7}}}},
        // The entries of another term came from another primary.
        ReadLeaseCase{.name = "replicaInAnotherTerm",
                      .evidence = {{Kind::PrimaryPosition, "", Millis(100), {2, 7}},
                                   {Kind::ReplicaPosition, "b", Millis(0), {3, 8}}}},
        ReadLeaseCase{.name = "status",
                      .evidence = {{Kind::Unsealed, "b", Millis(40)}},
                      .renewedAt = Millis(40)},
        // With two synchronous replicas, one that is not sealed does not prevent a promotion.
        ReadLeaseCase{.name = "oneOfTwoStatuses",
                      .syncReplicas = 2,
                      .evidence
                      = {{Kind::Unsealed, "b", Millis(40)}, {Kind::Unsealed, "b", Millis(80)}}},
        ReadLeaseCase{.name = "bothStatuses",
                      .syncReplicas = 2,
                      .evidence
                      = {{Kind::Unsealed, "b", Millis(40)}, {Kind::Unsealed, "c", Millis(90)}},
                      .renewedAt = Millis(40)},
        ReadLeaseCase{.name = "withoutSynchronousReplicas",
                      .syncReplicas = 0,
                      .evidence
                      = {{Kind::Commit, "", Millis(100)}, {Kind::Unsealed, "b", Millis(40)}}},
        ReadLeaseCase{.name = "reset",
                      .evidence = {{Kind::PrimaryPosition, "", Millis(100), {2, 7}},
                                   {Kind::Commit, "", Millis(100)},
                                   {Kind::Reset, "", Millis(0)},
                                   {Kind::ReplicaPosition, "b", Millis(0), {2, 8}}}}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace cicadagap
