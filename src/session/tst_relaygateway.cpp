// Tests of RelayGateway: the prepared statements and values of other hosts' sessions on this host's
// connections, and batches that no sound host sends.
#include "session/relaygateway.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

// An instance that keeps what its connections hold, and records what it runs.
class PreparingInstance : public TargetOutput
{
public:
    struct Execution
    {
        std::string id;
        std::string shape; // Of an Execute; otherwise the statement's text.
        SessionValues values;

        bool operator==(const Execution &) const = default;
    };

    void openTarget(ConnectionId connection, const RegisteredInstance &,
                    const std::string &) override
    {
        opened.push_back(connection);
    }
    void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements) override
    {
        for (const Statement &statement : statements)
            pending.emplace_back(connection, statement);
    }
    void closeTarget(ConnectionId connection) override
    {
        closed.push_back(connection);
        m_states.erase(connection);
    }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }

    // Runs a statement that was sent, and returns its answer.
    StatementAnswer run(ConnectionId connection, const Statement &statement)
    {
        State &state = m_states[connection];
        switch (statement.kind) {
        case StatementKind::Begin:
            state.phase = SessionPhase::Transaction;
            break;
        case StatementKind::Commit:
        case StatementKind::Rollback:
            state.phase = SessionPhase::Idle;
            break;
        case StatementKind::Reset:
            state = {.phase = state.phase};
            break;
        case StatementKind::SetValue:
            state.values[statement.name] = statement.argument;
            break;
        case StatementKind::Prepare:
            state.shapes[statement.name] = statement.argument;
            names.insert(statement.name);
            break;
        case StatementKind::Deallocate:
            state.shapes.erase(statement.name);
            break;
        case StatementKind::Execute:
            if (!state.shapes.contains(statement.name))
                return {.cause = Cause::UnknownName, .phase = state.phase};
            runs.push_back({statement.id, state.shapes.at(statement.name), state.values});
            break;
        default:
            runs.push_back({statement.id, statement.text, state.values});
            break;
        }
        return {.signature = "s", .phase = state.phase, .position = Position{1, 1}};
    }

    // Forgets the prepared statements of all connections, which no correct instance does.
    void forgetNames()
    {
        for (auto &[connection, state] : m_states)
            state.shapes.clear();
    }

    std::vector<ConnectionId> opened;
    std::vector<ConnectionId> closed;
    std::vector<std::pair<ConnectionId, Statement>> pending; // Sent and not run yet.
    std::vector<Execution> runs;
    std::set<std::string> names; // Of all prepared statements.

private:
    struct State
    {
        SessionPhase phase = SessionPhase::Idle;
        SessionValues values;
        std::map<std::string, std::string> shapes;
    };

    std::map<ConnectionId, State> m_states;
};

// Passes all events to a RelayGateway, as SessionEngine does for relayed work.
class GatewayListener : public TargetListener
{
public:
    void onWorkStarted(Millis now, WorkId work, ConnectionId connection) override
    {
        gateway->onWorkStarted(now, work, connection);
    }
    void onWorkRefused(Millis, WorkId work, Cause cause) override
    {
        gateway->onWorkRefused(work, cause);
    }
    void onWorkAnswer(Millis now, WorkId work, ConnectionId, SendPurpose purpose,
                      StatementKind kind, Millis sentAt, const StatementAnswer &answer) override
    {
        gateway->onWorkAnswer(now, work, purpose, kind, sentAt, answer);
    }
    void onWorkConnectionLost(Millis, WorkId work, ConnectionId, bool workSent) override
    {
        gateway->onWorkConnectionLost(work, workSent);
    }
    void onNamePrepared(const NewPreparedName &) override { }
    void onTargetOpening(Millis, const std::string &) override { }
    void onTargetReceived(Millis, const std::string &) override { }
    void onTargetConnectionFailed(Millis, const std::string &) override { }

    RelayGateway *gateway = nullptr;
};

// Of a group whose instance is always primary.
class SinglePrimary : public GroupKnowledge
{
public:
    std::optional<Position> positionCovering(const std::string &, Millis) const override
    {
        return std::nullopt;
    }
    bool mayServe(Millis, const std::string &, Millis, bool) override { return true; }
    bool anotherIsPrimary(const std::string &) const override { return false; }
    bool concernsPrimary(const std::string &, Millis) const override { return true; }
    void onCommitAcknowledged(const std::string &, Millis) override { }
};

RelayedStatement prepare(const std::string &name, const std::string &shape, bool writes = false)
{
    return {.statement = {.kind = StatementKind::Prepare,
                          .name = name,
                          .argument = shape,
                          .preparesWrite = writes},
            .purpose = SendPurpose::Restore};
}

RelayedStatement set(const std::string &name, const std::string &value)
{
    return {.statement = {.kind = StatementKind::SetValue, .name = name, .argument = value},
            .purpose = SendPurpose::Restore};
}

RelayedStatement reset()
{
    return {.statement = {.kind = StatementKind::Reset}, .purpose = SendPurpose::Restore};
}

RelayedStatement begin()
{
    return {.statement = {.kind = StatementKind::Begin}, .purpose = SendPurpose::OpenTransaction};
}

RelayedStatement execute(const std::string &id, const std::string &name)
{
    return {.statement = {.id = id,
                          .kind = StatementKind::Execute,
                          .text = "EXECUTE s 1",
                          .name = name,
                          .argument = "1"}};
}

RelayedStatement caller(const std::string &id, StatementKind kind, const std::string &text)
{
    return {.statement = {.id = id, .kind = kind, .text = text}};
}

using Execution = PreparingInstance::Execution;

// A gateway with a single connection to the instance i, and the hosts that send batches to it.
class GatewayNames : public testing::Test
{
protected:
    GatewayNames()
    {
        listener.gateway = &gateway;
        pool.setInstance(Millis(0), {.id = "i", .slots = 4}, {.connections = 1}, true);
        pool.onOpened(Millis(0), instance.opened.back());
    }

    void send(const std::string &origin, std::uint64_t channel,
              std::vector<RelayedStatement> statements, bool continues = false)
    {
        reply.reset();
        gateway.onBatch(now,
                        {.origin = origin,
                         .channel = channel,
                         .instance = "i",
                         .continues = continues,
                         .maxWait = Millis(1000),
                         .statements = std::move(statements)},
                        [this](const RelayReply &answer) { reply = answer; });
        pool.flush(now);
    }

    // The instance runs what it was sent, until it gets nothing more.
    void runAll()
    {
        while (!instance.pending.empty()) {
            const auto [connection, statement] = instance.pending.front();
            instance.pending.erase(instance.pending.begin());
            now = now + Millis(1);
            pool.onAnswer(now, connection, instance.run(connection, statement));
            pool.flush(now);
        }
    }

    void sendAndRun(const std::string &origin, std::uint64_t channel,
                    std::vector<RelayedStatement> statements, bool continues = false)
    {
        send(origin, channel, std::move(statements), continues);
        runAll();
    }

    std::vector<std::string> shapes() const
    {
        std::vector<std::string> result;
        for (const Execution &run : instance.runs)
            result.push_back(run.shape);
        return result;
    }

    // Whether work on a new channel is served, and its connection given back.
    bool servesOthers()
    {
        pool.onTick(now);
        while (instance.opened.size() < instance.closed.size() + 1) {
            now = now + Millis(200);
            pool.onTick(now);
        }
        if (!instance.closed.empty())
            pool.onOpened(now, instance.opened.back());
        sendAndRun("other", 900, {caller("z", StatementKind::Read, "READ z")});
        return reply && reply->answers.size() == 1 && reply->answers.front().succeeded()
            && pool.hasIdle("i");
    }

    PreparingInstance instance;
    GatewayListener listener;
    SinglePrimary groups;
    std::optional<RelayReply> reply;
    Millis now = Millis(1);
    WorkId lastWork = 0;
    TargetPool pool{{}, &instance, &listener, [](Millis, const std::string &, const std::string &) {
                        return "";
                    }};
    RelayGateway gateway{&pool, [this] { return ++lastWork; }, &groups,
                         [](const RelayedStatementEvent &) {}};
};

using Shapes = std::vector<std::string>;

TEST_F(GatewayNames, DoNotMeetWhenOriginsUseTheSameOnes)
{
    sendAndRun("a", 1, {prepare("p1", "shape a"), execute("q1", "p1")});
    sendAndRun("b", 1, {prepare("p1", "shape b", /*writes=*/true), execute("q2", "p1")});
    sendAndRun("a", 2, {prepare("p1", "shape c"), execute("q3", "p1")});
    EXPECT_EQ(shapes(), (Shapes{"shape a", "shape b", "shape c"}));
}

TEST_F(GatewayNames, StayValidInATransactionWithoutBeingPreparedAgain)
{
    sendAndRun("a", 1, {prepare("p1", "A"), begin(), execute("q1", "p1")});
    sendAndRun("a", 1, {prepare("p2", "B", /*writes=*/true), execute("q2", "p2")}, true);
    sendAndRun("a", 1, {execute("q3", "p1")}, true);
    sendAndRun("a", 1, {caller("q4", StatementKind::Commit, "COMMIT")}, true);
    EXPECT_EQ(shapes(), (Shapes{"A", "B", "A"}));
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->ended);
    EXPECT_TRUE(servesOthers());
}

TEST_F(GatewayNames, OfAWriteAreNotThoseOfAReadOfTheSameShape)
{
    sendAndRun("a", 1, {prepare("rX", "X"), begin(), execute("q1", "rX")});
    EXPECT_TRUE(gateway.oldestWrites().empty());
    send("a", 1, {prepare("wX", "X", /*writes=*/true), execute("q2", "wX")}, true);
    EXPECT_EQ(gateway.oldestWrites().size(), 1U);
    runAll();
    EXPECT_EQ(shapes(), (Shapes{"X", "X"}));
}

TEST_F(GatewayNames, AreGivenAgainAfterAReset)
{
    sendAndRun("a", 1, {set("v", "1"), prepare("p1", "A"), execute("q1", "p1")});
    // Its session has no value, so that the connection is reset, which clears its names too.
    sendAndRun("b", 1, {prepare("p1", "A"), execute("q2", "p1")});
    EXPECT_EQ(instance.runs, (std::vector<Execution>{{"q1", "A", {{"v", "1"}}}, {"q2", "A", {}}}));
}

TEST_F(GatewayNames, AreForgottenIfTheOriginResetsItsChannel)
{
    sendAndRun("a", 1, {set("v", "1"), prepare("p1", "A"), begin(), execute("q1", "p1")});
    sendAndRun("a", 1, {reset(), prepare("p1", "B"), execute("q2", "p1")}, true);
    EXPECT_EQ(instance.runs, (std::vector<Execution>{{"q1", "A", {{"v", "1"}}}, {"q2", "B", {}}}));
    sendAndRun("a", 1, {reset(), execute("q3", "p1")}, true);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->cause, Cause::UnknownName);
    EXPECT_EQ(instance.runs.size(), 2U);
}

TEST_F(GatewayNames, ArePreparedAgainOnTheNextConnection)
{
    send("a", 1, {prepare("p1", "A", /*writes=*/true), execute("q1", "p1")});
    // The connection is lost once the PREPARE is answered.
    const auto [connection, statement] = instance.pending.front();
    ASSERT_EQ(statement.kind, StatementKind::Prepare);
    pool.onAnswer(now, connection, instance.run(connection, statement));
    instance.pending.clear();
    pool.onClosed(now, connection);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->cause, Cause::ConnectionLost);
    EXPECT_TRUE(reply->sent);
    EXPECT_TRUE(servesOthers());
    sendAndRun("a", 2, {prepare("p1", "A", /*writes=*/true), execute("q2", "p1")});
    EXPECT_EQ(shapes(), (Shapes{"READ z", "A"}));
}

TEST_F(GatewayNames, MeanTheShapeThatWasPreparedLast)
{
    sendAndRun("a", 1, {prepare("p1", "A"), begin(), execute("q1", "p1")});
    sendAndRun("a", 1, {prepare("p1", "B"), execute("q2", "p1")}, true);
    sendAndRun("a", 1, {execute("q3", "p1")}, true);
    EXPECT_EQ(shapes(), (Shapes{"A", "B", "B"}));
}

// Earlier versions named a prepared statement after its kind and shape, blanks included.
TEST_F(GatewayNames, OfOriginsOfEarlierVersionsMayHoldBlanks)
{
    sendAndRun(
        "old", 1,
        {prepare("wqb WRITE as", "qb WRITE as", true), begin(), execute("q1", "wqb WRITE as")});
    sendAndRun("old", 1, {prepare("wqb", "qb", true), execute("q2", "wqb")}, true);
    sendAndRun("old", 1, {execute("q3", "wqb WRITE as")}, true);
    EXPECT_EQ(shapes(), (Shapes{"qb WRITE as", "qb", "qb WRITE as"}));
    EXPECT_EQ(instance.names, (std::set<std::string>{"p1", "p2"}));
}

// Guards against this failure: a connection whose instance lacks a name was given back as if it
// held the name, so that each later execution on it failed too.
TEST_F(GatewayNames, ThatTheInstanceLacksEndTheirConnection)
{
    sendAndRun("a", 1, {prepare("p1", "A"), execute("q1", "p1")});
    instance.forgetNames();
    sendAndRun("a", 2, {prepare("p1", "A"), execute("q2", "p1")});
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->answers.size(), 1U);
    EXPECT_EQ(reply->answers.front().cause, Cause::UnknownName);
    EXPECT_TRUE(servesOthers());
    sendAndRun("a", 3, {prepare("p1", "A"), execute("q3", "p1")});
    EXPECT_EQ(shapes(), (Shapes{"A", "READ z", "A"}));
}

TEST_F(GatewayNames, ThatTheInstanceLacksEndTheirTransaction)
{
    sendAndRun("a", 1, {prepare("p1", "A"), begin(), execute("q1", "p1")});
    instance.forgetNames();
    sendAndRun("a", 1, {execute("q2", "p1")}, true);
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->ended);
    ASSERT_EQ(reply->answers.size(), 1U);
    EXPECT_EQ(reply->answers.front().cause, Cause::UnknownName);
    EXPECT_FALSE(gateway.knows("a", 1));
    EXPECT_EQ(instance.closed.size(), 1U);
}

struct OddBatch
{
    std::string name;
    std::vector<RelayedStatement> statements;
    Cause cause;
};

// Batches that a sound host never sends.
class OddBatches : public GatewayNames, public testing::WithParamInterface<OddBatch>
{
};

TEST_P(OddBatches, AreRefusedAsNotRunAndHoldNoConnection)
{
    sendAndRun("a", 1, GetParam().statements);
    EXPECT_TRUE(instance.runs.empty());
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->ended);
    EXPECT_EQ(reply->cause, GetParam().cause);
    EXPECT_FALSE(reply->sent);
    EXPECT_FALSE(gateway.knows("a", 1));
    EXPECT_TRUE(servesOthers());
}

TEST_P(OddBatches, EndTheirTransaction)
{
    sendAndRun("a", 1, {begin(), caller("q", StatementKind::Read, "READ q")});
    sendAndRun("a", 1, GetParam().statements, true);
    EXPECT_EQ(shapes(), Shapes{"READ q"});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->cause, GetParam().cause);
    EXPECT_FALSE(gateway.knows("a", 1));
    EXPECT_EQ(instance.closed.size(), 1U);
    EXPECT_TRUE(servesOthers());
}

INSTANTIATE_TEST_SUITE_P(
    All, OddBatches,
    testing::Values(OddBatch{"empty", {}, Cause::Invalid},
                    OddBatch{"onlySessionState", {set("v", "1")}, Cause::Invalid},
                    OddBatch{"unknownName", {execute("q1", "p1")}, Cause::UnknownName}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace cicadagap
