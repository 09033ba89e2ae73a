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

std::optional<std::string> ConfigurationCheck::onAnswer(Millis now, const Probe &probe,
                                                        bool accepted)
{
    Host &host = m_hosts[probe.host];
    const std::string name = "host " + std::to_string(probe.host);
    const std::string version = std::to_string(probe.version);
    if (accepted && probe.version < probe.servedBefore)
        return name + " went back from version " + std::to_string(probe.servedBefore) + " to "
            + version;
    const bool inTouch = isInTouch(probe.host, probe.sentAt, now);
    const Version *next = following(probe.version);
    const auto isDue = [&](const Version &entry) {
        return probe.sentAt - entry.acknowledgedAt > m_options.bound;
    };
    if (accepted) {
        if (host.incarnation != probe.incarnation)
            host.served = 0;
        host.incarnation = probe.incarnation;
        host.served = std::max(host.served, probe.version);
        noteInForce(now, &host, probe.host, probe.version);
        if (!next || !inTouch)
            return std::nullopt;
        ++m_judged;
        return isDue(*next)
            ? std::optional(name + " still accepts version " + version + ", "
                            + std::to_string((probe.sentAt - next->acknowledgedAt).count())
                            + " ms after the next one was acknowledged")
            : std::nullopt;
    }
    const auto self
        = std::find_if(m_versions.begin(), m_versions.end(),
                       [&probe](const Version &entry) { return entry.number == probe.version; });
    if (next || !inTouch || self == m_versions.end())
        return std::nullopt;
    ++m_judged;
    return isDue(*self)
        ? std::optional(name + " refuses version " + version + ", "
                        + std::to_string((probe.sentAt - self->acknowledgedAt).count())
                        + " ms after it was acknowledged")
        : std::nullopt;
}

// All versions up to this one are in force at the host by now.
void ConfigurationCheck::noteInForce(Millis now, Host *host, std::size_t index,
                                     std::uint64_t version)
{
    for (; host->inForce < m_versions.size(); ++host->inForce) {
        const Version &entry = m_versions[host->inForce];
        if (entry.number > version)
            return;
        if (!isInTouch(index, entry.acknowledgedAt, now))
            continue;
        Millis &longest = m_longestDelays[entry.during];
        longest = std::max(longest, now - entry.acknowledgedAt);
    }
}

} // namespace cicadagap
