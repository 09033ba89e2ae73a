#include "session/instancelist.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cicadagap {

std::vector<InstanceList::Departure>
InstanceList::update(Millis now, const std::vector<RegisteredInstance> &registered, Millis readAt)
{
    std::set<std::string> listed;
    for (const RegisteredInstance &instance : registered) {
        listed.insert(instance.id);
        m_instances[instance.id] = instance;
        m_missingSince.erase(instance.id);
        if (!instance.leaving) {
            Millis &lastReady = m_lastReady.emplace(instance.id, readAt).first->second;
            lastReady = std::max(lastReady, readAt);
            m_newWorkUntil.erase(instance.id);
        }
    }
    for (auto &[id, instance] : m_instances) {
        if (listed.contains(id))
            continue;
        const Millis since = m_missingSince.emplace(id, now).first->second;
        if (now - since > m_options.leavingAfterMissing)
            instance.leaving = true;
    }
    std::erase_if(m_instances, [&](const auto &row) {
        const auto missing = m_missingSince.find(row.first);
        return missing != m_missingSince.end()
            && now - missing->second > m_options.removedAfterMissing;
    });
    const auto isUnknown = [this](const auto &row) { return !m_instances.contains(row.first); };
    std::erase_if(m_missingSince, isUnknown);
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

std::optional<Millis> InstanceList::newWorkUntil(const std::string &id) const
{
    const auto found = m_newWorkUntil.find(id);
    return found == m_newWorkUntil.end() ? std::nullopt : std::optional<Millis>(found->second);
}

const RegisteredInstance *InstanceList::find(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

} // namespace cicadagap
