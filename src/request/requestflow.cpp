#include "request/requestflow.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr Millis RetryDelay(50); // Before another attempt at the same instance.
constexpr std::size_t MaxReplicaTries = 2;

// Whether another attempt cannot succeed after a failure with this cause.
bool isFinal(Cause cause)
{
    switch (cause) {
    case Cause::Invalid:
    case Cause::UnknownTeam:
    case Cause::Conflict:
    case Cause::Cancelled:
    case Cause::NoTransaction:
    case Cause::Busy:
    case Cause::Duplicate:
    case Cause::Timeout:
        return true;
    default:
        return false;
    }
}

} // namespace

RequestFlow::RequestFlow(FlowRequest request, std::string dataCentre, std::uint64_t replicaOffset)
    : m_request(std::move(request))
    , m_dataCentre(std::move(dataCentre))
    , m_replicaOffset(replicaOffset)
    , m_kind(m_request.kind)
{
}

FlowAction RequestFlow::start(Millis now, const GroupView &view, const RouteHistory &history)
{
    if (!m_request.transactionHost.empty())
        return sendToTransaction(now, history);
    return sendNext(now, view, history);
}

FlowAction RequestFlow::onReply(Millis now, const GroupView &view, const GatewayReply &reply,
                                RetryBudget *budget, RouteHistory *history)
{
    if (m_onReplica)
        history->replicas.record(now, m_lastInstance, reply.position);
    const bool gatewayFailed = reply.cause == Cause::Unreachable
        || reply.cause == Cause::ConnectionLost || reply.cause == Cause::Leaving;
    if (gatewayFailed)
        history->gateways.recordFailure(now, m_lastHost, m_lastInstance);
    else
        history->gateways.recordSuccess(m_lastHost, m_lastInstance);
    if (reply.verdict == Verdict::Ran)
        return finish(reply);
    // A cancellation in the ledger is final for every attempt with the request id.
    if (reply.cause == Cause::Cancelled)
        return finish(reply);
    m_lastCause = reply.cause;
    if (reply.verdict == Verdict::MayHaveRun)
        return handleMayHaveRun(now, view, reply, budget, *history);
    return handleNotRun(now, view, reply, budget, *history);
}

std::optional<FlowAction> RequestFlow::onViewChanged(Millis now, const GroupView &view,
                                                     RetryBudget *budget,
                                                     const RouteHistory &history)
{
    if (!m_request.transactionHost.empty())
        return std::nullopt;
    if (m_waiting)
        return sendNext(now, view, history);
    const bool wentToOldPrimary
        = !m_onReplica && m_lastInstance != view.primary && view.term > m_lastTerm;
    if (!wentToOldPrimary || !mayRepeat() || !budget->takeRetry())
        return std::nullopt;
    if (m_kind != RequestKind::Execute || m_request.write)
        m_mayHaveRun = true;
    return sendNext(now, view, history);
}

FlowAction RequestFlow::onWake(Millis now, const GroupView &view, const RouteHistory &history)
{
    if (now >= m_request.deadline)
        return finishFailed({.verdict = Verdict::NotRun, .cause = m_lastCause});
    return sendNext(now, view, history);
}

bool RequestFlow::replicaAllowed() const
{
    const bool isRead = m_kind == RequestKind::Execute && !m_request.write;
    return isRead && (m_request.token || m_request.maxAge);
}

const InstanceRoute *RequestFlow::bestReplica(Millis now, const GroupView &view,
                                              const RouteHistory &history) const
{
    if (m_triedReplicas.size() >= MaxReplicaTries)
        return nullptr;
    const Position required = m_request.token.value_or(Position{});
    const InstanceRoute *best = nullptr;
    bool bestIsLocal = false;
    const std::size_t count = view.instances.size();
    for (std::size_t i = 0; i < count; ++i) {
        const InstanceRoute &route = view.instances[(i + m_replicaOffset) % count];
        if (route.name == view.primary || route.leaving || route.gateways.empty())
            continue;
        if (m_triedReplicas.contains(route.name)
            || !history.replicas.mayHold(now, route.name, required))
            continue;
        const bool isLocal = route.dataCentre == m_dataCentre;
        if (!best || (isLocal && !bestIsLocal)) {
            best = &route;
            bestIsLocal = isLocal;
        }
    }
    return best;
}

bool RequestFlow::hasOtherGateway(Millis now, const GroupView &view,
                                  const RouteHistory &history) const
{
    for (const InstanceRoute &route : view.instances) {
        if (route.name != m_lastInstance || route.gateways.empty())
            continue;
        const std::size_t preferred = history.gateways.preferred(now, route.name, route.gateways);
        return route.gateways[preferred] != m_lastHost;
    }
    return false;
}

FlowAction RequestFlow::sendToTransaction(Millis now, const RouteHistory &history)
{
    InstanceRoute route;
    route.name = m_request.transactionInstance;
    route.gateways = {m_request.transactionHost};
    m_onReplica = false;
    return send(now, route, history);
}

FlowAction RequestFlow::sendToPrimary(Millis now, const GroupView &view,
                                      const RouteHistory &history)
{
    const auto found
        = std::find_if(view.instances.begin(), view.instances.end(),
                       [&view](const InstanceRoute &route) { return route.name == view.primary; });
    if (found == view.instances.end() || found->gateways.empty())
        return wait(now, RetryDelay);
    m_lastTerm = view.term;
    m_onReplica = false;
    return send(now, *found, history);
}

FlowAction RequestFlow::send(Millis now, const InstanceRoute &route, const RouteHistory &history)
{
    ++m_attempts;
    m_waiting = false;
    m_lastHost = route.gateways.at(history.gateways.preferred(now, route.name, route.gateways));
    m_lastInstance = route.name;
    FlowAction action;
    action.step = FlowStep::Send;
    action.host = m_lastHost;
    action.instance = route.name;
    action.replica = m_onReplica;
    action.kind = m_kind;
    return action;
}

bool RequestFlow::mayRepeat() const
{
    const bool isRead = m_kind == RequestKind::Execute && !m_request.write;
    const bool hasRequestId = !m_request.requestId.empty();
    return isRead || (hasRequestId && m_kind != RequestKind::TransactionStatement);
}

FlowAction RequestFlow::sendNext(Millis now, const GroupView &view, const RouteHistory &history)
{
    if (replicaAllowed()) {
        if (const InstanceRoute *replica = bestReplica(now, view, history)) {
            m_triedReplicas.insert(replica->name);
            m_onReplica = true;
            return send(now, *replica, history);
        }
    }
    return sendToPrimary(now, view, history);
}

FlowAction RequestFlow::wait(Millis now, Millis delay)
{
    m_waiting = true;
    FlowAction action;
    action.step = FlowStep::Wait;
    action.wakeAt = std::min(now + delay, m_request.deadline);
    return action;
}

FlowAction RequestFlow::finish(GatewayReply reply) const
{
    FlowAction action;
    action.step = FlowStep::Finish;
    action.reply = std::move(reply);
    return action;
}

FlowAction RequestFlow::finishFailed(const GatewayReply &reply) const
{
    GatewayReply failedReply = reply;
    if (m_mayHaveRun)
        failedReply.verdict = Verdict::MayHaveRun;
    return finish(std::move(failedReply));
}

FlowAction RequestFlow::handleMayHaveRun(Millis now, const GroupView &view,
                                         const GatewayReply &reply, RetryBudget *budget,
                                         const RouteHistory &history)
{
    const bool isRead = m_kind == RequestKind::Execute && !m_request.write;
    if (!isRead)
        m_mayHaveRun = true;
    const bool timeForRetry = now + RetryDelay < m_request.deadline;
    if (!mayRepeat() || !timeForRetry || !budget->takeRetry())
        return finishFailed(reply);
    // A commit cannot be sent again. An outcome query finds it in the ledger or cancels its request
    // id there.
    if (m_kind == RequestKind::Commit) {
        m_kind = RequestKind::OutcomeQuery;
        m_request.transactionHost.clear();
    }
    if (isRead || view.term != m_lastTerm)
        return sendNext(now, view, history);
    return wait(now, RetryDelay);
}

FlowAction RequestFlow::handleNotRun(Millis now, const GroupView &view, const GatewayReply &reply,
                                     RetryBudget *budget, const RouteHistory &history)
{
    if (isFinal(reply.cause) || !m_request.transactionHost.empty())
        return finishFailed(reply);
    if (m_onReplica)
        return sendNext(now, view, history);
    if (reply.cause == Cause::Overloaded)
        return finishFailed(reply);
    if (now >= m_request.deadline)
        return finishFailed(reply);
    if (view.term > m_lastTerm)
        return sendToPrimary(now, view, history);
    const bool gatewayFailed = reply.cause == Cause::Unreachable || reply.cause == Cause::Leaving;
    if (gatewayFailed && hasOtherGateway(now, view, history) && budget->takeRetry())
        return sendToPrimary(now, view, history);
    // No instance can accept the request until the primary changes. An attempt that comes too early
    // costs little, because the gateway refuses it at once.
    return wait(now, RetryDelay);
}

} // namespace cicadagap
