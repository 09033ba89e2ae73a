// The part of PrimaryTracker that gathers evidence that the known primary has not been replaced,
// for platforms on which a replaced primary goes on serving; see readlease.h.
#include "session/primarytracker.h"

#include <algorithm>

namespace cicadagap {

namespace {

// Between two queries on behalf of statements that wait for the read lease. Status queries, which
// take a slot, begin only after a while.
constexpr Millis EvidenceQueryInterval(60);
constexpr Millis StatusQueryDelay(200);
// A statement that has not said for this long that it waits does not wait any more.
constexpr Millis LeaseWaitLifetime(100);
// A seal that was seen longer ago belongs to an attempt to change the primary that has ended.
constexpr Millis SealedReplicaLimit(1000);
// Statuses of each replica that are kept: of the last query and some before.
constexpr std::size_t MaxStatuses = 4;
// Samples that are kept until the read lease covers them.
constexpr std::size_t MaxUnprovenSamples = 32;

} // namespace

bool PrimaryTracker::needsReadLease() const
{
    return m_options.needsReadLease && m_syncReplicas > 0 && m_instances.size() > 1;
}

bool PrimaryTracker::wasPrimaryAt(const std::string &instance, Millis instant) const
{
    if (!needsReadLease())
        return instance == m_primary;
    return instance == m_primary && instance == m_provenPrimary && m_readLease.covers(instant);
}

bool PrimaryTracker::mayServe(Millis now, const std::string &instance, Millis instant,
                              bool onlyWrites) const
{
    if (wasPrimaryAt(instance, instant))
        return true;
    const bool anotherIsPrimary = !m_primary.empty() && m_primary != instance;
    return onlyWrites && !anotherIsPrimary && !mayHaveBeenReplaced(now);
}

// Whether there are signs that the known primary was, or is about to be, replaced.
bool PrimaryTracker::mayHaveBeenReplaced(Millis now) const
{
    return m_newestTerm > m_term || replicaIsSealed(now);
}

// Whether a replica was seen to be sealed lately.
bool PrimaryTracker::replicaIsSealed(Millis now) const
{
    return m_sealedAt && now - *m_sealedAt < SealedReplicaLimit;
}

// Whether statements have waited for evidence for too long while a replica is sealed: a promoter
// has stopped before it let the replicas receive again.
bool PrimaryTracker::evidenceStalls(Millis now) const
{
    return statementsWait(now) && now - m_leaseWait->since > m_options.stallLimit
        && replicaIsSealed(now);
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

// Uses the evidence that was added to the lease.
void PrimaryTracker::renewReadLease()
{
    while (!m_unprovenSamples.empty() && m_readLease.covers(m_unprovenSamples.front().at)) {
        m_replicaAge.addSample(m_unprovenSamples.front().at, m_unprovenSamples.front().end);
        m_unprovenSamples.pop_front();
    }
    if (m_leaseWait && m_readLease.covers(m_leaseWait->newestInstant))
        m_leaseWait.reset();
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

void PrimaryTracker::onWaitForReadLease(Millis now, Millis instant)
{
    if (!statementsWait(now))
        m_leaseWait = {.newestInstant = instant, .since = now};
    m_leaseWait->newestInstant = std::max(m_leaseWait->newestInstant, instant);
    m_leaseWait->lastSaid = now;
}

// Whether statements wait for the lease now.
bool PrimaryTracker::statementsWait(Millis now) const
{
    return m_leaseWait && now - m_leaseWait->lastSaid <= LeaseWaitLifetime;
}

std::vector<std::string> PrimaryTracker::instancesToLocate(Millis now)
{
    if (!statementsWait(now) || !m_probing || m_primary.empty() || now < m_nextLocation)
        return {};
    m_nextLocation = now + EvidenceQueryInterval;
    std::vector<std::string> ids;
    ids.reserve(m_instances.size());
    for (const auto &row : m_instances)
        ids.push_back(row.first);
    return ids;
}

std::vector<std::string> PrimaryTracker::instancesToQuery(Millis now)
{
    // A later term than the known primary's has begun: its primary has to be found.
    const bool searching = needsReadLease() && m_newestTerm > m_term;
    const bool needed
        = statementsWait(now) && !m_primary.empty() && now - m_leaseWait->since >= StatusQueryDelay;
    if ((!searching && !needed) || !m_probing || now < m_nextQuery)
        return {};
    m_nextQuery = now + EvidenceQueryInterval;
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_instances) {
        if (id != m_primary || searching)
            ids.push_back(id);
    }
    return ids;
}

} // namespace cicadagap
