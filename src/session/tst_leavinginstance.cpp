// Tests of what a SessionEngine sends to an instance that leaves. The group has the instances i
// (the primary, which leaves) and j; the list of instances shows the notice at 2 s.
#include "sessionoutputs.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

// From the acceptance of an instance's notice until no new work may reach it.
constexpr Millis DrainTime(7000);
constexpr Millis LastReady(1000); // The last list without the notice is from then.
constexpr Millis NoticeKnown(2000);
// A statement that arrives now reaches the instance in time, and one that arrives then does not.
constexpr Millis InTime = LastReady + Millis(5000);
constexpr Millis TooLate = LastReady + DrainTime;

// How the session's work reaches the instance.
enum class Work {
    SingleWrite,
    StrongRead,
    Transaction,
};

constexpr NameTable<Work, 3> WorkNames{{{
    {Work::SingleWrite, "singleWrite"},
    {Work::StrongRead, "strongRead"},
    {Work::Transaction, "transaction"},
}}};

class LeavingInstanceTest : public testing::Test
{
protected:
    std::vector<RegisteredInstance> instances(bool leaving) const
    {
        return {{.id = "i",
                 .group = "g",
                 .dataCentre = "d",
                 .slots = 1,
                 .leaving = leaving,
                 .registeredAsPrimary = true},
                {.id = "j", .group = "g", .dataCentre = "d"}};
    }

    // Starts an engine whose host connects to instances itself, if they accept enough connections.
    void start(int maxConnections, bool fencedPromotions = true)
    {
        engine.emplace(SessionEngine::Options{.host = "h",
                                              .dataCentre = "d",
                                              .fencedPromotions = fencedPromotions},
                       &output);
        RoutingTable routing{.version = 1};
        routing.groups["g"] = {.name = "g", .maxConnections = maxConnections, .syncReplicas = 1};
        routing.databases["db"] = {.database = "db",
                                   .group = "g",
                                   .consistency = Consistency::Strong,
                                   .statementTimeout = Millis(5000),
                                   .latencyObjective = Millis(400)};
        std::vector<HostRecord> hosts;
        for (const std::string name : {"h1", "h2", "h3", "h4", "h5"})
            hosts.push_back({.host = name, .dataCentre = "d"});
        hosts.push_back({.host = "h", .dataCentre = "e"});
        engine->onHosts(Millis(0), hosts);
        engine->onConfiguration(Millis(0), routing);
    }

    // Lets the host see the instance first ready and then leaving.
    void leave()
    {
        engine->onInstances(LastReady, instances(/*leaving=*/false));
        finishOpening(LastReady);
        engine->onInstances(NoticeKnown, instances(/*leaving=*/true));
    }

    // The instances accept the connections that are being opened.
    void finishOpening(Millis now)
    {
        for (const ConnectionId connection : std::exchange(output.opened, {}))
            engine->onTargetOpened(now, connection);
    }

    // Sends the session's work, with the statement "w".
    void send(Millis now, SessionId session, Work work)
    {
        ASSERT_EQ(engine->onConnect(now, session, "db"), Cause::None);
        if (work == Work::Transaction)
            engine->onStatement(now, session, {.id = "b", .kind = StatementKind::Begin});
        const bool reads = work == Work::StrongRead;
        engine->onStatement(
            now, session,
            {.id = "w", .kind = reads ? StatementKind::Read : StatementKind::Write, .text = "w"});
    }

    // The instance answers the opening of a transaction.
    void answerOpening(Millis now)
    {
        engine->onTargetAnswer(
            now, output.connections.at("i"),
            {.signature = "s", .phase = SessionPhase::Transaction, .position = Position{1, 1}});
    }

    SendingOutput output;
    std::optional<SessionEngine> engine;
};

class LeavingInstance : public LeavingInstanceTest, public testing::WithParamInterface<Work>
{
};

constexpr int ManyConnections = 100;
constexpr int FewConnections = 5;

// Until then it is the only instance that can serve them.
TEST_P(LeavingInstance, GetsNewWorkDuringItsDrainTime)
{
    start(ManyConnections);
    leave();
    send(InTime, 1, GetParam());
    if (GetParam() != Work::SingleWrite)
        answerOpening(InTime);
    EXPECT_TRUE(output.hasSent("w"));
}

TEST_P(LeavingInstance, GetsNoNewWorkAfterItsDrainTime)
{
    start(ManyConnections);
    leave();
    send(TooLate, 1, GetParam());
    EXPECT_TRUE(output.sent.empty());
}

// The instance is busy with another caller's statement when the work arrives.
TEST_F(LeavingInstanceTest, GetsNoQueuedWorkAfterItsDrainTime)
{
    start(ManyConnections);
    leave();
    send(InTime, 1, Work::SingleWrite);
    ASSERT_TRUE(output.hasSent("w"));
    constexpr Millis Arrival = TooLate - Millis(700);
    engine->onConnect(Arrival, 2, "db");
    engine->onStatement(Arrival, 2, {.id = "v", .kind = StatementKind::Write, .text = "v"});
    engine->onTargetAnswer(TooLate, output.connections.at("i"),
                           {.signature = "s", .position = Position{1, 2}});
    EXPECT_FALSE(output.hasSent("v"));
}

class OpeningAtALeavingInstance : public LeavingInstanceTest,
                                  public testing::WithParamInterface<Work>
{
};

// The answer to the opening of the transaction is late.
TEST_P(OpeningAtALeavingInstance, IsNotFollowedByAStatementAfterTheDrainTime)
{
    start(ManyConnections);
    leave();
    send(InTime, 1, GetParam());
    answerOpening(TooLate);
    EXPECT_FALSE(output.hasSent("w"));
}

INSTANTIATE_TEST_SUITE_P(All, OpeningAtALeavingInstance,
                         testing::Values(Work::StrongRead, Work::Transaction),
                         [](const auto &info) { return std::string(WorkNames.name(info.param)); });

// What a host that starts does not know may have been over for long.
TEST_P(LeavingInstance, GetsNoNewWorkFromAHostThatNeverSawItReady)
{
    start(ManyConnections);
    engine->onInstances(NoticeKnown, instances(/*leaving=*/true));
    send(NoticeKnown, 1, GetParam());
    finishOpening(NoticeKnown);
    EXPECT_TRUE(output.sent.empty());
}

TEST_P(LeavingInstance, GetsNoNewWorkThroughAGatewayAfterItsDrainTime)
{
    start(FewConnections);
    leave();
    send(InTime, 1, GetParam());
    ASSERT_EQ(output.relayed.size(), 1U);
    send(TooLate, 2, GetParam());
    EXPECT_EQ(output.relayed.size(), 1U);
}

// The gateway's own list decides too, and it tells the origin that the work has not run.
TEST_P(LeavingInstance, GetsNoNewWorkFromAGatewayAfterItsDrainTime)
{
    start(ManyConnections);
    leave();
    std::vector<RelayReply> replies;
    std::vector<RelayedStatement> statements;
    if (GetParam() != Work::SingleWrite)
        statements.push_back(
            {.statement = {.kind = StatementKind::Begin}, .purpose = SendPurpose::OpenTransaction});
    statements.push_back({.statement = {.id = "w", .kind = StatementKind::Write, .text = "w"}});
    engine->onRelayBatch(TooLate,
                         {.origin = "o",
                          .channel = 1,
                          .instance = "i",
                          .maxWait = Millis(800),
                          .statements = std::move(statements)},
                         [&](RelayReply reply) { replies.push_back(std::move(reply)); });
    EXPECT_TRUE(output.sent.empty());
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_TRUE(replies[0].ended);
    EXPECT_FALSE(replies[0].sent);
}

// The instance had no slot for the first statement of a transaction that was opened in time. The
// statement is not sent again.
TEST_F(LeavingInstanceTest, GetsNoFirstStatementAgainAfterItsDrainTime)
{
    start(ManyConnections);
    leave();
    constexpr Millis Arrival = TooLate - Millis(700);
    send(Arrival, 1, Work::Transaction);
    answerOpening(Arrival);
    ASSERT_TRUE(output.hasSent("w"));
    output.sent.clear();
    engine->onTargetAnswer(Arrival, output.connections.at("i"),
                           {.cause = Cause::Overloaded, .phase = SessionPhase::Transaction});
    engine->onTick(TooLate);
    EXPECT_FALSE(output.hasSent("w"));
}

// A transaction that was opened before may be finished.
TEST_F(LeavingInstanceTest, GetsTheLaterStatementsOfAnOpenTransaction)
{
    start(ManyConnections);
    leave();
    send(InTime, 1, Work::Transaction);
    answerOpening(InTime);
    answerOpening(InTime); // The first statement has run, and the transaction is still open.
    engine->onStatement(TooLate, 1, {.id = "c", .kind = StatementKind::Commit, .text = "c"});
    EXPECT_TRUE(output.hasSent("c"));
}

INSTANTIATE_TEST_SUITE_P(All, LeavingInstance,
                         testing::Values(Work::SingleWrite, Work::StrongRead, Work::Transaction),
                         [](const auto &info) { return std::string(WorkNames.name(info.param)); });

} // namespace
} // namespace cicadagap
