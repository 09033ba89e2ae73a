#include "process/membership.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Versions reserved for each incarnation; more than there are values of HostState.
constexpr std::uint64_t VersionsPerIncarnation = 4;

} // namespace

std::string hostKey(const std::string &name)
{
    return "host/" + name;
}

std::uint64_t hostVersion(const HostInfo &host)
{
    return host.incarnation * VersionsPerIncarnation + static_cast<std::uint64_t>(host.state);
}

Membership::Membership(Options options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
}

std::optional<HostInfo> Membership::onHost(Millis now, const HostInfo &host)
{
    HostInfo &self = m_options.self;
    if (host.name == self.name) {
        if (hostVersion(host) <= hostVersion(self))
            return std::nullopt;
        self.incarnation = host.incarnation + 1;
        return self;
    }
    const auto found = m_hosts.find(host.name);
    if (found == m_hosts.end()) {
        // A report of the death of an unknown host is out of date. If every host added it again,
        // the record would never disappear.
        if (host.state != HostState::Dead)
            m_hosts[host.name] = Entry{host, 0, Millis()};
        return std::nullopt;
    }
    Entry &entry = found->second;
    if (hostVersion(host) <= hostVersion(entry.host))
        return std::nullopt;
    if (host.state == HostState::Dead && entry.host.state != HostState::Dead)
        entry.deadSince = now;
    entry.host = host;
    entry.failures = 0;
    return std::nullopt;
}

std::vector<HostInfo> Membership::onPlatformList(Millis now, const std::vector<HostInfo> &listed)
{
    std::vector<HostInfo> publish;
    for (const HostInfo &host : listed) {
        if (host.name == m_options.self.name)
            continue;
        const auto found = m_hosts.find(host.name);
        if (found == m_hosts.end()) {
            onHost(now, host);
            continue;
        }
        // The list lags behind, so it never makes a host alive again. It may only report that one
        // is leaving.
        HostInfo &known = found->second.host;
        if (host.state == HostState::Leaving && known.state == HostState::Alive) {
            known.state = HostState::Leaving;
            publish.push_back(known);
        }
    }
    return publish;
}

std::optional<HostInfo> Membership::onProbe(Millis now, const ProbeRequest &probe, bool reached)
{
    const auto found = m_hosts.find(probe.target);
    if (found == m_hosts.end() || found->second.host.state == HostState::Dead)
        return std::nullopt;
    Entry &entry = found->second;
    if (reached) {
        entry.failures = 0;
        return std::nullopt;
    }
    ++entry.failures;
    const bool confirmed = !probe.via.empty() || chooseSecondOpinion(probe.target).empty();
    if (entry.failures <= m_options.failuresBeforeSecondOpinion || !confirmed)
        return std::nullopt;
    entry.host.state = HostState::Dead;
    entry.deadSince = now;
    return entry.host;
}

std::vector<ProbeRequest> Membership::onTick(Millis now)
{
    if (now < m_nextProbe)
        return {};
    m_nextProbe = now + m_options.probeInterval;
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        const Entry &entry = it->second;
        const bool dead = entry.host.state == HostState::Dead;
        if (dead && now - entry.deadSince >= m_options.removeDeadAfter) {
            m_removed.push_back(it->first);
            it = m_hosts.erase(it);
        } else {
            ++it;
        }
    }
    std::vector<ProbeRequest> probes;
    for (const std::string &target : neighbours()) {
        const bool needsSecondOpinion
            = m_hosts.at(target).failures >= m_options.failuresBeforeSecondOpinion;
        probes.push_back(
            {target, needsSecondOpinion ? chooseSecondOpinion(target) : std::string()});
    }
    return probes;
}

HostInfo Membership::leave()
{
    m_options.self.state = HostState::Leaving;
    return m_options.self;
}

std::vector<HostInfo> Membership::hosts() const
{
    std::vector<HostInfo> hosts{m_options.self};
    for (const auto &entry : m_hosts) {
        if (entry.second.host.state != HostState::Dead)
            hosts.push_back(entry.second.host);
    }
    std::sort(hosts.begin(), hosts.end(),
              [](const HostInfo &left, const HostInfo &right) { return left.name < right.name; });
    return hosts;
}

std::vector<std::string> Membership::aliveIn(const std::string &dataCentre) const
{
    std::vector<std::string> names;
    for (const HostInfo &host : hosts()) {
        if (host.state == HostState::Alive && host.dataCentre == dataCentre)
            names.push_back(host.name);
    }
    return names;
}

const HostInfo *Membership::find(const std::string &name) const
{
    if (name == m_options.self.name)
        return &m_options.self;
    const auto found = m_hosts.find(name);
    return found == m_hosts.end() ? nullptr : &found->second.host;
}

std::vector<std::string> Membership::takeRemoved()
{
    return std::exchange(m_removed, {});
}

std::vector<std::string> Membership::neighbours() const
{
    std::vector<std::string> ring;
    std::vector<std::string> allHosts;
    for (const auto &entry : m_hosts) {
        const HostInfo &host = entry.second.host;
        if (host.state == HostState::Dead)
            continue;
        allHosts.push_back(host.name);
        if (host.dataCentre == m_options.self.dataCentre)
            ring.push_back(host.name);
    }
    // If some data centre has a single host, the ring consists of the hosts of all data centres, so
    // that the single host has neighbours to probe and is probed itself.
    const bool probeAllDataCentres = ring.empty() || hasLoneHost();
    if (probeAllDataCentres)
        ring = std::move(allHosts);
    // The ring is in name order. Start after this host.
    const auto start = std::upper_bound(ring.begin(), ring.end(), m_options.self.name);
    std::rotate(ring.begin(), start, ring.end());
    if (ring.size() > static_cast<std::size_t>(m_options.neighbours))
        ring.resize(static_cast<std::size_t>(m_options.neighbours));
    return ring;
}

bool Membership::hasLoneHost() const
{
    std::map<std::string, int> counts;
    for (const HostInfo &host : hosts())
        ++counts[host.dataCentre];
    return std::any_of(counts.begin(), counts.end(),
                       [](const auto &entry) { return entry.second == 1; });
}

std::string Membership::chooseSecondOpinion(const std::string &target)
{
    std::vector<std::string> candidates;
    for (const auto &entry : m_hosts) {
        const HostInfo &host = entry.second.host;
        if (host.state == HostState::Alive && host.name != target && entry.second.failures == 0
            && (host.dataCentre == m_options.self.dataCentre || hasLoneHost()))
            candidates.push_back(host.name);
    }
    return candidates.empty() ? std::string() : candidates[m_random.below(candidates.size())];
}

} // namespace cicadagap
