// Tests of TargetPool and RelayGateway: how many statements a host starts at an instance at a time,
// and when the next one may follow.
#include "session/relaygateway.h"
#include "session/targetpool.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

// Records the connections that are to be opened and counts the statements that are sent.
class RecordingOutput : public TargetOutput
{
public:
    void openTarget(ConnectionId connection, const RegisteredInstance &,
                    const std::string &) override
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

// Runs each piece of work as a read inside an internal transaction, as reads that must see every
// commit run.
class TransactionOpener : public TargetListener
{
public:
    void onWorkStarted(Millis now, WorkId work, ConnectionId connection) override
    {
        started.push_back(connection);
        works.push_back(work);
        pool->send(now, connection, SendPurpose::OpenTransaction, {.kind = StatementKind::Begin});
    }
    void onWorkRefused(Millis, WorkId work, Cause) override { refused.push_back(work); }
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
    void onNamePrepared(const NewPreparedName &) override { }

    TargetPool *pool = nullptr;
    std::vector<ConnectionId> started;
    std::vector<WorkId> works;
    std::vector<WorkId> refused;
};

class PooledWork : public testing::Test
{
protected:
    static constexpr int SlotCount = 2;
    static constexpr int WorkCount = 8;

    // Opens a connection for each piece of work and submits all work in one event-loop iteration.
    PooledWork()
    {
        listener.pool = &pool;
        pool.setInstance(Millis(0), {.id = "i", .slots = SlotCount}, {.connections = WorkCount},
                         true);
        for (int i = 0; i < WorkCount; ++i) {
            pool.openNewConnection(Millis(0), "i");
            pool.onOpened(Millis(0), output.opening.back());
        }
        for (WorkId id = 1; id <= WorkCount; ++id)
            pool.submit(Millis(1), "i", {.id = id, .deadline = Millis(5000)});
        pool.flush(Millis(1));
    }

    RecordingOutput output;
    TransactionOpener listener;
    TargetPool pool{{}, &output, &listener, [](Millis, const std::string &, const std::string &) {
                        return "";
                    }};
};

TEST_F(PooledWork, ReservesASlotWhileTheTransactionOpens)
{
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount));
    for (const ConnectionId connection : std::vector(listener.started))
        pool.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount));
    pool.onAnswer(Millis(9), listener.started[0], {});
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount) + 1);
}

TEST_F(PooledWork, IsCountedInTheReportedLoad)
{
    const std::optional<InstanceLoad> load = pool.load("i", 0, "");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, std::size_t(SlotCount));
    EXPECT_EQ(load->queued, std::size_t(WorkCount - SlotCount));
    EXPECT_EQ(load->wait, load->serviceTime * WorkCount / SlotCount);
    EXPECT_FALSE(pool.load("unknown", 0, ""));
    // Each transaction's opening is unanswered; what was sent before a report is in the report.
    EXPECT_EQ(pool.waitForSentSince("i", Millis(1), Millis(10)), Millis(0));
}

// Statements of open transactions wait for a slot in the pool too, before all new work. Otherwise
// the instance would refuse them while its queue is full, and they would be retried again and
// again.
TEST_F(PooledWork, DelaysAnOpenTransactionsNextStatementUntilASlotIsFree)
{
    const ConnectionId first = listener.started[0];
    const ConnectionId second = listener.started[1];
    for (const ConnectionId connection : {first, second})
        pool.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    pool.flush(Millis(2));
    const std::size_t before = output.sent;
    // Both slots are taken when the first transaction sends another statement.
    pool.send(Millis(3), first, SendPurpose::Work, {.kind = StatementKind::Read});
    pool.flush(Millis(3));
    EXPECT_EQ(output.sent, before);
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount));
    pool.onAnswer(Millis(4), second, {});
    pool.flush(Millis(4));
    EXPECT_EQ(output.sent, before + 1);
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount));
}

TEST_F(PooledWork, DropsDelayedStatementsOfAClosedConnection)
{
    const ConnectionId first = listener.started[0];
    for (const ConnectionId connection : std::vector(listener.started))
        pool.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    pool.send(Millis(3), first, SendPurpose::Work, {.kind = StatementKind::Read});
    pool.discard(Millis(4), first);
    pool.onTick(Millis(5));
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount) + 1);
}

TEST_F(PooledWork, ReleasesTheSlotIfTheTransactionCannotBeOpened)
{
    pool.discard(Millis(2), listener.started[0]);
    pool.onTick(Millis(3));
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount) + 1);
    pool.release(Millis(4), listener.started[1]);
    pool.onAnswer(Millis(5), listener.started[1], {});
    EXPECT_EQ(listener.started.size(), std::size_t(SlotCount) + 2);
}

// Guards against this failure: a host that was suspended sent a command that had waited for a
// connection, seconds after its right to change the primary had ended.
class ExpiredWork : public testing::TestWithParam<bool>
{
};

TEST_P(ExpiredWork, IsNotStartedWhenAConnectionOpensTooLate)
{
    RecordingOutput output;
    TransactionOpener listener;
    TargetPool pool({}, &output, &listener,
                    [](Millis, const std::string &, const std::string &) { return ""; });
    listener.pool = &pool;
    pool.setInstance(Millis(0), {.id = "i", .slots = 1}, {.connections = 1}, true);
    pool.flush(Millis(0));
    ASSERT_EQ(output.opening.size(), 1U);
    constexpr Millis Deadline(1000);
    pool.submit(Millis(1), "i", {.id = 1, .deadline = Deadline, .needsSlot = GetParam()});
    pool.submit(Millis(1), "i", {.id = 2, .deadline = Deadline * 9, .needsSlot = GetParam()});
    // The host continues, and this event comes before its next tick.
    pool.onOpened(Deadline * 8, output.opening.front());
    pool.flush(Deadline * 8);
    EXPECT_EQ(listener.works, std::vector<WorkId>{2});
    pool.onTick(Deadline * 8);
    EXPECT_EQ(listener.refused, std::vector<WorkId>{1});
}

INSTANTIATE_TEST_SUITE_P(All, ExpiredWork, testing::Bool(), [](const auto &info) {
    return std::string(info.param ? "withSlot" : "urgent");
});

// Passes all events to a RelayGateway, as SessionEngine does for relayed work.
class GatewayListener : public TargetListener
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
    void onWorkAnswer(Millis now, WorkId work, ConnectionId, SendPurpose purpose,
                      StatementKind kind, Millis sentAt, const StatementAnswer &answer) override
    {
        relay->onWorkAnswer(now, work, purpose, kind, sentAt, answer);
    }
    void onWorkConnectionLost(Millis, WorkId work, ConnectionId, bool workSent) override
    {
        relay->onWorkConnectionLost(work, workSent);
    }
    void onTargetOpening(Millis, const std::string &) override { }
    void onTargetReceived(Millis, const std::string &) override { }
    void onTargetConnectionFailed(Millis, const std::string &) override { }
    void onNamePrepared(const NewPreparedName &) override { }

    RelayGateway *relay = nullptr;
};

// Knows nothing but what a test sets.
class SettableGroups : public GroupKnowledge
{
public:
    std::optional<Position> positionCovering(const std::string &, Millis) const override
    {
        return std::nullopt;
    }
    bool mayServe(Millis, const std::string &, Millis instant, bool onlyWrites) override
    {
        return instant <= primaryUntil || (onlyWrites && !replaced);
    }
    bool anotherIsPrimary(const std::string &instance) const override
    {
        return instance != primary;
    }
    bool concernsPrimary(const std::string &instance, Millis sentAt) const override
    {
        return instance == primary && sentAt >= primarySince;
    }
    void onCommitAcknowledged(const std::string &, Millis sentAt) override
    {
        acknowledged = sentAt;
    }

    std::string primary = "i";
    bool replaced = false;
    Millis primarySince;
    Millis primaryUntil;
    std::optional<Millis> acknowledged; // When the newest acknowledged commit was sent.
};

// A gateway with one connection to the instance i.
class RelayTest : public testing::Test
{
protected:
    RelayTest()
    {
        gatewayListener.relay = &relay;
        pool.setInstance(Millis(0), {.id = "i", .slots = 2}, {.connections = 2}, true);
        pool.onOpened(Millis(0), output.opening.back());
    }

    // Another host sends a batch on its channel.
    void send(Millis now, std::vector<RelayedStatement> statements, bool continues = false)
    {
        relay.onBatch(now,
                      {.origin = "o",
                       .channel = 1,
                       .instance = "i",
                       .continues = continues,
                       .maxWait = Millis(1000),
                       .statements = std::move(statements)},
                      [this](const RelayReply &answer) { reply = answer; });
        pool.flush(now);
    }

    // The instance answers on its connection.
    void answer(Millis now, const StatementAnswer &answer)
    {
        pool.onAnswer(now, output.opening.back(), answer);
        pool.flush(now);
    }

    RecordingOutput output;
    GatewayListener gatewayListener;
    std::optional<RelayReply> reply;
    WorkId lastWork = 0;
    TargetPool pool{{},
                    &output,
                    &gatewayListener,
                    [](Millis, const std::string &, const std::string &) { return ""; }};
    SettableGroups groups;
    RelayGateway relay{&pool, [this] { return ++lastWork; }, &groups,
                       [](const RelayedStatementEvent &) {}};
};

// Guards against this failure: a statement waited for the confirmation of its session's state, and
// reached an instance that takes no new work any more.
TEST_F(RelayTest, DoesNotStartWorkWhoseStateIsConfirmedTooLate)
{
    pool.setNewWorkUntil(Millis(0), "i", Millis(5));
    send(Millis(1),
         {{.statement = {.kind = StatementKind::SetValue, .name = "a", .argument = "1"},
           .purpose = SendPurpose::Restore},
          {.statement = {.id = "w", .kind = StatementKind::Write, .text = "WRITE 1 x"}}});
    EXPECT_EQ(output.sent, 1U);
    answer(Millis(700), {});
    EXPECT_EQ(output.sent, 1U);
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->ended);
    EXPECT_FALSE(reply->sent);
    EXPECT_TRUE(pool.hasIdle("i"));
}

TEST_F(RelayTest, DoesNotLetAnotherChannelsBatchJoinATransaction)
{
    const RelayedStatement write{.statement
                                 = {.id = "w", .kind = StatementKind::Write, .text = "WRITE 1 x"}};
    send(Millis(1),
         {{.statement = {.kind = StatementKind::Begin}, .purpose = SendPurpose::OpenTransaction}});
    answer(Millis(2), {.phase = SessionPhase::Transaction});
    reply.reset();
    send(Millis(3), {write}, /*continues=*/false);
    EXPECT_EQ(output.sent, 1U);
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->ended);
    EXPECT_FALSE(reply->sent);
    send(Millis(4), {write}, /*continues=*/true);
    EXPECT_EQ(output.sent, 2U);
}

// A read inside an internal transaction, which another host relays as one batch.
class RelayedRead : public RelayTest
{
protected:
    RelayedRead()
    {
        send(
            Millis(1),
            {{.statement = {.kind = StatementKind::Begin}, .purpose = SendPurpose::OpenTransaction},
             {.statement = {.id = "q", .kind = StatementKind::Read}},
             {.statement = {.kind = StatementKind::Rollback},
              .purpose = SendPurpose::CloseTransaction}});
    }
};

TEST_F(RelayedRead, RunsOnlyOnceItsTransactionIsOpen)
{
    EXPECT_EQ(output.sent, 1U);
    answer(Millis(2), {.phase = SessionPhase::Transaction});
    EXPECT_EQ(output.sent, 3U);
    EXPECT_FALSE(reply);
    answer(Millis(2), {.rows = {"row"}, .phase = SessionPhase::Transaction});
    answer(Millis(2), {});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->answers.size(), 3U);
    EXPECT_TRUE(reply->ended);
}

TEST_F(RelayedRead, DoesNotRunIfItsTransactionIsRefused)
{
    answer(Millis(2), {.cause = Cause::NotPrimary});
    EXPECT_EQ(output.sent, 1U);
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->answers.size(), 1U);
    EXPECT_EQ(reply->answers[0].cause, Cause::NotPrimary);
    EXPECT_TRUE(reply->ended);
    EXPECT_FALSE(reply->sent);
    EXPECT_TRUE(pool.hasIdle("i"));
}

// The time of an instance that leaves ends while its transaction is being opened.
TEST_F(RelayedRead, DoesNotRunIfItsInstanceTakesNoNewWorkAnyMore)
{
    pool.setNewWorkUntil(Millis(1), "i", Millis(2));
    answer(Millis(2), {.phase = SessionPhase::Transaction});
    EXPECT_EQ(output.sent, 2U); // The opening, and its rollback.
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->answers.empty());
    EXPECT_TRUE(reply->ended);
    EXPECT_FALSE(reply->sent);
}

// Other hosts' writes wait at the gateways, so the gateways must notice a primary that acknowledges
// nothing.
using RelayedWrite = RelayTest;

TEST_F(RelayedWrite, IsReportedAsWaitingUntilItIsAnswered)
{
    send(Millis(5), {{.statement = {.id = "q", .kind = StatementKind::Write}}});
    const std::map<std::string, Millis> waiting{{"i", Millis(5)}};
    EXPECT_EQ(relay.oldestWrites(), waiting);
    // A write from before the last change of primary tells nothing about the new one.
    groups.primarySince = Millis(6);
    EXPECT_TRUE(relay.oldestWrites().empty());
    groups.primarySince = Millis(0);
    answer(Millis(9), {});
    EXPECT_TRUE(relay.oldestWrites().empty());
    EXPECT_EQ(groups.acknowledged, Millis(5));
}

// An instance that is no longer primary commits a transaction that wrote nothing.
class RelayedCommit : public RelayTest, public testing::WithParamInterface<Cause>
{
};

TEST_P(RelayedCommit, IsEvidenceOnlyIfAWriteHasSucceeded)
{
    send(Millis(5),
         {{.statement = {.kind = StatementKind::Begin}, .purpose = SendPurpose::OpenTransaction},
          {.statement = {.id = "w", .kind = StatementKind::Write}}});
    answer(Millis(6), {.phase = SessionPhase::Transaction});
    answer(Millis(7), {.cause = GetParam(), .phase = SessionPhase::Transaction});
    send(Millis(8), {{.statement = {.id = "c", .kind = StatementKind::Commit}}},
         /*continues=*/true);
    answer(Millis(9), {});
    const bool wrote = GetParam() == Cause::None;
    EXPECT_EQ(groups.acknowledged, wrote ? std::optional(Millis(8)) : std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(All, RelayedCommit, testing::Values(Cause::None, Cause::Overloaded),
                         [](const auto &info) {
                             return info.param == Cause::None ? "written" : "notRun";
                         });

// A primary that was replaced may go on serving reads. A batch that has to see all commits up to
// its arrival waits for evidence that its instance was still primary then.
class UnprovenBatch : public testing::Test
{
protected:
    UnprovenBatch()
    {
        gatewayListener.relay = &relay;
        pool.setInstance(Millis(0), {.id = "i", .slots = 2}, {.connections = 2}, true);
        pool.onOpened(Millis(0), output.opening.back());
        groups.primaryUntil = Millis(90);
        relay.onBatch(Millis(100),
                      {.origin = "o",
                       .channel = 1,
                       .instance = "i",
                       .maxWait = Millis(200),
                       .primaryAge = Millis(5),
                       .statements = {{.statement = {.id = "q", .kind = StatementKind::Read}}}},
                      [this](const RelayReply &answer) { reply = answer; });
        pool.flush(Millis(100));
    }

    // A write arrives besides the read.
    void addWrite()
    {
        relay.onBatch(Millis(100),
                      {.origin = "o",
                       .channel = 2,
                       .instance = "i",
                       .maxWait = Millis(2000),
                       .primaryAge = Millis(5),
                       .statements = {{.statement = {.id = "w", .kind = StatementKind::Write}}}},
                      [this](const RelayReply &answer) { writeReply = answer; });
        pool.flush(Millis(100));
    }

    void tick(Millis now)
    {
        relay.onTick(now, Millis(3000));
        pool.flush(now);
    }

    RecordingOutput output;
    GatewayListener gatewayListener;
    std::optional<RelayReply> reply;
    std::optional<RelayReply> writeReply;
    WorkId lastWork = 0;
    TargetPool pool{{},
                    &output,
                    &gatewayListener,
                    [](Millis, const std::string &, const std::string &) { return ""; }};
    SettableGroups groups;
    RelayGateway relay{&pool, [this] { return ++lastWork; }, &groups,
                       [](const RelayedStatementEvent &) {}};
};

TEST_F(UnprovenBatch, IsRefusedAsNotRunOnceAnotherInstanceIsPrimary)
{
    groups.primary = "other";
    tick(Millis(120));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->cause, Cause::NotPrimary);
    EXPECT_FALSE(reply->sent);
    EXPECT_EQ(output.sent, 0U);
}

// The acknowledgement of a write may be the only evidence to be had. It is not tried while there
// are signs that it would get none.
TEST_F(UnprovenBatch, IsTriedIfItOnlyWrites)
{
    groups.replaced = true;
    addWrite();
    tick(Millis(120));
    EXPECT_EQ(output.sent, 0U);
    groups.replaced = false;
    tick(Millis(140));
    EXPECT_EQ(output.sent, 1U);
}

// What restores the session's state comes first in a batch, and the end of the internal transaction
// last: neither makes the read in between a write.
TEST_F(UnprovenBatch, IsNotTriedIfAReadFollowsTheSessionsState)
{
    relay.onBatch(Millis(100),
                  {.origin = "o",
                   .channel = 3,
                   .instance = "i",
                   .maxWait = Millis(2000),
                   .primaryAge = Millis(5),
                   .statements = {{.statement = {.kind = StatementKind::SetValue, .name = "v"},
                                   .purpose = SendPurpose::Restore},
                                  {.statement = {.kind = StatementKind::Begin},
                                   .purpose = SendPurpose::OpenTransaction},
                                  {.statement = {.id = "q", .kind = StatementKind::Read}},
                                  {.statement = {.kind = StatementKind::Rollback},
                                   .purpose = SendPurpose::CloseTransaction}}},
                  [this](const RelayReply &answer) { writeReply = answer; });
    tick(Millis(1000));
    EXPECT_EQ(output.sent, 0U);
}

TEST_F(UnprovenBatch, RunsOnceTheInstanceIsKnownToHaveBeenPrimary)
{
    EXPECT_EQ(output.sent, 0U);
    groups.primaryUntil = Millis(94);
    tick(Millis(120));
    EXPECT_EQ(output.sent, 0U);
    groups.primaryUntil = Millis(95);
    tick(Millis(140));
    EXPECT_EQ(output.sent, 1U);
}

TEST_F(UnprovenBatch, IsRefusedAsNotRunWhenItsTimeIsOver)
{
    tick(Millis(299));
    EXPECT_FALSE(reply);
    tick(Millis(300));
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->ended);
    EXPECT_FALSE(reply->sent);
    EXPECT_EQ(output.sent, 0U);
}

TEST_F(UnprovenBatch, IsForgottenWhenItsOriginGivesItUp)
{
    relay.onDropped(Millis(110), "o", 1);
    groups.primaryUntil = Millis(1000);
    tick(Millis(120));
    EXPECT_EQ(output.sent, 0U);
    EXPECT_FALSE(reply);
}

} // namespace
} // namespace cicadagap
