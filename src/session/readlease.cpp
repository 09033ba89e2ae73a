#include "session/readlease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace cicadagap {

namespace {

// The primary's newest positions that are kept, and the minimum time between two of them. Together
// they reach back further than a lease lasts.
constexpr std::size_t MaxPrimaryEnds = 32;
constexpr Millis PrimaryEndInterval(20);

} // namespace

void ReadLease::onCommitAcknowledged(Millis sentAt)
{
    if (m_syncReplicas > 0)
        renew(sentAt);
}

void ReadLease::onPrimaryPosition(Millis sentAt, Position end)
{
    if (!m_primaryEnds.empty() && sentAt - m_primaryEnds.back().sentAt < PrimaryEndInterval)
        return;
    m_primaryEnds.push_back({.sentAt = sentAt, .end = end});
    if (m_primaryEnds.size() > MaxPrimaryEnds)
        m_primaryEnds.pop_front();
}

void ReadLease::onReplicaPosition(const std::string &replica, Position end)
{
    // Entries after `end` of a PrimaryEnd were appended, and so received, after its `sentAt`. Only
    // entries of the same term are this primary's.
    const auto newest = std::find_if(
        m_primaryEnds.rbegin(), m_primaryEnds.rend(), [end](const PrimaryEnd &known) {
            return known.end.term == end.term && known.end.index < end.index;
        });
    if (newest != m_primaryEnds.rend())
        onReplicaUnsealed(replica, newest->sentAt);
}

void ReadLease::onReplicaUnsealed(const std::string &replica, Millis sentAt)
{
    const auto known = m_unsealedAt.emplace(replica, sentAt).first;
    known->second = std::max(known->second, sentAt);
    const auto needed = static_cast<std::size_t>(m_syncReplicas);
    if (needed == 0 || m_unsealedAt.size() < needed)
        return;
    std::vector<Millis> instants;
    instants.reserve(m_unsealedAt.size());
    for (const auto &row : m_unsealedAt)
        instants.push_back(row.second);
    std::sort(instants.begin(), instants.end(), std::greater<>());
    renew(instants[needed - 1]);
}

void ReadLease::reset()
{
    m_renewedAt.reset();
    m_primaryEnds.clear();
    m_unsealedAt.clear();
}

bool ReadLease::covers(Millis instant) const
{
    const std::optional<Millis> end = until();
    return end && instant <= *end;
}

std::optional<Millis> ReadLease::until() const
{
    return m_renewedAt ? std::optional(*m_renewedAt + ReadLeaseDuration) : std::nullopt;
}

void ReadLease::renew(Millis at)
{
    m_renewedAt = m_renewedAt ? std::max(*m_renewedAt, at) : at;
}

} // namespace cicadagap
