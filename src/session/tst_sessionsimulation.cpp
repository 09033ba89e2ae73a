// Simulations of callers' sessions against a group while faults are injected; and tests of
// SessionEngine.
#include "sessionoutputs.h"
#include "sessionsimulation.h"

#include "base/hash.h"
#include "session/sessionengine.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <tuple>

namespace cicadagap {
namespace {

// With the variable CICADAGAP_TRACE set, each simulation writes what happens to standard error.
SimulationReport simulate(SimulationOptions options)
{
    if (std::getenv("CICADAGAP_TRACE")) {
        std::cerr << "seed " << options.seed << '\n';
        options.trace = &std::cerr;
    }
    return runSimulation(options);
}

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

using SimulationParameters = std::tuple<Access, SimulationCase>;

class SessionSimulation : public testing::TestWithParam<SimulationParameters>
{
};

std::string caseName(const testing::TestParamInfo<SimulationParameters> &info)
{
    const auto &[access, faults] = info.param;
    return (access == Access::Direct ? "direct" : "gateways") + faults.name;
}

// Runs the case with seeds from 1 to `seeds`. `options` has what differs from the defaults.
void expectGuarantees(const SimulationParameters &parameters, std::uint64_t seeds,
                      SimulationOptions options)
{
    const auto &[access, faults] = parameters;
    options.maxConnections = connectionsFor(access);
    options.faults = faults.faults;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const SimulationReport report = simulate(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << options.seed << "\n" << text(report);
        EXPECT_TRUE(report.servesAtTheEnd) << "seed " << options.seed;
        EXPECT_GT(report.answered, 1000) << "seed " << options.seed;
        EXPECT_LE(report.longestWriteGap, faults.writeGap) << "seed " << options.seed;
    }
}

// Runs schedules of several overlapping faults. How many, and which of the first `kinds`, is drawn
// from the seed of each.
struct RandomSchedules
{
    std::uint64_t firstSeed = 0;
    std::uint64_t endSeed = 0;
    std::uint64_t kinds = 0;
    std::uint64_t leastFaults = 0;
    std::uint64_t spread = 0;
};

void expectGuarantees(const RandomSchedules &schedules, const SimulationOptions &defaults)
{
    for (std::uint64_t seed = schedules.firstSeed; seed < schedules.endSeed; ++seed) {
        Random random(seed);
        SimulationOptions options = defaults;
        options.seed = seed;
        options.maxConnections = connectionsFor(seed % 2 == 0 ? Access::Direct : Access::Gateways);
        // The number is drawn anew for each fault: the seeds stand for these schedules.
        for (std::uint64_t i = 0; i < schedules.leastFaults + random.below(schedules.spread); ++i)
            options.faults.push_back(static_cast<SimulatedFault>(random.below(schedules.kinds)));
        const SimulationReport report = simulate(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << seed << "\n" << text(report);
    }
}

TEST_P(SessionSimulation, KeepsItsGuarantees)
{
    expectGuarantees(GetParam(), /*seeds=*/8, {});
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
            SimulationCase{"leaveWithCutReplica",
                           {SimulatedFault::LeavePrimary, SimulatedFault::CutReplica}},
            // While no replica receives, no write can be acknowledged.
            SimulationCase{"leaveWithBothReplicasCut",
                           {SimulatedFault::LeavePrimary, SimulatedFault::CutReplica,
                            SimulatedFault::CutReplica},
                           Millis(20'000)},
            SimulationCase{"leaveWithLatePromotions",
                           {SimulatedFault::LeavePrimary, SimulatedFault::DelayPromotions,
                            SimulatedFault::DelayPromotions},
                           Millis(20'000)},
            SimulationCase{"leaveWithKilledHosts",
                           {SimulatedFault::LeavePrimary, SimulatedFault::KillHost,
                            SimulatedFault::KillHost, SimulatedFault::KillHost}},
            SimulationCase{"leaveWithStoreDown",
                           {SimulatedFault::LeavePrimary, SimulatedFault::StoreDown},
                           Millis(20'000)},
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
    caseName);

// Callers choose texts that end a field early, continue one another or are not UTF-8, prepare names
// again and set values inside transactions. Guards against these failures: a statement runs with
// another text, other parameters, other values or another prepared statement than its caller's.
class ArbitraryTexts : public testing::TestWithParam<SimulationParameters>
{
};

TEST_P(ArbitraryTexts, RunAsTheirCallersSentThem)
{
    const auto &[access, faults] = GetParam();
    SimulationOptions options{
        .maxConnections = connectionsFor(access), .faults = faults.faults, .arbitraryTexts = true};
    for (options.seed = 1; options.seed <= 8; ++options.seed) {
        const SimulationReport report = simulate(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << options.seed << "\n" << text(report);
        EXPECT_TRUE(report.servesAtTheEnd) << "seed " << options.seed;
        EXPECT_GT(report.answered, 1000) << "seed " << options.seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ArbitraryTexts,
    testing::Combine(
        testing::Values(Access::Direct, Access::Gateways),
        testing::Values(
            SimulationCase{"calm", {}},
            SimulationCase{"crashPrimary", {SimulatedFault::CrashPrimary}},
            SimulationCase{"cutHosts", {SimulatedFault::CutHost, SimulatedFault::CutHost}},
            SimulationCase{"loseAnswers",
                           {SimulatedFault::LoseAnswers, SimulatedFault::LoseAnswers}},
            SimulationCase{"leavePrimary", {SimulatedFault::LeavePrimary}},
            SimulationCase{"killHosts", {SimulatedFault::KillHost, SimulatedFault::KillHost}},
            SimulationCase{"freezeHosts",
                           {SimulatedFault::FreezeHost, SimulatedFault::CrashPrimary}},
            // The caller's statement follows in the same write as the refused one.
            SimulationCase{"refuseRestores",
                           {SimulatedFault::RefuseRestores, SimulatedFault::RefuseRestores}})),
    caseName);

// The store is away for a moment and comes back from an older copy of itself, around changes of the
// primary: no fencing token is used by two hosts, and no acknowledged write is lost.
using RestoredStoreParameters = std::tuple<bool, SimulationCase>;

class RestoredStore : public testing::TestWithParam<RestoredStoreParameters>
{
};

TEST_P(RestoredStore, GivesOutNoFencingTokenTwice)
{
    const auto &[fenced, faults] = GetParam();
    SimulationOptions options{.hosts = 4,
                              .duration = Millis(30'000),
                              .fencedPromotions = fenced,
                              .faults = faults.faults};
    for (options.seed = 1; options.seed <= 24; ++options.seed) {
        options.maxConnections
            = connectionsFor(options.seed % 2 == 0 ? Access::Direct : Access::Gateways);
        const SimulationReport report = simulate(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << options.seed << "\n" << text(report);
        EXPECT_TRUE(report.servesAtTheEnd) << "seed " << options.seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RestoredStore,
    testing::Combine(
        testing::Bool(),
        testing::Values(
            SimulationCase{"quiet", {SimulatedFault::RestoreStore}},
            SimulationCase{"leavingPrimaries",
                           {SimulatedFault::LeavePrimary, SimulatedFault::RestoreStore,
                            SimulatedFault::LeavePrimary}},
            SimulationCase{"crashedPrimaries",
                           {SimulatedFault::CrashPrimary, SimulatedFault::RestoreStore,
                            SimulatedFault::CrashPrimary}},
            SimulationCase{"twice",
                           {SimulatedFault::LeavePrimary, SimulatedFault::RestoreStore,
                            SimulatedFault::RestoreStore, SimulatedFault::CrashPrimary}},
            SimulationCase{"killedHosts",
                           {SimulatedFault::LeavePrimary, SimulatedFault::RestoreStore,
                            SimulatedFault::KillHost, SimulatedFault::KillHost,
                            SimulatedFault::CrashPrimary}},
            SimulationCase{"suspendedHost",
                           {SimulatedFault::LeavePrimary, SimulatedFault::RestoreStore,
                            SimulatedFault::FreezeHost, SimulatedFault::CrashPrimary}},
            SimulationCase{"latePromotions",
                           {SimulatedFault::DelayPromotions, SimulatedFault::CrashPrimary,
                            SimulatedFault::RestoreStore, SimulatedFault::LeavePrimary}})),
    [](const testing::TestParamInfo<RestoredStoreParameters> &info) {
        return (std::get<0>(info.param) ? "fenced" : "unfenced") + std::get<1>(info.param).name;
    });

// On a platform that checks no fencing tokens, a primary that was replaced goes on leading, and
// promotions are carried out in any order.
class UnfencedSimulation : public testing::TestWithParam<SimulationParameters>
{
};

TEST_P(UnfencedSimulation, KeepsItsGuarantees)
{
    expectGuarantees(GetParam(), /*seeds=*/12, {.hosts = 4, .fencedPromotions = false});
}

INSTANTIATE_TEST_SUITE_P(
    Faults, UnfencedSimulation,
    testing::Combine(
        testing::Values(Access::Direct, Access::Gateways),
        testing::Values(
            SimulationCase{"calm", {}, Millis(500)},
            SimulationCase{"crashPrimary", {SimulatedFault::CrashPrimary}},
            SimulationCase{"silencePrimary", {SimulatedFault::SilencePrimary}},
            SimulationCase{"splitPrimary", {SimulatedFault::SplitPrimary}},
            SimulationCase{"leavePrimary", {SimulatedFault::LeavePrimary}},
            SimulationCase{"leaveWithCutReplica",
                           {SimulatedFault::LeavePrimary, SimulatedFault::CutReplica}},
            // While no replica receives, no write can be acknowledged.
            SimulationCase{"leaveWithBothReplicasCut",
                           {SimulatedFault::LeavePrimary, SimulatedFault::CutReplica,
                            SimulatedFault::CutReplica},
                           Millis(20'000)},
            SimulationCase{"leaveWithLatePromotions",
                           {SimulatedFault::LeavePrimary, SimulatedFault::DelayPromotions,
                            SimulatedFault::DelayPromotions},
                           Millis(20'000)},
            SimulationCase{"leaveAndSplit",
                           {SimulatedFault::LeavePrimary, SimulatedFault::SplitPrimary},
                           Millis(20'000)},
            SimulationCase{"splitAndLateCommands",
                           {SimulatedFault::SplitPrimary, SimulatedFault::DelayCommands}},
            SimulationCase{
                "splitAndKilledHosts",
                {SimulatedFault::SplitPrimary, SimulatedFault::KillHost, SimulatedFault::KillHost}},
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
                           {SimulatedFault::DelayPromotions, SimulatedFault::SplitPrimary,
                            SimulatedFault::CrashPrimary},
                           Millis(20'000)})),
    caseName);

// Shows that the simulation notices what the rules for such a platform prevent: a primary that is
// cut off is replaced while the host that still reaches it is suspended.
TEST(UnfencedSimulation, NoticesHostsThatIgnoreTheMissingFence)
{
    std::size_t violations = 0;
    SimulationOptions options{.hosts = 2,
                              .fencedPromotions = false,
                              .faults = {SimulatedFault::SplitPrimary, SimulatedFault::FreezeHost,
                                         SimulatedFault::FreezeHost}};
    for (options.seed = 1; options.seed <= 40; ++options.seed) {
        options.hostsIgnoreMissingFence = false;
        const SimulationReport report = runSimulation(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << options.seed << "\n" << text(report);
        options.hostsIgnoreMissingFence = true;
        violations += runSimulation(options).violations.size();
    }
    // Few schedules bring the failure about.
    for (; violations == 0 && options.seed <= 400; ++options.seed)
        violations += runSimulation(options).violations.size();
    EXPECT_GT(violations, 0U);
}

class SimulatedTenants : public testing::TestWithParam<SimulationParameters>
{
};

TEST_P(SimulatedTenants, KeepTheGuarantees)
{
    expectGuarantees(GetParam(), /*seeds=*/3, {.tenants = true});
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SimulatedTenants,
    testing::Combine(
        testing::Values(Access::Direct, Access::Gateways),
        testing::Values(SimulationCase{"calm", {}, Millis(500)},
                        SimulationCase{"crashPrimary", {SimulatedFault::CrashPrimary}},
                        SimulationCase{"frozenAndKilledHosts",
                                       {SimulatedFault::FreezeHost, SimulatedFault::KillHost,
                                        SimulatedFault::KillHost}},
                        SimulationCase{"loseAnswers",
                                       {SimulatedFault::LoseAnswers, SimulatedFault::CutHost}},
                        SimulationCase{"leavePrimary", {SimulatedFault::LeavePrimary}})),
    caseName);

// Show that the simulation notices connections of another tenant and keys that stay in use.
TEST_P(SimulatedTenants, AreNoticedWhenSwappedOrKeptTooLong)
{
    SimulationOptions options{.maxConnections = connectionsFor(std::get<0>(GetParam())),
                              .duration = Millis(9000),
                              .tenants = true,
                              .faults = std::get<1>(GetParam()).faults};
    options.hostsSwapTenants = true;
    const std::string swapped = text(runSimulation(options));
    EXPECT_NE(swapped.find("in the name of"), std::string::npos);
    options.hostsSwapTenants = false;
    options.hostsForgetKeyChanges = true;
    const std::string kept = text(runSimulation(options));
    EXPECT_NE(kept.find("in the name of"), std::string::npos);
}

// After an outage of the store its list of instances is empty at first. Until each group has a
// primary, the next list is read soon.
TEST(SessionEngine, NeedsInstancesUntilEveryGroupHasAPrimary)
{
    NullOutput output;
    SessionEngine engine({.host = "h", .dataCentre = "d"}, &output);
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 10, .syncReplicas = 1};
    engine.onConfiguration(Millis(0), routing);
    EXPECT_TRUE(engine.needsInstances(Millis(0)));
    engine.onInstances(Millis(0), {});
    EXPECT_TRUE(engine.needsInstances(Millis(0)));
    engine.onInstances(Millis(400), {{.id = "i1", .group = "g", .registeredAsPrimary = false}});
    EXPECT_TRUE(engine.needsInstances(Millis(400)));
    engine.onInstances(Millis(800), {{.id = "i1", .group = "g", .registeredAsPrimary = true}});
    EXPECT_FALSE(engine.needsInstances(Millis(800)));
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

// A primary that was replaced lacks the commits that the session made at its successor. Such a
// primary may still be trusted for data of the age that the database accepts.
TEST(SessionEngine, OpensATransactionAfterTheSessionsOwnCommit)
{
    SendingOutput output;
    SessionEngine engine({.host = "h", .dataCentre = "d", .fencedPromotions = false}, &output);
    RoutingTable routing{.version = 1};
    routing.groups["g"] = {.name = "g", .maxConnections = 10, .syncReplicas = 1};
    routing.databases["db"] = {.database = "db",
                               .group = "g",
                               .consistency = Consistency::ReadYourWrites,
                               .maxAge = Millis(1500),
                               .statementTimeout = Millis(800),
                               .latencyObjective = Millis(400)};
    engine.onHosts(Millis(0), {{.host = "h", .dataCentre = "d"}});
    engine.onConfiguration(Millis(0), routing);
    engine.onInstances(Millis(0),
                       {{.id = "i", .group = "g", .dataCentre = "d", .registeredAsPrimary = true},
                        {.id = "j", .group = "g", .dataCentre = "d"}});
    ASSERT_FALSE(output.opened.empty());
    const ConnectionId connection = output.opened.front();
    engine.onTargetOpened(Millis(1), connection);
    ASSERT_EQ(engine.onConnect(Millis(1), 1, "db"), Cause::None);
    constexpr Position Commit{.term = 3, .index = 9};
    engine.onStatement(Millis(2), 1, {.id = "w", .kind = StatementKind::Write, .text = "w"});
    engine.onTargetAnswer(Millis(3), connection, {.signature = "s", .position = Commit});
    output.sent.clear();
    engine.onStatement(Millis(4), 1, {.id = "b", .kind = StatementKind::Begin});
    engine.onStatement(Millis(5), 1, {.id = "v", .kind = StatementKind::Write, .text = "v"});
    ASSERT_EQ(output.sent.size(), 1U);
    EXPECT_EQ(output.sent[0].kind, StatementKind::Begin);
    EXPECT_EQ(output.sent[0].requiredPosition, Commit);
}

// A schedule in which acknowledged writes were lost once.
struct LossCase
{
    std::string name; // How they were lost.
    SimulationOptions options;
};

class LostWrite : public testing::TestWithParam<LossCase>
{
};

TEST_P(LostWrite, IsKept)
{
    const SimulationReport report = simulate(GetParam().options);
    EXPECT_TRUE(report.violations.empty()) << text(report);
}

INSTANTIATE_TEST_SUITE_P(
    Schedules, LostWrite,
    testing::Values(
        LossCase{"resumeOvertookPause",
                 {.seed = 508,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::CutHost,
                             SimulatedFault::CrashPrimary}}},
        LossCase{"sealedInstanceEnded",
                 {.seed = 1668,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::StoreDown,
                             SimulatedFault::StoreDown, SimulatedFault::KillHost}}},
        LossCase{"sealedInstanceEndedUnfenced",
                 {.seed = 151,
                  .hosts = 4,
                  .fencedPromotions = false,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::CutHost,
                             SimulatedFault::LagReplicas, SimulatedFault::StoreDown}}},
        LossCase{"resumeWasCarriedOutLate",
                 {.seed = 580,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::DelayCommands,
                             SimulatedFault::RestartReplica, SimulatedFault::LeavePrimary}}},
        LossCase{"resumeWasCarriedOutLateAgain",
                 {.seed = 553,
                  .hosts = 4,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::StoreDown,
                             SimulatedFault::LeavePrimary, SimulatedFault::DelayCommands}}},
        LossCase{"candidateLostItsLog",
                 {.seed = 862,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::FreezeHost,
                             SimulatedFault::RestartReplica, SimulatedFault::DelayCommands}}},
        LossCase{"candidateLostItsLogUnfenced",
                 {.seed = 862,
                  .fencedPromotions = false,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::FreezeHost,
                             SimulatedFault::RestartReplica, SimulatedFault::DelayCommands}}},
        LossCase{"candidateOfALatePromotionLostItsLog",
                 {.seed = 1635,
                  .hosts = 4,
                  .maxConnections = FewConnections,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::LoseAnswers,
                             SimulatedFault::DelayPromotions, SimulatedFault::LoseAnswers,
                             SimulatedFault::CrashPrimary, SimulatedFault::RestartReplica}}},
        LossCase{"writeIsInTheLogTwice",
                 {.seed = 777,
                  .hosts = 4,
                  .maxConnections = FewConnections,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::FreezeHost,
                             SimulatedFault::RestartReplica, SimulatedFault::SplitPrimary,
                             SimulatedFault::KillHost, SimulatedFault::StoreDown}}},
        LossCase{"replicaRestartedUnfenced",
                 {.seed = 529,
                  .hosts = 4,
                  .fencedPromotions = false,
                  .faults = {SimulatedFault::LeavePrimary, SimulatedFault::KillHost,
                             SimulatedFault::RestartReplica, SimulatedFault::CrashPrimary,
                             SimulatedFault::SplitPrimary}}},
        LossCase{"newPrimaryCrashedAndTheReplacedOneReturnedUnfenced",
                 {.seed = 74,
                  .hosts = 4,
                  .maxConnections = 22,
                  .duration = Millis(45'000),
                  .fencedPromotions = false,
                  .faults = {SimulatedFault::CrashPrimary, SimulatedFault::SilencePrimary,
                             SimulatedFault::DelayCommands}}},
        LossCase{"crashBesideALeavingAndAnUnlistedReplica",
                 {.seed = 41,
                  .maxConnections = 22,
                  .tenants = true,
                  .faults = {SimulatedFault::CrashPrimary, SimulatedFault::LeaveReplica,
                             SimulatedFault::UnlistReplica}}}),
    [](const auto &info) { return info.param.name; });

TEST(UnfencedSimulationRandom, KeepsItsGuarantees)
{
    expectGuarantees(
        {.firstSeed = 2000, .endSeed = 2060, .kinds = 13, .leastFaults = 1, .spread = 4},
        {.hosts = 4, .fencedPromotions = false, .faults = {SimulatedFault::SplitPrimary}});
}

class Departures : public testing::TestWithParam<bool>
{
};

// A primary leaves beside a few random faults.
TEST_P(Departures, KeepTheGuarantees)
{
    SimulationOptions defaults{.hosts = 4, .fencedPromotions = GetParam()};
    defaults.faults = {SimulatedFault::LeavePrimary};
    expectGuarantees(
        {.firstSeed = 3000, .endSeed = 3040, .kinds = 14, .leastFaults = 1, .spread = 3}, defaults);
}

INSTANTIATE_TEST_SUITE_P(All, Departures, testing::Values(true, false), [](const auto &info) {
    return std::string(info.param ? "fenced" : "unfenced");
});

// The instances that receive are not those that hosts know of, or change meanwhile.
struct ReceiverCase
{
    std::string name;
    std::vector<SimulatedFault> faults;
};

class ChangingReceivers : public testing::TestWithParam<ReceiverCase>
{
};

TEST_P(ChangingReceivers, KeepTheGuarantees)
{
    SimulationOptions options{.hosts = 4, .duration = Millis(30'000), .faults = GetParam().faults};
    for (options.seed = 1; options.seed <= 40; ++options.seed) {
        const SimulationReport report = simulate(options);
        EXPECT_TRUE(report.violations.empty()) << "seed " << options.seed << "\n" << text(report);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ChangingReceivers,
    testing::Values(ReceiverCase{"unlisted",
                                 {SimulatedFault::UnlistReplica, SimulatedFault::UnlistReplica,
                                  SimulatedFault::LeavePrimary}},
                    ReceiverCase{"unlistedAndKilledHosts",
                                 {SimulatedFault::UnlistReplica, SimulatedFault::UnlistReplica,
                                  SimulatedFault::LeavePrimary, SimulatedFault::KillHost,
                                  SimulatedFault::KillHost, SimulatedFault::KillHost}},
                    ReceiverCase{"replicasLeave",
                                 {SimulatedFault::LeaveReplica, SimulatedFault::LeavePrimary,
                                  SimulatedFault::LeaveReplica}},
                    ReceiverCase{"replicasLeaveAndLatePromotions",
                                 {SimulatedFault::LeaveReplica, SimulatedFault::LeavePrimary,
                                  SimulatedFault::DelayPromotions,
                                  SimulatedFault::DelayPromotions}},
                    ReceiverCase{"replicasLeaveAndCutHosts",
                                 {SimulatedFault::LeaveReplica, SimulatedFault::CutHost,
                                  SimulatedFault::CutHost, SimulatedFault::LeavePrimary}},
                    ReceiverCase{"replicasLeaveAndCrash",
                                 {SimulatedFault::LeaveReplica, SimulatedFault::CrashPrimary}}),
    [](const auto &info) { return info.param.name; });

TEST(SessionSimulationRandom, KeepsItsGuarantees)
{
    expectGuarantees(
        {.firstSeed = 1000, .endSeed = 1060, .kinds = 12, .leastFaults = 2, .spread = 5}, {});
}

} // namespace
} // namespace cicadagap
