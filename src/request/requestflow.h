// The state machine of one request on its entry host (the host that received it from the caller),
// from arrival to answer. It decides which instance and which gateway to try, when to retry, and
// which verdict the caller gets.
//
//     RequestFlow flow(request, "cali", random.next());
//     FlowAction action = flow.start(now, view, history);
//     // On Send, forward the request and continue with its reply:
//     action = flow.onReply(now, view, reply, &budget, &history);
//     // On Wait, continue at action.wakeAt:
//     action = flow.onWake(now, view, history);
//     // On Finish, answer the caller with action.reply.
//     // Call flow.onViewChanged() whenever the group's primary changes.
//
// The final verdict never claims more than all attempts together allow: once one attempt may have
// run, only an answer from the ledger (the group's table of the request ids that ran or were
// cancelled) can turn that into "ran" or "not run".
//
// Performs no I/O and reads no clock: the driver passes in the time and carries out the actions.
// Not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "base/verdict.h"
#include "connection/gateway.h"
#include "request/retrybudget.h"
#include "request/routehistory.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// How to reach one instance of a group.
struct InstanceRoute
{
    std::string name;
    std::string dataCentre;
    bool leaving = false;              // It announced that it takes no new work and will stop.
    std::vector<std::string> gateways; // The hosts that have a gateway to it, the preferred first.
};

// What the entry host knows of a group: its instances and which of them is primary.
struct GroupView
{
    std::string primary;    // Empty if unknown.
    std::uint64_t term = 0; // Of the primary.
    std::vector<InstanceRoute> instances;
};

// A caller's request, as far as routing depends on it.
struct FlowRequest
{
    RequestKind kind = RequestKind::Execute;
    bool write = false;
    std::string requestId;         // Makes a write safe to repeat; empty if the caller gave none.
    std::optional<Millis> maxAge;  // How old the data read may be, if the caller accepts old data.
    std::optional<Position> token; // What a read must see; set if the session has a valid token.
    Millis deadline;
    std::string transactionHost; // The host whose gateway holds the open transaction, if any.
    std::string transactionInstance;
};

enum class FlowStep {
    Send,   // Send the request to an instance through the gateway of a host.
    Wait,   // Do nothing until a given time.
    Finish, // Answer the caller.
};

// What the driver has to do next.
struct FlowAction
{
    FlowStep step = FlowStep::Finish;
    // The following four belong to FlowStep::Send.
    std::string host;
    std::string instance;
    bool replica = false;
    // The request's kind, or OutcomeQuery once the outcome of a commit has to be resolved.
    RequestKind kind = RequestKind::Execute;
    // Belongs to FlowStep::Wait.
    Millis wakeAt;
    // Belongs to FlowStep::Finish.
    GatewayReply reply;
};

class RequestFlow
{
public:
    // `dataCentre` is the entry host's. The search for a replica starts at `replicaOffset` in the
    // list of instances; different offsets distribute reads over the replicas.
    RequestFlow(FlowRequest request, std::string dataCentre, std::uint64_t replicaOffset);

    // Returns the first action.
    FlowAction start(Millis now, const GroupView &view, const RouteHistory &history);
    // The reply to the last attempt arrived. A retry after a failed gateway or after an attempt
    // that may have run takes from `budget`.
    FlowAction onReply(Millis now, const GroupView &view, const GatewayReply &reply,
                       RetryBudget *budget, RouteHistory *history);
    // The group's primary changed. If the last attempt went to the old primary and may be repeated,
    // it is abandoned and sent to the new one; its reply, if one still arrives, must not be passed
    // to onReply(). Returns std::nullopt if the current action goes on.
    std::optional<FlowAction> onViewChanged(Millis now, const GroupView &view, RetryBudget *budget,
                                            const RouteHistory &history);
    // The time of a Wait action came.
    FlowAction onWake(Millis now, const GroupView &view, const RouteHistory &history);

    // The number of attempts sent so far.
    int attempts() const { return m_attempts; }
    // Whether the last attempt went to a replica.
    bool onReplica() const { return m_onReplica; }

private:
    bool replicaAllowed() const;
    // Returns null if no replica is worth an attempt. Prefers one in the entry host's data centre.
    const InstanceRoute *bestReplica(Millis now, const GroupView &view,
                                     const RouteHistory &history) const;
    // Whether the next attempt at the last instance would use another gateway.
    bool hasOtherGateway(Millis now, const GroupView &view, const RouteHistory &history) const;
    FlowAction sendToTransaction(Millis now, const RouteHistory &history);
    FlowAction sendToPrimary(Millis now, const GroupView &view, const RouteHistory &history);
    // Sends to the instance through its preferred gateway.
    FlowAction send(Millis now, const InstanceRoute &route, const RouteHistory &history);
    // Whether the request can be sent again after an attempt that may have run.
    bool mayRepeat() const;
    // Sends to the best replica if one is allowed, or else to the primary.
    FlowAction sendNext(Millis now, const GroupView &view, const RouteHistory &history);
    FlowAction wait(Millis now, Millis delay);
    FlowAction finish(GatewayReply reply) const;
    // Finishes with `reply`, but with MayHaveRun if an earlier attempt may have run.
    FlowAction finishFailed(const GatewayReply &reply) const;
    FlowAction handleMayHaveRun(Millis now, const GroupView &view, const GatewayReply &reply,
                                RetryBudget *budget, const RouteHistory &history);
    FlowAction handleNotRun(Millis now, const GroupView &view, const GatewayReply &reply,
                            RetryBudget *budget, const RouteHistory &history);

    FlowRequest m_request;
    std::string m_dataCentre;
    std::uint64_t m_replicaOffset;
    RequestKind m_kind; // Of the next attempt.
    int m_attempts = 0;
    bool m_onReplica = false;  // The last attempt went to a replica.
    bool m_mayHaveRun = false; // An earlier attempt may have had an effect.
    bool m_waiting = false;
    std::string m_lastHost; // Of the last attempt, like the following two.
    std::string m_lastInstance;
    std::uint64_t m_lastTerm = 0; // Of the primary; 0 if only replicas or a transaction were tried.
    std::set<std::string> m_triedReplicas;
    Cause m_lastCause = Cause::NoPrimary;
};

} // namespace cicadagap
