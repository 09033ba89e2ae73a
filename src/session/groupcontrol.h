// Keeps track of the primary of each group on one host, and changes a primary that fails, leaves or
// stalls.
#pragma once

#include "session/groupknowledge.h"
#include "session/primarychange.h"
#include "session/primarytracker.h"
#include "session/routing.h"
#include "session/targetpool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// Carries out what a GroupControl requests from the platform, and logs what it reports.
class GroupControlOutput
{
public:
    GroupControlOutput() = default;
    GroupControlOutput(const GroupControlOutput &) = delete;
    GroupControlOutput &operator=(const GroupControlOutput &) = delete;
    virtual ~GroupControlOutput() = default;

    // Tries to acquire the group's promotion lease, the right to replace its primary; answered by
    // onLeaseResult().
    virtual void acquireLease(const std::string &group) = 0;
    // Requests the promotion of an instance; answered by onPromotion().
    virtual void requestPromotion(const std::string &group, const std::string &instance,
                                  std::uint64_t fencingToken)
        = 0;
    // Records the candidate for the promotion in the lease's row; see PrimaryChangeOutput. Answered
    // by onCandidateRecorded().
    virtual void recordCandidate(const std::string &group, const std::string &candidate,
                                 std::uint64_t fencingToken)
        = 0;
    // Records the instances that may receive again in the lease's row; see PrimaryChangeOutput.
    // Answered by onResumesRecorded().
    virtual void recordResumes(const std::string &group, const std::set<std::string> &instances,
                               std::uint64_t fencingToken)
        = 0;
    // Logs that another primary is known for the group, or that its replacement entered another
    // stage. In the second case `instance` holds the cause of the replacement.
    virtual void logGroupEvent(const std::string &group, std::string_view event,
                               const std::string &instance, std::uint64_t term,
                               const std::string &detail)
        = 0;
};

// Has other hosts pass commands on to instances that this host cannot reach.
class CommandRelay
{
public:
    CommandRelay() = default;
    CommandRelay(const CommandRelay &) = delete;
    CommandRelay &operator=(const CommandRelay &) = delete;
    virtual ~CommandRelay() = default;

    // Returns how many hosts were asked; each is answered by GroupControl::onRelayedCommand().
    virtual int relayCommand(Millis now, const RegisteredInstance &instance,
                             const Statement &statement)
        = 0;
};

// Runs a PrimaryTracker and a PrimaryChange for each group of the routing table, and sends their
// probes and commands over the connections of a TargetPool.
//
// A deterministic state machine: performs no I/O and reads no clock; requests to the platform go to
// a GroupControlOutput, which must outlive it. Not thread-safe.
class GroupControl : public GroupKnowledge, private PrimaryChangeOutput
{
public:
    // `nextWork` returns a new id, unique among all work submitted to the pool. For
    // `fencedPromotions` see PrimaryChange::Options.
    GroupControl(GroupControlOutput *output, std::function<WorkId()> nextWork,
                 bool fencedPromotions);

    // Must be called before anything else. The pool must outlive this object.
    void setPool(TargetPool *pool) { m_pool = pool; }
    // Without one, no other hosts are asked. Must outlive this object.
    void setRelay(CommandRelay *relay) { m_relay = relay; }
    // Replaces the list of registered instances. Only groups in `probed` are probed by this host;
    // the others are left to the hosts that hold connections to them.
    void setInstances(Millis now, const ListedInstances &listed, const RoutingTable &routing,
                      const std::set<std::string> &probed);
    // A gateway reported that the instance is the primary of its group.
    void onReportedPrimary(Millis now, const std::string &instance);
    void onTick(Millis now);
    // See PrimaryTracker.
    void excuseSilence(Millis now);
    void onLeaseResult(Millis now, const std::string &group, const LeaseResult &result);
    void onPromotion(Millis now, const std::string &group, PromotionResult verdict);
    void onCandidateRecorded(Millis now, const std::string &group, const std::string &candidate,
                             bool recorded);
    void onResumesRecorded(const std::string &group, const std::set<std::string> &instances,
                           std::uint64_t fencingToken, bool recorded);

    // Another host passed a command on that was sent to it at `sentAt`, and the instance answered
    // with its status; nothing if that failed.
    void onRelayedCommand(Millis now, const std::string &instance, StatementKind kind,
                          Millis sentAt, const std::optional<InstanceStatus> &status);

    // Evidence from callers' statements and from connections; see PrimaryTracker. `sentAt` is when
    // the answered request was sent.
    void onProvenPrimary(Millis now, const std::string &instance, Millis sentAt, Position position);
    void onNotPrimary(Millis now, const std::string &instance, Millis sentAt);
    void onCommitAcknowledged(const std::string &instance, Millis sentAt) override;
    void onPosition(Millis now, const std::string &instance, Millis sentAt, Position end);
    void onRequestSent(Millis now, const std::string &instance);
    void onReceived(Millis now, const std::string &instance);
    void onConnectionFailed(Millis now, const std::string &instance);
    // For each group with an unacknowledged write, since when the oldest has waited.
    // Writes count only if concernsPrimary() holds for them.
    void setOldestWrites(const std::map<std::string, Millis> &byGroup);

    // Events of work on the pool's connections. Returns false if the work was not submitted by this
    // object.
    bool onWorkStarted(Millis now, WorkId work, ConnectionId connection);
    bool onWorkEnded(WorkId work);
    bool onWorkAnswer(Millis now, WorkId work, ConnectionId connection, StatementKind kind,
                      Millis sentAt, const StatementAnswer &answer);

    bool mayServe(Millis now, const std::string &instance, Millis instant,
                  bool onlyWrites) override;
    std::optional<Position> positionCovering(const std::string &instance,
                                             Millis since) const override;
    bool anotherIsPrimary(const std::string &instance) const override;
    bool concernsPrimary(const std::string &instance, Millis sentAt) const override;
    // The instance to send the group's writes to; empty while no primary is known.
    std::string primary(const std::string &group) const;
    // Null if the group is not in the routing table.
    const PrimaryTracker *tracker(const std::string &group) const;
    // The registered instances of a group, the primary included.
    std::vector<RegisteredInstance> members(const std::string &group) const;
    // Null if no such instance is registered.
    const RegisteredInstance *instance(const std::string &id) const;

private:
    struct Group
    {
        PrimaryTracker tracker;
        std::unique_ptr<PrimaryChange> change;
        ListedInstances listed;
        int syncReplicas = 1;
        std::string reportedPrimary; // The last one that was logged.
        std::string formerPrimary;   // The last one that was not empty.
    };

    // A statement that was submitted to the pool and is not answered yet.
    struct PendingStatement
    {
        std::string instance;
        // A probe if its kind is Begin or BeginReadOnly; otherwise a command or status query.
        Statement statement;
        std::optional<Millis> sentAt;
    };

    void acquireLease(const std::string &group) override;
    void sendCommand(const std::string &instance, const Statement &statement) override;
    int relayCommand(const std::string &instance, const Statement &statement) override;
    void promote(const std::string &group, const std::string &instance,
                 std::uint64_t fencingToken) override;
    void recordCandidate(const std::string &group, const std::string &candidate,
                         std::uint64_t fencingToken) override;
    void recordResumes(const std::string &group, const std::set<std::string> &instances,
                       std::uint64_t fencingToken) override;
    void stageChanged(const std::string &group, PrimaryChangeStage stage, PrimaryChangeCause cause,
                      const std::string &detail) override;
    void probe(Millis now, const std::string &instance);
    void locate(const std::string &instance, bool primary);
    void submit(const std::string &instance, const Statement &statement);
    bool oppositeIsOnItsWay(const std::string &instance, StatementKind kind);
    void sendHeldCommand(const std::string &instance);
    void noteLostResume(const PendingStatement &pending);
    std::set<std::string> unansweredResumes() const;
    void reportPrimary(const std::string &name, Group *group);
    void reportHandover(const std::string &name, Group *group);
    Group *groupOf(const std::string &instance);
    const Group *groupOf(const std::string &instance) const;

    GroupControlOutput *m_output;
    std::function<WorkId()> m_nextWork;
    bool m_fencedPromotions;
    TargetPool *m_pool = nullptr;
    CommandRelay *m_relay = nullptr;
    Millis m_now; // Of the event that is being handled.
    std::map<std::string, Group, std::less<>> m_groups;
    std::map<std::string, RegisteredInstance, std::less<>> m_instances;
    std::map<WorkId, PendingStatement> m_pendingByWork;
    // The command to each instance that waits for the answer to an opposite one.
    std::map<std::string, Statement> m_heldCommands;
    // Instances that got a resume whose answer is lost, and until when it may be carried out.
    std::map<std::string, Millis> m_lostResumes;
};

} // namespace cicadagap
