#include "configurationcheck.h"

#include <algorithm>

namespace cicadagap {

ConfigurationCheck::ConfigurationCheck(Options options)
    : m_options(options)
    , m_hosts(options.hosts)
{
}

void ConfigurationCheck::onAcknowledged(Millis now, std::uint64_t version,
                                        const std::string &during)
{
    m_versions.push_back({.number = version, .acknowledgedAt = now, .during = during});
}

void ConfigurationCheck::disrupt(std::size_t host, Millis now, Millis until)
{
    m_hosts[host].disruptions.push_back({.from = now, .until = until});
}

void ConfigurationCheck::disruptAll(Millis now, Millis until)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        disrupt(host, now, until);
}

bool ConfigurationCheck::isInTouch(std::size_t host, Millis from, Millis to) const
{
    const std::vector<Disruption> &disruptions = m_hosts[host].disruptions;
    return std::none_of(disruptions.begin(), disruptions.end(), [&](const Disruption &disruption) {
        return disruption.from <= to && from - disruption.until < m_options.stableTime;
    });
}

std::uint64_t ConfigurationCheck::servedVersion(std::size_t host, int incarnation) const
{
    return m_hosts[host].incarnation == incarnation ? m_hosts[host].served : 0;
}

// The version that replaced this one; null if it is the newest.
const ConfigurationCheck::Version *ConfigurationCheck::following(std::uint64_t version) const
{
    const auto next
        = std::find_if(m_versions.begin(), m_versions.end(),
                       [version](const Version &entry) { return entry.number > version; });
    return next == m_versions.end() ? nullptr : &*next;
}

// The version that the answer shows to be late, if its time is over: the one that removed the
// accepted database, or the newest one, whose database was refused. Null if it shows nothing.
const ConfigurationCheck::Version *ConfigurationCheck::shownByAnswer(const Probe &probe,
                                                                     bool accepted) const
{
    const Version *next = following(probe.version);
    if (accepted)
        return next;
    const bool isNewest = !next && !m_versions.empty() && m_versions.back().number == probe.version;
    return isNewest ? &m_versions.back() : nullptr;
}

std::optional<std::string> ConfigurationCheck::onAnswer(Millis now, const Probe &probe,
                                                        bool accepted)
{
    const std::string name = "host " + std::to_string(probe.host);
    const std::string version = std::to_string(probe.version);
    if (accepted && probe.version < probe.servedBefore)
        return name + " went back from version " + std::to_string(probe.servedBefore) + " to "
            + version;
    if (accepted)
        noteAccepted(now, probe);
    const Version *shown = shownByAnswer(probe, accepted);
    if (!shown || !isInTouch(probe.host, probe.sentAt, now))
        return std::nullopt;
    ++m_judged;
    const Millis after = probe.sentAt - shown->acknowledgedAt;
    if (after <= m_options.bound)
        return std::nullopt;
    return name + (accepted ? " still accepts version " : " refuses version ") + version + ", "
        + std::to_string(after.count()) + " ms after " + (accepted ? "the next one" : "it")
        + " was acknowledged";
}

void ConfigurationCheck::noteAccepted(Millis now, const Probe &probe)
{
    Host &host = m_hosts[probe.host];
    if (host.incarnation != probe.incarnation)
        host.served = 0;
    host.incarnation = probe.incarnation;
    host.served = std::max(host.served, probe.version);
    noteInForce(now, probe.host, probe.version);
}

// All versions up to this one are in force at the host by now.
void ConfigurationCheck::noteInForce(Millis now, std::size_t host, std::uint64_t version)
{
    for (std::size_t &seen = m_hosts[host].inForce; seen < m_versions.size(); ++seen) {
        const Version &entry = m_versions[seen];
        if (entry.number > version)
            return;
        if (!isInTouch(host, entry.acknowledgedAt, now))
            continue;
        Millis &longest = m_longestDelays[entry.during];
        longest = std::max(longest, now - entry.acknowledgedAt);
    }
}

} // namespace cicadagap
