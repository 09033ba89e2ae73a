// Tests of what a SessionEngine does with statements of tenants that have limits.
#include "sessionoutputs.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace cicadagap {
namespace {

constexpr SessionId Caller = 1;
constexpr Millis Patience(600); // See TenantQuota::Options.

// A host with one caller of a tenant, and one instance that answers when the test says so.
class TenantAdmission : public testing::Test
{
protected:
    void start(std::optional<TenantLimits> limits)
    {
        RoutingTable routing{.version = 1, .requiresKeys = true};
        routing.groups["g"] = {.name = "g", .maxConnections = 20};
        routing.databases["db"] = {.database = "db",
                                   .group = "g",
                                   .consistency = Consistency::BoundedStaleness,
                                   .maxAge = Millis(60'000),
                                   .statementTimeout = Millis(1500),
                                   .latencyObjective = Millis(400)};
        const ApiKey key = ApiKey::fromText("k");
        Reason reason;
        ASSERT_TRUE(routing.addTenant({.name = "t1", .keys = {key}, .limits = limits}, &reason));
        engine.onHosts(Millis(0), {{.host = "h", .dataCentre = "d"}});
        engine.onConfiguration(Millis(0), routing);
        engine.onInstances(Millis(0),
                           {{.id = "i",
                             .group = "g",
                             .dataCentre = "d",
                             .slots = 4,
                             .registeredAsPrimary = true}});
        ASSERT_EQ(engine.onConnect(Millis(1), Caller, "db", key), Cause::None);
        engine.quota()->setHosts(Millis(1), {"h"}, quotaOwners({"h"}));
    }

    void send(Millis now, StatementKind kind, const std::string &id)
    {
        engine.onStatement(now, Caller, {.id = id, .kind = kind, .text = id});
    }

    // Opens what was opened for the tenant.
    void open(Millis now)
    {
        for (const ConnectionId connection : std::exchange(output.opened, {}))
            engine.onTargetOpened(now, connection);
    }

    // Grants operations in answer to what the host asks for at `now`.
    void grant(Millis now, std::uint32_t count)
    {
        engine.onTick(now);
        for (const OutgoingQuotaRequest &due : engine.quota()->takeRequests(now))
            engine.quota()->onReply(now, due.owner, due.request.number,
                                    {.grants = {{.tenant = "t1", .granted = count}}});
    }

    SendingOutput output;
    SessionEngine engine{{.host = "h", .dataCentre = "d"}, &output};
};

TEST_F(TenantAdmission, SendsNothingForTenantsWithoutLimits)
{
    start(std::nullopt);
    send(Millis(10), StatementKind::Write, "w");
    open(Millis(11));
    EXPECT_TRUE(output.connections.contains("i"));
    EXPECT_FALSE(engine.quota()->limitsTenants());
    EXPECT_TRUE(engine.quota()->takeRequests(Millis(20)).empty());
}

TEST_F(TenantAdmission, RefusesAStatementThatWaitedInVain)
{
    start(TenantLimits{.perSecond = 10, .burst = 10});
    send(Millis(10), StatementKind::Write, "w");
    EXPECT_TRUE(output.answers.empty());
    engine.onTick(Millis(10) + Patience);
    ASSERT_EQ(output.answers.size(), 1U);
    EXPECT_EQ(output.answers.back().cause, Cause::QuotaExceeded);
    EXPECT_EQ(output.answers.back().phase, SessionPhase::Idle);
    // The next one is refused at once.
    send(Millis(20) + Patience, StatementKind::Write, "w2");
    ASSERT_EQ(output.answers.size(), 2U);
    EXPECT_EQ(output.answers.back().cause, Cause::QuotaExceeded);
}

TEST_F(TenantAdmission, RollsBackATransactionThatIsRefused)
{
    start(TenantLimits{.perSecond = 10, .burst = 10});
    send(Millis(10), StatementKind::Begin, "b");
    send(Millis(11), StatementKind::Write, "w");
    engine.onTick(Millis(11) + Patience);
    ASSERT_EQ(output.answers.size(), 2U);
    EXPECT_EQ(output.answers.back().cause, Cause::QuotaExceeded);
    EXPECT_EQ(output.answers.back().phase, SessionPhase::FailedTransaction);
}

TEST_F(TenantAdmission, CountsATransactionOnce)
{
    start(TenantLimits{.perSecond = 10, .burst = 10});
    send(Millis(10), StatementKind::Begin, "b");
    send(Millis(11), StatementKind::Write, "w1");
    grant(Millis(20), 1);
    engine.onTick(Millis(40));
    open(Millis(41));
    ASSERT_TRUE(output.connections.contains("i"));
    const ConnectionId connection = output.connections.at("i");
    const StatementAnswer ran{
        .signature = "s", .phase = SessionPhase::Transaction, .position = Position{1, 1}};
    engine.onTargetAnswer(Millis(42), connection, ran); // The opening.
    engine.onTargetAnswer(Millis(43), connection, ran);
    send(Millis(50), StatementKind::Write, "w2");
    engine.onTargetAnswer(Millis(51), connection, ran);
    ASSERT_EQ(output.answers.size(), 3U);
    EXPECT_EQ(output.answers.back().cause, Cause::None);
    // What was granted is used up.
    engine.onTargetAnswer(Millis(52), connection, ran);
    EXPECT_EQ(engine.quota()->admit(Millis(53), "t1", std::nullopt).outcome,
              Admission::Outcome::Waiting);
}

} // namespace
} // namespace cicadagap
