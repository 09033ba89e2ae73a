// Tests each rule of Gateway on its own. Tests of whole sessions are in src/request.
#include "connection/gateway.h"

#include <gtest/gtest.h>

namespace cicadagap {

namespace {

constexpr Millis Now(10'000);

// Returns the actions of one type.
template <typename Action> std::vector<Action> actionsOf(const GatewayActions &actions)
{
    std::vector<Action> found;
    for (const GatewayAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

GatewayRequest write(std::uint64_t id, const std::string &requestId = {})
{
    return {.id = id,
            .priorityClass = 1,
            .write = true,
            .operations = "[]",
            .requestId = requestId,
            .deadline = Now + Millis(1000)};
}

GatewayRequest read(std::uint64_t id, Position required)
{
    return {.id = id,
            .priorityClass = 1,
            .replicaAllowed = true,
            .operations = "[]",
            .requiredPosition = required,
            .deadline = Now + Millis(1000)};
}

InstanceReport report(std::uint64_t term, Position last, std::uint64_t replicaTerm,
                      Position replicaLast)
{
    InstanceReport status{.name = "t1", .primary = true, .term = term, .last = last};
    status.replicas = {{"t2", replicaTerm, replicaLast, Millis(5)}, {"t3", 0, {}, Millis(9000)}};
    return status;
}

// Fixture with the gateway of the primary of term 3, whose connections are open.
class GatewayTest : public testing::Test
{
protected:
    GatewayTest()
        : gateway(options())
    {
        const GatewayActions actions = gateway.setRole(Now, 3, true, false);
        for (const OpenConnection &open : actionsOf<OpenConnection>(actions))
            completeOpen(open.connection);
    }

    static Gateway::Options options()
    {
        Gateway::Options options{.instance = "t1"};
        options.queue.classes = {{"top", true, 1}, {"default", false, 1}};
        options.queue.capacity = 4;
        options.transactionPrefix = "h1~t1~1.";
        return options;
    }

    void completeOpen(std::uint64_t connection)
    {
        for (const OpenConnection &open :
             actionsOf<OpenConnection>(gateway.onOpened(Now, connection)))
            completeOpen(open.connection);
    }

    // Submits `request` and returns the call to the instance that follows.
    TargetCall submitAndGetCall(const GatewayRequest &request)
    {
        const auto calls = actionsOf<TargetCall>(gateway.submit(Now, request));
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? TargetCall{} : calls.front();
    }

    static GatewayReply replyFrom(const GatewayActions &actions)
    {
        const auto replies = actionsOf<SendReply>(actions);
        EXPECT_EQ(replies.size(), 1U);
        return replies.empty() ? GatewayReply{} : replies.front().reply;
    }

    Gateway gateway;
};

struct RefusalCase
{
    std::string name;
    std::function<void(Gateway *, GatewayRequest *)> arrange;
    Cause cause;
};

std::ostream &operator<<(std::ostream &out, const RefusalCase &c)
{
    return out << c.name;
}

} // namespace

class GatewayRefusals : public GatewayTest, public testing::WithParamInterface<RefusalCase>
{
};

// A refused request is answered at once as not run, and nothing is sent to the instance.
TEST_P(GatewayRefusals, AreNotRunAndSendNothing)
{
    GatewayRequest request = write(1);
    GetParam().arrange(&gateway, &request);
    const GatewayActions actions = gateway.submit(Now, request);
    EXPECT_TRUE(actionsOf<TargetCall>(actions).empty());
    const GatewayReply reply = replyFrom(actions);
    EXPECT_EQ(reply.verdict, Verdict::NotRun);
    EXPECT_EQ(reply.cause, GetParam().cause);
}

INSTANTIATE_TEST_SUITE_P(
    All, GatewayRefusals,
    testing::Values(
        RefusalCase{"draining", [](Gateway *gateway, GatewayRequest *) { gateway->drain(); },
                    Cause::Leaving},
        RefusalCase{
            "leaving",
            [](Gateway *gateway, GatewayRequest *) { gateway->setRole(Now, 3, true, true); },
            Cause::Leaving},
        // Other hosts, and the records that they spread, learn of it later.
        RefusalCase{"said that it leaves, and the record does not show it yet",
                    [](Gateway *gateway, GatewayRequest *) {
                        InstanceReport leaving = report(3, {3, 5}, 3, {3, 5});
                        leaving.leaving = true;
                        gateway->onStatus(Now, Now, leaving);
                        gateway->setRole(Now, 3, true, false);
                    },
                    Cause::Leaving},
        RefusalCase{
            "not primary",
            [](Gateway *gateway, GatewayRequest *) { gateway->setRole(Now, 4, false, false); },
            Cause::NotPrimary},
        RefusalCase{"session has seen a higher term",
                    [](Gateway *, GatewayRequest *request) {
                        request->requiredPosition = {4, 1};
                    },
                    Cause::NotPrimary},
        RefusalCase{"deadline has passed",
                    [](Gateway *, GatewayRequest *request) { request->deadline = Now; },
                    Cause::Timeout},
        RefusalCase{"unknown transaction",
                    [](Gateway *, GatewayRequest *request) {
                        request->kind = RequestKind::TransactionStatement;
                        request->transaction = "h1~t1~9.9";
                    },
                    Cause::NoTransaction},
        RefusalCase{"backoff after failures to connect",
                    [](Gateway *gateway, GatewayRequest *) {
                        for (std::uint64_t connection = 1; connection <= 3; ++connection)
                            gateway->onConnectionLost(Now, connection, false);
                        for (std::uint64_t connection = 4; connection <= 9; ++connection)
                            gateway->onOpenFailed(Now, connection);
                    },
                    Cause::Unreachable},
        RefusalCase{"full queue",
                    [](Gateway *gateway, GatewayRequest *) {
                        for (std::uint64_t i = 100; i < 107; ++i)
                            gateway->submit(Now, write(i));
                    },
                    Cause::Overloaded}));

TEST_F(GatewayTest, AcknowledgesAfterTheMajority)
{
    const TargetCall call = submitAndGetCall(write(1));
    EXPECT_EQ(call.term, 3U);
    const auto actions = gateway.onAnswer(Now, call.connection, {.position = {3, 8}});
    EXPECT_TRUE(actionsOf<SendReply>(actions).empty());
    EXPECT_EQ(actionsOf<PollStatus>(actions).size(), 1U);
    EXPECT_TRUE(
        actionsOf<SendReply>(gateway.onStatus(Now, Now, report(3, {3, 8}, 3, {3, 7}))).empty());
    const GatewayReply reply = replyFrom(gateway.onStatus(Now, Now, report(3, {3, 8}, 3, {3, 8})));
    EXPECT_EQ(reply.verdict, Verdict::Ran);
    EXPECT_EQ(reply.position, (Position{3, 8}));
}

TEST_F(GatewayTest, RepliesMayHaveRunWhenTheTermEndsBeforeTheMajority)
{
    const TargetCall call = submitAndGetCall(write(1));
    gateway.onAnswer(Now, call.connection, {.position = {3, 8}});
    const GatewayReply reply = replyFrom(gateway.setRole(Now, 4, false, false));
    EXPECT_EQ(reply.verdict, Verdict::MayHaveRun);
}

TEST_F(GatewayTest, RepliesMayHaveRunAtTheDeadline)
{
    const TargetCall call = submitAndGetCall(write(1));
    gateway.onAnswer(Now, call.connection, {.position = {3, 8}});
    const GatewayReply reply = replyFrom(gateway.onTick(Now + Millis(1000)));
    EXPECT_EQ(reply.verdict, Verdict::MayHaveRun);
}

// When the connection is lost during a call, the verdict depends on whether the call was sent.
TEST_F(GatewayTest, VerdictOfALostCallDependsOnWhetherItWasSent)
{
    const TargetCall first = submitAndGetCall(write(1));
    EXPECT_EQ(replyFrom(gateway.onConnectionLost(Now, first.connection, true)).verdict,
              Verdict::MayHaveRun);
    const TargetCall second = submitAndGetCall(write(2));
    EXPECT_EQ(replyFrom(gateway.onConnectionLost(Now, second.connection, false)).verdict,
              Verdict::NotRun);
}

TEST_F(GatewayTest, PingsALongIdleConnectionBeforeUse)
{
    GatewayRequest request = write(1);
    request.deadline = Now + Millis(9000);
    const auto calls = actionsOf<TargetCall>(gateway.submit(Now + Millis(5000), request));
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls.front().kind, TargetCallKind::Ping);
    // The ping gets no answer. The request has not been sent, so it moves to another connection.
    const auto next = gateway.onConnectionLost(Now + Millis(5250), calls.front().connection, true);
    EXPECT_TRUE(actionsOf<SendReply>(next).empty());
    EXPECT_EQ(actionsOf<TargetCall>(next).size(), 1U);
}

TEST_F(GatewayTest, ReadsTheOutcomeOfADuplicateFromTheLedger)
{
    const TargetCall call = submitAndGetCall(write(1, "pull-1"));
    EXPECT_EQ(call.ledgerValue, "ran");
    const auto conflict
        = gateway.onAnswer(Now, call.connection,
                           {.cause = Cause::Conflict, .ledgerConflict = true, .position = {3, 9}});
    const auto calls = actionsOf<TargetCall>(conflict);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls.front().kind, TargetCallKind::ReadLedger);
    gateway.onStatus(Now, Now, report(3, {3, 9}, 3, {3, 9}));
    const GatewayReply reply = replyFrom(
        gateway.onAnswer(Now, call.connection, {.position = {3, 9}, .ledgerValue = "123 ran"}));
    EXPECT_EQ(reply.verdict, Verdict::Ran);
    EXPECT_TRUE(reply.duplicate);
}

TEST_F(GatewayTest, HoldsARecordedOutcomeUntilItIsAcknowledged)
{
    const TargetCall call = submitAndGetCall(write(1, "pull-1"));
    gateway.onAnswer(Now, call.connection,
                     {.cause = Cause::Conflict, .ledgerConflict = true, .position = {3, 9}});
    const auto read
        = gateway.onAnswer(Now, call.connection, {.position = {3, 9}, .ledgerValue = "123 ran"});
    EXPECT_TRUE(actionsOf<SendReply>(read).empty());
    EXPECT_EQ(replyFrom(gateway.onStatus(Now, Now, report(3, {3, 9}, 3, {3, 9}))).verdict,
              Verdict::Ran);
}

TEST_F(GatewayTest, PinsATransactionToItsConnection)
{
    GatewayRequest begin = write(1);
    begin.kind = RequestKind::Begin;
    const TargetCall started = submitAndGetCall(begin);
    const GatewayReply reply = replyFrom(gateway.onAnswer(Now, started.connection, {}));
    ASSERT_FALSE(reply.transaction.empty());
    GatewayRequest statement = write(2);
    statement.kind = RequestKind::TransactionStatement;
    statement.transaction = reply.transaction;
    const TargetCall call = submitAndGetCall(statement);
    EXPECT_EQ(call.connection, started.connection);
    EXPECT_TRUE(call.inTransaction);
    // No other request gets that connection, however many there are.
    for (std::uint64_t i = 10; i < 14; ++i) {
        for (const TargetCall &other : actionsOf<TargetCall>(gateway.submit(Now, write(i))))
            EXPECT_NE(other.connection, started.connection);
    }
    GatewayRequest again = statement;
    again.id = 3;
    EXPECT_EQ(replyFrom(gateway.submit(Now, again)).cause, Cause::Busy);
    const auto lost = gateway.onConnectionLost(Now, started.connection, true);
    EXPECT_EQ(replyFrom(lost).verdict, Verdict::NotRun);
    again.id = 4;
    EXPECT_EQ(replyFrom(gateway.submit(Now, again)).cause, Cause::NoTransaction);
}

TEST_F(GatewayTest, ClosesTheConnectionOfAnAbandonedTransaction)
{
    GatewayRequest begin = write(1);
    begin.kind = RequestKind::Begin;
    const TargetCall started = submitAndGetCall(begin);
    gateway.onAnswer(Now, started.connection, {});
    const auto closed = actionsOf<CloseConnection>(gateway.onTick(Now + Millis(5000)));
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed.front().connection, started.connection);
}

// Its process was started again under the same name.
TEST_F(GatewayTest, AsksAnInstanceThatSaidThatItLeavesWhetherItStillDoes)
{
    InstanceReport status = report(3, {3, 5}, 3, {3, 5});
    status.leaving = true;
    gateway.onStatus(Now, Now, status);
    EXPECT_EQ(actionsOf<PollStatus>(gateway.onTick(Now + Millis(20))).size(), 1U);
    EXPECT_EQ(actionsOf<PollStatus>(gateway.onTick(Now + Millis(40))).size(), 0U);
    status.leaving = false;
    gateway.onStatus(Now + Millis(60), Now + Millis(20), status);
    submitAndGetCall(write(1));
}

TEST(ReplicaGateway, ChecksThePositionOfTheAnswer)
{
    Gateway gateway({.instance = "t2", .queue = {.classes = {{"top", true}, {"default"}}}});
    gateway.setRole(Now, 3, false, false);
    const auto first = gateway.submit(Now, read(1, {3, 5}));
    EXPECT_EQ(actionsOf<PollStatus>(first).size(), 1U);
    // The replica's log was truncated between its status and its answer.
    const auto opening = actionsOf<OpenConnection>(first);
    ASSERT_FALSE(opening.empty());
    const std::uint64_t connection = opening.front().connection;
    gateway.onStatus(Now, Now, {.name = "t2", .term = 3, .last = {3, 5}});
    const auto call = actionsOf<TargetCall>(gateway.onOpened(Now, connection));
    ASSERT_EQ(call.size(), 1U);
    EXPECT_TRUE(call.front().readOnly);
    const auto reply
        = actionsOf<SendReply>(gateway.onAnswer(Now, connection, {.position = {3, 4}}));
    ASSERT_EQ(reply.size(), 1U);
    EXPECT_EQ(reply.front().reply.cause, Cause::Behind);
}

TEST(ReplicaGateway, RefusesDataOfUnknownAge)
{
    Gateway gateway({.instance = "t2", .queue = {.classes = {{"top", true}, {"default"}}}});
    gateway.setRole(Now, 3, false, false);
    GatewayRequest request = read(1, {});
    request.maxAge = Millis(1000);
    EXPECT_EQ(actionsOf<FetchPositionSample>(gateway.submit(Now, request)).size(), 1U);
    gateway.onStatus(Now, Now, {.name = "t2", .term = 3, .last = {3, 5}});
    const auto reply = actionsOf<SendReply>(gateway.onTick(Now + Millis(20)));
    ASSERT_EQ(reply.size(), 1U);
    EXPECT_EQ(reply.front().reply.cause, Cause::TooOld);
}

} // namespace cicadagap
