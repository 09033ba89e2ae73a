// Tests of tenants in a SessionEngine, whose callers' keys are withdrawn, moved and given back, and
// in a TargetPool, whose tenants share few connections.
#include "session/hostdirectory.h"
#include "session/targetpool.h"
#include "sessionoutputs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

constexpr SessionId Caller = 1;
constexpr const char *Database = "db";
constexpr const char *PublicDatabase = "public";
constexpr const char *OwnHost = "h";

// Keeps the tenant of each connection that is opened.
class TenantOutput : public SendingOutput
{
public:
    void openTarget(ConnectionId connection, const RegisteredInstance &instance,
                    const std::string &tenant) override
    {
        tenants[connection] = tenant;
        SendingOutput::openTarget(connection, instance, tenant);
    }
    void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements) override
    {
        for (const Statement &statement : statements)
            sentOn[statement.id.empty() ? "-" : statement.id] = tenants.at(connection);
        last = connection;
        SendingOutput::sendToTarget(connection, statements);
    }
    void relayToGateway(ConnectionId connection, const std::string &host, RelayBatch batch) override
    {
        channel = connection;
        gateway = host;
        SendingOutput::relayToGateway(connection, host, std::move(batch));
    }

    std::map<ConnectionId, std::string> tenants;
    std::map<std::string, std::string> sentOn; // The tenant by the statement's id.
    ConnectionId last = 0;                     // That was sent something.
    ConnectionId channel = 0;                  // Of the last batch.
    std::string gateway;
};

ApiKey key(const std::string &text)
{
    return ApiKey::fromText(text);
}

// The configuration in which each tenant, by name, holds the keys.
RoutingTable configuration(std::uint64_t version,
                           const std::map<std::string, std::vector<std::string>> &tenants)
{
    RoutingTable routing{.version = version};
    routing.groups["g"] = {.name = "g", .maxConnections = 4};
    for (const char *name : {Database, PublicDatabase})
        routing.databases[name] = {.database = name,
                                   .group = "g",
                                   .statementTimeout = Millis(1500),
                                   .latencyObjective = Millis(400),
                                   .isPublic = name == std::string(PublicDatabase)};
    routing.requiresKeys = !tenants.empty();
    for (const auto &[name, keys] : tenants) {
        Tenant tenant{.name = name};
        for (const std::string &text : keys)
            tenant.keys.push_back(key(text));
        EXPECT_TRUE(routing.addTenant(tenant, nullptr));
    }
    return routing;
}

// A host whose only instance is reached directly, or through gateways.
class TenantSessions : public testing::Test
{
protected:
    explicit TenantSessions(bool direct = true)
    {
        std::vector<HostRecord> hosts{{.host = OwnHost, .dataCentre = "d"}};
        for (int i = 0; i < 12 && !direct; ++i)
            hosts.push_back({.host = "g" + std::to_string(i), .dataCentre = "d"});
        HostDirectory directory({.self = OwnHost});
        directory.setRecords(Millis(0), hosts);
        std::string id = "i0";
        for (int i = 0; directory.access({.id = id, .dataCentre = "d"}, 4).direct != direct; ++i)
            id = "i" + std::to_string(i);
        instance = id;
        engine.onHosts(Millis(0), hosts);
        engine.onConfiguration(Millis(0), configuration(1, {{"t1", {"k1"}}, {"t2", {"k2"}}}));
        engine.onInstances(
            Millis(0),
            {{.id = id, .group = "g", .dataCentre = "d", .slots = 1, .registeredAsPrimary = true}});
    }

    void send(Millis now, SessionId session, StatementKind kind, const std::string &id)
    {
        engine.onStatement(now, session, {.id = id, .kind = kind, .text = id});
    }

    // Opens what connections are being opened.
    void openAll(Millis now)
    {
        for (std::size_t i = 0; i < output.opened.size(); ++i)
            engine.onTargetOpened(now, output.opened[i]);
        output.opened.clear();
    }

    Cause lastAnswer() const
    {
        return output.answers.empty() ? Cause::Invalid : output.answers.back().cause;
    }

    TenantOutput output;
    SessionEngine engine{{.host = OwnHost, .dataCentre = "d"}, &output};
    std::string instance;
};

class RelayedTenantSessions : public TenantSessions
{
protected:
    RelayedTenantSessions()
        : TenantSessions(/*direct=*/false)
    {
    }
};

TEST_F(TenantSessions, RefuseUnknownKeysUnlessTheDatabaseIsPublic)
{
    EXPECT_EQ(engine.onConnect(Millis(1), 1, Database, key("other")), Cause::UnknownKey);
    EXPECT_EQ(engine.onConnect(Millis(1), 2, Database), Cause::UnknownKey);
    EXPECT_EQ(engine.onConnect(Millis(1), 3, "none", key("k1")), Cause::UnknownDatabase);
    EXPECT_EQ(engine.onConnect(Millis(1), 4, PublicDatabase, key("other")), Cause::None);
    EXPECT_EQ(engine.onConnect(Millis(1), 5, Database, key("k1")), Cause::None);
}

struct KeyCase
{
    std::string name;
    std::map<std::string, std::vector<std::string>> tenants; // Of the second version.
    const char *database = Database;
    bool idleRuns = false;        // A statement of the idle session.
    bool transactionRuns = false; // The next one in an open transaction.
    std::string tenant;           // In whose name the idle session's statement runs.
};

class KeyChanges : public TenantSessions, public testing::WithParamInterface<KeyCase>
{
protected:
    void changeKeys(Millis now)
    {
        engine.onConfiguration(now, configuration(2, GetParam().tenants));
    }
};

TEST_P(KeyChanges, AreInForceForIdleSessions)
{
    ASSERT_EQ(engine.onConnect(Millis(1), Caller, GetParam().database, key("k1")), Cause::None);
    changeKeys(Millis(2));
    send(Millis(3), Caller, StatementKind::Write, "w");
    openAll(Millis(4));
    EXPECT_EQ(output.hasSent("w"), GetParam().idleRuns);
    if (GetParam().idleRuns) {
        EXPECT_EQ(output.sentOn["w"], GetParam().tenant);
    } else {
        EXPECT_EQ(lastAnswer(), Cause::UnknownKey);
    }
}

TEST_P(KeyChanges, AreInForceForQueuedStatements)
{
    ASSERT_EQ(engine.onConnect(Millis(1), Caller, GetParam().database, key("k1")), Cause::None);
    send(Millis(2), Caller, StatementKind::Write, "w");
    EXPECT_FALSE(output.hasSent("w"));
    changeKeys(Millis(3));
    openAll(Millis(4));
    EXPECT_EQ(output.hasSent("w"), GetParam().idleRuns);
    if (GetParam().idleRuns) {
        EXPECT_EQ(output.sentOn["w"], GetParam().tenant);
    } else {
        EXPECT_EQ(lastAnswer(), Cause::UnknownKey);
    }
}

TEST_P(KeyChanges, AreInForceWhileATransactionOpens)
{
    ASSERT_EQ(engine.onConnect(Millis(1), Caller, GetParam().database, key("k1")), Cause::None);
    send(Millis(2), Caller, StatementKind::Begin, "b");
    send(Millis(2), Caller, StatementKind::Write, "w");
    openAll(Millis(3));
    changeKeys(Millis(4));
    engine.onTargetAnswer(Millis(5), output.last, {.phase = SessionPhase::Transaction});
    EXPECT_EQ(output.hasSent("w"), GetParam().transactionRuns);
    if (!GetParam().transactionRuns) {
        EXPECT_EQ(lastAnswer(), Cause::Aborted);
    }
}

TEST_P(KeyChanges, AreInForceForOpenTransactions)
{
    ASSERT_EQ(engine.onConnect(Millis(1), Caller, GetParam().database, key("k1")), Cause::None);
    send(Millis(2), Caller, StatementKind::Begin, "b");
    send(Millis(2), Caller, StatementKind::Write, "w");
    openAll(Millis(3));
    engine.onTargetAnswer(Millis(4), output.last, {.phase = SessionPhase::Transaction});
    ASSERT_TRUE(output.hasSent("w"));
    engine.onTargetAnswer(Millis(5), output.last, {.phase = SessionPhase::Transaction});
    changeKeys(Millis(6));
    send(Millis(7), Caller, StatementKind::Commit, "c");
    EXPECT_EQ(output.hasSent("c"), GetParam().transactionRuns);
    if (GetParam().transactionRuns)
        return;
    EXPECT_EQ(lastAnswer(), Cause::Aborted);
    EXPECT_EQ(output.sent.back().kind, StatementKind::Rollback);
    EXPECT_EQ(output.answers.back().phase, SessionPhase::Idle);
}

INSTANTIATE_TEST_SUITE_P(
    Versions, KeyChanges,
    testing::Values(KeyCase{.name = "withdrawn", .tenants = {{"t1", {}}, {"t2", {"k2"}}}},
                    KeyCase{.name = "tenantRemoved", .tenants = {{"t2", {"k2"}}}},
                    KeyCase{.name = "moved",
                            .tenants = {{"t1", {}}, {"t2", {"k2", "k1"}}},
                            .idleRuns = true,
                            .tenant = "t2"},
                    KeyCase{.name = "kept",
                            .tenants = {{"t1", {"k1", "k3"}}},
                            .idleRuns = true,
                            .transactionRuns = true,
                            .tenant = "t1"},
                    KeyCase{.name = "withdrawnOnAPublicRoute",
                            .tenants = {{"t2", {"k2"}}},
                            .database = PublicDatabase,
                            .idleRuns = true},
                    KeyCase{.name = "noTenantsAnyMore", .tenants = {}, .idleRuns = true}),
    [](const auto &info) { return info.param.name; });

TEST_F(TenantSessions, ServeAKeyThatComesBack)
{
    ASSERT_EQ(engine.onConnect(Millis(1), Caller, Database, key("k1")), Cause::None);
    engine.onConfiguration(Millis(2), configuration(2, {{"t2", {"k2"}}}));
    send(Millis(3), Caller, StatementKind::Write, "w1");
    EXPECT_EQ(lastAnswer(), Cause::UnknownKey);
    engine.onConfiguration(Millis(4), configuration(3, {{"t1", {"k1"}}}));
    send(Millis(5), Caller, StatementKind::Write, "w2");
    openAll(Millis(6));
    EXPECT_EQ(output.sentOn["w2"], "t1");
    EXPECT_FALSE(output.hasSent("w1"));
}

TEST_F(TenantSessions, IgnoreAnOlderVersion)
{
    engine.onConfiguration(Millis(2), configuration(3, {{"t2", {"k2"}}}));
    engine.onConfiguration(Millis(3), configuration(2, {{"t1", {"k1"}}}));
    EXPECT_EQ(engine.onConnect(Millis(4), Caller, Database, key("k1")), Cause::UnknownKey);
}

TEST_F(TenantSessions, ShareNoConnections)
{
    ASSERT_EQ(engine.onConnect(Millis(1), 1, Database, key("k1")), Cause::None);
    ASSERT_EQ(engine.onConnect(Millis(1), 2, Database, key("k2")), Cause::None);
    for (const SessionId session : {SessionId(1), SessionId(2)}) {
        const std::string id = "w" + std::to_string(session);
        send(Millis(2), session, StatementKind::Write, id);
        openAll(Millis(3));
        EXPECT_EQ(output.sentOn[id], "t" + std::to_string(session));
        engine.onTargetAnswer(Millis(4), output.last, {});
    }
}

TEST_F(RelayedTenantSessions, RollBackAWithdrawnKeysTransactionAtItsGateway)
{
    ASSERT_EQ(engine.onConnect(Millis(1), Caller, Database, key("k1")), Cause::None);
    send(Millis(2), Caller, StatementKind::Begin, "b");
    send(Millis(2), Caller, StatementKind::Write, "w");
    ASSERT_EQ(output.relayed.size(), 1U);
    EXPECT_EQ(output.relayed.front().tenant, "t1");
    const StatementAnswer inTransaction{.phase = SessionPhase::Transaction};
    engine.onRelayReply(Millis(3), output.channel, output.gateway,
                        {.answers = {inTransaction, inTransaction}});
    engine.onConfiguration(Millis(4), configuration(2, {{"t2", {"k2"}}}));
    send(Millis(5), Caller, StatementKind::Commit, "c");
    EXPECT_EQ(lastAnswer(), Cause::Aborted);
    ASSERT_EQ(output.relayed.size(), 2U);
    ASSERT_EQ(output.relayed.back().statements.size(), 1U);
    EXPECT_EQ(output.relayed.back().statements.front().statement.kind, StatementKind::Rollback);
    EXPECT_EQ(output.relayed.back().tenant, "t1");
    send(Millis(6), Caller, StatementKind::Write, "w2");
    EXPECT_EQ(lastAnswer(), Cause::UnknownKey);
    EXPECT_EQ(output.relayed.size(), 2U);
}

// An instance, simulated in steps of 1 ms, whose connections take time to open and whose statements
// take time to run. Each tenant has a number of statements under way all the time.
class PoolLoad : public TargetOutput, public TargetListener
{
public:
    static constexpr Millis OpeningTime = Millis(12);
    static constexpr Millis StatementTime = Millis(8);

    PoolLoad(int connections, int slots)
    {
        pool.setInstance(Millis(0), {.id = "i", .slots = slots}, {.connections = connections},
                         /*keepOpen=*/true);
    }

    void addTenant(const std::string &tenant, int underWay)
    {
        for (int i = 0; i < underWay; ++i)
            submit(Millis(0), tenant);
    }

    void run(Millis duration)
    {
        while (m_now < duration) {
            m_now = m_now + Millis(1);
            while (!m_events.empty() && m_events.begin()->first <= m_now)
                m_events.extract(m_events.begin()).mapped()();
            pool.onTick(m_now);
            pool.flush(m_now);
        }
    }

    void openTarget(ConnectionId connection, const RegisteredInstance &,
                    const std::string &tenant) override
    {
        tenants[connection] = tenant;
        ++opened;
        m_events.emplace(m_now + OpeningTime,
                         [this, connection] { pool.onOpened(m_now, connection); });
    }
    void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements) override
    {
        for (const Statement &statement : statements) {
            if (tenants.at(connection) != statement.id)
                ++foreign;
            m_events.emplace(m_now + StatementTime,
                             [this, connection] { pool.onAnswer(m_now, connection, {}); });
        }
    }
    void closeTarget(ConnectionId) override { }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }

    void onWorkStarted(Millis now, WorkId work, ConnectionId connection) override
    {
        pool.send(now, connection, SendPurpose::Work,
                  {.id = m_works.at(work), .kind = StatementKind::Read});
    }
    void onWorkRefused(Millis, WorkId work, Cause) override { ++refused[m_works.at(work)]; }
    void onWorkAnswer(Millis now, WorkId work, ConnectionId connection, SendPurpose, StatementKind,
                      Millis, const StatementAnswer &) override
    {
        ++served[m_works.at(work)];
        submit(now, m_works.at(work));
        pool.release(now, connection);
    }
    void onWorkConnectionLost(Millis, WorkId, ConnectionId, bool) override { }
    void onTargetOpening(Millis, const std::string &) override { }
    void onTargetReceived(Millis, const std::string &) override { }
    void onTargetConnectionFailed(Millis, const std::string &) override { }
    void onNamePrepared(const NewPreparedName &) override { }

    TargetPool pool{
        {}, this, this, [](Millis, const std::string &, const std::string &) { return ""; }};
    std::map<ConnectionId, std::string> tenants;
    std::map<std::string, int> served;
    std::map<std::string, int> refused;
    int opened = 0;
    int foreign = 0; // Statements that ran on another tenant's connection.

private:
    void submit(Millis now, const std::string &tenant)
    {
        m_works[++m_lastWork] = tenant;
        pool.submit(now, "i", {.id = m_lastWork, .deadline = now + Millis(1000), .tenant = tenant});
    }

    std::multimap<Millis, std::function<void()>> m_events;
    std::map<WorkId, std::string> m_works;
    WorkId m_lastWork = 0;
    Millis m_now;
};

struct ShareCase
{
    std::string name;
    int connections = 0;
    int slots = 0;
    std::map<std::string, int> tenants; // The statements of each that are under way.
    int least = 0;                      // Statements of each tenant in 2 s.
    int total = 0;                      // The least number of all tenants.
};

class ConnectionShares : public testing::TestWithParam<ShareCase>
{
};

TEST_P(ConnectionShares, LeaveNoTenantBehind)
{
    PoolLoad load(GetParam().connections, GetParam().slots);
    for (const auto &[tenant, underWay] : GetParam().tenants)
        load.addTenant(tenant, underWay);
    load.run(Millis(2000));
    int total = 0;
    for (const auto &row : GetParam().tenants) {
        total += load.served[row.first];
        EXPECT_GE(load.served[row.first], GetParam().least) << row.first;
        // The hot tenant's work exceeds what the instance can do.
        if (row.first != "hot") {
            EXPECT_EQ(load.refused[row.first], 0) << row.first;
        }
    }
    EXPECT_GE(total, GetParam().total);
    EXPECT_EQ(load.foreign, 0);
    RecordProperty("total", total);
    RecordProperty("opened", load.opened);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, ConnectionShares,
    testing::Values(
        ShareCase{"oneTenant", 2, 4, {{"", 40}}, 480, 480},
        ShareCase{"hotTenantWithConnectionsToSpare", 8, 4, {{"hot", 100}, {"a", 1}}, 1, 1},
        ShareCase{"hotTenantWithTwoConnections", 2, 4, {{"hot", 100}, {"a", 1}, {"b", 1}}, 20, 350},
        ShareCase{"oneConnection", 1, 4, {{"hot", 100}, {"a", 2}}, 20, 170},
        ShareCase{"oneSlot", 2, 1, {{"hot", 100}, {"a", 2}}, 1, 1},
        ShareCase{"moreTenantsThanConnections",
                  2,
                  3,
                  {{"a", 5}, {"b", 5}, {"c", 5}, {"d", 5}, {"e", 5}, {"f", 5}},
                  30,
                  350}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace cicadagap
