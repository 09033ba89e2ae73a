// Tests of a SessionEngine in a graceful shutdown.
#include "sessionoutputs.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

constexpr Millis DrainStart(1000);
constexpr Millis DrainDelay(2300);
constexpr SessionId Caller = 1;

class ClosingOutput : public SendingOutput
{
public:
    void closeCaller(SessionId session, Cause) override { ended.insert(session); }

    std::set<SessionId> ended;
};

// A host with one caller, and one instance that answers when the test says so.
class SessionDrain : public testing::Test
{
protected:
    SessionDrain()
    {
        RoutingTable routing{.version = 1};
        routing.groups["g"] = {.name = "g", .maxConnections = 20};
        routing.databases["db"] = {.database = "db",
                                   .group = "g",
                                   .consistency = Consistency::BoundedStaleness,
                                   .maxAge = Millis(60'000),
                                   .statementTimeout = Millis(1500),
                                   .latencyObjective = Millis(400)};
        engine.onHosts(Millis(0), {{.host = "h", .dataCentre = "d"}});
        engine.onConfiguration(Millis(0), routing);
        engine.onInstances(Millis(0),
                           {{.id = "i",
                             .group = "g",
                             .dataCentre = "d",
                             .slots = 4,
                             .registeredAsPrimary = true}});
        for (const ConnectionId connection : std::exchange(output.opened, {}))
            engine.onTargetOpened(Millis(1), connection);
        EXPECT_EQ(engine.onConnect(Millis(1), Caller, "db"), Cause::None);
    }

    void drain()
    {
        engine.drain(DrainStart, {.transactions = Millis(3000), .newStatements = Millis(4000)});
    }

    void send(Millis now, StatementKind kind, const std::string &id = "w")
    {
        engine.onStatement(now, Caller, {.id = id, .kind = kind, .text = id});
    }

    void answer(Millis now, SessionPhase phase = SessionPhase::Idle)
    {
        engine.onTargetAnswer(now, output.connections.at("i"),
                              {.signature = "s", .phase = phase, .position = Position{1, 1}});
    }

    bool hasEnded() const { return output.ended.contains(Caller); }

    ClosingOutput output;
    SessionEngine engine{{.host = "h", .dataCentre = "d"}, &output};
};

// Guards against this failure (review/4): sessions that are always in use were ended only with the
// process, in the middle of a statement.
TEST_F(SessionDrain, EndsASessionThatIsAlwaysInUseAfterAnAnswer)
{
    drain();
    Millis now = DrainStart;
    for (; now < DrainStart + DrainDelay - Millis(100); now = now + Millis(100)) {
        send(now, StatementKind::Write);
        answer(now + Millis(98));
        EXPECT_FALSE(hasEnded());
    }
    send(now, StatementKind::Write);
    engine.onTick(now + Millis(50));
    answer(DrainStart + DrainDelay);
    EXPECT_TRUE(hasEnded());
    EXPECT_EQ(output.answers.back().cause, Cause::None);
}

TEST_F(SessionDrain, AnswersWhatHasArrivedFirst)
{
    drain();
    const Millis now = DrainStart + DrainDelay;
    send(now, StatementKind::Write, "w1");
    send(now, StatementKind::Write, "w2");
    answer(now + Millis(10));
    EXPECT_FALSE(hasEnded());
    answer(now + Millis(20));
    EXPECT_TRUE(hasEnded());
    EXPECT_EQ(output.answers.size(), 2U);
}

TEST_F(SessionDrain, LetsATransactionEnd)
{
    drain();
    const Millis now = DrainStart + DrainDelay;
    send(now, StatementKind::Begin);
    EXPECT_FALSE(hasEnded());
    send(now, StatementKind::Rollback);
    EXPECT_TRUE(hasEnded());
}

// It would be cut off in the middle, and in doubt. Refused as not run, it can go to another host.
TEST_F(SessionDrain, RefusesAStatementThatComesTooLate)
{
    drain();
    const Millis late = DrainStart + Millis(4001);
    send(late, StatementKind::Write, "late");
    EXPECT_FALSE(output.hasSent("late"));
    ASSERT_FALSE(output.answers.empty());
    EXPECT_EQ(output.answers.back().cause, Cause::Overloaded);
    EXPECT_TRUE(hasEnded());
}

TEST_F(SessionDrain, LeavesSessionsAloneWithoutAShutdown)
{
    send(Millis(9000), StatementKind::Write);
    answer(Millis(9010));
    EXPECT_FALSE(hasEnded());
}

} // namespace
} // namespace cicadagap
