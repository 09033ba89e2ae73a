// The difference between two versions of the routing table. Load pattern: a large table of which a
// few entries change at a time, sent to all hosts of a data centre over the narrow link of one.
//
//     const RoutingDelta delta = routingDifference(held, newest); // Or from a RoutingHistory.
//     std::optional<RoutingTable> table = applyDelta(held, delta, &reason);
//
// Performs no I/O.
#pragma once

#include "base/reason.h"
#include "session/routing.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// The number of databases, groups and tenants.
std::size_t entriesOf(const RoutingTable &table);

// What a host that holds the version `base` lacks of a newer one.
struct RoutingDelta
{
    std::uint64_t base = 0;
    RoutingTable changed; // The newer version with only the entries that are new or differ.
    std::vector<std::string> removedDatabases;
    std::vector<std::string> removedGroups;
    std::vector<std::string> removedTenants;
    std::uint64_t hash = 0; // routingHash() of the whole newer version.

    // The number of entries, changed and removed.
    std::size_t size() const;
};

RoutingDelta routingDifference(const RoutingTable &base, const RoutingTable &newer);
// The newer version; nothing, and a reason, if the delta is for another version or its hash differs
// from that of the result. Nothing is applied halfway.
std::optional<RoutingTable> applyDelta(const RoutingTable &base, const RoutingDelta &delta,
                                       Reason *reason);

// Which entries changed from version to version, to make differences to the newest one. Keeps names
// only, not the tables. Not thread-safe.
class RoutingHistory
{
public:
    // Bounds of what is remembered: changes of version, and names in them together.
    static constexpr std::size_t MaxChanges = 16;
    static constexpr std::size_t MaxNames = 10'000;

    // The version `newer` follows on `base`.
    void add(const RoutingTable &base, const RoutingTable &newer);
    // The difference from `version` to the newest one, which was the last `newer`; nothing if the
    // changes since that version are not remembered.
    std::optional<RoutingDelta> differenceSince(std::uint64_t version,
                                                const RoutingTable &newest) const;

private:
    struct Change
    {
        std::uint64_t base = 0;
        std::vector<std::string> databases;
        std::vector<std::string> groups;
        std::vector<std::string> tenants;

        std::size_t size() const { return databases.size() + groups.size() + tenants.size(); }
    };

    std::deque<Change> m_changes; // The newest is the last.
};

} // namespace cicadagap
