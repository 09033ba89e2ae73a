// All groups' control on one host: who leads, what its position was when, and the change of a
// primary that fails or leaves.
//
// Pure and not thread-safe.
#pragma once

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

// Receives what control asks of the platform.
class GroupControlOutput
{
public:
    GroupControlOutput() = default;
    GroupControlOutput(const GroupControlOutput &) = delete;
    GroupControlOutput &operator=(const GroupControlOutput &) = delete;
    virtual ~GroupControlOutput() = default;

    // Claim the group's duty; answered by onLeaseResult().
    virtual void acquireLease(const std::string &group) = 0;
    // Order a promotion; answered by onPromotion().
    virtual void requestPromotion(const std::string &group, const std::string &instance,
                                  std::uint64_t fencingToken)
        = 0;
    // A change of belief about the group's primary, or of its replacement's stage.
    virtual void logGroupEvent(const std::string &group, std::string_view event,
                               const std::string &instance, std::uint64_t term,
                               const std::string &detail)
        = 0;
};

class GroupControl : private PrimaryChangeOutput
{
public:
    GroupControl(GroupControlOutput *output, std::function<WorkId()> nextWork);

    // Must be called before anything else.
    void setPool(TargetPool *pool) { m_pool = pool; }
    // Groups that are not `watched` are left to the hosts that hold connections to them.
    void setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                      const RoutingTable &routing, const std::set<std::string> &probed);
    // A gateway says that the instance leads its group.
    void onReportedPrimary(const std::string &instance);
    void onTick(Millis now);
    void onLeaseResult(Millis now, const std::string &group, const LeaseResult &result);
    void onPromotion(Millis now, const std::string &group, PromotionResult verdict);

    // Evidence from callers' statements.
    void onProvenPrimary(Millis now, const std::string &instance, Millis askedAt,
                         Position position);
    void onNotPrimary(Millis now, const std::string &instance, Millis askedAt);
    void onRequestSent(Millis now, const std::string &instance);
    void onReceived(Millis now, const std::string &instance);
    void onConnectionFailed(Millis now, const std::string &instance);
    void setOldestWrites(const std::map<std::string, Millis> &byGroup);

    // Control's own work on connections; false if the work is not control's.
    bool onWorkStarted(Millis now, WorkId work, ConnectionId connection);
    bool onWorkEnded(WorkId work);
    bool onWorkAnswer(Millis now, WorkId work, ConnectionId connection, StatementKind kind,
                      Millis sentAt, const StatementAnswer &answer);

    // The instance to send the group's writes to; empty while unknown.
    std::string primary(const std::string &group) const;
    const PrimaryTracker *tracker(const std::string &group) const;
    // The instances of a group that accept work, leader included.
    std::vector<RegisteredInstance> members(const std::string &group) const;
    const RegisteredInstance *instance(const std::string &id) const;

private:
    struct Group
    {
        PrimaryTracker tracker;
        std::unique_ptr<PrimaryChange> change;
        std::vector<RegisteredInstance> members;
        int syncReplicas = 1;
        std::string reportedPrimary;
    };

    struct ControlWork
    {
        std::string instance;
        Statement statement; // A probe if it opens a transaction.
    };

    void acquireLease(const std::string &group) override;
    void sendCommand(const std::string &instance, const Statement &statement) override;
    void promote(const std::string &group, const std::string &instance,
                 std::uint64_t fencingToken) override;
    void stageChanged(const std::string &group, PrimaryChangeStage stage, PrimaryChangeCause cause,
                      const std::string &detail) override;
    void ask(Millis now, const std::string &instance);
    void submit(const std::string &instance, const Statement &statement);
    void reportPrimary(const std::string &name, Group *group);
    Group *groupOf(const std::string &instance);

    GroupControlOutput *m_output;
    std::function<WorkId()> m_nextWork;
    TargetPool *m_pool = nullptr;
    Millis m_now;
    std::map<std::string, Group, std::less<>> m_groups;
    std::map<std::string, RegisteredInstance, std::less<>> m_instances;
    std::map<WorkId, ControlWork> m_works;
};

} // namespace cicadagap
