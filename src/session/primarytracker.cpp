#include "session/primarytracker.h"

#include <algorithm>

namespace cicadagap {

namespace {

// Samples cover this many sample intervals, so that any accepted age finds one.
constexpr std::size_t SampleCount = 128;
// Refused connections in a row before an instance counts as stopped, and the least time they span:
// a process that restarts at once is back by then.
constexpr int RefusalsToStop = 2;
constexpr Millis RefusalSpan(150);
// A registered role is not believed for this long after the instance itself denied it.
constexpr Millis DenialMemory(400);

} // namespace

PrimaryTracker::PrimaryTracker(Options options)
    : m_options(options)
    , m_replicaAge(SampleCount)
{
}

void PrimaryTracker::setInstances(Millis now, const std::vector<RegisteredInstance> &instances)
{
    std::map<std::string, Seen> seen;
    for (const RegisteredInstance &instance : instances) {
        const auto known = m_instances.find(instance.id);
        const bool same = known != m_instances.end()
            && known->second.registered.incarnation == instance.incarnation;
        Seen entry = same ? known->second : Seen{};
        entry.registered = instance;
        entry.roleOutdated = entry.roleOutdated && instance.registeredAsPrimary;
        seen[instance.id] = entry;
    }
    m_instances = std::move(seen);
    if (!m_lostAt && m_primary.empty())
        m_lostAt = now;
    adoptHint(now);
}

void PrimaryTracker::onTick(Millis now)
{
    const bool stoodStill = m_lastTick && now - *m_lastTick > m_options.gapLimit;
    m_lastTick = now;
    if (!stoodStill) {
        if (m_probing && primaryFailed(now)) {
            m_failed = m_primary;
            lose(now);
        }
        return;
    }
    for (auto &row : m_instances) {
        if (row.second.askedSince)
            row.second.askedSince = now;
    }
    if (m_lostAt)
        m_lostAt = now;
    if (m_oldestWrite)
        m_oldestWrite = now;
}

void PrimaryTracker::onProvenPrimary(Millis now, const std::string &instance, Millis askedAt,
                                     Position position)
{
    if (position.term < m_term)
        return;
    setPrimary(instance);
    m_term = position.term;
    m_confirmedAt = now;
    m_provenAsOf = std::max(m_provenAsOf, askedAt);
    m_lostAt.reset();
    m_failed.clear();
    if (now - m_lastSample >= m_options.sampleInterval) {
        m_lastSample = now;
        m_replicaAge.addSample(askedAt, position);
    }
}

void PrimaryTracker::onReportedPrimary(const std::string &instance)
{
    if (!m_probing && m_instances.contains(instance))
        setPrimary(instance);
}

// There is evidence that the instance leads.
void PrimaryTracker::setPrimary(const std::string &instance)
{
    m_primary = instance;
    m_lastPrimary = instance;
    for (auto &[id, entry] : m_instances)
        entry.roleOutdated = entry.registered.registeredAsPrimary && id != instance;
}

void PrimaryTracker::onNotPrimary(Millis now, const std::string &instance, Millis askedAt)
{
    if (instance == m_lastPrimary && askedAt < m_provenAsOf)
        return;
    const auto found = m_instances.find(instance);
    if (found != m_instances.end())
        found->second.refusedLead = now;
    if (instance == m_primary)
        lose(now);
}

void PrimaryTracker::onRequestSent(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.lastAsked = now;
    if (!found->second.askedSince)
        found->second.askedSince = now;
}

void PrimaryTracker::onReceived(const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.askedSince.reset();
    found->second.refusals = 0;
}

void PrimaryTracker::onConnectionFailed(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    if (found->second.refusals++ == 0)
        found->second.firstRefusal = now;
}

bool PrimaryTracker::confirmed(Millis now) const
{
    return !m_primary.empty() && now - m_confirmedAt < m_options.silenceLimit;
}

std::vector<std::string> PrimaryTracker::instancesToProbe(Millis now) const
{
    std::vector<std::string> ids;
    if (!m_probing)
        return ids;
    for (const auto &[id, entry] : m_instances) {
        if (m_primary.empty() && now - entry.lastAsked >= m_options.searchInterval)
            ids.push_back(id);
        if (id == m_primary && now - m_confirmedAt >= m_options.probeInterval
            && now - entry.lastAsked >= m_options.probeInterval)
            ids.push_back(id);
    }
    return ids;
}

bool PrimaryTracker::silentFor(Millis now, const std::string &instance, Millis limit) const
{
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && found->second.askedSince
        && now - *found->second.askedSince > limit;
}

PrimaryChangeCause PrimaryTracker::cause(Millis now) const
{
    if (m_instances.empty() || !m_probing)
        return PrimaryChangeCause::None;
    if (unreachable(now))
        return PrimaryChangeCause::Unreachable;
    if (m_primary.empty())
        return PrimaryChangeCause::None;
    const auto found = m_instances.find(m_primary);
    const bool leaving = found != m_instances.end() && found->second.registered.leaving;
    if (leaving)
        return PrimaryChangeCause::Leaving;
    if (m_oldestWrite && now - *m_oldestWrite > m_options.stallLimit && confirmed(now))
        return PrimaryChangeCause::Stalled;
    return PrimaryChangeCause::None;
}

bool PrimaryTracker::primaryFailed(Millis now) const
{
    const auto found = m_instances.find(m_primary);
    if (m_primary.empty())
        return false;
    if (found == m_instances.end())
        return true;
    const Seen &seen = found->second;
    if (seen.refusals >= RefusalsToStop && now - seen.firstRefusal >= RefusalSpan)
        return true;
    return seen.askedSince && now - *seen.askedSince > m_options.silenceLimit;
}

bool PrimaryTracker::unreachable(Millis now) const
{
    if (m_primary.empty() && !m_failed.empty())
        return true;
    const Millis limit = m_term == 0 ? m_options.startLimit : m_options.searchLimit;
    return m_primary.empty() && m_lostAt && now - *m_lostAt > limit;
}

void PrimaryTracker::lose(Millis now)
{
    m_primary.clear();
    if (!m_lostAt)
        m_lostAt = now;
    adoptHint(now);
}

void PrimaryTracker::adoptHint(Millis now)
{
    const auto leader = m_instances.find(m_primary);
    const bool outdated = !m_probing
        && (leader == m_instances.end() || !leader->second.registered.registeredAsPrimary);
    if (!m_primary.empty() && !outdated)
        return;
    for (const auto &[id, entry] : m_instances) {
        const bool credible
            = id != m_failed && !entry.roleOutdated && now - entry.refusedLead > DenialMemory;
        if (entry.registered.registeredAsPrimary && credible) {
            m_primary = id;
            m_lastPrimary = id;
            return;
        }
    }
}

} // namespace cicadagap
