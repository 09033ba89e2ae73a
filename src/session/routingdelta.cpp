#include "session/routingdelta.h"

#include "session/platformcache.h"

#include <utility>

namespace cicadagap {

namespace {

// Adds the entries that are new or differ to `changed`, and the names of those that are gone to
// `removed`.
template <typename Map>
void compareEntries(const Map &base, const Map &newer, Map *changed,
                    std::vector<std::string> *removed)
{
    for (const auto &[name, entry] : newer) {
        const auto known = base.find(name);
        if (known == base.end() || known->second != entry)
            changed->emplace(name, entry);
    }
    for (const auto &item : base) {
        if (!newer.contains(item.first))
            removed->push_back(item.first);
    }
}

template <typename Map>
Map changedEntries(Map entries, const Map &changed, const std::vector<std::string> &removed)
{
    for (const std::string &name : removed)
        entries.erase(name);
    for (const auto &[name, entry] : changed)
        entries.insert_or_assign(name, entry);
    return entries;
}

template <typename Map>
std::vector<std::string> namesOf(const Map &changed, std::vector<std::string> removed)
{
    for (const auto &item : changed)
        removed.push_back(item.first);
    return removed;
}

// Adds the present entries of these names, or that they are gone.
template <typename Map>
void takeEntries(const Map &newest, const std::vector<std::string> &names, Map *changed,
                 std::vector<std::string> *removed)
{
    for (const std::string &name : names) {
        const auto entry = newest.find(name);
        if (entry == newest.end())
            removed->push_back(name);
        else
            changed->insert(*entry);
    }
}

// Adds all entries that differ.
void compareTables(const RoutingTable &base, const RoutingTable &newer, RoutingDelta *delta)
{
    compareEntries(base.databases, newer.databases, &delta->changed.databases,
                   &delta->removedDatabases);
    compareEntries(base.groups, newer.groups, &delta->changed.groups, &delta->removedGroups);
    compareEntries(base.tenants, newer.tenants, &delta->changed.tenants, &delta->removedTenants);
}

// A difference without entries. Its hash is that of the whole newer version.
RoutingDelta emptyDelta(std::uint64_t base, const RoutingTable &newer)
{
    return {.base = base,
            .changed = {.version = newer.version,
                        .transactionIdle = newer.transactionIdle,
                        .requiresKeys = newer.requiresKeys},
            .hash = routingHash(newer)};
}

} // namespace

std::size_t entriesOf(const RoutingTable &table)
{
    return table.databases.size() + table.groups.size() + table.tenants.size();
}

std::size_t RoutingDelta::size() const
{
    return entriesOf(changed) + removedDatabases.size() + removedGroups.size()
        + removedTenants.size();
}

RoutingDelta routingDifference(const RoutingTable &base, const RoutingTable &newer)
{
    RoutingDelta delta = emptyDelta(base.version, newer);
    compareTables(base, newer, &delta);
    return delta;
}

std::optional<RoutingTable> applyDelta(const RoutingTable &base, const RoutingDelta &delta,
                                       Reason *reason)
{
    if (base.version != delta.base) {
        setReason(reason, "the difference is for another version");
        return std::nullopt;
    }
    RoutingTable table{
        .version = delta.changed.version,
        .databases
        = changedEntries(base.databases, delta.changed.databases, delta.removedDatabases),
        .groups = changedEntries(base.groups, delta.changed.groups, delta.removedGroups),
        .transactionIdle = delta.changed.transactionIdle,
        .requiresKeys = delta.changed.requiresKeys};
    for (const auto &item :
         changedEntries(base.tenants, delta.changed.tenants, delta.removedTenants)) {
        if (!table.addTenant(item.second, reason))
            return std::nullopt;
    }
    if (routingHash(table) != delta.hash) {
        setReason(reason, "the result of the difference has another hash");
        return std::nullopt;
    }
    return table;
}

void RoutingHistory::add(const RoutingTable &base, const RoutingTable &newer)
{
    RoutingDelta delta;
    compareTables(base, newer, &delta);
    m_changes.push_back({.base = base.version,
                         .databases = namesOf(delta.changed.databases, delta.removedDatabases),
                         .groups = namesOf(delta.changed.groups, delta.removedGroups),
                         .tenants = namesOf(delta.changed.tenants, delta.removedTenants)});
    std::size_t names = 0;
    for (const Change &change : m_changes)
        names += change.size();
    while (!m_changes.empty() && (m_changes.size() > MaxChanges || names > MaxNames)) {
        names -= m_changes.front().size();
        m_changes.pop_front();
    }
}

std::optional<RoutingDelta> RoutingHistory::differenceSince(std::uint64_t version,
                                                            const RoutingTable &newest) const
{
    auto change = m_changes.begin();
    while (change != m_changes.end() && change->base != version)
        ++change;
    if (change == m_changes.end())
        return std::nullopt;
    RoutingDelta delta = emptyDelta(version, newest);
    for (; change != m_changes.end(); ++change) {
        takeEntries(newest.databases, change->databases, &delta.changed.databases,
                    &delta.removedDatabases);
        takeEntries(newest.groups, change->groups, &delta.changed.groups, &delta.removedGroups);
        takeEntries(newest.tenants, change->tenants, &delta.changed.tenants, &delta.removedTenants);
    }
    return delta;
}

} // namespace cicadagap
