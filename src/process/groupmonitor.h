// Failure detection and failover of one database group, as seen from one data centre.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "process/promotion.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// What a primary knows of one of its replicas.
struct ReplicaSummary
{
    std::string name;
    std::uint64_t term = 0;
    Position last;           // The position of the last log entry that the replica holds.
    Millis sinceLastContact; // How long ago the primary last received a message from the replica.
};

// The status that an instance reports when it is probed.
struct InstanceReport
{
    std::string name;
    bool primary = false;   // Whether the instance regards itself as primary of `term`.
    bool leaving = false;   // Whether it announced that it takes no new work and will stop.
    std::uint64_t term = 0; // The highest term that the instance has adopted.
    // The primary that it follows, or its own name if it is primary; empty if none.
    std::string following;
    Position last;                        // The position of its last log entry.
    std::vector<ReplicaSummary> replicas; // Reported by a primary only.
};

// The kinds of actions that a GroupMonitor asks its caller to carry out.
enum class MonitorStep {
    Probe,         // Request the status of `instance`, on a new connection if `newConnection`.
    SuspicionVote, // Tell the other monitors whether this one suspects the primary of `term`.
    Seal,          // Command `instance` to adopt `term` and to follow no primary (see Promotion).
    Promote,       // Command `instance` to become primary of `term`.
    Follow,        // Command `instance` to replicate from `primary` in `term`.
    Announce,      // Publish that `primary` is the primary of `term`.
};

// One action. Members that the step does not mention are unset.
struct MonitorAction
{
    MonitorStep step = MonitorStep::Probe;
    std::string instance;
    std::uint64_t term = 0;
    std::string primary;
    bool newConnection = false;
    bool suspect = false; // Of a SuspicionVote: false withdraws an earlier vote.

    bool operator==(const MonitorAction &) const = default;
};

// How often a steward that monitors `groups` groups probes each primary, and each replica in its
// data centre. The intervals grow with the number of groups, so that the control plane's share of
// the network traffic stays bounded. Gateways report failures of busy groups at once, whatever the
// interval.
Millis probeIntervalFor(std::size_t groups);
Millis replicaIntervalFor(std::size_t groups);

// Monitors one database group from one data centre. It tracks which instance is primary, suspects a
// primary that it cannot reach on new connections, agrees on the suspicion with the monitors in
// other data centres, and replaces the primary. A primary that is leaving is replaced without
// suspicion.
//
// In each data centre that has an instance of the group, one steward monitors the group. A
// suspicion requires failed probes on new connections, because an old connection that no longer
// answers proves nothing. A failover requires suspicions from at least two data centres (from one
// if only one has a monitor), because a single broken link proves nothing either. The monitors act
// in rendezvous order, each `rankDelay` after the one before. Two monitors that act at the same
// time only lose time (see Promotion).
//
// A deterministic state machine: it performs no I/O and reads no clock. The caller passes in events
// with the current instant, and carries out the actions that are returned.
//
//     GroupMonitor monitor({.group = "valle/tensile", .dataCentre = "cali", ...});
//     for (const MonitorAction &action : monitor.onTick(now))
//         carryOut(action);
//
// Not thread-safe.
class GroupMonitor
{
public:
    struct Options
    {
        std::string group;
        std::string dataCentre;                       // Of this monitor.
        std::map<std::string, std::string> instances; // Instance name to its data centre.
        int rank = 0; // Of this monitor among those of the group; 0 acts first.
        std::size_t monitorDataCentres = 1; // Data centres that have a monitor, this one included.
        Millis probeInterval = Millis(200); // Between probes of the primary.
        Millis replicaInterval = Millis(1000); // Between probes of each replica.
        // Between probes on new connections while the primary is in doubt.
        Millis newConnectionProbeInterval = Millis(100);
        int failuresToSuspect = 2; // Consecutive failed probes on new connections.
        // A probe that was not answered for this long puts the primary in doubt.
        Millis lateProbeThreshold = Millis(250);
        Millis voteLifetime = Millis(2000); // Other monitors' suspicions count for this long.
        // Between the times at which monitors of consecutive ranks start a failover.
        Millis rankDelay = Millis(400);
    };

    explicit GroupMonitor(Options options);

    // Applies a change in the group's set of monitors. Keeps all other state.
    void setMonitors(int rank, std::size_t monitorDataCentres);
    // Sets the probe intervals for a steward that monitors `groups` groups.
    void setIntervals(std::size_t groups);
    // Handles an announcement by any monitor that `primary` is the primary of `term`.
    void onAnnounced(Millis now, std::uint64_t term, const std::string &primary);
    // Handles the result of a probe. No report means that the probe failed.
    std::vector<MonitorAction> onProbed(Millis now, const std::string &instance, bool newConnection,
                                        const std::optional<InstanceReport> &report);
    // Handles a report by a gateway that it failed to reach `instance`. If that is the primary, it
    // is probed on a new connection at once, unless that was done within the last
    // `newConnectionProbeInterval`.
    std::vector<MonitorAction> onFailureReport(Millis now, const std::string &instance);
    // Handles the vote of the monitor in `dataCentre`: whether it suspects the primary of `term`.
    std::vector<MonitorAction> onSuspicionVote(Millis now, const std::string &dataCentre,
                                               std::uint64_t term, bool suspect);
    // Handles an instance's answer to Seal or Promote; see Promotion::onSealed() and onPromoted().
    std::vector<MonitorAction> onSealed(Millis now, const std::string &instance, bool accepted,
                                        std::uint64_t instanceTerm, Position last);
    std::vector<MonitorAction> onPromoted(Millis now, const std::string &instance, bool accepted);
    // Returns the actions that are due at `now`. Call it at short intervals.
    std::vector<MonitorAction> onTick(Millis now);

    // The known primary; empty if none is known.
    const std::string &primary() const { return m_primary; }
    // The term of the known primary; 0 if none is known.
    std::uint64_t term() const { return m_term; }
    // Whether this monitor suspects that the primary has failed.
    bool suspects() const { return m_suspects; }
    // The instances that reported that they are leaving.
    const std::set<std::string> &leaving() const { return m_leaving; }

private:
    // Handles a failed probe of the primary, or a status that shows that it no longer is primary.
    std::vector<MonitorAction> handlePrimaryFailure(Millis now, bool newConnection);
    // Records the instance that reported as the primary.
    std::vector<MonitorAction> adoptPrimary(Millis now, const InstanceReport &report);
    // Makes an instance follow the known primary if it does not.
    std::vector<MonitorAction> correctReplica(const InstanceReport &report) const;
    bool hasReplicaOfHigherTerm(const InstanceReport &report) const;
    std::size_t suspectingDataCentres(Millis now) const;
    std::size_t requiredDataCentres() const;
    // Whether the primary is leaving and the instances that stay are a majority of the group.
    bool primaryShouldHandOver() const;
    // Starts a promotion if there is a reason for it and it is the turn of this rank.
    std::vector<MonitorAction> startPromotionWhenAgreed(Millis now);
    // Applies the actions of the promotion in progress and turns them into actions of the monitor.
    std::vector<MonitorAction> applyPromotionActions(Millis now,
                                                     const std::vector<PromotionAction> &actions);
    void setPrimary(std::uint64_t term, const std::string &primary);
    MonitorAction suspicionVote(bool suspect) const;

    Options m_options;
    std::string m_primary;
    std::uint64_t m_term = 0;        // Of the known primary.
    std::uint64_t m_highestTerm = 0; // That any instance of the group reported.
    bool m_suspects = false;
    int m_newConnectionFailures = 0;
    // Data centre to when its last suspicion was received.
    std::map<std::string, Millis> m_suspicionVotes;
    std::optional<Millis> m_agreedAt;     // When the reason for the current failover arose.
    std::optional<Promotion> m_promotion; // In progress.
    std::set<std::string> m_leaving;
    std::optional<Millis> m_startedAt;   // The first tick.
    std::optional<Millis> m_probeSentAt; // The oldest unanswered probe of the primary.
    Millis m_nextProbe;
    Millis m_nextReplicaProbe;
    Millis m_nextNewConnectionProbe;
    Millis m_nextSuspicionVote;
    Millis m_retryAt; // No promotion starts earlier than this.
};

} // namespace cicadagap
