// The queue of work in front of an instance: bounded, ordered by priority, and shared fairly by
// tenants.
//
// Work of a higher priority goes first. Within a priority the tenants with queued work take turns
// (round robin), and the work of each goes in the order of its arrival. So a tenant that sends many
// times its usual load delays its own work, and that of others by one turn each.
//
// Expected load: more work than slots, most of it of a few tenants, in bursts of one priority.
//
//     WorkQueue queue({.priorities = 8, .capacity = 400});
//     queue.push({.id = 7, .priority = 1, .tenant = "t1", .deadline = now + Millis(500)});
//     const auto next = queue.pop([&](const std::string &tenant) { return hasIdle(tenant); });
#pragma once

#include "base/millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Work in a WorkQueue.
struct QueuedEntry
{
    std::uint64_t id = 0;
    int priority = 0;   // 0 goes first.
    std::string tenant; // Empty where there are no tenants.
    Millis deadline;
};

// Performs no I/O and reads no clock. Not thread-safe.
class WorkQueue
{
public:
    struct Options
    {
        int priorities = 8;         // Work with a greater number goes with the last.
        std::size_t capacity = 400; // The greatest number of entries of each priority.
    };

    // The next turn of a tenant.
    struct Turn
    {
        std::string tenant;
        std::size_t entries = 0; // Of the tenant, of all priorities.
    };

    // Whether work of the tenant may start now.
    using MayStart = std::function<bool(const std::string &tenant)>;

    explicit WorkQueue(Options options);

    // Adds an entry. Returns false and adds nothing if its priority is full and no other tenant has
    // more of it than this one; see takeDisplaced().
    bool push(QueuedEntry entry);
    // The tenants with entries, in the order of their next turns.
    std::vector<Turn> turns() const;
    // Removes and returns the next entry whose tenant may start. `mayStart` is asked in the order
    // in which the tenants' turns come, at most once for each priority and tenant.
    std::optional<QueuedEntry> pop(const MayStart &mayStart);
    // Removes an entry that was pushed with this priority and tenant, if it is still queued.
    void remove(std::uint64_t id, int priority, const std::string &tenant);
    // Removes and returns the entries that gave way to those of other tenants in a full queue.
    std::vector<QueuedEntry> takeDisplaced();
    // Removes and returns the entries whose deadline has passed.
    std::vector<QueuedEntry> takeExpired(Millis now);
    // Removes and returns all entries.
    std::vector<QueuedEntry> takeAll();
    // How many entries would be served before a new one.
    std::size_t entriesAhead(int priority, const std::string &tenant) const;
    std::size_t size() const;
    // Whether the tenant has entries, of any priority.
    bool hasWorkOf(const std::string &tenant) const;

private:
    struct TenantWork
    {
        std::string tenant;
        std::deque<QueuedEntry> entries; // Never empty.
    };

    // The entries of one priority.
    struct Level
    {
        std::list<TenantWork> turns; // The tenants with entries, the next one first.
        std::size_t size = 0;
    };

    Level &levelOf(int priority);
    bool displaceFor(Level *level, const std::string &tenant);
    template <typename Condition> std::vector<QueuedEntry> takeIf(const Condition &condition);

    Options m_options;
    std::vector<Level> m_levels;
    std::vector<QueuedEntry> m_displaced;
};

} // namespace cicadagap
