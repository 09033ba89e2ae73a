// Tests of PlatformCache and its messages, and of StoreEpoch.
#include "session/platformcache.h"
#include "session/storeepoch.h"

#include <gtest/gtest.h>

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
