#include "session/primarytracker.h"

#include <algorithm>

namespace cicadagap {

namespace {

// Number of position samples that are kept. Together they span this many sample intervals, so that
// a sample exists for any age that a read may accept.
constexpr std::size_t SampleCount = 128;
// An instance counts as stopped after this many failed connections in a row, of which the first is
// at least FailureSpan ago. A process that restarts at once is back within that time.
constexpr int FailuresToStop = 2;
constexpr Millis FailureSpan(150);
// After an instance denied that it is primary, its registered role is ignored for this long.
constexpr Millis DenialMemory(400);

} // namespace

PrimaryTracker::PrimaryTracker(Options options)
    : m_options(options)
    , m_replicaAge(SampleCount)
{
}

void PrimaryTracker::setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                                  int syncReplicas)
{
    m_syncReplicas = syncReplicas;
    m_readLease.setSyncReplicas(syncReplicas);
    std::map<std::string, TrackedInstance> tracked;
    for (const RegisteredInstance &instance : instances) {
        const auto known = m_instances.find(instance.id);
        const bool same = known != m_instances.end()
            && known->second.registered.incarnation == instance.incarnation;
        TrackedInstance entry = same ? known->second : TrackedInstance{};
        if (!same && instance.id == m_lastPrimary)
            forgetEvidence();
        entry.registered = instance;
        entry.roleOutdated = entry.roleOutdated && instance.registeredAsPrimary;
        tracked[instance.id] = entry;
    }
    m_instances = std::move(tracked);
    if (!m_lostAt && m_primary.empty())
        m_lostAt = now;
    adoptRegisteredRole(now);
}

void PrimaryTracker::onTick(Millis now)
{
    const bool wasSuspended = m_lastTick && now - *m_lastTick > m_options.suspensionLimit;
    m_lastTick = now;
    if (!wasSuspended) {
        if (m_probing && primaryFailed(now)) {
            m_failedPrimary = m_primary;
            losePrimary(now);
        }
        return;
    }
    excuseSilence(now);
}

// The instances may have answered: starts all periods anew.
void PrimaryTracker::excuseSilence(Millis now)
{
    for (auto &row : m_instances) {
        if (row.second.unansweredSince)
            row.second.unansweredSince = now;
    }
    if (m_lostAt)
        m_lostAt = now;
    if (m_oldestWrite)
        m_oldestWrite = now;
}

void PrimaryTracker::onProvenPrimary(Millis now, const std::string &instance, Millis sentAt,
                                     Position position)
{
    // The log of a new primary ends in an earlier term until its first commit.
    const auto found = m_instances.find(instance);
    const std::uint64_t ledTerm = found == m_instances.end() ? 0 : found->second.ledTerm;
    const std::uint64_t term = std::max(position.term, ledTerm);
    if (term < m_term || (needsReadLease() && term < m_newestTerm))
        return;
    if (found != m_instances.end())
        found->second.ledTerm = term;
    setPrimary(now, instance, term);
    m_confirmedAt = now;
    m_proofSentAt = std::max(m_proofSentAt, sentAt);
    m_lostAt.reset();
    m_failedPrimary.clear();
    if (now - m_lastSample >= m_options.sampleInterval) {
        m_lastSample = now;
        addSample(sentAt, position);
    }
}

void PrimaryTracker::onReportedPrimary(Millis now, const std::string &instance)
{
    if (!m_probing && m_instances.contains(instance))
        setPrimary(now, instance, m_term);
}

// Records evidence that the instance is primary of `term`. Other instances' registered roles are
// outdated then.
void PrimaryTracker::setPrimary(Millis now, const std::string &instance, std::uint64_t term)
{
    assumePrimary(now, instance, term);
    m_provenPrimary = instance;
    for (auto &[id, entry] : m_instances)
        entry.roleOutdated = entry.registered.registeredAsPrimary && id != instance;
}

void PrimaryTracker::onNotPrimary(Millis now, const std::string &instance, Millis sentAt)
{
    if (instance == m_lastPrimary && sentAt < m_proofSentAt)
        return;
    const auto found = m_instances.find(instance);
    if (found != m_instances.end())
        found->second.deniedAt = now;
    if (instance == m_lastPrimary)
        forgetEvidence();
    if (instance == m_primary)
        losePrimary(now);
}

void PrimaryTracker::onRequestSent(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.lastSent = now;
    if (!found->second.unansweredSince)
        found->second.unansweredSince = now;
}

void PrimaryTracker::onReceived(const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.unansweredSince.reset();
    found->second.failedConnections = 0;
}

void PrimaryTracker::onConnectionFailed(Millis now, const std::string &instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    if (found->second.failedConnections++ == 0)
        found->second.firstFailure = now;
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
        if (m_primary.empty() && now - entry.lastSent >= m_options.searchProbeInterval)
            ids.push_back(id);
        if (id == m_primary && now - m_confirmedAt >= m_options.probeInterval
            && now - entry.lastSent >= m_options.probeInterval)
            ids.push_back(id);
    }
    return ids;
}

bool PrimaryTracker::silentFor(Millis now, const std::string &instance, Millis limit) const
{
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && found->second.unansweredSince
        && now - *found->second.unansweredSince > limit;
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
    const bool writeStalls = m_oldestWrite && now - *m_oldestWrite > m_options.stallLimit;
    if ((writeStalls || evidenceStalls(now)) && confirmed(now))
        return PrimaryChangeCause::Stalled;
    return PrimaryChangeCause::None;
}

// Whether the primary is no longer registered, refuses connections, or leaves requests unanswered.
bool PrimaryTracker::primaryFailed(Millis now) const
{
    const auto found = m_instances.find(m_primary);
    if (m_primary.empty())
        return false;
    return found == m_instances.end() || hasFailed(now, found->second);
}

// Whether the instance refuses connections or leaves requests unanswered.
bool PrimaryTracker::hasFailed(Millis now, const TrackedInstance &tracked) const
{
    if (tracked.failedConnections >= FailuresToStop && now - tracked.firstFailure >= FailureSpan)
        return true;
    return tracked.unansweredSince && now - *tracked.unansweredSince > m_options.silenceLimit;
}

// Whether no primary is known, and the last one stopped answering or the search took too long.
bool PrimaryTracker::unreachable(Millis now) const
{
    if (m_primary.empty() && !m_failedPrimary.empty())
        return true;
    const Millis limit = m_term == 0 ? m_options.startLimit : m_options.searchLimit;
    return m_primary.empty() && m_lostAt && now - *m_lostAt > limit;
}

void PrimaryTracker::losePrimary(Millis now)
{
    m_primary.clear();
    if (!m_lostAt)
        m_lostAt = now;
    adoptRegisteredRole(now);
}

// While no primary is known, assumes the one that registered as such, unless there is evidence
// against it. A host that does not probe also moves on when the known one is not registered so.
void PrimaryTracker::adoptRegisteredRole(Millis now)
{
    const auto primary = m_instances.find(m_primary);
    const bool outdated = !m_probing
        && (primary == m_instances.end() || !primary->second.registered.registeredAsPrimary);
    if (!m_primary.empty() && !outdated)
        return;
    for (const auto &[id, entry] : m_instances) {
        const bool credible = id != m_failedPrimary && !entry.roleOutdated
            && now - entry.deniedAt > DenialMemory && !(m_probing && hasFailed(now, entry));
        if (entry.registered.registeredAsPrimary && credible) {
            assumePrimary(now, id, m_term);
            return;
        }
    }
}

// Makes the instance the known primary. Evidence about another one, or an earlier term, does not
// hold for it.
void PrimaryTracker::assumePrimary(Millis now, const std::string &instance, std::uint64_t term)
{
    if (instance != m_lastPrimary || term > m_term) {
        forgetEvidence();
        m_primarySince = now;
        m_sealedAt.reset(); // The seal was part of this change.
    }
    m_primary = instance;
    m_lastPrimary = instance;
    m_term = term;
}

} // namespace cicadagap
