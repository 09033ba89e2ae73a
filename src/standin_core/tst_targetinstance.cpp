#include "connection/wire.h"
#include "standin_core/targetcodec.h"

#include <gtest/gtest.h>

namespace cicadagap {

namespace {

TargetInstance leader()
{
    TargetInstance instance({.name = "t1"});
    instance.follow(1, std::nullopt);
    instance.promote(1, {"t1", "t2", "t3"});
    return instance;
}

ExecuteRequest request(const std::string &operations)
{
    return *decodeExecute("{\"term\":1,\"ops\":" + operations + "}", nullptr);
}

} // namespace

TEST(TargetInstance, ExpiresOnlyOldLedgerRows)
{
    TargetInstance instance = leader();
    const TargetCall old{.term = 1, .requestId = "old", .ledgerValue = "ran"};
    const TargetCall fresh{.term = 1, .requestId = "fresh", .ledgerValue = "ran"};
    instance.execute(1, *decodeExecute(encodeTargetCall(old, Millis(1000)), nullptr));
    instance.execute(1, *decodeExecute(encodeTargetCall(fresh, Millis(5000)), nullptr));
    instance.execute(1, request(encodeLedgerCleanup(Millis(3000))));
    const auto rows = instance.rows("cicadagap_ledger");
    EXPECT_FALSE(rows.contains("old"));
    EXPECT_TRUE(rows.contains("fresh"));
}

TEST(TargetInstance, CutsOffAnUnacknowledgedTail)
{
    TargetInstance old = leader();
    old.execute(1, request(R"([{"op":"append","table":"t","key":"k","value":"lost"}])"));
    TargetInstance next({.name = "t2"});
    next.follow(2, std::nullopt);
    ASSERT_TRUE(next.promote(2, {"t1", "t2", "t3"}));
    // The old primary meets the new term, refuses what does not fit, and takes the new log.
    ReplicateAnswer answer;
    for (int i = 0; i < 5 && !answer.accepted; ++i) {
        answer = old.onReplicate(*next.replicationFor("t1"));
        next.onReplicateAnswer("t1", answer, Millis(i));
    }
    EXPECT_TRUE(answer.accepted);
    EXPECT_EQ(old.log(), next.log());
    EXPECT_TRUE(old.values("t", "k").empty());
    EXPECT_FALSE(old.status().primary);
}

TEST(TargetInstance, RefusesStatementsOutsideAndInsideTransactions)
{
    TargetInstance instance = leader();
    ExecuteRequest inside = request(R"([{"op":"append","table":"t","key":"k","value":"v"}])");
    inside.inTransaction = true;
    EXPECT_EQ(instance.execute(1, inside).cause, Cause::NoTransaction);
    instance.begin(1, 1);
    EXPECT_EQ(instance.execute(1, request("[]")).cause, Cause::Invalid);
    EXPECT_EQ(instance.interleavedTransactions(), 1U);
    EXPECT_EQ(instance.execute(1, inside).cause, Cause::None);
    EXPECT_TRUE(instance.values("t", "k").empty());
    instance.commit(1, {});
    EXPECT_EQ(instance.values("t", "k").size(), 1U);
}

} // namespace cicadagap
