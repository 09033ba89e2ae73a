// One caller's request on its entry host, from arrival to answer: which instance and gateway to
// try, when to try again, and what may be said at the end.
//
//     RequestFlow flow(request, "cali-1", "cali");
//     FlowAction action = flow.start(now, view, &memory);
//     // Send: forward the work, then action = flow.onReply(now, view, reply, &budget, &memory).
//     // Wait: call flow.onWake() at action.wakeAt.
//     // Call flow.onViewChanged() whenever the group's primary changes.
//     // Finish: answer the caller with action.reply.
//
// The final verdict never claims more than all attempts together allow: once one attempt may have
// run, only the ledger's word turns that into "ran" or "not run".
//
// Pure and not thread-safe.
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

struct InstanceRoute
{
    std::string name;
    std::string dataCentre;
    bool leaving = false;
    std::vector<std::string> gateways; // Host names, the preferred one first.
};

// What the entry host knows of a group.
struct GroupView
{
    std::string primary; // Empty if unknown.
    std::uint64_t term = 0;
    std::vector<InstanceRoute> instances;
};

struct FlowRequest
{
    RequestKind kind = RequestKind::Execute;
    bool write = false;
    std::string requestId;
    std::optional<Millis> maxAge;
    std::optional<Position> token; // Set if the session presented a valid token.
    Millis deadline;
    std::string transactionHost; // Where the transaction lives, for work inside one.
    std::string transactionInstance;
};

enum class FlowStep {
    Send,
    Wait,
    Finish,
};

struct FlowAction
{
    FlowStep step = FlowStep::Finish;
    // With Send:
    std::string host;
    std::string instance;
    bool replica = false;
    RequestKind kind = RequestKind::Execute; // Outcome, when a commit has to be settled.
    // With Wait:
    Millis wakeAt;
    // With Finish:
    GatewayReply reply;
};

class RequestFlow
{
public:
    RequestFlow(FlowRequest request, std::string dataCentre, std::uint64_t spread);

    FlowAction start(Millis now, const GroupView &view, const RouteHistory &memory);
    FlowAction onReply(Millis now, const GroupView &view, const GatewayReply &reply,
                       RetryBudget *budget, RouteHistory *memory);
    // The group's primary changed. An attempt at the old primary that may be repeated is given up
    // and sent to the new one; its reply, should it come, must not be handed to onReply(). Nothing:
    // go on.
    std::optional<FlowAction> onViewChanged(Millis now, const GroupView &view, RetryBudget *budget,
                                            const RouteHistory &memory);
    // A wait ended.
    FlowAction onWake(Millis now, const GroupView &view, const RouteHistory &memory);

    // Attempts sent so far.
    int attempts() const { return m_attempts; }
    // Whether the last attempt went to a replica.
    bool onReplica() const { return m_replica; }

private:
    bool replicaAllowed() const;
    const InstanceRoute *bestReplica(Millis now, const GroupView &view,
                                     const RouteHistory &memory) const;
    bool hasOtherGateway(Millis now, const GroupView &view, const RouteHistory &memory) const;
    FlowAction sendToTransaction(Millis now, const RouteHistory &memory);
    FlowAction sendToPrimary(Millis now, const GroupView &view, const RouteHistory &memory);
    FlowAction send(Millis now, const InstanceRoute &route, const RouteHistory &memory);
    bool repeatable() const;
    FlowAction next(Millis now, const GroupView &view, const RouteHistory &memory);
    FlowAction wait(Millis now, Millis delay);
    FlowAction finish(GatewayReply reply) const;
    FlowAction finishFailed(const GatewayReply &reply) const;
    FlowAction handleMayHaveRun(Millis now, const GroupView &view, const GatewayReply &reply,
                                RetryBudget *budget, const RouteHistory &memory);
    FlowAction handleNotRun(Millis now, const GroupView &view, const GatewayReply &reply,
                            RetryBudget *budget, const RouteHistory &memory);

    FlowRequest m_request;
    std::string m_dataCentre;
    std::uint64_t m_spread;
    RequestKind m_kind;
    int m_attempts = 0;
    bool m_replica = false;
    bool m_mayHaveRun = false;
    bool m_waiting = false;
    std::string m_host; // Of the last attempt.
    std::string m_instance;
    std::uint64_t m_sentTerm = 0;
    std::set<std::string> m_triedReplicas;
    Cause m_lastCause = Cause::NoPrimary;
};

} // namespace cicadagap
