#include "connection/admissionqueue.h"
#include "connection/quota.h"

#include <gtest/gtest.h>

#include <map>

namespace cicadagap {

namespace {

AdmissionQueue threeClasses()
{
    return AdmissionQueue(
        {.classes = {{"entry", true, 1}, {"check", false, 3}, {"history", false, 1}},
         .capacity = 100,
         .aging = Millis(1000)});
}

QueueEntry entry(std::uint64_t id, Millis queuedAt = Millis(0))
{
    return {id, queuedAt, queuedAt + Millis(10'000)};
}

} // namespace

TEST(AdmissionQueue, ServesTopClassesFirstAndOthersByWeight)
{
    AdmissionQueue queue = threeClasses();
    for (std::uint64_t i = 0; i < 40; ++i) {
        queue.push(1, entry(100 + i));
        queue.push(2, entry(200 + i));
    }
    queue.push(0, entry(1));
    EXPECT_EQ(queue.pop(Millis(0), false)->id, 1U);
    std::map<std::uint64_t, int> served;
    for (int i = 0; i < 40; ++i)
        ++served[queue.pop(Millis(0), false)->id / 100];
    EXPECT_EQ(served[1], 30);
    EXPECT_EQ(served[2], 10);
}

TEST(AdmissionQueue, KeepsReservedPlacesForTopClasses)
{
    AdmissionQueue queue = threeClasses();
    queue.push(1, entry(100));
    EXPECT_FALSE(queue.pop(Millis(0), true));
    queue.push(0, entry(1));
    EXPECT_EQ(queue.pop(Millis(0), true)->id, 1U);
}

// A steady stream of entries of a top class doesn't starve the others: an aged entry gets one place
// in AgedShare.
TEST(AdmissionQueue, ServesAgedEntriesAheadInOnePlaceOfAgedShare)
{
    AdmissionQueue queue = threeClasses();
    for (std::uint64_t i = 0; i < 10; ++i)
        queue.push(2, entry(200 + i));
    int aged = 0;
    for (std::uint64_t i = 0; i < 80; ++i) {
        queue.push(0, entry(i, Millis(2000)));
        aged += queue.pop(Millis(2000), false)->id >= 200 ? 1 : 0;
    }
    EXPECT_EQ(aged, 80 / static_cast<int>(AdmissionQueue::AgedShare));
}

TEST(AdmissionQueue, RefusesEntriesOfAFullClassOnly)
{
    AdmissionQueue queue({.classes = {{"entry", true, 1}, {"rest", false, 1}}, .capacity = 2});
    EXPECT_TRUE(queue.push(1, entry(1)));
    EXPECT_TRUE(queue.push(1, entry(2)));
    EXPECT_FALSE(queue.push(1, entry(3)));
    EXPECT_TRUE(queue.push(0, entry(4)));
}

TEST(AdmissionQueue, ReturnsExpiredEntries)
{
    AdmissionQueue queue = threeClasses();
    queue.push(1, {7, Millis(0), Millis(50)});
    queue.push(1, {8, Millis(0), Millis(500)});
    ASSERT_EQ(queue.takeExpired(Millis(50)).size(), 1U);
    EXPECT_EQ(queue.size(), 1U);
}

TEST(ConnectionQuota, GrowsAfterTheHandoverTime)
{
    ConnectionQuota quota({.connections = 20, .handover = Millis(2000)});
    quota.setRank(Millis(1000), 1);
    EXPECT_EQ(quota.allowed(Millis(1000)), 4);
    quota.setRank(Millis(5000), 0);
    EXPECT_EQ(quota.allowed(Millis(6999)), 4);
    EXPECT_EQ(quota.allowed(Millis(7000)), 16);
    quota.setRank(Millis(8000), 1);
    EXPECT_EQ(quota.allowed(Millis(8000)), 4);
}

} // namespace cicadagap
