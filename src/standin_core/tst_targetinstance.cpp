#include "connection/wire.h"
#include "standin_core/targetcodec.h"

#include <gtest/gtest.h>

namespace cicadagap {

namespace {

TargetInstance primaryOfTermOne()
{
    TargetInstance instance({.name = "t1"});
    instance.follow(1, std::nullopt);
    instance.promote(1, {"t1", "t2", "t3"});
    return instance;
}

ExecuteRequest executeRequest(const std::string &operations)
{
    return *decodeExecute("{\"term\":1,\"ops\":" + operations + "}", nullptr);
}

} // namespace

TEST(TargetInstance, ExpiresOnlyOldLedgerRows)
{
    TargetInstance instance = primaryOfTermOne();
    const TargetCall old{.term = 1, .requestId = "old", .ledgerValue = "ran"};
    const TargetCall fresh{.term = 1, .requestId = "fresh", .ledgerValue = "ran"};
    instance.execute(1, *decodeExecute(encodeTargetCall(old, Millis(1000)), nullptr));
    instance.execute(1, *decodeExecute(encodeTargetCall(fresh, Millis(5000)), nullptr));
    instance.execute(1, executeRequest(encodeLedgerCleanup(Millis(3000))));
    const auto rows = instance.rows("cicadagap_ledger");
    EXPECT_FALSE(rows.contains("old"));
    EXPECT_TRUE(rows.contains("fresh"));
}

TEST(TargetInstance, DropsUnacknowledgedEntriesOfAnOldTerm)
{
    TargetInstance old = primaryOfTermOne();
    old.execute(1, executeRequest(R"([{"op":"append","table":"t","key":"k","value":"lost"}])"));
    TargetInstance newPrimary({.name = "t2"});
    newPrimary.follow(2, std::nullopt);
    ASSERT_TRUE(newPrimary.promote(2, {"t1", "t2", "t3"}));
    // The old primary adopts the new term, refuses entries that do not continue its log, and ends
    // up with the new primary's log.
    ReplicateAnswer answer;
    for (int i = 0; i < 5 && !answer.accepted; ++i) {
        answer = old.onReplicate(*newPrimary.replicationFor("t1"));
        newPrimary.onReplicateAnswer("t1", answer, Millis(i));
    }
    EXPECT_TRUE(answer.accepted);
    EXPECT_EQ(old.log(), newPrimary.log());
    EXPECT_TRUE(old.values("t", "k").empty());
    EXPECT_FALSE(old.status().primary);
}

TEST(TargetInstance, RefusesStatementsThatDoNotMatchTheTransaction)
{
    TargetInstance instance = primaryOfTermOne();
    ExecuteRequest transactionStatement
        = executeRequest(R"([{"op":"append","table":"t","key":"k","value":"v"}])");
    transactionStatement.inTransaction = true;
    EXPECT_EQ(instance.execute(1, transactionStatement).cause, Cause::NoTransaction);
    instance.begin(1, 1);
    EXPECT_EQ(instance.execute(1, executeRequest("[]")).cause, Cause::Invalid);
    EXPECT_EQ(instance.interleavedTransactions(), 1U);
    EXPECT_EQ(instance.execute(1, transactionStatement).cause, Cause::None);
    EXPECT_TRUE(instance.values("t", "k").empty());
    instance.commit(1, {});
    EXPECT_EQ(instance.values("t", "k").size(), 1U);
}

} // namespace cicadagap
