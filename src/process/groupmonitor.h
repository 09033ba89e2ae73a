// Watches one database group from one data centre: finds out who is primary, suspects a primary
// that fresh connections cannot reach, agrees on the suspicion with the watchers in other data
// centres, and changes the primary. A primary that is leaving is changed without suspicion.
//
// One steward in each of the group's data centres watches. A suspicion needs failed probes on fresh
// connections, because a silent old connection proves nothing; a change needs suspicions from at
// least two data centres, because one cut link proves nothing either. The watchers act in
// rendezvous order, one stagger apart; two that act at once only cost time (see Promotion).
//
//     GroupMonitor watch({.group = "valle/tensile", .self = "cali", ...});
//     for (const MonitorAction &action : watch.onTick(now)) ...
//
// Pure and not thread-safe.
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

// What an instance says about itself.
struct ReplicaSummary
{
    std::string name;
    std::uint64_t term = 0;
    Position last;
    Millis sinceLastContact; // Since the primary last heard from it.
};

struct InstanceReport
{
    std::string name;
    bool primary = false;
    bool leaving = false;
    std::uint64_t term = 0;
    std::string following;
    Position last;
    std::vector<ReplicaSummary> replicas; // On a primary only.
};

enum class MonitorStep {
    Probe,         // Ask `instance` for its status; on a fresh connection if `fresh`.
    SuspicionVote, // Tell the other watchers that `term` looks failed from here, or no longer does.
    Seal,          // Tell `instance` to adopt `term` and follow nobody.
    Promote,       // Tell `instance` to be primary of `term`.
    Follow,        // Tell `instance` to follow `primary` in `term`.
    Announce,      // Publish that `primary` leads `term`.
};

struct MonitorAction
{
    MonitorStep step = MonitorStep::Probe;
    std::string instance;
    std::uint64_t term = 0;
    std::string primary;
    bool newConnection = false;
    bool suspect = false; // With Vote.

    bool operator==(const MonitorAction &) const = default;
};

// How often a steward that watches `groups` groups probes each primary, and each replica of its own
// data centre. The intervals grow with the number, so that control's share of the network stays
// bounded; gateways report failures of busy groups at once, whatever the interval.
Millis probeIntervalFor(std::size_t groups);
Millis replicaIntervalFor(std::size_t groups);

class GroupMonitor
{
public:
    struct Options
    {
        std::string group;
        std::string dataCentre;                       // Of this watcher.
        std::map<std::string, std::string> instances; // Instance to its data centre.
        int rank = 0;                                 // Among the group's watchers; 0 acts first.
        std::size_t watcherDataCentres = 1; // Data centres that have a watcher, this one included.
        Millis probeInterval = Millis(200);
        Millis replicaInterval = Millis(1000);
        Millis freshInterval = Millis(100); // Between fresh probes of a doubtful primary.
        int failuresToSuspect = 2;          // Failed fresh probes in a row.
        Millis lateProbe = Millis(250);     // A probe without an answer for this long is doubtful.
        Millis voteLife = Millis(2000);
        Millis stagger = Millis(400);
    };

    explicit GroupMonitor(Options options);

    // Adapts to a change of the watchers without losing state.
    void setWatchers(int rank, std::size_t watcherDataCentres);
    // Adapts to the number of groups that this steward watches.
    void setIntervals(std::size_t groups);
    // The group's primary as published by anyone.
    void onAnnounced(Millis now, std::uint64_t term, const std::string &primary);
    // A probe's result; no report means that it failed.
    std::vector<MonitorAction> onProbed(Millis now, const std::string &instance, bool newConnection,
                                        const std::optional<InstanceReport> &report);
    // A gateway failed to reach `instance`; worth a fresh probe now.
    std::vector<MonitorAction> onFailureReport(Millis now, const std::string &instance);
    // Another watcher's word.
    std::vector<MonitorAction> onSuspicionVote(Millis now, const std::string &dataCentre,
                                               std::uint64_t term, bool suspect);
    std::vector<MonitorAction> onSealed(Millis now, const std::string &instance, bool accepted,
                                        std::uint64_t itsTerm, Position last);
    std::vector<MonitorAction> onPromoted(Millis now, const std::string &instance, bool accepted);
    std::vector<MonitorAction> onTick(Millis now);

    // The known primary; empty if none.
    const std::string &primary() const { return m_primary; }
    std::uint64_t term() const { return m_term; }
    bool suspects() const { return m_suspects; }
    const std::set<std::string> &leaving() const { return m_leaving; }

private:
    std::vector<MonitorAction> handleFailure(Millis now, bool newConnection);
    std::vector<MonitorAction> adopt(Millis now, const InstanceReport &report);
    std::vector<MonitorAction> handleReplica(const InstanceReport &report) const;
    bool isReplaced(const InstanceReport &report) const;
    std::size_t suspectingDataCentres(Millis now) const;
    std::size_t requiredDataCentres() const;
    bool primaryShouldMove() const;
    std::vector<MonitorAction> startWhenAgreed(Millis now);
    std::vector<MonitorAction> translate(Millis now, const std::vector<PromotionAction> &actions);
    void learnPrimary(std::uint64_t term, const std::string &primary);
    MonitorAction vote(bool suspect) const;

    Options m_options;
    std::string m_primary;
    std::uint64_t m_term = 0;        // Of the known primary.
    std::uint64_t m_highestTerm = 0; // Seen anywhere in the group.
    bool m_suspects = false;
    int m_freshFailures = 0;
    std::map<std::string, Millis> m_votes; // Data centre to when its suspicion was heard.
    std::optional<Millis> m_agreedAt;
    std::optional<Promotion> m_promotion;
    std::set<std::string> m_leaving;
    std::optional<Millis> m_startedAt;
    std::optional<Millis> m_probeSentAt; // Of the unanswered probe of the primary.
    Millis m_nextProbe;
    Millis m_nextReplicaProbe;
    Millis m_nextFresh;
    Millis m_nextVote;
    Millis m_retryAt;
};

} // namespace cicadagap
