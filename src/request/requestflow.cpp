#include "request/requestflow.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr Millis RetryDelay(50); // Before the same place is tried again.
constexpr std::size_t MaxReplicaTries = 2;

// Failures after which another attempt cannot do better.
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

RequestFlow::RequestFlow(FlowRequest request, std::string dataCentre, std::uint64_t spread)
    : m_request(std::move(request))
    , m_dataCentre(std::move(dataCentre))
    , m_spread(spread)
    , m_kind(m_request.kind)
{
}

FlowAction RequestFlow::start(Millis now, const GroupView &view, const RouteHistory &memory)
{
    if (!m_request.transactionHost.empty())
        return sendToTransaction(now, memory);
    return next(now, view, memory);
}

FlowAction RequestFlow::onReply(Millis now, const GroupView &view, const GatewayReply &reply,
                                RetryBudget *budget, RouteHistory *memory)
{
    if (m_replica)
        memory->lag.observe(now, m_instance, reply.position);
    const bool gatewayFailed = reply.cause == Cause::Unreachable
        || reply.cause == Cause::ConnectionLost || reply.cause == Cause::Leaving;
    if (gatewayFailed)
        memory->gateways.failed(now, m_host, m_instance);
    else
        memory->gateways.worked(m_host, m_instance);
    if (reply.verdict == Verdict::Ran)
        return finish(reply);
    // The ledger's cancellation settles every attempt under the request id.
    if (reply.cause == Cause::Cancelled)
        return finish(reply);
    m_lastCause = reply.cause;
    if (reply.verdict == Verdict::MayHaveRun)
        return handleMayHaveRun(now, view, reply, budget, *memory);
    return handleNotRun(now, view, reply, budget, *memory);
}

std::optional<FlowAction> RequestFlow::onViewChanged(Millis now, const GroupView &view,
                                                     RetryBudget *budget,
                                                     const RouteHistory &memory)
{
    if (!m_request.transactionHost.empty())
        return std::nullopt;
    if (m_waiting)
        return next(now, view, memory);
    const bool outdated = !m_replica && m_instance != view.primary && view.term > m_sentTerm;
    if (!outdated || !repeatable() || !budget->takeRetry())
        return std::nullopt;
    if (m_kind != RequestKind::Execute || m_request.write)
        m_mayHaveRun = true;
    return next(now, view, memory);
}

FlowAction RequestFlow::onWake(Millis now, const GroupView &view, const RouteHistory &memory)
{
    if (now >= m_request.deadline)
        return finishFailed({.verdict = Verdict::NotRun, .cause = m_lastCause});
    return next(now, view, memory);
}

bool RequestFlow::replicaAllowed() const
{
    const bool plainRead = m_kind == RequestKind::Execute && !m_request.write;
    return plainRead && (m_request.token || m_request.maxAge);
}

const InstanceRoute *RequestFlow::bestReplica(Millis now, const GroupView &view,
                                              const RouteHistory &memory) const
{
    if (m_triedReplicas.size() >= MaxReplicaTries)
        return nullptr;
    const Position required = m_request.token.value_or(Position{});
    const InstanceRoute *best = nullptr;
    bool bestIsNear = false;
    const std::size_t count = view.instances.size();
    for (std::size_t i = 0; i < count; ++i) {
        const InstanceRoute &route = view.instances[(i + m_spread) % count];
        if (route.name == view.primary || route.leaving || route.gateways.empty())
            continue;
        if (m_triedReplicas.contains(route.name)
            || !memory.lag.worthTrying(now, route.name, required))
            continue;
        const bool near = route.dataCentre == m_dataCentre;
        if (!best || (near && !bestIsNear)) {
            best = &route;
            bestIsNear = near;
        }
    }
    return best;
}

bool RequestFlow::hasOtherGateway(Millis now, const GroupView &view,
                                  const RouteHistory &memory) const
{
    for (const InstanceRoute &route : view.instances) {
        if (route.name != m_instance || route.gateways.empty())
            continue;
        const std::size_t preferred = memory.gateways.preferred(now, route.name, route.gateways);
        return route.gateways[preferred] != m_host;
    }
    return false;
}

FlowAction RequestFlow::sendToTransaction(Millis now, const RouteHistory &memory)
{
    InstanceRoute route;
    route.name = m_request.transactionInstance;
    route.gateways = {m_request.transactionHost};
    m_replica = false;
    return send(now, route, memory);
}

FlowAction RequestFlow::sendToPrimary(Millis now, const GroupView &view, const RouteHistory &memory)
{
    const auto found
        = std::find_if(view.instances.begin(), view.instances.end(),
                       [&view](const InstanceRoute &route) { return route.name == view.primary; });
    if (found == view.instances.end() || found->gateways.empty())
        return wait(now, RetryDelay);
    m_sentTerm = view.term;
    m_replica = false;
    return send(now, *found, memory);
}

FlowAction RequestFlow::send(Millis now, const InstanceRoute &route, const RouteHistory &memory)
{
    ++m_attempts;
    m_waiting = false;
    m_host = route.gateways.at(memory.gateways.preferred(now, route.name, route.gateways));
    m_instance = route.name;
    FlowAction action;
    action.step = FlowStep::Send;
    action.host = m_host;
    action.instance = route.name;
    action.replica = m_replica;
    action.kind = m_kind;
    return action;
}

bool RequestFlow::repeatable() const
{
    const bool isRead = m_kind == RequestKind::Execute && !m_request.write;
    const bool marked = !m_request.requestId.empty();
    return isRead || (marked && m_kind != RequestKind::TransactionStatement);
}

FlowAction RequestFlow::next(Millis now, const GroupView &view, const RouteHistory &memory)
{
    if (replicaAllowed()) {
        if (const InstanceRoute *replica = bestReplica(now, view, memory)) {
            m_triedReplicas.insert(replica->name);
            m_replica = true;
            return send(now, *replica, memory);
        }
    }
    return sendToPrimary(now, view, memory);
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
    GatewayReply final = reply;
    if (m_mayHaveRun)
        final.verdict = Verdict::MayHaveRun;
    return finish(std::move(final));
}

FlowAction RequestFlow::handleMayHaveRun(Millis now, const GroupView &view,
                                         const GatewayReply &reply, RetryBudget *budget,
                                         const RouteHistory &memory)
{
    const bool isRead = m_kind == RequestKind::Execute && !m_request.write;
    if (!isRead)
        m_mayHaveRun = true;
    const bool inTime = now + RetryDelay < m_request.deadline;
    if (!repeatable() || !inTime || !budget->takeRetry())
        return finishFailed(reply);
    // A lost commit cannot be sent again, but the ledger knows, or makes sure, what became of it.
    if (m_kind == RequestKind::Commit) {
        m_kind = RequestKind::OutcomeQuery;
        m_request.transactionHost.clear();
    }
    if (isRead || view.term != m_sentTerm)
        return next(now, view, memory);
    return wait(now, RetryDelay);
}

FlowAction RequestFlow::handleNotRun(Millis now, const GroupView &view, const GatewayReply &reply,
                                     RetryBudget *budget, const RouteHistory &memory)
{
    if (isFinal(reply.cause) || !m_request.transactionHost.empty())
        return finishFailed(reply);
    if (m_replica)
        return next(now, view, memory);
    if (reply.cause == Cause::Overloaded)
        return finishFailed(reply);
    if (now >= m_request.deadline)
        return finishFailed(reply);
    if (view.term > m_sentTerm)
        return sendToPrimary(now, view, memory);
    const bool gatewayFailed = reply.cause == Cause::Unreachable || reply.cause == Cause::Leaving;
    if (gatewayFailed && hasOtherGateway(now, view, memory) && budget->takeRetry())
        return sendToPrimary(now, view, memory);
    // Nothing to send to until the primary changes; a gateway refuses at once what comes too early.
    return wait(now, RetryDelay);
}

} // namespace cicadagap
