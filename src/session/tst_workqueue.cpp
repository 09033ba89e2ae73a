// Tests of WorkQueue: the order of work, the turns of tenants, and that no entry is lost or
// doubled.
#include "session/workqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

bool anyTenant(const std::string &)
{
    return true;
}

std::vector<std::uint64_t> popAll(WorkQueue *queue, const WorkQueue::MayStart &mayStart = anyTenant)
{
    std::vector<std::uint64_t> ids;
    while (const auto entry = queue->pop(mayStart))
        ids.push_back(entry->id);
    return ids;
}

struct OrderCase
{
    std::string name;
    // The ids are 1, 2, 3 and so on, in the order of arrival.
    std::vector<std::pair<int, std::string>> entries; // The priority and the tenant of each.
    std::vector<std::uint64_t> order;
};

class WorkOrder : public testing::TestWithParam<OrderCase>
{
};

TEST_P(WorkOrder, IsByPriorityThenByTurn)
{
    WorkQueue queue({});
    std::uint64_t id = 0;
    for (const auto &[priority, tenant] : GetParam().entries)
        EXPECT_TRUE(queue.push({.id = ++id, .priority = priority, .tenant = tenant}));
    EXPECT_EQ(popAll(&queue), GetParam().order);
    EXPECT_EQ(queue.size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, WorkOrder,
    testing::Values(OrderCase{"oneTenant", {{1, ""}, {0, ""}, {1, ""}}, {2, 1, 3}},
                    OrderCase{"turns", {{0, "a"}, {0, "a"}, {0, "a"}, {0, "b"}}, {1, 4, 2, 3}},
                    OrderCase{"priorityFirst", {{1, "a"}, {1, "b"}, {0, "b"}}, {3, 1, 2}},
                    OrderCase{"unknownPriorities", {{-5, "a"}, {99, "a"}, {7, "b"}}, {1, 2, 3}}),
    [](const auto &info) { return info.param.name; });

struct FullCase
{
    std::string name;
    std::vector<std::string> queued;
    std::string tenant; // Of the entry that finds the queue full.
    bool accepted = false;
    std::vector<std::uint64_t> displaced;
};

class FullQueue : public testing::TestWithParam<FullCase>
{
};

TEST_P(FullQueue, TakesFromTheLargestTenantOnly)
{
    WorkQueue queue({.capacity = GetParam().queued.size()});
    std::uint64_t id = 0;
    for (const std::string &tenant : GetParam().queued)
        queue.push({.id = ++id, .tenant = tenant});
    EXPECT_EQ(queue.push({.id = ++id, .tenant = GetParam().tenant}), GetParam().accepted);
    std::vector<std::uint64_t> displaced;
    for (const QueuedEntry &entry : queue.takeDisplaced())
        displaced.push_back(entry.id);
    EXPECT_EQ(displaced, GetParam().displaced);
    EXPECT_TRUE(queue.takeDisplaced().empty());
    EXPECT_EQ(queue.size(), GetParam().queued.size());
}

INSTANTIATE_TEST_SUITE_P(Entries, FullQueue,
                         testing::Values(FullCase{"sameTenant", {"a", "a", "a"}, "a", false, {}},
                                         FullCase{"newTenant", {"a", "a", "a"}, "b", true, {3}},
                                         FullCase{"equalShares", {"a", "a", "b"}, "b", false, {}},
                                         FullCase{"oneEach", {"a", "b"}, "c", false, {}}),
                         [](const auto &info) { return info.param.name; });

TEST(WorkQueueTest, SkipsTenantsThatMayNotStart)
{
    WorkQueue queue({});
    queue.push({.id = 1, .tenant = "a"});
    queue.push({.id = 2, .tenant = "b"});
    EXPECT_EQ(popAll(&queue, [](const std::string &tenant) { return tenant == "b"; }),
              std::vector<std::uint64_t>{2});
    EXPECT_TRUE(queue.hasWorkOf("a"));
    EXPECT_FALSE(queue.hasWorkOf("b"));
}

// Each entry that is pushed comes out exactly once, by one of the ways, and each tenant's entries
// of a priority start in the order of their arrival.
TEST(WorkQueueTest, LosesAndDoublesNothing)
{
    EXPECT_TRUE(rc::check("each entry comes out once", [] {
        WorkQueue queue({.priorities = 2, .capacity = *rc::gen::inRange<std::size_t>(1, 9)});
        std::map<std::uint64_t, QueuedEntry> queued;
        std::map<std::pair<int, std::string>, std::uint64_t> lastStarted;
        const auto takeOut
            = [&](const QueuedEntry &entry) { RC_ASSERT(queued.erase(entry.id) == 1U); };
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 8)));
        std::uint64_t id = 0;
        for (const auto &[step, choice] : steps) {
            const std::string tenant(1, static_cast<char>('a' + choice % 3));
            const Millis now(static_cast<std::int64_t>(id));
            if (step < 5) {
                const QueuedEntry entry{.id = ++id,
                                        .priority = choice / 4,
                                        .tenant = tenant,
                                        .deadline = now + Millis(3) * std::int64_t(choice)};
                if (queue.push(entry))
                    queued[entry.id] = entry;
                for (const QueuedEntry &displaced : queue.takeDisplaced())
                    takeOut(displaced);
            } else if (step == 5) {
                if (const auto entry = queue.pop([&](const auto &of) { return of != tenant; })) {
                    takeOut(*entry);
                    auto &last = lastStarted[{entry->priority, entry->tenant}];
                    RC_ASSERT(last < entry->id);
                    last = entry->id;
                }
            } else if (step == 6 && !queued.empty()) {
                const QueuedEntry entry = queued.begin()->second;
                queue.remove(entry.id, entry.priority, entry.tenant);
                takeOut(entry);
            } else {
                for (const QueuedEntry &expired : queue.takeExpired(now)) {
                    RC_ASSERT(expired.deadline <= now);
                    takeOut(expired);
                }
            }
            RC_ASSERT(queue.size() == queued.size());
        }
        for (const QueuedEntry &left : queue.takeAll())
            takeOut(left);
        RC_ASSERT(queued.empty());
    }));
}

// Between two starts of a tenant that has work all the time, every other one starts at most once;
// and entriesAhead() is a bound on what is served before a new entry, by less than a turn of each.
TEST(WorkQueueTest, LetsTenantsTakeTurns)
{
    constexpr std::size_t OtherTenants = 4;
    EXPECT_TRUE(rc::check("turns", [] {
        WorkQueue queue({.priorities = 1, .capacity = 1000});
        const auto tenants = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        std::uint64_t id = 0;
        for (const int tenant : tenants)
            queue.push({.id = ++id, .tenant = std::to_string(tenant)});
        const std::size_t ahead = queue.entriesAhead(0, "0");
        queue.push({.id = 0, .tenant = "0"});
        std::set<std::string> sinceOwn;
        std::size_t served = 0;
        bool own = false;
        while (const auto entry = queue.pop(anyTenant)) {
            if (entry->id == 0)
                RC_ASSERT(served <= ahead && ahead <= served + OtherTenants);
            ++served;
            if (entry->tenant == "0") {
                sinceOwn.clear();
                own = true;
            } else if (own && queue.hasWorkOf("0")) {
                RC_ASSERT(sinceOwn.insert(entry->tenant).second);
            }
        }
        RC_ASSERT(served == tenants.size() + 1);
    }));
}

} // namespace
} // namespace cicadagap
