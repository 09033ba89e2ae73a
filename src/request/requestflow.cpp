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

FlowAction RequestFlow::start(Millis now, const GroupView &view, const ReplicaLag &lag)
{
    if (!m_request.transactionHost.empty())
        return sendToTransaction();
    return next(now, view, lag);
}

FlowAction RequestFlow::onReply(Millis now, const GroupView &view, const WorkReply &reply,
                                RetryBudget *budget, ReplicaLag *lag)
{
    if (m_replica)
        lag->observe(now, m_instance, reply.position);
    if (reply.verdict == Verdict::Ran)
        return finish(reply);
    // The ledger's cancellation settles every attempt under the request id.
    if (reply.cause == Cause::Cancelled)
        return finish(reply);
    m_lastCause = reply.cause;
    if (reply.verdict == Verdict::MayHaveRun)
        return handleMayHaveRun(now, view, reply, budget, *lag);
    return handleNotRun(now, view, reply, budget, *lag);
}

FlowAction RequestFlow::onWake(Millis now, const GroupView &view, const ReplicaLag &lag)
{
    if (now >= m_request.deadline)
        return finishFailed({.verdict = Verdict::NotRun, .cause = m_lastCause});
    return next(now, view, lag);
}

bool RequestFlow::replicaAllowed() const
{
    const bool plainRead = m_kind == WorkKind::Execute && !m_request.write;
    return plainRead && (m_request.token || m_request.maxAge);
}

const InstanceRoute *RequestFlow::bestReplica(Millis now, const GroupView &view,
                                              const ReplicaLag &lag) const
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
        if (m_triedReplicas.contains(route.name) || !lag.worthTrying(now, route.name, required))
            continue;
        const bool near = route.dataCentre == m_dataCentre;
        if (!best || (near && !bestIsNear)) {
            best = &route;
            bestIsNear = near;
        }
    }
    return best;
}

FlowAction RequestFlow::sendToTransaction()
{
    InstanceRoute route;
    route.name = m_request.transactionInstance;
    route.gateways = {m_request.transactionHost};
    m_gatewayRank = 0;
    return send(route, false);
}

FlowAction RequestFlow::sendToPrimary(Millis now, const GroupView &view)
{
    const auto found
        = std::find_if(view.instances.begin(), view.instances.end(),
                       [&view](const InstanceRoute &route) { return route.name == view.primary; });
    if (found == view.instances.end() || found->gateways.empty())
        return wait(now, RetryDelay);
    m_gatewayRank = std::min(m_gatewayRank, found->gateways.size() - 1);
    m_sentTerm = view.term;
    return send(*found, false);
}

FlowAction RequestFlow::send(const InstanceRoute &route, bool replica)
{
    ++m_attempts;
    m_replica = replica;
    m_instance = route.name;
    FlowAction action;
    action.step = FlowStep::Send;
    action.host = route.gateways.at(replica ? 0 : m_gatewayRank);
    action.instance = route.name;
    action.replica = replica;
    action.kind = m_kind;
    return action;
}

FlowAction RequestFlow::next(Millis now, const GroupView &view, const ReplicaLag &lag)
{
    if (replicaAllowed()) {
        if (const InstanceRoute *replica = bestReplica(now, view, lag)) {
            m_triedReplicas.insert(replica->name);
            return send(*replica, true);
        }
    }
    return sendToPrimary(now, view);
}

FlowAction RequestFlow::wait(Millis now, Millis delay) const
{
    FlowAction action;
    action.step = FlowStep::Wait;
    action.wakeAt = std::min(now + delay, m_request.deadline);
    return action;
}

FlowAction RequestFlow::finish(WorkReply reply) const
{
    FlowAction action;
    action.step = FlowStep::Finish;
    action.reply = std::move(reply);
    return action;
}

FlowAction RequestFlow::finishFailed(const WorkReply &reply) const
{
    WorkReply final = reply;
    if (m_mayHaveRun)
        final.verdict = Verdict::MayHaveRun;
    return finish(std::move(final));
}

FlowAction RequestFlow::handleMayHaveRun(Millis now, const GroupView &view, const WorkReply &reply,
                                         RetryBudget *budget, const ReplicaLag &lag)
{
    const bool isRead = m_kind == WorkKind::Execute && !m_request.write;
    if (!isRead)
        m_mayHaveRun = true;
    const bool marked = !m_request.requestId.empty();
    const bool repeatable = isRead || (marked && m_kind != WorkKind::Continue);
    const bool inTime = now + RetryDelay < m_request.deadline;
    if (!repeatable || !inTime || !budget->takeRetry())
        return finishFailed(reply);
    // A lost commit cannot be sent again, but the ledger knows, or makes sure, what became of it.
    if (m_kind == WorkKind::Commit) {
        m_kind = WorkKind::Outcome;
        m_request.transactionHost.clear();
    }
    if (isRead || view.term != m_sentTerm)
        return next(now, view, lag);
    return wait(now, RetryDelay);
}

FlowAction RequestFlow::handleNotRun(Millis now, const GroupView &view, const WorkReply &reply,
                                     RetryBudget *budget, const ReplicaLag &lag)
{
    if (isFinal(reply.cause) || !m_request.transactionHost.empty())
        return finishFailed(reply);
    if (m_replica)
        return next(now, view, lag);
    if (reply.cause == Cause::Overloaded)
        return finishFailed(reply);
    if (now >= m_request.deadline)
        return finishFailed(reply);
    if (view.term > m_sentTerm) {
        m_gatewayRank = 0;
        return sendToPrimary(now, view);
    }
    const bool gatewayFailed = reply.cause == Cause::Unreachable || reply.cause == Cause::Leaving;
    if (gatewayFailed && m_gatewayRank == 0 && budget->takeRetry()) {
        m_gatewayRank = 1;
        return sendToPrimary(now, view);
    }
    // Nothing to send to until the primary changes; waiting here puts no load on any target.
    m_gatewayRank = 0;
    return wait(now, RetryDelay);
}

} // namespace cicadagap
