// Tests of a SessionEngine whose statements go through a gateway: what callers are answered when
// the gateway refuses a batch or its reply does not fit.
#include "session/hostdirectory.h"
#include "sessionoutputs.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

constexpr SessionId Caller = 1;
constexpr const char *Database = "db";
constexpr const char *OwnHost = "h";

class DroppingOutput : public SendingOutput
{
public:
    void relayToGateway(ConnectionId connection, const std::string &host, RelayBatch batch) override
    {
        channel = connection;
        gateway = host;
        SendingOutput::relayToGateway(connection, host, std::move(batch));
    }
    void dropAtGateway(ConnectionId connection, const std::string &) override
    {
        dropped.push_back(connection);
    }

    ConnectionId channel = 0; // Of the last batch.
    std::string gateway;
    std::vector<ConnectionId> dropped;
};

// A host with one caller, whose only instance is reached through gateways.
class RelayedStatements : public testing::Test
{
protected:
    RelayedStatements()
    {
        std::vector<HostRecord> hosts{{.host = OwnHost, .dataCentre = "d"}};
        for (int i = 0; i < 12; ++i)
            hosts.push_back({.host = "g" + std::to_string(i), .dataCentre = "d"});
        RoutingTable routing{.version = 1};
        routing.groups["g"] = {.name = "g", .maxConnections = 4};
        routing.databases[Database] = {.database = Database,
                                       .group = "g",
                                       .statementTimeout = Millis(1500),
                                       .latencyObjective = Millis(400)};
        engine.onHosts(Millis(0), hosts);
        engine.onConfiguration(Millis(0), routing);
        engine.onInstances(Millis(0),
                           {{.id = relayedInstance(hosts),
                             .group = "g",
                             .dataCentre = "d",
                             .slots = 4,
                             .registeredAsPrimary = true}});
        EXPECT_EQ(engine.onConnect(Millis(1), Caller, Database), Cause::None);
    }

    // An instance to which the host has no direct connection.
    static std::string relayedInstance(const std::vector<HostRecord> &hosts)
    {
        HostDirectory directory({.self = OwnHost});
        directory.setRecords(Millis(0), hosts);
        std::string id;
        for (int i = 0; i < 1000; ++i) {
            id = "i" + std::to_string(i);
            if (!directory.access({.id = id, .dataCentre = "d"}, 4).direct)
                break;
        }
        return id;
    }

    void send(Millis now, StatementKind kind, const std::string &id)
    {
        engine.onStatement(now, Caller, {.id = id, .kind = kind, .text = id});
    }

    void reply(Millis now, const RelayReply &reply)
    {
        engine.onRelayReply(now, output.channel, output.gateway, reply);
    }

    // Opens a transaction and runs its first statement.
    void beginTransaction()
    {
        send(Millis(2), StatementKind::Begin, "b");
        send(Millis(3), StatementKind::Write, "w1");
        output.answers.clear();
        reply(Millis(4),
              {.answers = {{.phase = SessionPhase::Transaction, .position = Position{1, 1}},
                           {.signature = "s1", .phase = SessionPhase::Transaction}}});
        ASSERT_EQ(output.answers.size(), 1U);
        ASSERT_TRUE(output.answers.back().succeeded());
        output.answers.clear();
    }

    DroppingOutput output;
    SessionEngine engine{{.host = OwnHost, .dataCentre = "d"}, &output};
};

struct Refusal
{
    std::string name;
    Cause cause; // Of the reply.
    Cause answered;
};

class RefusedBatch : public RelayedStatements, public testing::WithParamInterface<Refusal>
{
};

// Guards against this failure: a batch that no gateway can read was sent five times at once.
TEST_P(RefusedBatch, IsAnsweredAsNotRunAndNotSentAgain)
{
    for (const StatementKind kind : {StatementKind::Read, StatementKind::Write}) {
        output.relayed.clear();
        output.answers.clear();
        send(Millis(2), kind, "q");
        ASSERT_EQ(output.relayed.size(), 1U);
        reply(Millis(3), {.ended = true, .cause = GetParam().cause});
        EXPECT_EQ(output.relayed.size(), 1U);
        ASSERT_EQ(output.answers.size(), 1U);
        EXPECT_EQ(output.answers.back().cause, GetParam().answered);
    }
}

// Guards against this failure: a transaction stayed open at the gateway until it counted as idle.
TEST_P(RefusedBatch, EndsItsTransactionAtTheGateway)
{
    beginTransaction();
    send(Millis(5), StatementKind::Write, "w2");
    reply(Millis(6), {.ended = true, .cause = GetParam().cause});
    ASSERT_EQ(output.answers.size(), 1U);
    EXPECT_EQ(output.answers.back().cause, Cause::Aborted);
    EXPECT_EQ(output.dropped, std::vector<ConnectionId>{output.channel});
}

INSTANTIATE_TEST_SUITE_P(All, RefusedBatch,
                         testing::Values(Refusal{"unreadable", Cause::Invalid, Cause::Overloaded},
                                         Refusal{"tooLong", Cause::TooLong, Cause::TooLong}),
                         [](const auto &info) { return info.param.name; });

// A reply that is lost or cannot be read: its statement may have run.
TEST_F(RelayedStatements, WithAnUnreadableReplyAreInDoubtIfTheyWriteAndNotSentAgain)
{
    send(Millis(2), StatementKind::Write, "w");
    reply(Millis(3), {.ended = true, .cause = Cause::Invalid, .sent = true});
    EXPECT_EQ(output.relayed.size(), 1U);
    ASSERT_EQ(output.answers.size(), 1U);
    EXPECT_EQ(output.answers.back().cause, Cause::ConnectionLost);
    EXPECT_EQ(output.dropped.size(), 1U);
}

// The reply did not arrive, or the gateway's process ended.
TEST_F(RelayedStatements, WithALostReplyAreInDoubtIfTheyWriteAndNotSentAgain)
{
    send(Millis(2), StatementKind::Write, "w");
    reply(Millis(3), {.ended = true, .cause = Cause::Unreachable, .sent = true});
    EXPECT_EQ(output.relayed.size(), 1U);
    ASSERT_EQ(output.answers.size(), 1U);
    EXPECT_EQ(output.answers.back().cause, Cause::ConnectionLost);
}

// The rows were too long for the reply; they would be again.
TEST_F(RelayedStatements, ThatReadTooMuchAreNotSentAgain)
{
    send(Millis(2), StatementKind::Read, "r");
    reply(Millis(3),
          {.answers = {{.phase = SessionPhase::Transaction, .position = Position{1, 1}},
                       {.cause = Cause::TooLong, .phase = SessionPhase::Transaction},
                       {}},
           .ended = true,
           .sent = true});
    EXPECT_EQ(output.relayed.size(), 1U);
    ASSERT_EQ(output.answers.size(), 1U);
    EXPECT_EQ(output.answers.back().cause, Cause::TooLong);
}

// Guards against this failure: the second of two answers to one statement became the answer to the
// statement after it, which had not run.
TEST_F(RelayedStatements, DoNotTakeTheAnswersOfOthers)
{
    beginTransaction();
    send(Millis(5), StatementKind::Write, "w2");
    send(Millis(5), StatementKind::Write, "w3");
    reply(Millis(6),
          {.answers = {{.signature = "s2", .phase = SessionPhase::Transaction},
                       {.signature = "s2", .phase = SessionPhase::Transaction}}});
    for (const StatementAnswer &answer : output.answers)
        EXPECT_FALSE(answer.succeeded());
    EXPECT_EQ(output.dropped, std::vector<ConnectionId>{output.channel});
}

TEST_F(RelayedStatements, OutsideATransactionAreInDoubtWithTooManyAnswers)
{
    send(Millis(2), StatementKind::Write, "w");
    reply(Millis(3), {.answers = {{.signature = "s"}, {.signature = "s"}}, .ended = true});
    ASSERT_EQ(output.answers.size(), 1U);
    EXPECT_EQ(output.answers.back().cause, Cause::ConnectionLost);
    EXPECT_EQ(output.relayed.size(), 1U);
}

// A replica that is known to lag gets no further reads for a while; those that it could serve go to
// it.
TEST(RelayedReads, AvoidAReplicaThatLags)
{
    DroppingOutput output;
    SessionEngine engine({.host = OwnHost, .dataCentre = "d"}, &output);
    std::vector<HostRecord> hosts{{.host = OwnHost, .dataCentre = "d"}};
    for (int i = 0; i < 40; ++i)
        hosts.push_back({.host = "g" + std::to_string(i), .dataCentre = "e"});
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 4};
    for (const auto &[name, age] :
         {std::pair("recent", Millis(1000)), std::pair("old", Millis(9000))})
        routing.databases[name] = {.database = name,
                                   .group = "g",
                                   .consistency = Consistency::BoundedStaleness,
                                   .maxAge = age,
                                   .statementTimeout = Millis(1500),
                                   .latencyObjective = Millis(400)};
    engine.onHosts(Millis(0), hosts);
    engine.onConfiguration(Millis(0), routing);
    engine.onInstances(Millis(0),
                       {{.id = "i0", .group = "g", .dataCentre = "e", .registeredAsPrimary = true},
                        {.id = "i1", .group = "g", .dataCentre = "e"}});
    ASSERT_EQ(engine.onConnect(Millis(1), 1, "recent"), Cause::None);
    ASSERT_EQ(engine.onConnect(Millis(1), 2, "old"), Cause::None);
    std::map<SessionId, std::set<std::string>> instances;
    for (int i = 0; i < 40; ++i) {
        const Millis now(2 + i);
        for (const SessionId session : {SessionId(1), SessionId(2)}) {
            engine.onStatement(now, session, {.id = "r", .kind = StatementKind::Read, .text = "r"});
            const std::string instance = output.relayed.back().instance;
            instances[session].insert(instance);
            const bool refuses = session == 1 && instance == "i1";
            if (refuses)
                engine.onRelayReply(now, output.channel, output.gateway,
                                    {.ended = true, .cause = Cause::Behind});
            engine.onRelayReply(now, output.channel, output.gateway,
                                {.answers = {{.signature = "s"}}, .ended = true, .sent = true});
            if (refuses)
                instances[1].clear();
        }
    }
    EXPECT_EQ(instances[1], (std::set<std::string>{"i0"}));
    EXPECT_EQ(instances[2], (std::set<std::string>{"i0", "i1"}));
}

// A gateway's replies tell how loaded the batch's instance is, and now and then its other
// instances.
TEST(GatewayReplies, CarryTheLoadOfInstances)
{
    SendingOutput output;
    SessionEngine engine({.host = OwnHost}, &output);
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 40};
    engine.onHosts(Millis(0), {{.host = OwnHost, .dataCentre = "d"}});
    engine.onConfiguration(Millis(0), routing);
    engine.onInstances(
        Millis(0),
        {{.id = "i1", .group = "g", .slots = 4}, {.id = "i2", .group = "g", .slots = 4}});
    std::vector<std::size_t> reported;
    for (const int at : {1, 100, 300}) {
        // It is answered at once, as it has no statement.
        engine.onRelayBatch(Millis(at), {.origin = "o", .instance = "i2", .maxWait = Millis(100)},
                            [&](const RelayReply &reply) {
                                ASSERT_FALSE(reply.loads.empty());
                                EXPECT_EQ(reply.loads.front().instance, "i2");
                                reported.push_back(reply.loads.size());
                            });
    }
    EXPECT_EQ(reported, (std::vector<std::size_t>{2, 1, 2}));
}

} // namespace
} // namespace cicadagap
