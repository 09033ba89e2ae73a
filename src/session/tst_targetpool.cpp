// How much work a host starts at an instance, and when the next piece may follow.
#include "session/relaygateway.h"
#include "session/targetpool.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

// Opens connections at once and counts what leaves.
class Wire : public TargetOutput
{
public:
    void openTarget(ConnectionId connection, const RegisteredInstance &) override
    {
        opening.push_back(connection);
    }
    void sendToTarget(ConnectionId, const std::vector<Statement> &statements) override
    {
        sent += statements.size();
    }
    void closeTarget(ConnectionId) override { }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }

    std::vector<ConnectionId> opening;
    std::size_t sent = 0;
};

// Opens a transaction with each piece of work, as reads that must see every commit do.
class Opener : public TargetListener
{
public:
    void onWorkStarted(Millis now, WorkId, ConnectionId connection) override
    {
        started.push_back(connection);
        pool->send(now, connection, SendPurpose::OpenTransaction, {.kind = StatementKind::Begin});
    }
    void onWorkRefused(Millis, WorkId, Cause) override { }
    void onWorkAnswer(Millis now, WorkId, ConnectionId connection, SendPurpose purpose,
                      StatementKind, Millis, const StatementAnswer &) override
    {
        if (purpose == SendPurpose::OpenTransaction)
            pool->send(now, connection, SendPurpose::Work, {.kind = StatementKind::Read});
        else
            pool->release(now, connection);
    }
    void onWorkConnectionLost(Millis, WorkId, ConnectionId, bool) override { }
    void onTargetOpening(Millis, const std::string &) override { }
    void onTargetReceived(Millis, const std::string &) override { }
    void onTargetConnectionFailed(Millis, const std::string &) override { }

    TargetPool *pool = nullptr;
    std::vector<ConnectionId> started;
};

class Fleet : public testing::Test
{
protected:
    static constexpr int Slots = 2;
    static constexpr int Works = 8;

    // A connection for each piece of work is open, and all of them are submitted in one turn.
    Fleet()
    {
        opener.pool = &pool;
        pool.setInstance(Millis(0), {.id = "i", .slots = Slots}, {.connections = Works}, true);
        for (int i = 0; i < Works; ++i) {
            pool.openFresh(Millis(0), "i");
            pool.onOpened(Millis(0), wire.opening.back());
        }
        for (WorkId id = 1; id <= Works; ++id)
            pool.submit(Millis(1), "i", {.id = id, .deadline = Millis(5000)});
        pool.flush(Millis(1));
    }

    Wire wire;
    Opener opener;
    TargetPool pool{{}, &wire, &opener, [](Millis, const std::string &) { return ""; }};
};

TEST_F(Fleet, KeepsASlotFromTheOpeningToTheStatement)
{
    EXPECT_EQ(opener.started.size(), std::size_t(Slots));
    for (const ConnectionId connection : std::vector(opener.started))
        pool.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    EXPECT_EQ(opener.started.size(), std::size_t(Slots));
    pool.onAnswer(Millis(9), opener.started[0], {});
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 1);
}

// Statements of open transactions wait here too, before all new work: the instance would refuse
// them when its queue is full, and they would come again and again.
TEST_F(Fleet, HoldsAnOpenTransactionsNextStatementUntilASlotIsFree)
{
    const ConnectionId first = opener.started[0];
    const ConnectionId second = opener.started[1];
    for (const ConnectionId connection : {first, second})
        pool.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    pool.flush(Millis(2));
    const std::size_t before = wire.sent;
    // Both slots are taken; a transaction has more to do.
    pool.send(Millis(3), first, SendPurpose::Work, {.kind = StatementKind::Read});
    pool.flush(Millis(3));
    EXPECT_EQ(wire.sent, before);
    EXPECT_EQ(opener.started.size(), std::size_t(Slots));
    pool.onAnswer(Millis(4), second, {});
    pool.flush(Millis(4));
    EXPECT_EQ(wire.sent, before + 1);
    EXPECT_EQ(opener.started.size(), std::size_t(Slots));
}

TEST_F(Fleet, ForgetsWhatAClosedConnectionHeldBack)
{
    const ConnectionId first = opener.started[0];
    for (const ConnectionId connection : std::vector(opener.started))
        pool.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    pool.send(Millis(3), first, SendPurpose::Work, {.kind = StatementKind::Read});
    pool.discard(Millis(4), first);
    pool.onTick(Millis(5));
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 1);
}

TEST_F(Fleet, GivesTheSlotBackIfTheOpeningFails)
{
    pool.discard(Millis(2), opener.started[0]);
    pool.onTick(Millis(3));
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 1);
    pool.release(Millis(4), opener.started[1]);
    pool.onAnswer(Millis(5), opener.started[1], {});
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 2);
}

// Hands everything to a relay, as a gateway does.
class Gateway : public TargetListener
{
public:
    void onWorkStarted(Millis now, WorkId work, ConnectionId connection) override
    {
        relay->onWorkStarted(now, work, connection);
    }
    void onWorkRefused(Millis, WorkId work, Cause cause) override
    {
        relay->onWorkRefused(work, cause);
    }
    void onWorkAnswer(Millis now, WorkId work, ConnectionId, SendPurpose purpose, StatementKind,
                      Millis, const StatementAnswer &answer) override
    {
        relay->onWorkAnswer(now, work, purpose, answer);
    }
    void onWorkConnectionLost(Millis, WorkId work, ConnectionId, bool workSent) override
    {
        relay->onWorkConnectionLost(work, workSent);
    }
    void onTargetOpening(Millis, const std::string &) override { }
    void onTargetReceived(Millis, const std::string &) override { }
    void onTargetConnectionFailed(Millis, const std::string &) override { }

    RelayGateway *relay = nullptr;
};

// A read in a transaction of its own arrives as one batch.
class RelayedRead : public testing::Test
{
protected:
    RelayedRead()
    {
        gateway.relay = &relay;
        pool.setInstance(Millis(0), {.id = "i", .slots = 2}, {.connections = 2}, true);
        pool.onOpened(Millis(0), wire.opening.back());
        relay.onBatch(Millis(1),
                      {.origin = "o",
                       .channel = 1,
                       .instance = "i",
                       .maxWait = Millis(1000),
                       .statements = {{.statement = {.kind = StatementKind::Begin},
                                       .purpose = SendPurpose::OpenTransaction},
                                      {.statement = {.id = "q", .kind = StatementKind::Read}},
                                      {.statement = {.kind = StatementKind::Rollback},
                                       .purpose = SendPurpose::CloseTransaction}}},
                      [this](const RelayReply &answer) { reply = answer; });
        pool.flush(Millis(1));
    }

    void answer(const StatementAnswer &answer)
    {
        pool.onAnswer(Millis(2), wire.opening.back(), answer);
        pool.flush(Millis(2));
    }

    Wire wire;
    Gateway gateway;
    std::optional<RelayReply> reply;
    WorkId lastWork = 0;
    TargetPool pool{{}, &wire, &gateway, [](Millis, const std::string &) { return ""; }};
    RelayGateway relay{&pool, [this] { return ++lastWork; },
                       [](const std::string &, Millis) { return std::nullopt; }};
};

TEST_F(RelayedRead, RunsOnlyOnceItsTransactionIsOpen)
{
    EXPECT_EQ(wire.sent, 1U);
    answer({.phase = SessionPhase::Transaction});
    EXPECT_EQ(wire.sent, 3U);
    EXPECT_FALSE(reply);
    answer({.rows = {"row"}, .phase = SessionPhase::Transaction});
    answer({});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->answers.size(), 3U);
    EXPECT_TRUE(reply->ended);
}

TEST_F(RelayedRead, DoesNotRunIfItsTransactionIsRefused)
{
    answer({.cause = Cause::NotPrimary});
    EXPECT_EQ(wire.sent, 1U);
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->answers.size(), 1U);
    EXPECT_EQ(reply->answers[0].cause, Cause::NotPrimary);
    EXPECT_TRUE(reply->ended);
    EXPECT_FALSE(reply->sent);
    EXPECT_TRUE(pool.hasIdle("i"));
}

// A primary that acknowledges nothing is noticed by the gateways: other hosts' writes wait there.
TEST(RelayedWrite, IsKnownToWaitUntilItIsAnswered)
{
    Wire wire;
    Gateway gateway;
    WorkId lastWork = 0;
    TargetPool pool({}, &wire, &gateway, [](Millis, const std::string &) { return ""; });
    RelayGateway relay(
        &pool, [&] { return ++lastWork; },
        [](const std::string &, Millis) { return std::nullopt; });
    gateway.relay = &relay;
    pool.setInstance(Millis(0), {.id = "i", .slots = 2}, {.connections = 2}, true);
    pool.onOpened(Millis(0), wire.opening.back());
    relay.onBatch(Millis(5),
                  {.origin = "o",
                   .channel = 1,
                   .instance = "i",
                   .maxWait = Millis(1000),
                   .statements = {{.statement = {.id = "q", .kind = StatementKind::Write}}}},
                  [](const RelayReply &) {});
    pool.flush(Millis(5));
    const std::map<std::string, Millis> waiting{{"i", Millis(5)}};
    EXPECT_EQ(relay.oldestWrites(), waiting);
    pool.onAnswer(Millis(9), wire.opening.back(), {});
    EXPECT_TRUE(relay.oldestWrites().empty());
}

} // namespace
} // namespace cicadagap
