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
// Between two queries on behalf of statements that wait for the read lease. Status queries, which
// take a slot, begin only after a while.
constexpr Millis StatusQueryInterval(60);
constexpr Millis StatusQueryDelay(200);
// A statement that has not said for this long that it waits does not wait any more.
constexpr Millis LeaseNeedLifetime(100);
// A seal that was seen longer ago belongs to an attempt to change the primary that has ended.
constexpr Millis SealedReplicaLimit(1000);
// Statuses of each replica that are kept: of the last query and some before.
constexpr std::size_t MaxStatuses = 4;
// Samples that are kept until the read lease covers them.
constexpr std::size_t MaxUnprovenSamples = 32;

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
    // The instances may have answered while this process was suspended: start all periods anew.
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

// Records where the primary's log ended at `at`, once it is certain that it was primary then.
void PrimaryTracker::addSample(Millis at, Position end)
{
    if (!needsReadLease() || m_readLease.covers(at)) {
        m_replicaAge.addSample(at, end);
        return;
    }
    m_unprovenSamples.push_back({.at = at, .end = end});
    if (m_unprovenSamples.size() > MaxUnprovenSamples)
        m_unprovenSamples.pop_front();
}

bool PrimaryTracker::needsReadLease() const
{
    return m_options.needsReadLease && m_syncReplicas > 0 && m_instances.size() > 1;
}

// Uses the evidence that was added to the lease.
void PrimaryTracker::renewReadLease()
{
    while (!m_unprovenSamples.empty() && m_readLease.covers(m_unprovenSamples.front().at)) {
        m_replicaAge.addSample(m_unprovenSamples.front().at, m_unprovenSamples.front().end);
        m_unprovenSamples.pop_front();
    }
    if (m_leaseNeededFor && m_readLease.covers(*m_leaseNeededFor))
        m_leaseNeededFor.reset();
}

void PrimaryTracker::onCommitAcknowledged(const std::string &instance, Millis sentAt)
{
    if (!needsReadLease() || instance != m_lastPrimary)
        return;
    m_readLease.onCommitAcknowledged(sentAt);
    renewReadLease();
}

void PrimaryTracker::onPosition(Millis now, const std::string &instance, Millis sentAt,
                                Position end)
{
    if (!needsReadLease())
        return;
    m_newestTerm = std::max(m_newestTerm, end.term);
    if (instance == m_lastPrimary) {
        m_readLease.onPrimaryPosition(sentAt, end);
        return;
    }
    const auto found = m_instances.find(instance);
    // Entries of a term in which the instance was primary itself were not received from another.
    if (found == m_instances.end() || found->second.registered.registeredAsPrimary
        || end.term <= found->second.ledTerm)
        return;
    if (m_term > 0 && end.term > m_term) {
        onNotPrimary(now, m_primary, now);
        return;
    }
    m_readLease.onReplicaPosition(instance, end);
    renewReadLease();
}

void PrimaryTracker::onStatus(Millis now, const std::string &instance, Millis sentAt,
                              const InstanceStatus &status)
{
    const auto found = m_instances.find(instance);
    if (!needsReadLease() || found == m_instances.end())
        return;
    m_newestTerm = std::max(m_newestTerm, status.term);
    if (!status.primary) {
        if (status.pausedTerm > 0)
            m_sealedAt = now;
        if (instance == m_lastPrimary) {
            onNotPrimary(now, instance, sentAt);
            return;
        }
        found->second.statuses.push_back(
            {.sentAt = sentAt, .receivedAt = now, .unsealed = status.pausedTerm == 0});
        if (found->second.statuses.size() > MaxStatuses)
            found->second.statuses.pop_front();
        useStatuses();
        return;
    }
    found->second.statuses.clear();
    found->second.ledTerm = std::max(found->second.ledTerm, status.term);
    if (status.term >= m_newestTerm)
        onProvenPrimary(now, instance, sentAt, status.received);
    else if (instance == m_primary)
        onNotPrimary(now, instance, now); // Another instance is primary of a later term.
}

// Takes the replicas' statuses as evidence. A replica that is not sealed may have been released
// after a promotion that it has not heard of yet. So all others have to deny afterwards that they
// are primary.
void PrimaryTracker::useStatuses()
{
    if (m_newestTerm > m_term)
        return;
    for (const auto &[id, entry] : m_instances) {
        for (const SeenStatus &status : entry.statuses) {
            const bool proves = status.unsealed
                && std::all_of(m_instances.begin(), m_instances.end(),
                               [&, id = id](const auto &row) {
                                   return row.first == id || row.first == m_lastPrimary
                                       || deniedBySince(row.first, status.receivedAt);
                               });
            if (proves)
                m_readLease.onReplicaUnsealed(id, status.sentAt);
        }
    }
    renewReadLease();
}

// Whether the instance has denied that it is primary, asked at `since` or later.
bool PrimaryTracker::deniedBySince(const std::string &replica, Millis since) const
{
    const std::deque<SeenStatus> &statuses = m_instances.at(replica).statuses;
    return !statuses.empty() && statuses.back().sentAt >= since;
}

bool PrimaryTracker::wasPrimaryAt(const std::string &instance, Millis instant) const
{
    if (!needsReadLease())
        return instance == m_primary;
    return instance == m_primary && instance == m_provenPrimary && m_readLease.covers(instant);
}

bool PrimaryTracker::mayHaveBeenReplaced(Millis now) const
{
    return m_newestTerm > m_term || now - m_sealedAt < SealedReplicaLimit;
}

void PrimaryTracker::onWaitForReadLease(Millis now, Millis instant)
{
    if (!m_leaseNeededFor || now - m_leaseNeededAt > LeaseNeedLifetime)
        m_leaseNeededSince = now;
    m_leaseNeededFor = std::max(m_leaseNeededFor.value_or(instant), instant);
    m_leaseNeededAt = now;
}

std::vector<std::string> PrimaryTracker::instancesToLocate(Millis now)
{
    if (!m_leaseNeededFor || now - m_leaseNeededAt > LeaseNeedLifetime || !m_probing
        || m_primary.empty() || now < m_nextLocation)
        return {};
    m_nextLocation = now + StatusQueryInterval;
    std::vector<std::string> ids;
    ids.reserve(m_instances.size());
    for (const auto &row : m_instances)
        ids.push_back(row.first);
    return ids;
}

std::vector<std::string> PrimaryTracker::instancesToQuery(Millis now)
{
    if (m_leaseNeededFor && now - m_leaseNeededAt > LeaseNeedLifetime)
        m_leaseNeededFor.reset();
    // A later term than the known primary's has begun: its primary has to be found.
    const bool searching = needsReadLease() && m_newestTerm > m_term;
    const bool needed
        = m_leaseNeededFor && !m_primary.empty() && now - m_leaseNeededSince >= StatusQueryDelay;
    if ((!searching && !needed) || !m_probing || now < m_nextQuery)
        return {};
    m_nextQuery = now + StatusQueryInterval;
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_instances) {
        if (id != m_primary || searching)
            ids.push_back(id);
    }
    return ids;
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
    const bool leaseMissing = m_leaseNeededFor && now - m_leaseNeededAt <= LeaseNeedLifetime
        && now - m_leaseNeededSince > m_options.stallLimit && now - m_sealedAt < SealedReplicaLimit;
    if ((writeStalls || leaseMissing) && confirmed(now))
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

// The last known primary may have been replaced: evidence has to be newer than that.
void PrimaryTracker::forgetEvidence()
{
    m_readLease.reset();
    m_unprovenSamples.clear();
    m_provenPrimary.clear();
    for (auto &row : m_instances)
        row.second.statuses.clear();
}

// Makes the instance the known primary. Evidence about another one, or an earlier term, does not
// hold for it.
void PrimaryTracker::assumePrimary(Millis now, const std::string &instance, std::uint64_t term)
{
    if (instance != m_lastPrimary || term > m_term) {
        forgetEvidence();
        m_primarySince = now;
        m_sealedAt = now - SealedReplicaLimit; // The seal was part of this change.
    }
    m_primary = instance;
    m_lastPrimary = instance;
    m_term = term;
}

} // namespace cicadagap
