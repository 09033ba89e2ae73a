#include "connection/gateway.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// How many connections may be opening at the same time.
constexpr int MaxConcurrentOpens = 2;
// So many connections of the quota are never pinned to transactions.
constexpr int MinUnpinnedConnections = 2;
constexpr Millis InitialOpenBackoff(20);
// The delay before the status is polled again after a poll failed.
constexpr Millis StatusRetryDelay(50);
// Between status polls of an instance that said that it leaves.
constexpr Millis LeavingPollInterval(1000);
// The minimum time between two fetches of a position sample.
constexpr Millis SampleFetchInterval(50);
// The weight of the newest value in the moving average of the service time.
constexpr double ServiceSmoothing = 0.1;
// The outcomes that a ledger row records.
constexpr std::string_view LedgerRan = "ran";
constexpr std::string_view LedgerCancelled = "cancelled";

// Returns the outcome of a ledger row, whose value is "<expiry in milliseconds since 1970>
// <outcome>".
std::string_view ledgerOutcome(std::string_view value)
{
    const std::size_t space = value.find(' ');
    return space == std::string_view::npos ? value : value.substr(space + 1);
}

} // namespace

Gateway::Gateway(Options options)
    : m_options(std::move(options))
    , m_queue(m_options.queue)
    , m_majorityTracker(m_options.groupSize)
{
}

GatewayActions Gateway::submit(Millis now, GatewayRequest request)
{
    const std::uint64_t id = request.id;
    const Cause cause = refusalCause(now, request);
    PendingRequest &pending = m_requests[id];
    pending.request = std::move(request);
    pending.arrived = now;
    if (cause != Cause::None) {
        refuse(id, cause);
        return takeActions();
    }
    if (!pending.request.transaction.empty()) {
        sendInTransaction(now, pending.request);
        return takeActions();
    }
    if (pending.request.maxAge)
        refreshPositionSample(now, *pending.request.maxAge);
    if (canReadRequiredData(now, pending.request))
        enqueue(now, id);
    else
        waitForData(now, &pending);
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::onOpened(Millis now, std::uint64_t connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        m_actions.emplace_back(CloseConnection{connection});
        return takeActions();
    }
    m_openBackoff = Millis();
    found->second.state = ConnectionState::Idle;
    found->second.idleSince = now;
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::onOpenFailed(Millis now, std::uint64_t connection)
{
    m_connections.erase(connection);
    m_openBackoff = std::clamp(m_openBackoff * 2, InitialOpenBackoff, m_options.maxOpenBackoff);
    m_nextOpenAt = now + m_openBackoff;
    if (!hasLiveConnection()) {
        m_actions.emplace_back(ReportFailure{});
        for (const QueueEntry &entry : m_queue.takeAll())
            refuse(entry.id, Cause::Unreachable);
    }
    return takeActions();
}

GatewayActions Gateway::onAnswer(Millis now, std::uint64_t connection, const TargetAnswer &answer)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return takeActions();
    Connection &info = found->second;
    m_lastKnownPosition = std::max(m_lastKnownPosition, answer.position);
    if (info.state == ConnectionState::Pinging)
        startRequest(now, connection, info.request);
    else if (info.state == ConnectionState::Running)
        finishCall(now, connection, answer);
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::onConnectionLost(Millis now, std::uint64_t connection, bool sent)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return takeActions();
    const Connection info = found->second;
    forgetConnection(connection);
    m_actions.emplace_back(ReportFailure{});
    if (info.state == ConnectionState::Pinging) {
        enqueue(now, info.request); // Only the ping was sent, nothing of the request.
    } else if (info.state == ConnectionState::Running) {
        const RequestKind kind = m_requests.at(info.request).request.kind;
        if (kind == RequestKind::TransactionStatement)
            refuse(info.request, Cause::NoTransaction);
        else if (kind == RequestKind::Rollback)
            reply(info.request, {.verdict = Verdict::Ran}); // The target rolls back by itself.
        else if (kind == RequestKind::Begin || !sent)
            refuse(info.request, Cause::Unreachable);
        else
            reply(info.request, {.verdict = Verdict::MayHaveRun, .cause = Cause::ConnectionLost});
    }
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::onStatus(Millis now, Millis sentAt, const InstanceReport &report)
{
    m_polling = false;
    m_lastKnownPosition = std::max(m_lastKnownPosition, report.last);
    m_saidLeaving = report.leaving;
    m_majorityTracker.observe(report.name, report.term, report.last);
    std::vector<Millis> contactAges;
    for (const ReplicaSummary &replica : report.replicas) {
        m_majorityTracker.observe(replica.name, replica.term, replica.last);
        if (replica.term == report.term)
            contactAges.push_back(replica.sinceLastContact);
    }
    // `age` before the status was requested, a majority of the instances, the primary included, was
    // still in the primary's term, so the position was that of the group's primary at that time.
    const std::size_t replicasInMajority = m_options.groupSize / 2;
    if (report.primary && contactAges.size() >= replicasInMajority) {
        std::sort(contactAges.begin(), contactAges.end());
        const Millis age = replicasInMajority == 0 ? Millis() : contactAges[replicasInMajority - 1];
        m_replicaAge.addSample(sentAt - age, report.last);
    }
    sendAcknowledgedReplies();
    if (!report.primary && report.term > m_term)
        failHeldReplies(report.term);
    recheckWaitingRequests(now);
    if (!m_heldReplies.empty())
        pollStatus(m_options.pollInterval);
    else if (!m_waitingForData.empty())
        pollStatus(m_options.pollInterval * 2);
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::onStatusFailed(Millis)
{
    m_polling = false;
    m_actions.emplace_back(ReportFailure{});
    if (!m_heldReplies.empty() || !m_waitingForData.empty())
        pollStatus(StatusRetryDelay);
    return takeActions();
}

GatewayActions Gateway::onPositionSample(Millis now, Millis at, Position primaryLast)
{
    m_replicaAge.addSample(at, primaryLast);
    recheckWaitingRequests(now);
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::onPositionSampleRequested(Millis now)
{
    const std::optional<Millis> newest = m_replicaAge.newestSample();
    if (!newest || now - *newest >= SampleFetchInterval)
        pollStatus(Millis());
    return takeActions();
}

GatewayActions Gateway::onTick(Millis now)
{
    handleTimeouts(now);
    recheckWaitingRequests(now);
    closeSurplusConnections(now);
    // It gets no requests whose answers could show that it was started again.
    if (m_saidLeaving && now >= m_nextLeavingPoll) {
        m_nextLeavingPoll = now + LeavingPollInterval;
        pollStatus(Millis());
    }
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::setRole(Millis now, std::uint64_t term, bool primary, bool leaving)
{
    if (term < m_term)
        return takeActions();
    const bool demoted = m_primary && !primary;
    m_recordedLeaving = leaving;
    m_primary = primary;
    if (term > m_term) {
        m_term = term;
        failHeldReplies(term);
    }
    if (demoted) {
        for (const QueueEntry &entry : m_queue.takeAll()) {
            if (m_requests.at(entry.id).request.replicaAllowed)
                enqueue(now, entry.id);
            else
                refuse(entry.id, Cause::NotPrimary);
        }
    }
    dispatchQueued(now);
    return takeActions();
}

GatewayActions Gateway::setQuota(Millis now, int quota)
{
    m_options.quota = quota;
    closeSurplusConnections(now);
    dispatchQueued(now);
    return takeActions();
}

Gateway::Counters Gateway::counters() const
{
    return {m_queue.size(), busyConnections(), m_connections.size(), m_transactions.size(),
            m_heldReplies.size()};
}

Cause Gateway::refusalCause(Millis now, const GatewayRequest &request) const
{
    if (now >= request.deadline)
        return Cause::Timeout;
    if (!request.transaction.empty()) {
        const auto found = m_transactions.find(request.transaction);
        if (found == m_transactions.end())
            return Cause::NoTransaction;
        const Connection &connection = m_connections.at(found->second);
        return connection.state == ConnectionState::Pinned ? Cause::None : Cause::Busy;
    }
    if (m_saidLeaving || m_recordedLeaving || m_draining)
        return Cause::Leaving;
    if (!request.replicaAllowed && (!m_primary || request.requiredPosition.term > m_term))
        return Cause::NotPrimary;
    // Refused at once instead of queued until the backoff ends, so that the entry host can try
    // another gateway or instance.
    if (!hasLiveConnection() && now < m_nextOpenAt)
        return Cause::Unreachable;
    return wouldMissDeadline(now, request) ? Cause::Overloaded : Cause::None;
}

bool Gateway::hasLiveConnection() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second.state != ConnectionState::Opening;
    });
}

bool Gateway::wouldMissDeadline(Millis now, const GatewayRequest &request) const
{
    const double ahead = static_cast<double>(m_queue.entriesAhead(request.priorityClass));
    const double wait = ahead * m_averageServiceMs / m_options.slots;
    return wait > static_cast<double>((request.deadline - now).count());
}

bool Gateway::canReadRequiredData(Millis now, const GatewayRequest &request) const
{
    if (request.replicaAllowed && !m_lastKnownPosition.covers(request.requiredPosition))
        return false;
    if (!request.maxAge)
        return true;
    const std::optional<Millis> age = m_replicaAge.age(now, m_lastKnownPosition);
    return age && *age <= *request.maxAge;
}

void Gateway::waitForData(Millis now, PendingRequest *pending)
{
    pending->waitUntil = std::min(pending->request.deadline, now + m_options.maxDataWait);
    m_waitingForData.insert(pending->request.id);
    pollStatus(Millis());
}

void Gateway::refreshPositionSample(Millis now, Millis maxAge)
{
    // Fetches when the newest sample reaches half the accepted age. The other half is time for the
    // fetch to complete, so that reads rarely have to wait for it.
    const std::optional<Millis> newest = m_replicaAge.newestSample();
    const bool due = !newest || now - *newest >= maxAge / 2;
    if (!due || now < m_nextSampleFetch)
        return;
    m_nextSampleFetch = now + SampleFetchInterval;
    if (m_primary)
        pollStatus(Millis());
    else
        m_actions.emplace_back(FetchPositionSample{});
}

void Gateway::enqueue(Millis now, std::uint64_t id)
{
    const PendingRequest &pending = m_requests.at(id);
    const QueueEntry entry{id, pending.arrived, pending.request.deadline};
    if (now >= pending.request.deadline)
        refuse(id, Cause::Timeout);
    else if (!m_queue.push(pending.request.priorityClass, entry))
        refuse(id, Cause::Overloaded);
}

void Gateway::dispatchQueued(Millis now)
{
    const auto slots = static_cast<std::size_t>(m_options.slots);
    const auto reserved = static_cast<std::size_t>(m_options.reservedSlots);
    while (m_queue.size() > 0 && busyConnections() < slots) {
        std::uint64_t connection = 0;
        if (!mostRecentIdleConnection(&connection))
            break;
        const bool topOnly = busyConnections() + reserved >= slots;
        const std::optional<QueueEntry> next = m_queue.pop(now, topOnly);
        if (!next)
            break;
        const bool opensTransaction = m_requests.at(next->id).request.kind == RequestKind::Begin;
        const int free = m_options.quota - static_cast<int>(m_transactions.size());
        if (opensTransaction && free <= MinUnpinnedConnections)
            refuse(next->id, Cause::Overloaded);
        else
            assignConnection(now, connection, next->id);
    }
    openConnections(now);
}

Gateway::Connection *Gateway::mostRecentIdleConnection(std::uint64_t *id)
{
    // The connection that was used last is the least likely to have failed unnoticed.
    Connection *newest = nullptr;
    for (auto &entry : m_connections) {
        Connection &connection = entry.second;
        if (connection.state != ConnectionState::Idle)
            continue;
        if (!newest || connection.idleSince > newest->idleSince) {
            newest = &connection;
            *id = entry.first;
        }
    }
    return newest;
}

void Gateway::openConnections(Millis now)
{
    if (now < m_nextOpenAt)
        return;
    int opening = 0;
    int pinned = 0;
    for (const auto &entry : m_connections) {
        opening += entry.second.state == ConnectionState::Opening ? 1 : 0;
        pinned += entry.second.transaction.empty() ? 0 : 1;
    }
    // Enough connections for every slot in addition to the pinned ones. The rest of the quota is
    // left for transactions.
    const bool needed = m_primary || !m_requests.empty() || !m_connections.empty();
    const int target = needed ? std::min(m_options.quota, m_options.slots + pinned) : 0;
    while (opening < MaxConcurrentOpens && static_cast<int>(m_connections.size()) < target) {
        const std::uint64_t id = ++m_lastConnection;
        m_connections[id] = Connection{};
        m_actions.emplace_back(OpenConnection{id});
        ++opening;
    }
}

void Gateway::assignConnection(Millis now, std::uint64_t connection, std::uint64_t request)
{
    Connection &info = m_connections.at(connection);
    info.request = request;
    if (now - info.idleSince < m_options.pingAfterIdle) {
        startRequest(now, connection, request);
        return;
    }
    info.state = ConnectionState::Pinging;
    TargetCall ping;
    ping.connection = connection;
    ping.kind = TargetCallKind::Ping;
    ping.timeout = m_options.pingTimeout;
    m_actions.emplace_back(std::move(ping));
}

void Gateway::startRequest(Millis now, std::uint64_t connection, std::uint64_t request)
{
    const GatewayRequest &started = m_requests.at(request).request;
    if (now >= started.deadline) {
        refuse(request, Cause::Timeout);
        releaseConnection(now, connection);
        return;
    }
    TargetCallKind callKind = TargetCallKind::Execute;
    if (started.kind == RequestKind::Begin)
        callKind = TargetCallKind::Begin;
    m_callStartedAt[connection] = now;
    sendCall(now, connection, callKind, started);
}

void Gateway::sendCall(Millis now, std::uint64_t connection, TargetCallKind callKind,
                       const GatewayRequest &request)
{
    Connection &info = m_connections.at(connection);
    info.state = ConnectionState::Running;
    info.callKind = callKind;
    info.request = request.id;
    TargetCall call;
    call.connection = connection;
    call.kind = callKind;
    call.term = m_term;
    call.readOnly = request.replicaAllowed;
    call.inTransaction = request.kind == RequestKind::TransactionStatement;
    call.operations = request.operations;
    call.requestId = request.requestId;
    const bool writesLedger
        = callKind == TargetCallKind::Execute || callKind == TargetCallKind::Commit;
    if (writesLedger && !request.requestId.empty())
        call.ledgerValue = request.kind == RequestKind::OutcomeQuery ? LedgerCancelled : LedgerRan;
    call.timeout = callTimeout(now, request);
    m_actions.emplace_back(std::move(call));
}

Millis Gateway::callTimeout(Millis now, const GatewayRequest &request) const
{
    const Millis timeLeft = std::max(Millis(1), request.deadline - now);
    // A call that may be repeated gets less than the time until the deadline, so that there is time
    // for another attempt if this connection has failed unnoticed.
    const bool isRead = request.kind == RequestKind::Execute && !request.write;
    const bool hasRequestId
        = !request.requestId.empty() && request.kind != RequestKind::TransactionStatement;
    return isRead || hasRequestId ? std::min(timeLeft, m_options.attemptTimeout) : timeLeft;
}

void Gateway::sendInTransaction(Millis now, const GatewayRequest &request)
{
    const std::uint64_t connection = m_transactions.at(request.transaction);
    TargetCallKind callKind = TargetCallKind::Execute;
    if (request.kind == RequestKind::Commit)
        callKind = TargetCallKind::Commit;
    if (request.kind == RequestKind::Rollback)
        callKind = TargetCallKind::Rollback;
    m_callStartedAt[connection] = now;
    sendCall(now, connection, callKind, request);
}

void Gateway::finishCall(Millis now, std::uint64_t connection, const TargetAnswer &answer)
{
    const Connection &info = m_connections.at(connection);
    const std::uint64_t request = info.request;
    const auto started = m_callStartedAt.find(connection);
    if (started != m_callStartedAt.end()) {
        const auto took = static_cast<double>((now - started->second).count());
        m_averageServiceMs += ServiceSmoothing * (std::max(took, 1.0) - m_averageServiceMs);
        m_callStartedAt.erase(started);
    }
    if (info.callKind == TargetCallKind::ReadLedger) {
        finishLedgerRead(request, answer);
        releaseConnection(now, connection);
        return;
    }
    const bool inTransaction
        = m_requests.at(request).request.kind == RequestKind::TransactionStatement;
    if (answer.cause == Cause::Conflict && answer.ledgerConflict && inTransaction) {
        m_connections.at(connection).state = ConnectionState::Pinned;
        m_connections.at(connection).idleSince = now;
        refuse(request, Cause::Duplicate);
        return;
    }
    if (answer.cause == Cause::Conflict && answer.ledgerConflict) {
        // An earlier request with this request id was run or cancelled; the ledger tells which.
        sendCall(now, connection, TargetCallKind::ReadLedger, m_requests.at(request).request);
        return;
    }
    if (answer.cause != Cause::None)
        finishFailed(connection, request, answer);
    else
        finishExecuted(now, connection, request, answer);
}

void Gateway::finishFailed(std::uint64_t connection, std::uint64_t request,
                           const TargetAnswer &answer)
{
    if (answer.cause == Cause::Leaving)
        m_saidLeaving = true;
    const RequestKind kind = m_requests.at(request).request.kind;
    refuse(request, answer.cause);
    // If the target rejected a statement, its transaction stays open. After any other failure in a
    // transaction the state of the connection is unknown, so it is closed.
    const bool statementFailed = answer.cause == Cause::Conflict || answer.cause == Cause::Invalid;
    if (kind == RequestKind::TransactionStatement && statementFailed) {
        m_connections.at(connection).state = ConnectionState::Pinned;
        return;
    }
    const bool transactional = kind != RequestKind::Execute && kind != RequestKind::OutcomeQuery;
    if (transactional) {
        forgetConnection(connection);
        m_actions.emplace_back(CloseConnection{connection});
    } else {
        m_connections.at(connection).state = ConnectionState::Idle;
    }
}

void Gateway::finishExecuted(Millis now, std::uint64_t connection, std::uint64_t request,
                             const TargetAnswer &answer)
{
    const GatewayRequest &finished = m_requests.at(request).request;
    GatewayReply result{.verdict = Verdict::Ran, .results = answer.results};
    result.position = answer.position;
    switch (finished.kind) {
    case RequestKind::Begin:
        pinTransaction(connection, request, answer);
        return;
    case RequestKind::TransactionStatement:
        m_connections.at(connection).state = ConnectionState::Pinned;
        m_connections.at(connection).idleSince = now;
        reply(request, std::move(result));
        return;
    case RequestKind::Rollback:
        reply(request, std::move(result));
        break;
    case RequestKind::Commit:
        replyWhenAcknowledged(request, result);
        break;
    case RequestKind::OutcomeQuery:
        result = {.verdict = Verdict::NotRun, .cause = Cause::Cancelled};
        result.position = answer.position;
        replyWhenAcknowledged(request, result);
        break;
    case RequestKind::Execute:
        if (finished.write)
            replyWhenAcknowledged(request, result);
        else
            finishRead(now, request, answer);
        break;
    }
    releaseConnection(now, connection);
}

void Gateway::finishRead(Millis now, std::uint64_t request, const TargetAnswer &answer)
{
    const GatewayRequest &finished = m_requests.at(request).request;
    if (!answer.position.covers(finished.requiredPosition)) {
        refuse(request, m_primary ? Cause::NotPrimary : Cause::Behind);
        return;
    }
    if (finished.maxAge) {
        const std::optional<Millis> age = m_replicaAge.age(now, answer.position);
        if (!age || *age > *finished.maxAge) {
            refuse(request, Cause::TooOld);
            return;
        }
    }
    GatewayReply result{.verdict = Verdict::Ran, .results = answer.results};
    result.position = answer.position;
    reply(request, std::move(result));
}

void Gateway::finishLedgerRead(std::uint64_t request, const TargetAnswer &answer)
{
    if (answer.cause != Cause::None || answer.ledgerValue.empty()) {
        reply(request, {.verdict = Verdict::MayHaveRun, .cause = answer.cause});
        return;
    }
    // The ledger row itself may not be on a majority of the instances yet, so even the outcome of
    // an earlier request waits until it is acknowledged.
    GatewayReply result;
    result.position = answer.position;
    result.duplicate = true;
    if (ledgerOutcome(answer.ledgerValue) == LedgerRan) {
        result.verdict = Verdict::Ran;
    } else {
        result.verdict = Verdict::NotRun;
        result.cause = Cause::Cancelled;
    }
    replyWhenAcknowledged(request, result);
}

void Gateway::pinTransaction(std::uint64_t connection, std::uint64_t request,
                             const TargetAnswer &answer)
{
    const std::string id = m_options.transactionPrefix + std::to_string(++m_lastTransaction);
    Connection &info = m_connections.at(connection);
    info.state = ConnectionState::Pinned;
    info.transaction = id;
    info.idleSince = m_requests.at(request).arrived;
    m_transactions[id] = connection;
    GatewayReply result{.verdict = Verdict::Ran, .transaction = id};
    result.position = answer.position;
    reply(request, std::move(result));
}

void Gateway::releaseConnection(Millis now, std::uint64_t connection)
{
    Connection &info = m_connections.at(connection);
    m_transactions.erase(info.transaction);
    info.transaction.clear();
    info.state = ConnectionState::Idle;
    info.idleSince = now;
}

void Gateway::forgetConnection(std::uint64_t connection)
{
    const auto found = m_connections.find(connection);
    m_transactions.erase(found->second.transaction);
    m_callStartedAt.erase(connection);
    m_connections.erase(found);
}

void Gateway::replyWhenAcknowledged(std::uint64_t request, const GatewayReply &reply)
{
    if (m_majorityTracker.holds(reply.position)) {
        this->reply(request, reply);
        return;
    }
    m_requests.at(request).heldReply = reply;
    m_heldReplies.insert(request);
    pollStatus(Millis());
}

void Gateway::sendAcknowledgedReplies()
{
    const std::set<std::uint64_t> held = m_heldReplies;
    for (const std::uint64_t request : held) {
        const GatewayReply waiting = *m_requests.at(request).heldReply;
        if (m_majorityTracker.holds(waiting.position))
            reply(request, waiting);
    }
}

void Gateway::failHeldReplies(std::uint64_t belowTerm)
{
    const std::set<std::uint64_t> held = m_heldReplies;
    for (const std::uint64_t request : held) {
        const Position position = m_requests.at(request).heldReply->position;
        if (position.term < belowTerm)
            reply(request, {.verdict = Verdict::MayHaveRun, .cause = Cause::NotPrimary});
    }
}

void Gateway::reply(std::uint64_t request, GatewayReply reply)
{
    m_heldReplies.erase(request);
    m_waitingForData.erase(request);
    m_requests.erase(request);
    m_actions.emplace_back(SendReply{request, std::move(reply)});
}

void Gateway::refuse(std::uint64_t request, Cause cause)
{
    reply(request, {.verdict = Verdict::NotRun, .cause = cause, .position = m_lastKnownPosition});
}

void Gateway::recheckWaitingRequests(Millis now)
{
    const std::set<std::uint64_t> waiting = m_waitingForData;
    for (const std::uint64_t id : waiting) {
        PendingRequest &pending = m_requests.at(id);
        if (canReadRequiredData(now, pending.request)) {
            m_waitingForData.erase(id);
            enqueue(now, id);
        } else if (now >= pending.waitUntil) {
            const bool behind = !m_lastKnownPosition.covers(pending.request.requiredPosition);
            refuse(id, behind ? Cause::Behind : Cause::TooOld);
        }
    }
}

void Gateway::handleTimeouts(Millis now)
{
    for (const QueueEntry &entry : m_queue.takeExpired(now))
        refuse(entry.id, Cause::Timeout);
    const std::set<std::uint64_t> held = m_heldReplies;
    for (const std::uint64_t request : held) {
        if (now >= m_requests.at(request).request.deadline)
            reply(request, {.verdict = Verdict::MayHaveRun, .cause = Cause::Timeout});
    }
    std::vector<std::uint64_t> abandoned;
    for (const auto &entry : m_connections) {
        const Connection &connection = entry.second;
        const bool idle = now - connection.idleSince >= m_options.transactionIdleTimeout;
        if (connection.state == ConnectionState::Pinned && idle)
            abandoned.push_back(entry.first);
    }
    for (const std::uint64_t connection : abandoned) {
        forgetConnection(connection);
        m_actions.emplace_back(CloseConnection{connection});
    }
}

void Gateway::closeSurplusConnections(Millis now)
{
    std::vector<std::uint64_t> surplus;
    auto count = static_cast<int>(m_connections.size());
    for (const auto &entry : m_connections) {
        const Connection &connection = entry.second;
        if (connection.state != ConnectionState::Idle)
            continue;
        const bool unused = now - connection.idleSince >= m_options.closeAfterIdle && !m_primary;
        if (count > m_options.quota || unused) {
            surplus.push_back(entry.first);
            --count;
        }
    }
    for (const std::uint64_t connection : surplus) {
        forgetConnection(connection);
        m_actions.emplace_back(CloseConnection{connection});
    }
}

void Gateway::pollStatus(Millis delay)
{
    if (m_polling)
        return;
    m_polling = true;
    m_actions.emplace_back(PollStatus{delay});
}

std::size_t Gateway::busyConnections() const
{
    std::size_t count = 0;
    for (const auto &entry : m_connections) {
        const ConnectionState state = entry.second.state;
        count += state == ConnectionState::Running || state == ConnectionState::Pinging ? 1 : 0;
    }
    return count;
}

GatewayActions Gateway::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace cicadagap
