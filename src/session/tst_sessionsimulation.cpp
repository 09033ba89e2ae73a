// Simulations of callers' sessions against a group while faults are injected; and tests of
// SessionEngine.
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
    Millis writeGap = Millis(6000); // The customer's limit for a change of primary.
};

// How hosts connect to instances.
enum class Access {
    Direct,
    Gateways, // Instances accept so few connections that hosts relay through gateways.
};

constexpr int ManyConnections = 22;
constexpr int FewConnections = 5;

int connectionsFor(Access access)
{
    return access == Access::Direct ? ManyConnections : FewConnections;
}

class SessionSimulation : public testing::TestWithParam<std::tuple<Access, SimulationCase>>
{
};

TEST_P(SessionSimulation, KeepsItsGuarantees)
{
    const auto &[access, faults] = GetParam();
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        const SimulationReport report = runSimulation(
            {.seed = seed, .maxConnections = connectionsFor(access), .faults = faults.faults});
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
        EXPECT_TRUE(report.servesAtTheEnd) << "seed " << seed;
        EXPECT_GT(report.answered, 1000) << "seed " << seed;
        EXPECT_LE(report.longestWriteGap, faults.writeGap) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SessionSimulation,
    testing::Combine(
        testing::Values(Access::Direct, Access::Gateways),
        testing::Values(
            SimulationCase{"calm", {}, Millis(500)},
            SimulationCase{"crashPrimary", {SimulatedFault::CrashPrimary}},
            SimulationCase{"silencePrimary", {SimulatedFault::SilencePrimary}},
            SimulationCase{
                // If the primary crashes and a replica loses its log, no instance may be promoted
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
                           {SimulatedFault::DelayCommands, SimulatedFault::CrashPrimary}},
            SimulationCase{"latePromotions",
                           {SimulatedFault::DelayPromotions, SimulatedFault::CrashPrimary},
                           Millis(20'000)},
            SimulationCase{"storeDown",
                           {SimulatedFault::StoreDown, SimulatedFault::CrashPrimary},
                           Millis(20'000)})),
    [](const auto &info) {
        const std::string access
            = std::get<0>(info.param) == Access::Direct ? "direct" : "gateways";
        return access + std::get<1>(info.param).name;
    });

// On a platform that checks no fencing tokens, a primary that was replaced goes on leading, and
// promotions are carried out in any order.
class UnfencedSimulation : public testing::TestWithParam<std::tuple<Access, SimulationCase>>
{
};

TEST_P(UnfencedSimulation, KeepsItsGuarantees)
{
    const auto &[access, faults] = GetParam();
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const SimulationReport report = runSimulation({.seed = seed,
                                                       .hosts = 4,
                                                       .maxConnections = connectionsFor(access),
                                                       .fencedPromotions = false,
                                                       .faults = faults.faults});
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
        EXPECT_TRUE(report.servesAtTheEnd) << "seed " << seed;
        EXPECT_GT(report.answered, 1000) << "seed " << seed;
        EXPECT_LE(report.longestWriteGap, faults.writeGap) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, UnfencedSimulation,
    testing::Combine(
        testing::Values(Access::Direct, Access::Gateways),
        testing::Values(SimulationCase{"calm", {}, Millis(500)},
                        SimulationCase{"crashPrimary", {SimulatedFault::CrashPrimary}},
                        SimulationCase{"silencePrimary", {SimulatedFault::SilencePrimary}},
                        SimulationCase{"splitPrimary", {SimulatedFault::SplitPrimary}},
                        SimulationCase{"leavePrimary", {SimulatedFault::LeavePrimary}},
                        SimulationCase{
                            "splitAndLateCommands",
                            {SimulatedFault::SplitPrimary, SimulatedFault::DelayCommands}},
                        SimulationCase{"splitAndKilledHosts",
                                       {SimulatedFault::SplitPrimary, SimulatedFault::KillHost,
                                        SimulatedFault::KillHost}},
                        SimulationCase{"splitAndFrozenHost",
                                       {SimulatedFault::SplitPrimary, SimulatedFault::FreezeHost,
                                        SimulatedFault::FreezeHost}},
                        SimulationCase{"splitAndStoreDown",
                                       {SimulatedFault::SplitPrimary, SimulatedFault::StoreDown},
                                       Millis(20'000)},
                        SimulationCase{"splitTwice",
                                       {SimulatedFault::SplitPrimary, SimulatedFault::SplitPrimary},
                                       Millis(20'000)},
                        SimulationCase{"latePromotions",
                                       {SimulatedFault::DelayPromotions,
                                        SimulatedFault::SplitPrimary, SimulatedFault::CrashPrimary},
                                       Millis(20'000)})),
    [](const auto &info) {
        const std::string access
            = std::get<0>(info.param) == Access::Direct ? "direct" : "gateways";
        return access + std::get<1>(info.param).name;
    });

// Shows that the simulation notices what the rules for such a platform prevent.
TEST(UnfencedSimulation, NoticesHostsThatIgnoreTheMissingFence)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        violations += runSimulation({.seed = seed,
                                     .hosts = 4,
                                     .fencedPromotions = false,
                                     .hostsIgnoreMissingFence = true,
                                     .faults = {SimulatedFault::SplitPrimary}})
                          .violations.size();
    }
    EXPECT_GT(violations, 0U);
}

// Ignores all actions except the end of a session.
class NullOutput : public SessionOutput
{
public:
    void openTarget(ConnectionId, const RegisteredInstance &) override { }
    void sendToTarget(ConnectionId, const std::vector<Statement> &) override { }
    void closeTarget(ConnectionId) override { }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }
    void acquireLease(const std::string &) override { }
    void requestPromotion(const std::string &, const std::string &, std::uint64_t) override { }
    void recordCandidate(const std::string &, const std::string &, std::uint64_t) override { }
    void logGroupEvent(const std::string &, std::string_view, const std::string &, std::uint64_t,
                       const std::string &) override
    {
    }
    void answerCaller(SessionId, const StatementAnswer &) override { }
    void closeCaller(SessionId, Cause cause) override { closed = cause; }
    void logRequest(const RequestEvent &) override { }

    Cause closed = Cause::None;
};

// After an outage of the store its list of instances is empty at first. Until each group has a
// primary, the next list is read soon.
TEST(SessionEngine, NeedsInstancesUntilEveryGroupHasAPrimary)
{
    NullOutput output;
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

// A caller that keeps sending while nothing can be answered loses its session, so that its
// statements do not use up the memory.
TEST(SessionEngine, EndsASessionThatSendsTooManyStatementsAhead)
{
    NullOutput output;
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

// Several overlapping faults, drawn from the seed.
TEST(UnfencedSimulationRandom, KeepsItsGuarantees)
{
    constexpr int FaultCount = 13;
    for (std::uint64_t seed = 2000; seed < 2060; ++seed) {
        Random random(seed);
        const Access access = seed % 2 == 0 ? Access::Direct : Access::Gateways;
        SimulationOptions options{.seed = seed,
                                  .hosts = 4,
                                  .maxConnections = connectionsFor(access),
                                  .fencedPromotions = false,
                                  .faults = {SimulatedFault::SplitPrimary}};
        for (std::uint64_t i = 0; i < 1 + random.below(4); ++i)
            options.faults.push_back(static_cast<SimulatedFault>(random.below(FaultCount)));
        const SimulationReport report = runSimulation(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
    }
}

TEST(SessionSimulationRandom, KeepsItsGuarantees)
{
    constexpr int FaultCount = 12;
    for (std::uint64_t seed = 1000; seed < 1060; ++seed) {
        Random random(seed);
        const Access access = seed % 2 == 0 ? Access::Direct : Access::Gateways;
        SimulationOptions options{.seed = seed, .maxConnections = connectionsFor(access)};
        for (std::uint64_t i = 0; i < 2 + random.below(5); ++i)
            options.faults.push_back(static_cast<SimulatedFault>(random.below(FaultCount)));
        const SimulationReport report = runSimulation(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
    }
}

} // namespace
} // namespace cicadagap
