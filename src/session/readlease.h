// Evidence that a group's primary has not been replaced, for platforms on which a replaced primary
// goes on serving reads until it hears of its successor.
//
// A primary can be replaced only after all but `syncReplicas` of the group's instances were sealed,
// and a promoter that could not make the old primary step down waits for more than
// ReadLeaseDuration between the last seal and its promotion request. So if at an instant s at least
// `syncReplicas` replicas were not sealed, no other instance becomes primary before s +
// ReadLeaseDuration. A read that arrived by then finds all acknowledged commits at the primary,
// even if it runs later. This is a leader lease that replication renews (Ongaro, "Consensus:
// bridging theory and practice", 2014, section 6.4.1). Instants are of one clock of this process
// that also counts its suspensions; clocks of different hosts are never compared.
//
// Evidence costs nothing while the group commits: an acknowledged commit, or a replica that holds a
// position which the primary had not reached yet when it was last heard. In a quiet group status
// queries to the replicas renew the lease.
//
// Expected load: far more strong reads than evidence; in a quiet group, few strong reads.
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cicadagap {

// How long a primary may be trusted after a replica was seen to be unsealed. Longer leases need
// fewer status queries, and delay each change of a primary that cannot be made to step down.
inline constexpr Millis ReadLeaseDuration(600);

// The lease of one primary in one term.
//
//     ReadLease lease;
//     lease.onCommitAcknowledged(sentAt);
//     if (lease.covers(readArrivedAt))
//         sendToPrimary(read);
//
// Performs no I/O and reads no clock. Not thread-safe.
class ReadLease
{
public:
    // Sets how many replicas must hold a commit before it is acknowledged. With 0 there is no
    // evidence, and no instant is covered.
    void setSyncReplicas(int count) { m_syncReplicas = count; }

    // The primary acknowledged a commit that it was sent at `sentAt`.
    void onCommitAcknowledged(Millis sentAt);
    // The primary's log ended at `end` when it answered a request that was sent at `sentAt`.
    void onPrimaryPosition(Millis sentAt, Position end);
    // The replica's log has been seen to hold `end`.
    void onReplicaPosition(const std::string &replica, Position end);
    // The replica was not sealed when it answered a request that was sent at `sentAt`.
    void onReplicaUnsealed(const std::string &replica, Millis sentAt);
    // Another primary or another term: forgets all evidence.
    void reset();

    // Whether the primary had not been replaced at `instant`, which may lie in the future.
    bool covers(Millis instant) const;
    // Until when the lease lasts; nothing without evidence.
    std::optional<Millis> until() const;

private:
    struct PrimaryEnd
    {
        Millis sentAt;
        Position end;
    };

    void renew(Millis at);

    int m_syncReplicas = 1;
    std::optional<Millis> m_renewedAt;          // Enough replicas were not sealed at this instant.
    std::deque<PrimaryEnd> m_primaryEnds;       // In ascending order of `sentAt`.
    std::map<std::string, Millis> m_unsealedAt; // By replica: the newest instant that is known.
};

} // namespace cicadagap
