#include "session/replicalag.h"

#include <algorithm>

namespace cicadagap {

namespace {

// Reads of one database accept data of the same age, but for the time that they have waited.
constexpr Millis AgeTolerance(100);

} // namespace

bool ReplicaLag::onBehind(Millis now, const std::string &instance, Millis maxAge)
{
    const auto [found, isNews] = m_lags.try_emplace(instance);
    Lag &lag = found->second;
    if (isNews)
        lag.memory = m_options.firstMemory;
    else if (now >= lag.until)
        lag.memory = std::min(lag.memory * 2, m_options.longestMemory);
    lag.atLeast = std::max(lag.atLeast, maxAge);
    lag.until = now + lag.memory;
    return isNews;
}

bool ReplicaLag::onServed(const std::string &instance, Millis maxAge)
{
    const auto found = m_lags.find(instance);
    if (found == m_lags.end() || maxAge > found->second.atLeast + AgeTolerance)
        return false;
    m_lags.erase(found);
    return true;
}

bool ReplicaLag::isBehind(Millis now, const std::string &instance, Millis maxAge) const
{
    const auto found = m_lags.find(instance);
    return found != m_lags.end() && now < found->second.until
        && maxAge <= found->second.atLeast + AgeTolerance;
}

void ReplicaLag::keepOnly(const std::set<std::string> &instances)
{
    std::erase_if(m_lags, [&](const auto &row) { return !instances.contains(row.first); });
}

} // namespace cicadagap
