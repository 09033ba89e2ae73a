#include "session/instancelist.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cicadagap {

std::vector<InstanceList::Departure>
InstanceList::update(Millis now, const std::vector<RegisteredInstance> &registered, Millis readAt)
{
    m_readAt = std::max(m_readAt, readAt);
    std::set<std::string> listed;
    for (const RegisteredInstance &instance : registered) {
        listed.insert(instance.id);
        m_instances[instance.id] = instance;
        m_missing.erase(instance.id);
        if (!instance.leaving) {
            Millis &lastReady = m_lastReady.emplace(instance.id, readAt).first->second;
            lastReady = std::max(lastReady, readAt);
            m_newWorkUntil.erase(instance.id);
        }
    }
    for (auto &[id, instance] : m_instances) {
        if (listed.contains(id))
            continue;
        const auto [missing, isNew] = m_missing.try_emplace(id, Missing{.since = now});
        if (isNew)
            missing->second.announced = instance.leaving;
        if (now - missing->second.since > m_options.leavingAfterMissing)
            instance.leaving = true;
    }
    std::erase_if(m_instances, [&](const auto &row) {
        const auto missing = m_missing.find(row.first);
        if (missing == m_missing.end())
            return false;
        const Millis limit = missing->second.announced ? m_options.removedAfterLeaving
                                                       : m_options.removedAfterMissing;
        return now - missing->second.since > limit;
    });
    const auto isUnknown = [this](const auto &row) { return !m_instances.contains(row.first); };
    std::erase_if(m_missing, isUnknown);
    std::erase_if(m_lastReady, isUnknown);
    std::erase_if(m_newWorkUntil, isUnknown);

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
            departure.newWorkUntil = ready->second + m_options.drainTime - m_options.drainMargin;
        }
        m_newWorkUntil[id] = departure.newWorkUntil;
        departures.push_back(std::move(departure));
    }
    return departures;
}

const RegisteredInstance *InstanceList::find(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

} // namespace cicadagap
