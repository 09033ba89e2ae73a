#include "session/workqueue.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace cicadagap {

WorkQueue::WorkQueue(Options options)
    : m_options(options)
    , m_levels(static_cast<std::size_t>(std::max(1, options.priorities)))
{
}

WorkQueue::Level &WorkQueue::levelOf(int priority)
{
    const int last = static_cast<int>(m_levels.size()) - 1;
    return m_levels.at(static_cast<std::size_t>(std::clamp(priority, 0, last)));
}

bool WorkQueue::push(QueuedEntry entry)
{
    Level &level = levelOf(entry.priority);
    if (level.size >= m_options.capacity && !displaceFor(&level, entry.tenant))
        return false;
    auto turn = std::find_if(level.turns.begin(), level.turns.end(),
                             [&](const TenantWork &work) { return work.tenant == entry.tenant; });
    if (turn == level.turns.end())
        turn = level.turns.insert(turn, {.tenant = entry.tenant, .entries = {}});
    turn->entries.push_back(std::move(entry));
    ++level.size;
    return true;
}

// Removes the newest entry of the tenant that has most of a full level, if a new one of the given
// tenant would leave that tenant with fewer. Returns whether there is room now.
bool WorkQueue::displaceFor(Level *level, const std::string &tenant)
{
    TenantWork *largest = nullptr;
    std::size_t own = 0;
    for (TenantWork &work : level->turns) {
        if (!largest || work.entries.size() > largest->entries.size())
            largest = &work;
        if (work.tenant == tenant)
            own = work.entries.size();
    }
    if (!largest || own + 1 >= largest->entries.size())
        return false;
    m_displaced.push_back(std::move(largest->entries.back()));
    largest->entries.pop_back();
    --level->size;
    return true;
}

std::vector<WorkQueue::Turn> WorkQueue::turns() const
{
    std::vector<Turn> turns;
    std::map<std::string_view, std::size_t> indexes; // By tenant.
    for (const Level &level : m_levels) {
        for (const TenantWork &work : level.turns) {
            const auto [known, isNew] = indexes.try_emplace(work.tenant, turns.size());
            if (isNew)
                turns.push_back({.tenant = work.tenant, .entries = 0});
            turns[known->second].entries += work.entries.size();
        }
    }
    return turns;
}

std::optional<QueuedEntry> WorkQueue::pop(const MayStart &mayStart)
{
    for (Level &level : m_levels) {
        for (auto turn = level.turns.begin(); turn != level.turns.end(); ++turn) {
            if (!mayStart(turn->tenant))
                continue;
            QueuedEntry entry = std::move(turn->entries.front());
            turn->entries.pop_front();
            --level.size;
            if (turn->entries.empty())
                level.turns.erase(turn);
            else
                level.turns.splice(level.turns.end(), level.turns, turn);
            return entry;
        }
    }
    return std::nullopt;
}

void WorkQueue::remove(std::uint64_t id, int priority, const std::string &tenant)
{
    Level &level = levelOf(priority);
    const auto turn = std::find_if(level.turns.begin(), level.turns.end(),
                                   [&](const TenantWork &work) { return work.tenant == tenant; });
    if (turn == level.turns.end())
        return;
    level.size
        -= std::erase_if(turn->entries, [id](const QueuedEntry &entry) { return entry.id == id; });
    if (turn->entries.empty())
        level.turns.erase(turn);
}

std::vector<QueuedEntry> WorkQueue::takeDisplaced()
{
    return std::exchange(m_displaced, {});
}

std::vector<QueuedEntry> WorkQueue::takeExpired(Millis now)
{
    return takeIf([now](const QueuedEntry &entry) { return now >= entry.deadline; });
}

std::vector<QueuedEntry> WorkQueue::takeAll()
{
    return takeIf([](const QueuedEntry &) { return true; });
}

template <typename Condition> std::vector<QueuedEntry> WorkQueue::takeIf(const Condition &condition)
{
    std::vector<QueuedEntry> taken;
    for (Level &level : m_levels) {
        for (TenantWork &work : level.turns) {
            const auto kept = std::stable_partition(
                work.entries.begin(), work.entries.end(),
                [&condition](const QueuedEntry &entry) { return !condition(entry); });
            taken.insert(taken.end(), std::make_move_iterator(kept),
                         std::make_move_iterator(work.entries.end()));
            level.size -= static_cast<std::size_t>(work.entries.end() - kept);
            work.entries.erase(kept, work.entries.end());
        }
        level.turns.remove_if([](const TenantWork &work) { return work.entries.empty(); });
    }
    return taken;
}

std::size_t WorkQueue::entriesAhead(int priority, const std::string &tenant) const
{
    const std::size_t own
        = std::min(static_cast<std::size_t>(std::max(0, priority)), m_levels.size() - 1);
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < own; ++i)
        ahead += m_levels[i].size;
    std::size_t ownEntries = 0;
    for (const TenantWork &work : m_levels[own].turns) {
        if (work.tenant == tenant)
            ownEntries = work.entries.size();
    }
    // Each other tenant gets as many turns as this one before the new entry's own turn.
    for (const TenantWork &work : m_levels[own].turns)
        ahead += std::min(work.entries.size(), work.tenant == tenant ? ownEntries : ownEntries + 1);
    return ahead;
}

bool WorkQueue::hasWorkOf(const std::string &tenant) const
{
    return std::any_of(m_levels.begin(), m_levels.end(), [&](const Level &level) {
        return std::any_of(level.turns.begin(), level.turns.end(),
                           [&](const TenantWork &work) { return work.tenant == tenant; });
    });
}

std::size_t WorkQueue::size() const
{
    std::size_t total = 0;
    for (const Level &level : m_levels)
        total += level.size;
    return total;
}

} // namespace cicadagap
