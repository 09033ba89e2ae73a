// Tests of the small parts of session: connection state, promotion lease, host directory, codecs,
// line buffer and platform cache.
#include "connection/majoritytracker.h"
#include "session/hostdirectory.h"
#include "session/sessioncodec.h"
#include "session/sessionstate.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

struct RestoreCase
{
    std::string name;
    SessionValues before; // The connection's values.
    SessionValues wanted;
    std::vector<StatementKind> steps;
};

class Restore : public testing::TestWithParam<RestoreCase>
{
};

TEST_P(Restore, SendsOnlyWhatDiffers)
{
    ConnectionSessionState memory;
    memory.restore(GetParam().before, nullptr);
    std::vector<StatementKind> kinds;
    for (const Statement &step : memory.restore(GetParam().wanted, nullptr).statements)
        kinds.push_back(step.kind);
    EXPECT_EQ(kinds, GetParam().steps);
    EXPECT_EQ(memory.restoreCost(GetParam().wanted, nullptr), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Values, Restore,
    testing::Values(RestoreCase{"same", {{"a", "1"}}, {{"a", "1"}}, {}},
                    RestoreCase{"added", {}, {{"a", "1"}}, {StatementKind::SetValue}},
                    RestoreCase{"changed", {{"a", "1"}}, {{"a", "2"}}, {StatementKind::SetValue}},
                    RestoreCase{"removed", {{"a", "1"}}, {}, {StatementKind::Reset}},
                    RestoreCase{"swapped",
                                {{"a", "1"}},
                                {{"b", "1"}},
                                {StatementKind::Reset, StatementKind::SetValue}}),
    [](const auto &info) { return info.param.name; });

TEST(ConnectionSessionState, PreparesAShapeOnceForAllSessions)
{
    ConnectionSessionState memory;
    const PreparedStatement statement{.shape = "q2", .writes = true};
    const auto first = memory.restore({}, &statement);
    ASSERT_EQ(first.statements.size(), 1U);
    EXPECT_TRUE(first.isNewName);
    EXPECT_EQ(first.statements[0].name, first.preparedName);
    const auto second = memory.restore({}, &statement);
    EXPECT_TRUE(second.statements.empty());
    EXPECT_FALSE(second.isNewName);
    EXPECT_EQ(second.preparedName, first.preparedName);
    const PreparedStatement reading{.shape = "q2", .writes = false};
    EXPECT_EQ(memory.restore({}, &reading).statements.size(), 1U);
    // Removing a value takes a reset, which removes prepared statements too.
    memory.restore({{"a", "1"}}, nullptr);
    const auto afterReset = memory.restore({}, &statement);
    EXPECT_EQ(afterReset.statements.size(), 2U);
    EXPECT_NE(afterReset.preparedName, first.preparedName);
}

std::vector<HostRecord> hostsOf(int count, int dataCentres)
{
    std::vector<HostRecord> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        hosts.push_back({.host = "h" + std::to_string(i),
                         .dataCentre = "d" + std::to_string(i % dataCentres),
                         .peerEndpoint = {.address = "127.0.0.1", .port = 1}});
    return hosts;
}

struct AccessCase
{
    std::string name;
    int hosts = 1;
    int connections = 1;
    bool someDirect = true;
    bool someRelay = false;
};

class Access : public testing::TestWithParam<AccessCase>
{
};

// For any number of hosts and connections, all hosts together hold at most the instance's
// connections, and every host reaches every instance, directly or through a gateway.
TEST_P(Access, SharesTheConnectionsOfAnInstance)
{
    const RegisteredInstance instance{.id = "i1", .dataCentre = "d1"};
    int held = 0;
    int direct = 0;
    for (int i = 0; i < GetParam().hosts; ++i) {
        HostDirectory directory({.self = "h" + std::to_string(i)});
        directory.setRecords(Millis(0), hostsOf(GetParam().hosts, 3));
        const InstanceAccess access = directory.access(instance, GetParam().connections);
        if (access.direct) {
            ++direct;
            held += access.connections;
        } else {
            EXPECT_FALSE(directory.chooseGateway(Millis(0), access).empty());
        }
    }
    EXPECT_LE(held, GetParam().connections);
    EXPECT_EQ(direct > 0, GetParam().someDirect);
    EXPECT_EQ(direct < GetParam().hosts, GetParam().someRelay);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Access,
                         testing::Values(AccessCase{"few", 7, 22, true, false},
                                         AccessCase{"grown", 74, 35, true, true},
                                         AccessCase{"crowded", 300, 12, true, true},
                                         AccessCase{"scarce", 60, 4, true, true}),
                         [](const auto &info) { return info.param.name; });

// Otherwise all hosts that start at the same time would connect directly and exhaust the instance's
// connections.
TEST(HostDirectory, GivesNoAccessBeforeTheHostsAreKnown)
{
    HostDirectory directory({.self = "h1"});
    InstanceAccess access = directory.access({.id = "i", .dataCentre = "d"}, 22);
    EXPECT_FALSE(access.direct);
    EXPECT_TRUE(access.gateways.empty());
    directory.setRecords(Millis(0), {{.host = "h1", .dataCentre = "d"}});
    access = directory.access({.id = "i", .dataCentre = "d"}, 22);
    EXPECT_TRUE(access.direct);
}

TEST(HostDirectory, RemovesHostsThatDoNotRenew)
{
    constexpr Millis Expiry(35'000);
    HostDirectory directory({.self = "h0", .expiry = Expiry});
    std::vector<HostRecord> hosts = hostsOf(3, 1);
    directory.setRecords(Millis(0), hosts);
    EXPECT_EQ(directory.size(), 3U);
    hosts[0].heartbeat = 1;
    hosts[1].heartbeat = 1;
    directory.setRecords(Expiry - Millis(5000), hosts);
    directory.setRecords(Expiry + Millis(5000), hosts);
    EXPECT_EQ(directory.size(), 2U);
    hosts[1].leaving = true;
    directory.setRecords(Expiry + Millis(6000), hosts);
    EXPECT_EQ(directory.size(), 1U);
}

TEST(HostDirectory, AvoidsAGatewayThatFailed)
{
    HostDirectory directory({.self = "h0"});
    directory.setRecords(Millis(0), hostsOf(60, 3));
    const InstanceAccess access = directory.access({.id = "i2", .dataCentre = "d1"}, 20);
    const std::string first = directory.chooseGateway(Millis(0), access);
    directory.onGatewayFailed(Millis(0), first);
    EXPECT_NE(directory.chooseGateway(Millis(10), access), first);
    EXPECT_EQ(directory.chooseGateway(Millis(5000), access), first);
}

// All hosts relay a tenant's statements through the same gateway, and through another one once that
// has failed; the tenants are spread over all gateways.
TEST(HostDirectory, ChoosesTheSameGatewayForATenantOnAllHosts)
{
    const RegisteredInstance instance{.id = "i2", .dataCentre = "d1"};
    std::map<std::string, std::set<std::string>> gatewaysOf;
    std::set<std::string> used;
    for (int host = 0; host < 60; ++host) {
        HostDirectory directory({.self = "h" + std::to_string(host)});
        directory.setRecords(Millis(0), hostsOf(60, 3));
        const InstanceAccess access = directory.access(instance, 20);
        if (access.direct)
            continue;
        for (int tenant = 0; tenant < 20; ++tenant) {
            const std::string name = "t" + std::to_string(tenant);
            const std::string gateway = directory.chooseGateway(Millis(0), access, name);
            gatewaysOf[name].insert(gateway);
            used.insert(gateway);
        }
        const std::string first = directory.chooseGateway(Millis(0), access, "t0");
        directory.onGatewayFailed(Millis(0), first);
        EXPECT_NE(directory.chooseGateway(Millis(10), access, "t0"), first);
    }
    for (const auto &[tenant, gateways] : gatewaysOf)
        EXPECT_EQ(gateways.size(), 1U) << tenant;
    EXPECT_EQ(used.size(), 3U);
}

// A command for an instance that this host cannot reach goes to hosts that may be connected to it.
TEST(HostDirectory, NamesTheOtherHostsThatReachAnInstance)
{
    const RegisteredInstance instance{.id = "i2", .dataCentre = "d1"};
    HostDirectory few({.self = "h0"});
    few.setRecords(Millis(0), hostsOf(4, 2));
    std::vector<std::string> names = few.othersThatReach(instance, 22);
    std::sort(names.begin(), names.end());
    EXPECT_EQ(names, (std::vector<std::string>{"h1", "h2", "h3"}));
    HostDirectory many({.self = "h0"});
    many.setRecords(Millis(0), hostsOf(60, 3));
    std::vector<std::string> gateways = many.access(instance, 20).gateways;
    names = many.othersThatReach(instance, 20);
    std::sort(names.begin(), names.end());
    std::sort(gateways.begin(), gateways.end());
    EXPECT_EQ(names, gateways);
    HostDirectory roomy({.self = "h0"});
    roomy.setRecords(Millis(0), hostsOf(60, 3));
    EXPECT_EQ(roomy.othersThatReach(instance, 600).size(), 8U);
}

TEST(HostDirectory, PrefersHostsWithALargerWeight)
{
    std::vector<HostRecord> hosts = hostsOf(40, 1);
    for (int i = 0; i < 40; ++i)
        hosts[i].weight = i < 20 ? 4 : 1;
    std::map<bool, int> directAccesses; // By whether the host has the larger weight.
    for (int i = 0; i < 40; ++i) {
        HostDirectory directory({.self = "h" + std::to_string(i)});
        directory.setRecords(Millis(0), hosts);
        for (int instance = 0; instance < 200; ++instance) {
            const std::string id = "i" + std::to_string(instance);
            directAccesses[i < 20]
                += directory.access({.id = id, .dataCentre = "d0"}, 20).direct ? 1 : 0;
        }
    }
    EXPECT_GT(directAccesses[true], 2 * directAccesses[false]);
}

TEST(HostRecord, IsEncodedAndParsed)
{
    const HostRecord record{.host = "a",
                            .dataCentre = "d",
                            .peerEndpoint = {.address = "10.0.0.1", .port = 7},
                            .weight = 0.25,
                            .heartbeat = 9,
                            .leaving = true};
    EXPECT_EQ(parseHostRecord(hostRecordText(record), nullptr), record);
    for (const char *text : {"", "{}", R"({"host":"a"})"}) {
        Reason reason;
        EXPECT_FALSE(parseHostRecord(text, &reason));
        EXPECT_FALSE(reason.text().empty());
    }
}

// A host's record in the platform's store that this system did not write as it stands.
struct OddHostRecord
{
    std::string name;
    std::string from; // Replaced by `to` in the text of a valid record.
    std::string to;
};

class OddHostRecords : public testing::TestWithParam<OddHostRecord>
{
};

TEST_P(OddHostRecords, AreRefusedWithAReason)
{
    std::string text
        = R"({"host":"a","dataCentre":"d","peers":"10.0.0.1:7","weight":2,"beat":9,"leaving":false})";
    const std::size_t at = text.find(GetParam().from);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, GetParam().from.size(), GetParam().to);
    Reason reason;
    EXPECT_FALSE(parseHostRecord(text, &reason));
    EXPECT_FALSE(reason.text().empty());
}

INSTANTIATE_TEST_SUITE_P(All, OddHostRecords,
                         testing::Values(OddHostRecord{"deeplyNested", "{",
                                                       "{\"x\":" + std::string(100'000, '[')},
                                         OddHostRecord{"portOutOfRange", ":7\"", ":70000\""},
                                         OddHostRecord{"portZero", ":7\"", ":0\""},
                                         OddHostRecord{"weightBeyondDouble", ":2,", ":1e999,"},
                                         OddHostRecord{"negativeWeight", ":2,", ":-2,"},
                                         OddHostRecord{"beatBeyondRange", ":9,", ":1e30,"},
                                         OddHostRecord{"negativeBeat", ":9,", ":-9,"},
                                         OddHostRecord{"emptyName", "\"a\"", "\"\""}),
                         [](const auto &info) { return info.param.name; });

// The lines do not depend on how the byte stream is split into append() calls.
TEST(LineBuffer, DoesNotDependOnHowBytesArrive)
{
    EXPECT_TRUE(rc::check("cuts", [](const std::vector<std::string> &pieces) {
        std::string whole;
        LineBuffer cut;
        std::vector<std::string> lines;
        for (const std::string &piece : pieces) {
            const std::string bytes = piece + (piece.size() % 2 == 0 ? "\r\n" : "");
            whole += bytes;
            cut.append(bytes);
            while (const auto line = cut.next())
                lines.emplace_back(*line);
        }
        LineBuffer atOnce;
        atOnce.append(whole);
        for (const std::string &expected : lines)
            RC_ASSERT(atOnce.next() == std::optional<std::string_view>(expected));
        RC_ASSERT(!atOnce.next());
    }));
}

TEST(ReplicaAge, FindsAPositionThatCoversATime)
{
    ReplicaAge replicaAge;
    replicaAge.addSample(Millis(100), {.term = 1, .index = 5});
    replicaAge.addSample(Millis(200), {.term = 1, .index = 9});
    EXPECT_EQ(replicaAge.coveringSince(Millis(50))->index, 5U);
    EXPECT_EQ(replicaAge.coveringSince(Millis(150))->index, 9U);
    EXPECT_FALSE(replicaAge.coveringSince(Millis(201)));
}

TEST(HostDirectory, ChoosesOnePlatformReaderPerDataCentre)
{
    std::map<std::string, int> readers;
    for (int i = 0; i < 30; ++i) {
        HostDirectory directory({.self = "h" + std::to_string(i)});
        directory.setRecords(Millis(0), hostsOf(30, 3));
        const std::string reader = directory.platformReader(Millis(0));
        ++readers[reader];
        directory.onPlatformReaderFailed(Millis(0), reader);
        const bool self = reader == "h" + std::to_string(i);
        EXPECT_EQ(directory.platformReader(Millis(100)) == reader, self);
    }
    EXPECT_EQ(readers.size(), 3U);
}

} // namespace
} // namespace cicadagap
