#include "session/loadreports.h"

namespace cicadagap {

namespace {

// Longer waits and service times cannot be measured: statements time out before.
constexpr Millis LongestTime(600'000);
constexpr std::uint32_t MostWork = 1'000'000;

bool isPlausibleTime(Millis time)
{
    return time >= Millis(0) && time <= LongestTime;
}

} // namespace

bool InstanceLoad::isPlausible() const
{
    return !instance.empty() && isPlausibleTime(wait) && isPlausibleTime(serviceTime)
        && queued <= MostWork && running <= MostWork;
}

void LoadReports::onReport(Millis now, const InstanceLoad &load)
{
    if (load.isPlausible())
        m_received[load.instance] = {.load = load, .at = now};
}

void LoadReports::keepOnly(const std::set<std::string> &instances)
{
    std::erase_if(m_received, [&](const auto &row) { return !instances.contains(row.first); });
}

std::optional<LoadReports::Received> LoadReports::newest(const std::string &instance) const
{
    const auto found = m_received.find(instance);
    return found == m_received.end() ? std::nullopt : std::optional(found->second);
}

bool LoadReports::takeFullReport(Millis now, const std::string &origin)
{
    if (m_lastFull.size() >= MaxOrigins && !m_lastFull.contains(origin)) {
        std::erase_if(m_lastFull,
                      [&](const auto &row) { return now - row.second >= FullReportInterval; });
        if (m_lastFull.size() >= MaxOrigins)
            return false;
    }
    const auto [found, isNew] = m_lastFull.try_emplace(origin, now);
    if (!isNew && now - found->second < FullReportInterval)
        return false;
    found->second = now;
    return true;
}

} // namespace cicadagap
