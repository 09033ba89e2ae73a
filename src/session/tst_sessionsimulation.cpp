// Whole sessions against a group under failures, in virtual time.
#include "sessionsimulation.h"

#include "base/hash.h"
#include "session/sessionengine.h"

#include <gtest/gtest.h>

#include <string>
#include <tuple>

namespace cicadagap {
namespace {

std::string text(const SimulationReport &report)
{
    std::string all;
    for (const std::string &violation : report.violations)
        all += violation + "\n";
    return all;
}

struct SimulationCase
{
    std::string name;
    std::vector<SimulatedFault> faults;
    Millis writeGap = Millis(6000); // The users' bound for a change of primary.
};

// How hosts reach instances.
enum class Reach {
    Direct,
    Gateways, // Instances accept fewer connections than there are hosts.
};

constexpr int ManyConnections = 22;
constexpr int FewConnections = 5;

int connectionsFor(Reach reach)
{
    return reach == Reach::Direct ? ManyConnections : FewConnections;
}

class SessionSimulation : public testing::TestWithParam<std::tuple<Reach, SimulationCase>>
{
};

TEST_P(SessionSimulation, KeepsItsPromises)
{
    const auto &[reach, faults] = GetParam();
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        const SimulationReport report = runSimulation(
            {.seed = seed, .maxConnections = connectionsFor(reach), .faults = faults.faults});
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
        EXPECT_TRUE(report.servesAtTheEnd) << "seed " << seed;
        EXPECT_GT(report.answered, 1000) << "seed " << seed;
        EXPECT_LE(report.longestWriteGap, faults.writeGap) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SessionSimulation,
    testing::Combine(
        testing::Values(Reach::Direct, Reach::Gateways),
        testing::Values(
            SimulationCase{"calm", {}, Millis(500)},
            SimulationCase{"crashPrimary", {SimulatedFault::CrashPrimary}},
            SimulationCase{"silencePrimary", {SimulatedFault::SilencePrimary}},
            SimulationCase{
                // If the primary crashes and a replica forgets its log, nobody may be promoted
                // before the primary is back, which takes up to 5.5 s.
                "restartReplica",
                {SimulatedFault::RestartReplica, SimulatedFault::CrashPrimary,
                 SimulatedFault::RestartReplica},
                Millis(6000 + 5500)},
            SimulationCase{
                "cutHosts",
                {SimulatedFault::CutHost, SimulatedFault::CutHost, SimulatedFault::CutHost}},
            SimulationCase{"lagReplicas",
                           {SimulatedFault::LagReplicas, SimulatedFault::CrashPrimary}},
            SimulationCase{"loseAnswers",
                           {SimulatedFault::LoseAnswers, SimulatedFault::LoseAnswers}},
            SimulationCase{"leavePrimary", {SimulatedFault::LeavePrimary}},
            SimulationCase{"killHosts", {SimulatedFault::KillHost, SimulatedFault::KillHost}},
            SimulationCase{"freezeHosts",
                           {SimulatedFault::FreezeHost, SimulatedFault::CrashPrimary}},
            SimulationCase{"lateOrders",
                           {SimulatedFault::LateOrders, SimulatedFault::CrashPrimary}},
            SimulationCase{"latePromotions",
                           {SimulatedFault::LatePromotions, SimulatedFault::CrashPrimary},
                           Millis(20'000)},
            SimulationCase{"storeDown",
                           {SimulatedFault::StoreDown, SimulatedFault::CrashPrimary},
                           Millis(20'000)})),
    [](const auto &info) {
        const std::string reach = std::get<0>(info.param) == Reach::Direct ? "direct" : "gateways";
        return reach + std::get<1>(info.param).name;
    });

// Takes actions and does nothing.
class Nothing : public SessionOutput
{
public:
    void openTarget(ConnectionId, const RegisteredInstance &) override { }
    void sendToTarget(ConnectionId, const std::vector<Statement> &) override { }
    void closeTarget(ConnectionId) override { }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }
    void acquireLease(const std::string &) override { }
    void requestPromotion(const std::string &, const std::string &, std::uint64_t) override { }
    void logGroupEvent(const std::string &, std::string_view, const std::string &, std::uint64_t,
                       const std::string &) override
    {
    }
    void answerCaller(SessionId, const StatementAnswer &) override { }
    void closeCaller(SessionId, Cause cause) override { closed = cause; }
    void logRequest(const RequestEvent &) override { }

    Cause closed = Cause::None;
};

// After the store was away its list is empty at first: until each group has a primary, the next
// list is wanted soon.
TEST(SessionEngine, WantsInstancesUntilEveryGroupHasAPrimary)
{
    Nothing output;
    SessionEngine engine({.host = "h", .dataCentre = "d"}, &output);
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 10, .syncReplicas = 1};
    engine.onConfiguration(Millis(0), routing);
    EXPECT_TRUE(engine.needsInstances());
    engine.onInstances(Millis(0), {});
    EXPECT_TRUE(engine.needsInstances());
    engine.onInstances(Millis(400), {{.id = "i1", .group = "g", .registeredAsPrimary = false}});
    EXPECT_TRUE(engine.needsInstances());
    engine.onInstances(Millis(800), {{.id = "i1", .group = "g", .registeredAsPrimary = true}});
    EXPECT_FALSE(engine.needsInstances());
}

// A caller that sends without end while nothing can be answered loses its session, not our memory.
TEST(SessionEngine, EndsASessionThatSendsTooFarAhead)
{
    Nothing output;
    SessionEngine engine({.host = "h", .dataCentre = "d", .maxPending = 10}, &output);
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 10, .syncReplicas = 1};
    routing.databases["db"] = {.database = "db", .group = "g", .latencyObjective = Millis(400)};
    engine.onConfiguration(Millis(0), routing);
    ASSERT_EQ(engine.onConnect(Millis(0), 1, "db"), Cause::None);
    for (int i = 0; i < 11; ++i)
        engine.onStatement(Millis(1), 1, {.id = "q", .kind = StatementKind::Read, .text = "r"});
    EXPECT_EQ(output.closed, Cause::None);
    engine.onStatement(Millis(1), 1, {.id = "q", .kind = StatementKind::Read, .text = "r"});
    EXPECT_EQ(output.closed, Cause::Overloaded);
    EXPECT_EQ(engine.sessions(), 0U);
}

// Schedules of several failures that overlap, drawn from the seed.
TEST(SessionSimulationRandom, KeepsItsPromises)
{
    constexpr int FaultCount = 12;
    for (std::uint64_t seed = 1000; seed < 1060; ++seed) {
        Random random(seed);
        const Reach reach = seed % 2 == 0 ? Reach::Direct : Reach::Gateways;
        SimulationOptions options{.seed = seed, .maxConnections = connectionsFor(reach)};
        for (std::uint64_t i = 0; i < 2 + random.below(5); ++i)
            options.faults.push_back(static_cast<SimulatedFault>(random.below(FaultCount)));
        const SimulationReport report = runSimulation(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
    }
}

} // namespace
} // namespace cicadagap
