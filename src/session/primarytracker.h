// Tracks one group on one host: which instance is primary, since when it has been silent, and which
// position the primary's log had reached at which time.
//
// Only the instance's own acceptance of a transaction that may write proves that it is primary. The
// role that an instance registered with the platform is merely a hint, and it is disregarded once
// another instance has been seen as primary after that registration.
//
// An instance counts as silent only while a request to it is unanswered, and only for time in which
// this process was running: time in which it was suspended is not held against the instance.
//
// A deterministic state machine: performs no I/O and reads no clock. Not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "connection/majoritytracker.h"
#include "session/primarychange.h"
#include "session/readlease.h"
#include "session/registry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Decides where to send a group's writes, which instances to probe, and whether the primary has to
// be replaced.
//
//     PrimaryTracker tracker;
//     tracker.setInstances(now, registered);
//     tracker.onRequestSent(now, "a");
//     tracker.onReceived("a");
//     tracker.onProvenPrimary(now, "a", sentAt, position);
//     sendWrite(tracker.primary());
class PrimaryTracker
{
public:
    struct Options
    {
        // A primary that has not proven its role for this long is probed.
        Millis probeInterval = Millis(200);
        // While no primary is known, each instance is probed this often.
        Millis searchProbeInterval = Millis(60);
        // A primary that leaves a request unanswered for longer is replaced. A proof of its role
        // is recent for the same time.
        Millis silenceLimit = Millis(650);
        // After this long without a known primary, an instance is chosen and promoted.
        Millis searchLimit = Millis(1200);
        // As searchLimit, on a host that has not seen a primary of the group yet.
        Millis startLimit = Millis(3000);
        // A write that is unacknowledged for longer shows that the primary is stalled; replicas
        // that are still paused are then made to receive again.
        Millis stallLimit = Millis(1500);
        // Minimum time between two samples of the primary's position.
        Millis sampleInterval = Millis(50);
        // A longer time between two ticks means that this process was suspended.
        Millis suspensionLimit = Millis(300);
        // A primary that was replaced may go on serving, so it is trusted only under a ReadLease.
        bool needsReadLease = false;
    };

    PrimaryTracker()
        : PrimaryTracker(Options{})
    {
    }
    explicit PrimaryTracker(Options options);

    // Sets whether this host probes the instances itself, which is the default. A host that does
    // not probe relies on the registered roles, on the answers to its statements and on other
    // hosts' reports, and never reports a cause for replacing the primary.
    void setProbing(bool probing) { m_probing = probing; }
    // Another host, which probes the group, reported the instance as primary.
    void onReportedPrimary(Millis now, const std::string &instance);
    // Replaces the list of the group's registered instances. `syncReplicas` replicas must hold a
    // commit before it is acknowledged.
    void setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                      int syncReplicas = 1);
    void onTick(Millis now);
    // Answers may be waiting behind other data on this host's own link, so that no silence before
    // now is held against an instance. Refused connections still are.
    void excuseSilence(Millis now);
    // The instance accepted or acknowledged something that only a primary does, as the answer to a
    // request that was sent at `sentAt`. `position` is the end of its log when it answered. A
    // proof from a lower term than the known one is ignored.
    void onProvenPrimary(Millis now, const std::string &instance, Millis sentAt, Position position);
    // The instance answered that it is not primary. Ignored for the last known primary if the
    // request was sent before the one behind its newest proof.
    void onNotPrimary(Millis now, const std::string &instance, Millis sentAt);
    // The instance acknowledged a commit that was sent at `sentAt`.
    void onCommitAcknowledged(const std::string &instance, Millis sentAt);
    // The instance's log ended at `end` when it answered a request that was sent at `sentAt`.
    void onPosition(Millis now, const std::string &instance, Millis sentAt, Position end);
    // The instance answered a status query that was sent at `sentAt`.
    void onStatus(Millis now, const std::string &instance, Millis sentAt,
                  const InstanceStatus &status);
    // A request that the instance has to answer was sent, or a connection to it is being opened.
    void onRequestSent(Millis now, const std::string &instance);
    // Something arrived from the instance, whatever it was.
    void onReceived(const std::string &instance);
    // The instance refused a connection, closed one, or did not accept it in time.
    void onConnectionFailed(Millis now, const std::string &instance);
    // Sets since when the oldest unacknowledged write has waited at the primary; nothing if no
    // write waits. Only writes for which concernsPrimary() holds count.
    void setOldestWrite(std::optional<Millis> since) { m_oldestWrite = since; }
    // Whether a write that was sent to the instance at `sentAt` shows whether the present primary
    // acknowledges writes. One that was sent before a change of primary may never be answered.
    bool concernsPrimary(const std::string &instance, Millis sentAt) const
    {
        return instance == m_primary && sentAt >= m_primarySince;
    }

    // The instance to send writes to; empty while no primary is known.
    const std::string &primary() const { return m_primary; }
    // Whether the instance is the known primary, and had not been replaced at `instant`. Always
    // true for the known primary unless Options::needsReadLease is set.
    bool wasPrimaryAt(const std::string &instance, Millis instant) const;
    // Whether the instance may serve a statement that has to see all commits up to `instant`. With
    // `onlyWrites` it is a write outside of a transaction, which reads nothing, and whose
    // acknowledgement is evidence: it waits only if there are signs that the primary was replaced,
    // as it would not be acknowledged then.
    bool mayServe(Millis now, const std::string &instance, Millis instant, bool onlyWrites) const;
    // A statement waits for wasPrimaryAt(`instant`). To be repeated while it waits. If that lasts
    // while a replica is sealed, the primary counts as stalled.
    void onWaitForReadLease(Millis now, Millis instant);
    // While a statement waits to know whether the primary was replaced: the instances whose
    // position may show it.
    std::vector<std::string> instancesToLocate(Millis now);
    // If positions have not shown it for a while, or a later term is known: the instances to query
    // for their status.
    std::vector<std::string> instancesToQuery(Millis now);
    // Whether an instance proved that it is primary within the last `silenceLimit`.
    bool confirmed(Millis now) const;
    // The highest term in which an instance proved to be primary; 0 before the first proof.
    std::uint64_t term() const { return m_term; }
    // The last known primary, kept after it stopped answering or denied the role.
    const std::string &lastPrimary() const { return m_lastPrimary; }
    // The instances to probe now for whether they are primary.
    std::vector<std::string> instancesToProbe(Millis now) const;
    // Whether the instance has left a request unanswered for longer than `limit`.
    bool silentFor(Millis now, const std::string &instance, Millis limit) const;
    // Why the primary has to be replaced now; None if it does not.
    PrimaryChangeCause cause(Millis now) const;
    // The samples of the primary's position.
    const ReplicaAge &replicaAge() const { return m_replicaAge; }

private:
    // An answer to a status query.
    struct SeenStatus
    {
        Millis sentAt; // The query.
        Millis receivedAt;
        bool unsealed = false;
    };

    struct TrackedInstance
    {
        RegisteredInstance registered;
        std::optional<Millis> unansweredSince; // When the oldest unanswered request was sent.
        Millis lastSent = Millis(-1'000'000);
        Millis deniedAt = Millis(-1'000'000);
        // Another instance was primary after this one registered as primary.
        bool roleOutdated = false;
        int failedConnections = 0; // In a row.
        Millis firstFailure;
        std::uint64_t ledTerm = 0; // The highest term in which it has been seen to be primary.
        std::deque<SeenStatus> statuses; // While it was a replica, the oldest first.
    };

    // What is known of the statements that wait for the lease.
    struct LeaseWait
    {
        Millis newestInstant; // That the lease has to cover for all of them.
        Millis since;         // Since when some statement has waited without a break.
        Millis lastSaid;
    };

    // Where the primary's log ended at an instant.
    struct PositionSample
    {
        Millis at;
        Position end;
    };

    void setPrimary(Millis now, const std::string &instance, std::uint64_t term);
    void assumePrimary(Millis now, const std::string &instance, std::uint64_t term);
    bool needsReadLease() const;
    void forgetEvidence();
    void renewReadLease();
    void useStatuses();
    bool mayHaveBeenReplaced(Millis now) const;
    bool replicaIsSealed(Millis now) const;
    bool statementsWait(Millis now) const;
    bool evidenceStalls(Millis now) const;
    bool deniedBySince(const std::string &replica, Millis since) const;
    void addSample(Millis at, Position end);
    void losePrimary(Millis now);
    void adoptRegisteredRole(Millis now);
    bool primaryFailed(Millis now) const;
    bool hasFailed(Millis now, const TrackedInstance &tracked) const;
    bool unreachable(Millis now) const;

    Options m_options;
    std::map<std::string, TrackedInstance> m_instances;
    std::string m_primary;
    std::string m_lastPrimary;
    Millis m_primarySince; // When the last known primary, or a later term of it, became known.
    bool m_probing = true;
    std::string m_failedPrimary; // Given up because primaryFailed() was true.
    std::uint64_t m_term = 0;
    Millis m_confirmedAt = Millis(-1'000'000);
    // When the request behind the newest proof was sent.
    Millis m_proofSentAt = Millis(-1'000'000);
    std::optional<Millis> m_lostAt; // Since when no primary is known.
    std::optional<Millis> m_oldestWrite;
    std::optional<Millis> m_lastTick;
    Millis m_lastSample = Millis(-1'000'000);
    ReplicaAge m_replicaAge;
    int m_syncReplicas = 1;
    std::string m_provenPrimary; // Proved that it is primary of m_term; the lease is its own.
    ReadLease m_readLease;
    // Samples of the primary's position that the lease does not cover yet, the oldest first.
    std::deque<PositionSample> m_unprovenSamples;
    std::optional<LeaseWait> m_leaseWait;
    std::uint64_t m_newestTerm = 0;   // The highest term that any instance reported.
    std::optional<Millis> m_sealedAt; // When a replica was last seen to be sealed.
    Millis m_nextQuery;
    Millis m_nextLocation;
};

} // namespace cicadagap
