#include "session/quotashares.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadagap {

namespace {

// A stock that is made of parts of the rate, of the depth and of the slack.
//
// The rule permits 5.5 s of the rate, 1.1 bursts and 20 operations in 5 s. All parts together are
// 4.9 s of the rate that they grow by, a depth of 0.36 s of the rate and 1.05 bursts, and 18
// operations, of which 6 come at 1.2 a second: they matter for low limits.
QuotaStock part(const TenantLimits &limits, double rateFactor, double depthFactor,
                const QuotaStock &slack)
{
    constexpr double RateSeconds = 0.36;
    constexpr double Bursts = 1.05;
    const auto rate = static_cast<double>(std::max<std::int64_t>(0, limits.perSecond));
    const auto burst = static_cast<double>(std::max<std::int64_t>(0, limits.burst));
    return {.perSecond = rate * rateFactor + slack.perSecond,
            .depth = (RateSeconds * rate + Bursts * burst) * depthFactor + slack.depth};
}

} // namespace

QuotaStock ownShares(const TenantLimits &limits)
{
    return part(limits, 0.1, 0.4, {});
}

QuotaStock grantedPart(const TenantLimits &limits)
{
    return part(limits, 0.88, 0.6, {.perSecond = 1.2, .depth = 12});
}

std::size_t quotaSetOf(const std::string &tenant)
{
    return hash64(tenant) % QuotaSets;
}

QuotaOwners quotaOwners(const std::vector<std::string> &hosts)
{
    QuotaOwners owners;
    for (std::size_t set = 0; set < QuotaSets && !hosts.empty(); ++set)
        owners.at(set) = rendezvousTop("quota/" + std::to_string(set), hosts, 1).front();
    return owners;
}

void HostCount::note(Millis now, std::size_t hosts)
{
    if (!m_counts.empty())
        m_counts.back().first = now;
    while (!m_counts.empty() && m_counts.back().second <= hosts)
        m_counts.pop_back();
    m_counts.emplace_back(now, hosts);
    while (m_counts.size() > 1 && now - m_counts.front().first > Memory)
        m_counts.pop_front();
}

void QuotaBucket::grow(Millis now, double perSecond, double depth)
{
    constexpr double MillisPerSecond = 1000;
    if (m_started && now > m_at)
        m_level += perSecond * static_cast<double>((now - m_at).count()) / MillisPerSecond;
    m_level = std::min(m_level, std::max(0.0, depth));
    m_at = std::max(m_at, now);
    m_started = true;
}

bool QuotaBucket::take(std::uint32_t count)
{
    if (m_level < count)
        return false;
    m_level -= count;
    return true;
}

} // namespace cicadagap
