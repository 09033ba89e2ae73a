#include "connection/majoritytracker.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace cicadagap {

void MajorityTracker::observe(const std::string &instance, std::uint64_t term, Position last)
{
    Observation &latest = m_latest[instance];
    if (term < latest.term)
        return;
    if (term > latest.term || last > latest.last)
        latest = {term, last};
}

bool MajorityTracker::holds(Position position) const
{
    return position.index > 0 && majorityIndex(position.term) >= position.index;
}

std::uint64_t MajorityTracker::majorityIndex(std::uint64_t term) const
{
    std::vector<std::uint64_t> indexes;
    for (const auto &entry : m_latest) {
        const Observation &latest = entry.second;
        if (latest.term == term && latest.last.term == term)
            indexes.push_back(latest.last.index);
    }
    const std::size_t majority = m_instances / 2 + 1;
    if (indexes.size() < majority)
        return 0;
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    return indexes[majority - 1];
}

void ReplicaAge::addSample(Millis at, Position primaryLast)
{
    if (!m_samples.empty() && (at < m_samples.back().at || primaryLast < m_samples.back().last))
        return;
    m_samples.push_back({at, primaryLast});
    if (m_samples.size() > m_capacity)
        m_samples.pop_front();
}

std::optional<Millis> ReplicaAge::age(Millis now, Position replicaLast) const
{
    for (auto it = m_samples.rbegin(); it != m_samples.rend(); ++it) {
        if (replicaLast.covers(it->last))
            return now - it->at;
    }
    return std::nullopt;
}

std::optional<Position> ReplicaAge::coveringSince(Millis since) const
{
    for (const Sample &sample : m_samples) {
        if (sample.at >= since)
            return sample.last;
    }
    return std::nullopt;
}

std::optional<Millis> ReplicaAge::newestSample() const
{
    if (m_samples.empty())
        return std::nullopt;
    return m_samples.back().at;
}

Position ReplicaAge::newestPosition() const
{
    return m_samples.empty() ? Position{} : m_samples.back().last;
}

} // namespace cicadagap
