// Tests of differences between versions of the routing table.
#include "session/platformcache.h"
#include "session/routingdelta.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

// A table with some of few entries, so that two tables differ by additions, changes and removals.
RoutingTable someTable(std::uint64_t version)
{
    constexpr int Names = 6;
    RoutingTable table{.version = version,
                       .transactionIdle = Millis(*rc::gen::inRange(1, 4)),
                       .requiresKeys = *rc::gen::arbitrary<bool>()};
    for (int i = 0; i < Names; ++i) {
        const std::string name(1, static_cast<char>('a' + i));
        if (*rc::gen::arbitrary<bool>())
            table.databases[name] = {.database = name, .priority = *rc::gen::inRange(0, 2)};
        if (*rc::gen::arbitrary<bool>())
            table.groups[name] = {.name = name, .maxConnections = *rc::gen::inRange(0, 2)};
        // A key moves between tenants, or is withdrawn.
        const std::string key(1, static_cast<char>('k' + (i + *rc::gen::inRange(0, 2)) % Names));
        if (*rc::gen::arbitrary<bool>())
            table.addTenant({.name = name, .keys = {ApiKey::fromText(key)}}, nullptr);
    }
    return table;
}

TEST(RoutingDelta, BringsAnyVersionToAnyOther)
{
    EXPECT_TRUE(rc::check("versions", [] {
        const RoutingTable held = someTable(3);
        const RoutingTable newer = someTable(7);
        const RoutingDelta delta = routingDifference(held, newer);
        Reason reason;
        const std::optional<RoutingTable> result = applyDelta(held, delta, &reason);
        RC_ASSERT(result.has_value());
        RC_ASSERT(routingHash(*result) == routingHash(newer));
        RC_ASSERT(result->keyHolders == newer.keyHolders);
    }));
}

TEST(RoutingDelta, ListsOnlyWhatDiffers)
{
    RoutingTable held{.version = 1};
    for (const std::string name : {"a", "b", "c"})
        held.databases[name] = {.database = name};
    RoutingTable newer = held;
    newer.version = 2;
    newer.databases["b"].priority = 1;
    newer.databases.erase("c");
    EXPECT_EQ(routingDifference(held, newer).size(), 2U);
}

// A store that came back from an older copy of itself may give out a version number again.
TEST(RoutingDelta, IsRefusedByATableOfTheSameVersionWithOtherEntries)
{
    RoutingTable held{.version = 1};
    held.databases["a"] = {.database = "a"};
    RoutingTable other = held;
    other.databases["b"] = {.database = "b"};
    RoutingTable newer = held;
    newer.version = 2;
    const RoutingDelta delta = routingDifference(held, newer);
    Reason reason;
    EXPECT_FALSE(applyDelta(other, delta, &reason));
    EXPECT_FALSE(reason.text().empty());
    other.version = 4;
    EXPECT_FALSE(applyDelta(other, delta, nullptr));
}

TEST(RoutingHistory, ForgetsTheOldest)
{
    RoutingHistory history;
    constexpr std::uint64_t Newest = RoutingHistory::MaxChanges + 2;
    for (std::uint64_t version = 1; version < Newest; ++version)
        history.add({.version = version}, {.version = version + 1});
    EXPECT_FALSE(history.differenceSince(1, {.version = Newest}));
    EXPECT_TRUE(history.differenceSince(2, {.version = Newest}));
}

TEST(RoutingHistory, ForgetsAChangeOfTooManyNames)
{
    RoutingTable large{.version = 2};
    for (std::size_t i = 0; i <= RoutingHistory::MaxNames; ++i)
        large.databases[std::to_string(i)] = {};
    RoutingHistory history;
    history.add({.version = 1}, large);
    EXPECT_FALSE(history.differenceSince(1, large));
}

TEST(RoutingHistory, LeadsFromEachRememberedVersionToTheNewest)
{
    EXPECT_TRUE(rc::check("versions", [] {
        constexpr std::uint64_t Versions = 5;
        std::vector<RoutingTable> tables;
        RoutingHistory history;
        for (std::uint64_t version = 1; version <= Versions; ++version) {
            tables.push_back(someTable(version));
            if (version > 1)
                history.add(tables[version - 2], tables.back());
        }
        for (std::uint64_t version = 1; version < Versions; ++version) {
            const auto delta = history.differenceSince(version, tables.back());
            RC_ASSERT(delta.has_value());
            const auto result = applyDelta(tables[version - 1], *delta, nullptr);
            RC_ASSERT(result.has_value());
            RC_ASSERT(routingHash(*result) == routingHash(tables.back()));
        }
    }));
}

} // namespace
} // namespace cicadagap
