// Tests of PlatformCache and its messages, and of StoreEpoch.
#include "messagegenerators.h"
#include "session/platformcache.h"
#include "session/storeepoch.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

class PlatformCacheTest : public testing::Test
{
protected:
    PlatformCache::Reply saveUpdate()
    {
        return [this](const PlatformUpdate &update) { answers.push_back(update); };
    }

    PlatformCache reader;
    PlatformCache follower;
    std::vector<PlatformUpdate> answers;
};

TEST_F(PlatformCacheTest, SendsOnlyChanges)
{
    reader.setReachesPlatform(Millis(0), true);
    reader.setRouting(Millis(0), {.version = 3});
    reader.setInstances(Millis(0), {{.id = "i1"}});
    reader.requestUpdate(Millis(100), follower.request(Millis(1000)), saveUpdate());
    ASSERT_EQ(answers.size(), 1U);
    follower.refresh(Millis(100), answers.front());
    reader.requestUpdate(Millis(200), follower.request(Millis(1000)), saveUpdate());
    EXPECT_EQ(answers.size(), 1U);
    reader.setRouting(Millis(300), {.version = 4});
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers.back().routing->version, 4U);
    EXPECT_FALSE(answers.back().instances);
    EXPECT_EQ(answers.back().instancesAge, Millis(300));
}

// Guards against this failure (review/5): an update that had waited while the host was suspended
// passed for new.
TEST_F(PlatformCacheTest, CountsTheTimeForWhichAnUpdateWaited)
{
    PlatformUpdate update{.instances = std::vector<RegisteredInstance>{{.id = "i1"}},
                          .storeEpochAge = Millis(50),
                          .routingAge = Millis(100),
                          .instancesAge = Millis(200),
                          .hostsAge = Millis(300)};
    update.addAge(Millis(3500));
    EXPECT_EQ(update.routingAge, Millis(3600));
    EXPECT_EQ(update.hostsAge, Millis(3800));
    EXPECT_EQ(update.storeEpochAge, Millis(50));
    follower.refresh(Millis(10'000), update);
    EXPECT_EQ(follower.instancesReadAt(), Millis(6300));
}

// A table of many entries that the follower has already, and a version with one more.
RoutingTable largeRouting(std::uint64_t version)
{
    constexpr int Databases = 500;
    RoutingTable routing{.version = version};
    for (int i = 0; i < Databases; ++i) {
        const std::string name = "d" + std::to_string(i);
        routing.databases[name] = {.database = name, .group = "g"};
    }
    return routing;
}

TEST_F(PlatformCacheTest, SendsTheDifferenceToTheVersionThatTheFollowerHas)
{
    RoutingTable newer = largeRouting(4);
    newer.databases["new"] = {.database = "new", .group = "g"};
    reader.setRouting(Millis(0), largeRouting(3));
    follower.setRouting(Millis(0), largeRouting(3));
    reader.setRouting(Millis(10), newer);
    reader.requestUpdate(Millis(20), follower.request(Millis(0)), saveUpdate());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_LT(encodePlatformUpdate(answers.front()).size(), 200U);
    const auto update = decodePlatformUpdate(encodePlatformUpdate(answers.front()), nullptr);
    ASSERT_TRUE(update);
    PlatformUpdate resolved = *update;
    ASSERT_TRUE(follower.resolveDelta(&resolved, nullptr));
    ASSERT_TRUE(resolved.routing);
    EXPECT_EQ(routingHash(*resolved.routing), routingHash(newer));
    follower.refresh(Millis(20), resolved);
    EXPECT_EQ(follower.request(Millis(0)).routingVersion, 4U);
}

// The version in force stays, and its age does not pass for that of the refused one.
TEST_F(PlatformCacheTest, RequestsTheWholeIfADifferenceDoesNotFit)
{
    RoutingTable other = largeRouting(3);
    other.databases["other"] = {.database = "other"};
    follower.setRouting(Millis(0), other);
    RoutingTable newer = largeRouting(4);
    newer.databases["new"] = {.database = "new"};
    reader.setReachesPlatform(Millis(0), true);
    reader.setRouting(Millis(0), largeRouting(3));
    reader.setRouting(Millis(10), newer);
    reader.requestUpdate(Millis(20), follower.request(Millis(0)), saveUpdate());
    PlatformUpdate update = answers.at(0);
    Reason reason;
    EXPECT_FALSE(follower.resolveDelta(&update, &reason));
    EXPECT_FALSE(reason.text().empty());
    follower.refresh(Millis(20), update);
    EXPECT_EQ(follower.request(Millis(0)).routingVersion, 3U);
    reader.requestUpdate(Millis(30), follower.request(Millis(1000)), saveUpdate());
    ASSERT_EQ(answers.size(), 2U);
    ASSERT_TRUE(answers.back().routing);
    EXPECT_EQ(answers.back().routing->version, 4U);
}

TEST_F(PlatformCacheTest, SendsTheWholeToAFollowerWhoseVersionIsNotRemembered)
{
    reader.setRouting(Millis(0), largeRouting(4));
    follower.setRouting(Millis(0), largeRouting(3));
    reader.requestUpdate(Millis(10), follower.request(Millis(0)), saveUpdate());
    reader.requestUpdate(Millis(10), {.routingVersion = 3}, saveUpdate());
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_TRUE(answers.front().routing);
    EXPECT_TRUE(answers.back().routing);
}

TEST_F(PlatformCacheTest, IgnoresOlderVersions)
{
    follower.setRouting(Millis(0), {.version = 5});
    PlatformUpdate old{.routing = RoutingTable{.version = 4}};
    follower.refresh(Millis(10), old);
    EXPECT_EQ(follower.request(Millis(0)).routingVersion, 5U);
}

// When the platform refuses only the platform reader, the hosts that wait for its update must learn
// of it at once, so that they read the platform themselves.
TEST_F(PlatformCacheTest, ReportsAtOnceThatTheReaderIsCutOff)
{
    reader.setReachesPlatform(Millis(0), true);
    reader.setRouting(Millis(0), {.version = 3});
    follower.setRouting(Millis(0), {.version = 3});
    reader.requestUpdate(Millis(100), follower.request(Millis(5000)), saveUpdate());
    EXPECT_TRUE(answers.empty());
    reader.setReachesPlatform(Millis(200), false);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_FALSE(answers.front().reachesPlatform);
    // A request that arrives afterwards must not wait either.
    reader.requestUpdate(Millis(210), follower.request(Millis(5000)), saveUpdate());
    EXPECT_EQ(answers.size(), 2U);
}

TEST_F(PlatformCacheTest, IsEncodedAndParsed)
{
    RoutingTable routing{.version = 9};
    routing.databases["d"] = {.database = "d",
                              .group = "g",
                              .consistency = Consistency::ReadYourWrites,
                              .maxAge = Millis(2500),
                              .statementTimeout = Millis(800),
                              .latencyObjective = Millis(400),
                              .priority = 2};
    routing.groups["g"] = {.name = "g", .maxConnections = 22, .syncReplicas = 1};
    reader.setRouting(Millis(0), routing);
    reader.setInstances(Millis(0),
                        {{.id = "i1",
                          .group = "g",
                          .endpoint = {.address = "10.0.0.1", .port = 5},
                          .dataCentre = "x",
                          .slots = 3,
                          .leaving = true,
                          .registeredAsPrimary = true,
                          .incarnation = 77}});
    reader.requestUpdate(Millis(5), {}, saveUpdate());
    const std::optional<PlatformUpdate> read
        = decodePlatformUpdate(encodePlatformUpdate(answers.front()), nullptr);
    ASSERT_TRUE(read);
    EXPECT_EQ(encodePlatformUpdate(*read), encodePlatformUpdate(answers.front()));
    EXPECT_EQ(read->instances, reader.instances());
    EXPECT_EQ(read->routing->databases.at("d").maxAge, Millis(2500));
}

// Guards against this failure: one odd entry of an update kept a host from following the reader.
TEST(PlatformUpdate, KeepsTheOthersBesideOddEntries)
{
    const Endpoint good{.address = "10.0.0.1", .port = 5};
    const Endpoint odd{.address = "somewhere", .port = 5};
    PlatformUpdate sent{.instancesRevision = 41, .hostsRevision = 42};
    sent.instances = {{.id = "i1", .endpoint = good}, {.id = "i2", .endpoint = odd}};
    sent.hosts = {{.host = "h1", .peerEndpoint = odd},
                  {.host = "h2", .peerEndpoint = good},
                  {.host = "h3", .peerEndpoint = good, .weight = std::nan("")}};
    Reason reason;
    const auto read = decodePlatformUpdate(encodePlatformUpdate(sent), &reason);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->instances->size(), 1U);
    EXPECT_EQ(read->instances->front().id, "i1");
    ASSERT_EQ(read->hosts->size(), 1U);
    EXPECT_EQ(read->hosts->front().host, "h2");
    EXPECT_FALSE(reason.text().empty());
    // Asked again with what it knows, the reader must not send the same list once more.
    PlatformCache follower;
    follower.refresh(Millis(0), *read);
    EXPECT_EQ(follower.request(Millis(0)).instancesRevision, 41U);
    EXPECT_EQ(follower.request(Millis(0)).hostsRevision, 42U);
}

rc::Gen<Endpoint> anyEndpoint()
{
    return rc::gen::map(rc::gen::inRange(1, 65536), [](int port) {
        return Endpoint{.address = "10.0.0.1", .port = static_cast<std::uint16_t>(port)};
    });
}

rc::Gen<Millis> anyAge()
{
    return rc::gen::map(rc::gen::inRange<std::int64_t>(0, 0xFFFFFFFF),
                        [](std::int64_t value) { return Millis(value); });
}

rc::Gen<RoutingTable> anyRouting()
{
    return rc::gen::exec([] {
        RoutingTable routing{.version = *rc::gen::arbitrary<std::uint64_t>(),
                             .transactionIdle = *anyAge()};
        const int entries = *rc::gen::inRange(0, 4);
        for (int i = 0; i < entries; ++i) {
            const std::string database = *anyText();
            routing.databases[database] = {
                .database = database,
                .group = *anyText(),
                .consistency = *rc::gen::element(Consistency::Strong, Consistency::BoundedStaleness,
                                                 Consistency::ReadYourWrites),
                .maxAge = *anyAge(),
                .statementTimeout = *anyAge(),
                .latencyObjective = *anyAge(),
                .priority = *rc::gen::inRange(0, 8),
                .isPublic = *rc::gen::arbitrary<bool>()};
            const std::string group = *anyText();
            routing.groups[group] = {.name = group,
                                     .maxConnections = *rc::gen::inRange(0, 1000),
                                     .syncReplicas = *rc::gen::inRange(0, 3)};
        }
        routing.requiresKeys = *rc::gen::arbitrary<bool>();
        const int tenants = *rc::gen::inRange(0, 4);
        for (int i = 0; i < tenants; ++i) {
            Tenant tenant{.name = *anyText()};
            for (int key = *rc::gen::inRange(0, 3); key > 0; --key)
                tenant.keys.push_back(ApiKey::fromText(*anyText()));
            if (*rc::gen::arbitrary<bool>())
                tenant.limits = TenantLimits{.perSecond = *rc::gen::arbitrary<std::uint32_t>(),
                                             .burst = *rc::gen::arbitrary<std::uint32_t>()};
            routing.addTenant(std::move(tenant), nullptr); // Some names and keys are taken.
        }
        return routing;
    });
}

rc::Gen<RegisteredInstance> anyInstance()
{
    return rc::gen::exec([] {
        return RegisteredInstance{.id = *anyText(),
                                  .group = *anyText(),
                                  .endpoint = *anyEndpoint(),
                                  .dataCentre = *anyText(),
                                  .slots = *rc::gen::inRange(1, 1000),
                                  .leaving = *rc::gen::arbitrary<bool>(),
                                  .registeredAsPrimary = *rc::gen::arbitrary<bool>(),
                                  .incarnation = *rc::gen::arbitrary<std::int64_t>()};
    });
}

rc::Gen<HostRecord> anyHost()
{
    return rc::gen::exec([] {
        return HostRecord{
            .host = *rc::gen::suchThat(anyText(), [](const auto &name) { return !name.empty(); }),
            .dataCentre = *anyText(),
            .peerEndpoint = *anyEndpoint(),
            .weight = 0.5 + *rc::gen::inRange(0, 8),
            .heartbeat = *rc::gen::arbitrary<std::uint64_t>(),
            .leaving = *rc::gen::arbitrary<bool>()};
    });
}

rc::Gen<PlatformUpdate> anyUpdate()
{
    return rc::gen::exec([] {
        PlatformUpdate update{.instancesRevision = *rc::gen::arbitrary<std::uint64_t>(),
                              .hostsRevision = *rc::gen::arbitrary<std::uint64_t>(),
                              .instancesPosition
                              = {.epoch = *rc::gen::arbitrary<std::uint64_t>(),
                                 .version = *rc::gen::arbitrary<std::uint64_t>()},
                              .storeEpoch = *rc::gen::arbitrary<std::uint64_t>(),
                              .storeEpochAge = *anyAge(),
                              .routingAge = *anyAge(),
                              .instancesAge = *anyAge(),
                              .hostsAge = *anyAge(),
                              .reachesPlatform = *rc::gen::arbitrary<bool>()};
        if (*rc::gen::arbitrary<bool>())
            update.readingTime = *anyAge();
        if (*rc::gen::arbitrary<bool>())
            update.routing = *anyRouting();
        if (*rc::gen::arbitrary<bool>())
            update.instances = *rc::gen::container<std::vector<RegisteredInstance>>(anyInstance());
        if (*rc::gen::arbitrary<bool>())
            update.hosts = *rc::gen::container<std::vector<HostRecord>>(anyHost());
        return update;
    });
}

// Guard against this failure: a group, host or data centre whose name is not UTF-8 kept the hosts
// from following the platform reader.
TEST(PlatformUpdate, PreservesAnyBytes)
{
    EXPECT_TRUE(rc::check("update", [] {
        const PlatformUpdate update = *anyUpdate();
        Reason reason;
        const std::string bytes = encodePlatformUpdate(update);
        const std::optional<PlatformUpdate> read = decodePlatformUpdate(bytes, &reason);
        RC_ASSERT(read.has_value());
        RC_ASSERT(reason.text().empty());
        RC_ASSERT(read->instances == update.instances);
        RC_ASSERT(read->hosts == update.hosts);
        RC_ASSERT(read->readingTime == update.readingTime);
        RC_ASSERT(read->routing.has_value() == update.routing.has_value());
        if (update.routing) {
            RC_ASSERT(read->routing->databases.size() == update.routing->databases.size());
            for (const auto &[name, route] : update.routing->databases) {
                RC_ASSERT(read->routing->databases.contains(name));
                RC_ASSERT(read->routing->databases.at(name).group == route.group);
                RC_ASSERT(read->routing->databases.at(name).isPublic == route.isPublic);
            }
            RC_ASSERT(read->routing->requiresKeys == update.routing->requiresKeys);
            RC_ASSERT(read->routing->keyHolders == update.routing->keyHolders);
            RC_ASSERT(read->routing->tenants.size() == update.routing->tenants.size());
            for (const auto &[name, tenant] : update.routing->tenants) {
                RC_ASSERT(read->routing->tenants.contains(name));
                RC_ASSERT(read->routing->tenants.at(name).keys == tenant.keys);
                RC_ASSERT(read->routing->tenants.at(name).limits == tenant.limits);
            }
        }
        RC_ASSERT(encodePlatformUpdate(*read) == bytes);
    }));
}

RoutingTable routingWithKey(std::uint64_t version, const std::string &key)
{
    RoutingTable routing{.version = version, .requiresKeys = true};
    EXPECT_TRUE(routing.addTenant({.name = "t", .keys = {ApiKey::fromText(key)}}, nullptr));
    return routing;
}

// A key in clear is in no message.
TEST(PlatformUpdate, HoldsDigestsOfKeysOnly)
{
    PlatformUpdate update;
    update.routing = routingWithKey(7, "not to be told");
    EXPECT_EQ(encodePlatformUpdate(update).find("not to be told"), std::string::npos);
}

struct OfferedVersion
{
    std::string name;
    std::uint64_t known = 0; // 0 for a host that has just started.
    std::uint64_t offered = 0;
    std::uint64_t kept = 0;
};

class OfferedRouting : public testing::TestWithParam<OfferedVersion>
{
};

// A host never goes back to an older version, with the keys that were withdrawn since. One that has
// just started knows none, and takes what the reader has.
TEST_P(OfferedRouting, IsTakenIfItIsNewer)
{
    PlatformCache cache;
    if (GetParam().known > 0)
        cache.setRouting(Millis(0), routingWithKey(GetParam().known, "known"));
    PlatformUpdate update{.routingAge = Millis(60'000)};
    update.routing = routingWithKey(GetParam().offered, "offered");
    cache.refresh(Millis(1), update);
    std::optional<PlatformUpdate> passedOn;
    cache.requestUpdate(Millis(2), {}, [&](const PlatformUpdate &answer) { passedOn = answer; });
    ASSERT_TRUE(passedOn && passedOn->routing);
    EXPECT_EQ(passedOn->routing->version, GetParam().kept);
    const bool taken = GetParam().kept != GetParam().known;
    EXPECT_EQ(passedOn->routing->tenantOf(ApiKey::fromText("offered")) != nullptr, taken);
}

INSTANTIATE_TEST_SUITE_P(Versions, OfferedRouting,
                         testing::Values(OfferedVersion{"older", 5, 4, 5},
                                         OfferedVersion{"same", 5, 5, 5},
                                         OfferedVersion{"newer", 5, 6, 6},
                                         OfferedVersion{"afterARestart", 0, 4, 4}),
                         [](const auto &info) { return info.param.name; });

TEST(PlatformUpdateRequest, PreservesAnyBytes)
{
    EXPECT_TRUE(rc::check("request", [] {
        const PlatformUpdateRequest request{.routingVersion = *rc::gen::arbitrary<std::uint64_t>(),
                                            .instancesRevision
                                            = *rc::gen::arbitrary<std::uint64_t>(),
                                            .hostsRevision = *rc::gen::arbitrary<std::uint64_t>(),
                                            .wait = *anyAge(),
                                            .host = *anyText()};
        const std::string bytes = encodePlatformUpdateRequest(request);
        const std::optional<PlatformUpdateRequest> read
            = decodePlatformUpdateRequest(bytes, nullptr);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->host == request.host);
        RC_ASSERT(read->wait == request.wait);
        RC_ASSERT(encodePlatformUpdateRequest(*read) == bytes);
    }));
}

// A damaged update is refused with a reason, or what is left of it is valid.
TEST(PlatformUpdate, RefusesDamagedBytesOrKeepsValidEntries)
{
    EXPECT_TRUE(rc::check("update", [] {
        const std::string bytes = *damaged(encodePlatformUpdate(*anyUpdate()));
        Reason reason;
        const std::optional<PlatformUpdate> read = decodePlatformUpdate(bytes, &reason);
        if (!read) {
            RC_ASSERT(!reason.text().empty());
            return;
        }
        for (const RegisteredInstance &instance :
             read->instances.value_or(std::vector<RegisteredInstance>()))
            RC_ASSERT(instance.slots >= 1);
        for (const HostRecord &host : read->hosts.value_or(std::vector<HostRecord>()))
            RC_ASSERT(isUsable(host));
        if (read->routing) {
            for (const auto &[name, route] : read->routing->databases)
                RC_ASSERT(route.consistency <= Consistency::ReadYourWrites);
            for (const auto &[key, name] : read->routing->keyHolders) {
                RC_ASSERT(ApiKey::fromDigest(key.digest()) == key);
                RC_ASSERT(read->routing->tenants.contains(name));
            }
        }
        RC_ASSERT(decodePlatformUpdate(encodePlatformUpdate(*read), nullptr).has_value());
    }));
}

TEST(PlatformUpdateRequest, DoesNotCrashOnDamagedBytes)
{
    EXPECT_TRUE(rc::check("request", [] {
        const PlatformUpdateRequest request{.routingVersion = 7, .host = *anyText()};
        const std::string bytes = *damaged(encodePlatformUpdateRequest(request));
        Reason reason;
        const bool readable = decodePlatformUpdateRequest(bytes, &reason).has_value();
        RC_ASSERT(readable == reason.text().empty());
    }));
}

struct ListOrder
{
    std::string name;
    StorePosition cached;
    StorePosition offered;
    Millis age; // Of the offered list; the cached one is from now.
    bool taken = false;
};

class OfferedList : public testing::TestWithParam<ListOrder>
{
};

TEST_P(OfferedList, IsTakenIfItIsNotOlder)
{
    PlatformCache cache;
    const Millis now(10'000);
    const std::vector<RegisteredInstance> first{{.id = "i1"}};
    const std::vector<RegisteredInstance> second{{.id = "i2"}};
    ASSERT_TRUE(cache.setInstances(now, first, GetParam().cached));
    EXPECT_EQ(cache.setInstances(now, second, GetParam().offered, GetParam().age),
              GetParam().taken);
    EXPECT_EQ(cache.instances()->front().id, GetParam().taken ? "i2" : "i1");
}

INSTANTIATE_TEST_SUITE_P(
    Positions, OfferedList,
    testing::Values(ListOrder{"laterVersion", {1, 7}, {1, 8}, Millis(100), true},
                    ListOrder{"earlierVersion", {1, 7}, {1, 6}, Millis(0), false},
                    ListOrder{"sameVersionReadLater", {1, 7}, {1, 7}, Millis(0), true},
                    ListOrder{"laterEpochOfALowerVersion", {1, 700}, {2, 20}, Millis(0), true},
                    ListOrder{"earlierEpochThatArrivesLate", {2, 20}, {1, 700}, Millis(0), false},
                    ListOrder{"unknownPositionReadLater", {2, 20}, {}, Millis(0), true},
                    ListOrder{"unknownPositionReadEarlier", {2, 20}, {}, Millis(1), false},
                    ListOrder{"storeWithoutEpochs", {0, 7}, {0, 6}, Millis(0), true}),
    [](const testing::TestParamInfo<ListOrder> &info) { return info.param.name; });

TEST(StoreEpoch, RefusesAnswersOfAnEarlierEpoch)
{
    StoreEpoch epoch({});
    EXPECT_EQ(epoch.onAnswer(Millis(0), 0), StoreEpoch::Answer::Current);
    EXPECT_EQ(epoch.onAnswer(Millis(10), 3), StoreEpoch::Answer::NewEpoch);
    EXPECT_EQ(epoch.onAnswer(Millis(20), 3), StoreEpoch::Answer::Current);
    EXPECT_EQ(epoch.onAnswer(Millis(30), 2), StoreEpoch::Answer::Outdated);
    EXPECT_EQ(epoch.onAnswer(Millis(30), 0), StoreEpoch::Answer::Outdated);
    EXPECT_EQ(epoch.number(), 3U);
    EXPECT_EQ(epoch.beganBy(), Millis(10));
}

TEST(StoreEpoch, SettlesSoonerIfItIsKnownToBeOlder)
{
    StoreEpoch epoch({.settleTime = Millis(3000)});
    EXPECT_TRUE(epoch.settled(Millis(0)));
    epoch.onAnswer(Millis(5000), 1);
    EXPECT_FALSE(epoch.settled(Millis(7999)));
    EXPECT_TRUE(epoch.settled(Millis(8000)));
    EXPECT_FALSE(epoch.onAge(Millis(5100), 1, Millis(50)));
    EXPECT_TRUE(epoch.onAge(Millis(5100), 1, Millis(60'000)));
    EXPECT_TRUE(epoch.settled(Millis(5100)));
    EXPECT_TRUE(epoch.onAge(Millis(6000), 2, Millis(0)));
    EXPECT_FALSE(epoch.settled(Millis(6000)));
}

} // namespace
} // namespace cicadagap
