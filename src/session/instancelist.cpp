#include "session/instancelist.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

std::vector<InstanceList::Departure>
InstanceList::update(Millis now, const std::vector<RegisteredInstance> &registered, Millis readAt,
                     bool settled)
{
    std::set<std::string> listed;
    for (const RegisteredInstance &entry : registered) {
        listed.insert(entry.id);
        addEntry(entry, readAt, settled);
    }
    if (settled) {
        m_readAt = std::max(m_readAt, readAt);
        trackMissing(now, listed);
        removeEnded(now);
    } else {
        // Those that are missing may be back once the store is settled.
        for (auto &row : m_missing)
            row.second.since = now;
    }
    return newDepartures(now, listed);
}

// Takes over an entry of the list. One that is not settled may be older than what is known.
void InstanceList::addEntry(const RegisteredInstance &entry, Millis readAt, bool settled)
{
    const auto known = m_instances.find(entry.id);
    const auto ended = m_ended.find(entry.id);
    bool leaving = entry.leaving;
    if (!settled) {
        if (ended != m_ended.end() && entry.incarnation <= ended->second.incarnation)
            return;
        if (known != m_instances.end() && entry.incarnation < known->second.incarnation)
            return;
        const bool sameProcess
            = known != m_instances.end() && entry.incarnation == known->second.incarnation;
        leaving = leaving || (sameProcess && known->second.leaving);
    }
    RegisteredInstance &instance = m_instances[entry.id];
    instance = entry;
    instance.leaving = leaving;
    m_missing.erase(entry.id);
    if (leaving)
        return;
    m_newWorkUntil.erase(entry.id);
    if (!settled)
        return;
    Millis &lastReady = m_lastReady.emplace(entry.id, readAt).first->second;
    lastReady = std::max(lastReady, readAt);
}

void InstanceList::trackMissing(Millis now, const std::set<std::string> &listed)
{
    for (auto &[id, instance] : m_instances) {
        if (listed.contains(id))
            continue;
        const auto [missing, isNew] = m_missing.try_emplace(id, Missing{.since = now});
        if (isNew)
            missing->second.announced = instance.leaving;
        if (now - missing->second.since > m_options.leavingAfterMissing)
            instance.leaving = true;
    }
}

void InstanceList::removeEnded(Millis now)
{
    std::erase_if(m_instances, [&](const auto &row) {
        const auto missing = m_missing.find(row.first);
        if (missing == m_missing.end())
            return false;
        const bool announced = missing->second.announced;
        const Millis limit
            = announced ? m_options.removedAfterLeaving : m_options.removedAfterMissing;
        if (now - missing->second.since <= limit)
            return false;
        if (announced)
            m_ended[row.first] = {.incarnation = row.second.incarnation, .at = now};
        return true;
    });
    std::erase_if(m_ended,
                  [&](const auto &row) { return now - row.second.at > m_options.endedMemory; });
    const auto isUnknown = [this](const auto &row) { return !m_instances.contains(row.first); };
    std::erase_if(m_missing, isUnknown);
    std::erase_if(m_lastReady, isUnknown);
    std::erase_if(m_newWorkUntil, isUnknown);
}

std::vector<InstanceList::Departure>
InstanceList::newDepartures(Millis now, const std::set<std::string> &listed)
{
    std::vector<Departure> departures;
    for (const auto &[id, instance] : m_instances) {
        if (!instance.leaving || m_newWorkUntil.contains(id))
            continue;
        Departure departure{.id = id,
                            .group = instance.group,
                            .announced = listed.contains(id),
                            .newWorkUntil = now};
        const auto ready = m_lastReady.find(id);
        if (ready != m_lastReady.end()) {
            departure.lastReady = ready->second;
            departure.newWorkUntil = newWorkEnd(ready->second);
        }
        m_newWorkUntil[id] = departure.newWorkUntil;
        departures.push_back(std::move(departure));
    }
    return departures;
}

Millis InstanceList::newWorkEnd(Millis lastReady) const
{
    return lastReady + m_options.drainTime - m_options.drainMargin;
}

void InstanceList::setDrainTime(Millis drainTime)
{
    m_options.drainTime = drainTime;
    for (auto &[id, until] : m_newWorkUntil) {
        if (const auto ready = m_lastReady.find(id); ready != m_lastReady.end())
            until = std::min(until, newWorkEnd(ready->second));
    }
}

const RegisteredInstance *InstanceList::find(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

} // namespace cicadagap
