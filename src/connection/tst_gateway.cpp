// The gateway's rules one at a time; whole sessions are in src/request.
#include "connection/gateway.h"

#include <gtest/gtest.h>

namespace cicadagap {

namespace {

constexpr Millis Now(10'000);

template <typename Action> std::vector<Action> only(const GatewayActions &actions)
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

// A gateway that leads term 3 with its connections open.
class GatewayTest : public testing::Test
{
protected:
    GatewayTest()
        : gateway(options())
    {
        const GatewayActions actions = gateway.setRole(Now, 3, true, false);
        for (const OpenConnection &open : only<OpenConnection>(actions))
            opened(open.connection);
    }

    static Gateway::Options options()
    {
        Gateway::Options options{.instance = "t1"};
        options.queue.classes = {{"top", true, 1}, {"default", false, 1}};
        options.queue.capacity = 4;
        options.transactionPrefix = "h1~t1~1.";
        return options;
    }

    void opened(std::uint64_t connection)
    {
        for (const OpenConnection &open : only<OpenConnection>(gateway.onOpened(Now, connection)))
            opened(open.connection);
    }

    // Submits and returns the call that follows.
    TargetCall submitted(const GatewayRequest &work)
    {
        const auto calls = only<TargetCall>(gateway.submit(Now, work));
        EXPECT_EQ(calls.size(), 1U);
        return calls.empty() ? TargetCall{} : calls.front();
    }

    static GatewayReply replyIn(const GatewayActions &actions)
    {
        const auto replies = only<SendReply>(actions);
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

class Refusals : public GatewayTest, public testing::WithParamInterface<RefusalCase>
{
};

// Refused work is answered at once as not run, and nothing is sent to the instance.
TEST_P(Refusals, AreNotRunAndSendNothing)
{
    GatewayRequest work = write(1);
    GetParam().arrange(&gateway, &work);
    const GatewayActions actions = gateway.submit(Now, work);
    EXPECT_TRUE(only<TargetCall>(actions).empty());
    const GatewayReply reply = replyIn(actions);
    EXPECT_EQ(reply.verdict, Verdict::NotRun);
    EXPECT_EQ(reply.cause, GetParam().cause);
}

INSTANTIATE_TEST_SUITE_P(
    All, Refusals,
    testing::Values(
        RefusalCase{"draining", [](Gateway *g, GatewayRequest *) { g->drain(); }, Cause::Leaving},
        RefusalCase{"leaving", [](Gateway *g, GatewayRequest *) { g->setRole(Now, 3, true, true); },
                    Cause::Leaving},
        RefusalCase{"not primary",
                    [](Gateway *g, GatewayRequest *) { g->setRole(Now, 4, false, false); },
                    Cause::NotPrimary},
        RefusalCase{"behind the session's term",
                    [](Gateway *, GatewayRequest *w) {
                        w->requiredPosition = {4, 1};
                    },
                    Cause::NotPrimary},
        RefusalCase{"too late", [](Gateway *, GatewayRequest *w) { w->deadline = Now; },
                    Cause::Timeout},
        RefusalCase{"unknown transaction",
                    [](Gateway *, GatewayRequest *w) {
                        w->kind = RequestKind::TransactionStatement;
                        w->transaction = "h1~t1~9.9";
                    },
                    Cause::NoTransaction},
        RefusalCase{"unreachable a moment ago",
                    [](Gateway *g, GatewayRequest *) {
                        for (std::uint64_t connection = 1; connection <= 3; ++connection)
                            g->onConnectionLost(Now, connection, false);
                        for (std::uint64_t connection = 4; connection <= 9; ++connection)
                            g->onOpenFailed(Now, connection);
                    },
                    Cause::Unreachable},
        RefusalCase{"full queue",
                    [](Gateway *g, GatewayRequest *) {
                        for (std::uint64_t i = 100; i < 107; ++i)
                            g->submit(Now, write(i));
                    },
                    Cause::Overloaded}));

TEST_F(GatewayTest, AcknowledgesAfterTheMajority)
{
    const TargetCall call = submitted(write(1));
    EXPECT_EQ(call.term, 3U);
    const auto actions = gateway.onAnswer(Now, call.connection, {.position = {3, 8}});
    EXPECT_TRUE(only<SendReply>(actions).empty());
    EXPECT_EQ(only<PollStatus>(actions).size(), 1U);
    EXPECT_TRUE(only<SendReply>(gateway.onStatus(Now, Now, report(3, {3, 8}, 3, {3, 7}))).empty());
    const GatewayReply reply = replyIn(gateway.onStatus(Now, Now, report(3, {3, 8}, 3, {3, 8})));
    EXPECT_EQ(reply.verdict, Verdict::Ran);
    EXPECT_EQ(reply.position, (Position{3, 8}));
}

TEST_F(GatewayTest, TellsMayHaveRunWhenTheTermEndsBeforeTheMajority)
{
    const TargetCall call = submitted(write(1));
    gateway.onAnswer(Now, call.connection, {.position = {3, 8}});
    const GatewayReply reply = replyIn(gateway.setRole(Now, 4, false, false));
    EXPECT_EQ(reply.verdict, Verdict::MayHaveRun);
}

TEST_F(GatewayTest, TellsMayHaveRunAtTheDeadline)
{
    const TargetCall call = submitted(write(1));
    gateway.onAnswer(Now, call.connection, {.position = {3, 8}});
    const GatewayReply reply = replyIn(gateway.onTick(Now + Millis(1000)));
    EXPECT_EQ(reply.verdict, Verdict::MayHaveRun);
}

// Connection lost while a statement runs: the verdict follows from what had been sent.
TEST_F(GatewayTest, JudgesLostConnectionsByWhatWasSent)
{
    const TargetCall first = submitted(write(1));
    EXPECT_EQ(replyIn(gateway.onConnectionLost(Now, first.connection, true)).verdict,
              Verdict::MayHaveRun);
    const TargetCall second = submitted(write(2));
    EXPECT_EQ(replyIn(gateway.onConnectionLost(Now, second.connection, false)).verdict,
              Verdict::NotRun);
}

TEST_F(GatewayTest, PingsALongIdleConnectionBeforeItCarriesWork)
{
    GatewayRequest work = write(1);
    work.deadline = Now + Millis(9000);
    const auto calls = only<TargetCall>(gateway.submit(Now + Millis(5000), work));
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls.front().kind, TargetCallKind::Ping);
    // The connection is silent; the work has not been sent and goes on on another one.
    const auto next = gateway.onConnectionLost(Now + Millis(5250), calls.front().connection, true);
    EXPECT_TRUE(only<SendReply>(next).empty());
    EXPECT_EQ(only<TargetCall>(next).size(), 1U);
}

TEST_F(GatewayTest, AsksTheLedgerAboutADuplicate)
{
    const TargetCall call = submitted(write(1, "pull-1"));
    EXPECT_EQ(call.ledgerValue, "ran");
    const auto conflict
        = gateway.onAnswer(Now, call.connection,
                           {.cause = Cause::Conflict, .ledgerConflict = true, .position = {3, 9}});
    const auto calls = only<TargetCall>(conflict);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls.front().kind, TargetCallKind::ReadLedger);
    gateway.onStatus(Now, Now, report(3, {3, 9}, 3, {3, 9}));
    const GatewayReply reply = replyIn(
        gateway.onAnswer(Now, call.connection, {.position = {3, 9}, .ledgerValue = "123 ran"}));
    EXPECT_EQ(reply.verdict, Verdict::Ran);
    EXPECT_TRUE(reply.duplicate);
}

TEST_F(GatewayTest, GivesARecordedOutcomeOnlyWhenItIsAcknowledged)
{
    const TargetCall call = submitted(write(1, "pull-1"));
    gateway.onAnswer(Now, call.connection,
                     {.cause = Cause::Conflict, .ledgerConflict = true, .position = {3, 9}});
    const auto read
        = gateway.onAnswer(Now, call.connection, {.position = {3, 9}, .ledgerValue = "123 ran"});
    EXPECT_TRUE(only<SendReply>(read).empty());
    EXPECT_EQ(replyIn(gateway.onStatus(Now, Now, report(3, {3, 9}, 3, {3, 9}))).verdict,
              Verdict::Ran);
}

TEST_F(GatewayTest, PinsATransactionToItsConnection)
{
    GatewayRequest begin = write(1);
    begin.kind = RequestKind::Begin;
    const TargetCall started = submitted(begin);
    const GatewayReply reply = replyIn(gateway.onAnswer(Now, started.connection, {}));
    ASSERT_FALSE(reply.transaction.empty());
    GatewayRequest statement = write(2);
    statement.kind = RequestKind::TransactionStatement;
    statement.transaction = reply.transaction;
    const TargetCall call = submitted(statement);
    EXPECT_EQ(call.connection, started.connection);
    EXPECT_TRUE(call.inTransaction);
    // Other work never gets that connection, however much there is.
    for (std::uint64_t i = 10; i < 14; ++i) {
        for (const TargetCall &other : only<TargetCall>(gateway.submit(Now, write(i))))
            EXPECT_NE(other.connection, started.connection);
    }
    GatewayRequest again = statement;
    again.id = 3;
    EXPECT_EQ(replyIn(gateway.submit(Now, again)).cause, Cause::Busy);
    const auto lost = gateway.onConnectionLost(Now, started.connection, true);
    EXPECT_EQ(replyIn(lost).verdict, Verdict::NotRun);
    again.id = 4;
    EXPECT_EQ(replyIn(gateway.submit(Now, again)).cause, Cause::NoTransaction);
}

TEST_F(GatewayTest, ClosesTheConnectionOfAnAbandonedTransaction)
{
    GatewayRequest begin = write(1);
    begin.kind = RequestKind::Begin;
    const TargetCall started = submitted(begin);
    gateway.onAnswer(Now, started.connection, {});
    const auto closed = only<CloseConnection>(gateway.onTick(Now + Millis(5000)));
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(closed.front().connection, started.connection);
}

TEST(ReplicaGateway, ChecksTheAnswersOwnPosition)
{
    Gateway gateway({.instance = "t2", .queue = {.classes = {{"top", true}, {"default"}}}});
    gateway.setRole(Now, 3, false, false);
    const auto first = gateway.submit(Now, read(1, {3, 5}));
    EXPECT_EQ(only<PollStatus>(first).size(), 1U);
    // The replica was truncated between its status and its answer.
    const auto opening = only<OpenConnection>(first);
    ASSERT_FALSE(opening.empty());
    const std::uint64_t connection = opening.front().connection;
    gateway.onStatus(Now, Now, {.name = "t2", .term = 3, .last = {3, 5}});
    const auto call = only<TargetCall>(gateway.onOpened(Now, connection));
    ASSERT_EQ(call.size(), 1U);
    EXPECT_TRUE(call.front().readOnly);
    const auto reply = only<SendReply>(gateway.onAnswer(Now, connection, {.position = {3, 4}}));
    ASSERT_EQ(reply.size(), 1U);
    EXPECT_EQ(reply.front().reply.cause, Cause::Behind);
}

TEST(ReplicaGateway, RefusesDataOfUnknownAge)
{
    Gateway gateway({.instance = "t2", .queue = {.classes = {{"top", true}, {"default"}}}});
    gateway.setRole(Now, 3, false, false);
    GatewayRequest work = read(1, {});
    work.maxAge = Millis(1000);
    EXPECT_EQ(only<FetchPositionSample>(gateway.submit(Now, work)).size(), 1U);
    gateway.onStatus(Now, Now, {.name = "t2", .term = 3, .last = {3, 5}});
    const auto reply = only<SendReply>(gateway.onTick(Now + Millis(20)));
    ASSERT_EQ(reply.size(), 1U);
    EXPECT_EQ(reply.front().reply.cause, Cause::TooOld);
}

} // namespace cicadagap
