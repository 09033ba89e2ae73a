#include "connection/gateway.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

constexpr int MaxOpening = 2;          // Connections opened at a time.
constexpr int UnpinnedConnections = 2; // Never given to transactions.
constexpr Millis FirstOpenBackoff(20);
constexpr Millis StatusRetry(50);
constexpr Millis SampleRetry(50); // Between fetches of the primary's position.
constexpr double ServiceSmoothing = 0.1;
constexpr std::string_view LedgerRan = "ran";
constexpr std::string_view LedgerCancelled = "cancelled";

// The ledger holds "<expiry in milliseconds since 1970> <outcome>".
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

GatewayActions Gateway::submit(Millis now, GatewayRequest work)
{
    const std::uint64_t id = work.id;
    const Cause cause = refusal(now, work);
    WorkState &state = m_works[id];
    state.work = std::move(work);
    state.arrived = now;
    if (cause != Cause::None) {
        refuse(id, cause);
        return takeActions();
    }
    if (!state.work.transaction.empty()) {
        continueTransaction(now, state.work);
        return takeActions();
    }
    if (state.work.maxAge)
        refreshSample(now, *state.work.maxAge);
    if (hasData(now, state.work))
        enqueue(now, id);
    else
        waitForData(now, &state);
    pump(now);
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
    pump(now);
    return takeActions();
}

GatewayActions Gateway::onOpenFailed(Millis now, std::uint64_t connection)
{
    m_connections.erase(connection);
    m_openBackoff = std::clamp(m_openBackoff * 2, FirstOpenBackoff, m_options.maxOpenBackoff);
    m_openAfter = now + m_openBackoff;
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
    Connection &state = found->second;
    m_known = std::max(m_known, answer.position);
    if (state.state == ConnectionState::Pinging)
        start(now, connection, state.work);
    else if (state.state == ConnectionState::Running)
        finishStep(now, connection, answer);
    pump(now);
    return takeActions();
}

GatewayActions Gateway::onConnectionLost(Millis now, std::uint64_t connection, bool sent)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return takeActions();
    const Connection state = found->second;
    discard(connection);
    m_actions.emplace_back(ReportFailure{});
    if (state.state == ConnectionState::Pinging) {
        enqueue(now, state.work); // Nothing of the work was sent.
    } else if (state.state == ConnectionState::Running) {
        const RequestKind kind = m_works.at(state.work).work.kind;
        if (kind == RequestKind::TransactionStatement)
            refuse(state.work, Cause::NoTransaction);
        else if (kind == RequestKind::Rollback)
            reply(state.work, {.verdict = Verdict::Ran}); // The target rolls back on its own.
        else if (kind == RequestKind::Begin || !sent)
            refuse(state.work, Cause::Unreachable);
        else
            reply(state.work, {.verdict = Verdict::MayHaveRun, .cause = Cause::ConnectionLost});
    }
    pump(now);
    return takeActions();
}

GatewayActions Gateway::onStatus(Millis now, Millis sentAt, const InstanceReport &report)
{
    m_polling = false;
    m_known = std::max(m_known, report.last);
    m_leaving = m_leaving || report.leaving;
    m_majorityTracker.observe(report.name, report.term, report.last);
    std::vector<Millis> heard;
    for (const ReplicaSummary &replica : report.replicas) {
        m_majorityTracker.observe(replica.name, replica.term, replica.last);
        if (replica.term == report.term)
            heard.push_back(replica.sinceLastContact);
    }
    // A majority, the primary included, was still in the term this long before the answer.
    const std::size_t others = m_options.groupSize / 2;
    if (report.primary && heard.size() >= others) {
        std::sort(heard.begin(), heard.end());
        const Millis age = others == 0 ? Millis() : heard[others - 1];
        m_replicaAge.addSample(sentAt - age, report.last);
    }
    releaseConfirmed();
    if (!report.primary && report.term > m_term)
        failHeld(report.term);
    retryWaiting(now);
    if (!m_held.empty())
        poll(m_options.pollInterval);
    else if (!m_waiting.empty())
        poll(m_options.pollInterval * 2);
    pump(now);
    return takeActions();
}

GatewayActions Gateway::onStatusFailed(Millis)
{
    m_polling = false;
    m_actions.emplace_back(ReportFailure{});
    if (!m_held.empty() || !m_waiting.empty())
        poll(StatusRetry);
    return takeActions();
}

GatewayActions Gateway::onPositionSample(Millis now, Millis at, Position primaryLast)
{
    m_replicaAge.addSample(at, primaryLast);
    retryWaiting(now);
    pump(now);
    return takeActions();
}

GatewayActions Gateway::onPositionSampleRequested(Millis now)
{
    const std::optional<Millis> newest = m_replicaAge.newestSample();
    if (!newest || now - *newest >= SampleRetry)
        poll(Millis());
    return takeActions();
}

GatewayActions Gateway::onTick(Millis now)
{
    expire(now);
    retryWaiting(now);
    closeSurplus(now);
    pump(now);
    return takeActions();
}

GatewayActions Gateway::setRole(Millis now, std::uint64_t term, bool primary, bool leaving)
{
    if (term < m_term)
        return takeActions();
    const bool lostLead = m_primary && !primary;
    m_leaving = leaving;
    m_primary = primary;
    if (term > m_term) {
        m_term = term;
        failHeld(term);
    }
    if (lostLead) {
        for (const QueueEntry &entry : m_queue.takeAll()) {
            if (m_works.at(entry.id).work.replicaAllowed)
                enqueue(now, entry.id);
            else
                refuse(entry.id, Cause::NotPrimary);
        }
    }
    pump(now);
    return takeActions();
}

GatewayActions Gateway::setQuota(Millis now, int quota)
{
    m_options.quota = quota;
    closeSurplus(now);
    pump(now);
    return takeActions();
}

Gateway::Counters Gateway::counters() const
{
    return {m_queue.size(), busy(), m_connections.size(), m_transactions.size(), m_held.size()};
}

Cause Gateway::refusal(Millis now, const GatewayRequest &work) const
{
    if (now >= work.deadline)
        return Cause::Timeout;
    if (!work.transaction.empty()) {
        const auto found = m_transactions.find(work.transaction);
        if (found == m_transactions.end())
            return Cause::NoTransaction;
        const Connection &connection = m_connections.at(found->second);
        return connection.state == ConnectionState::Pinned ? Cause::None : Cause::Busy;
    }
    if (m_leaving || m_draining)
        return Cause::Leaving;
    if (!work.replicaAllowed && (!m_primary || work.requiredPosition.term > m_term))
        return Cause::NotPrimary;
    // Waiting for the back-off to end would only keep the work from going elsewhere.
    if (!hasLiveConnection() && now < m_openAfter)
        return Cause::Unreachable;
    return tooLate(now, work) ? Cause::Overloaded : Cause::None;
}

bool Gateway::hasLiveConnection() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second.state != ConnectionState::Opening;
    });
}

bool Gateway::tooLate(Millis now, const GatewayRequest &work) const
{
    const double ahead = static_cast<double>(m_queue.entriesAhead(work.priorityClass));
    const double wait = ahead * m_serviceMs / m_options.slots;
    return wait > static_cast<double>((work.deadline - now).count());
}

bool Gateway::hasData(Millis now, const GatewayRequest &work) const
{
    if (work.replicaAllowed && !m_known.covers(work.requiredPosition))
        return false;
    if (!work.maxAge)
        return true;
    const std::optional<Millis> age = m_replicaAge.age(now, m_known);
    return age && *age <= *work.maxAge;
}

void Gateway::waitForData(Millis now, WorkState *state)
{
    state->waitUntil = std::min(state->work.deadline, now + m_options.replicaWait);
    m_waiting.insert(state->work.id);
    poll(Millis());
}

void Gateway::refreshSample(Millis now, Millis maxAge)
{
    // Half the accepted age is left for the fetch, so that reads seldom wait for it.
    const std::optional<Millis> newest = m_replicaAge.newestSample();
    const bool due = !newest || now - *newest >= maxAge / 2;
    if (!due || now < m_nextFetch)
        return;
    m_nextFetch = now + SampleRetry;
    if (m_primary)
        poll(Millis());
    else
        m_actions.emplace_back(FetchPositionSample{});
}

void Gateway::enqueue(Millis now, std::uint64_t id)
{
    const WorkState &state = m_works.at(id);
    const QueueEntry entry{id, state.arrived, state.work.deadline};
    if (now >= state.work.deadline)
        refuse(id, Cause::Timeout);
    else if (!m_queue.push(state.work.priorityClass, entry))
        refuse(id, Cause::Overloaded);
}

void Gateway::pump(Millis now)
{
    const auto slots = static_cast<std::size_t>(m_options.slots);
    const auto reserved = static_cast<std::size_t>(m_options.reservedSlots);
    while (m_queue.size() > 0 && busy() < slots) {
        std::uint64_t connection = 0;
        if (!idleConnection(&connection))
            break;
        const bool topOnly = busy() + reserved >= slots;
        const std::optional<QueueEntry> next = m_queue.pop(now, topOnly);
        if (!next)
            break;
        const bool pins = m_works.at(next->id).work.kind == RequestKind::Begin;
        const int free = m_options.quota - static_cast<int>(m_transactions.size());
        if (pins && free <= UnpinnedConnections)
            refuse(next->id, Cause::Overloaded);
        else
            assign(now, connection, next->id);
    }
    openMore(now);
}

Gateway::Connection *Gateway::idleConnection(std::uint64_t *id)
{
    // The one used last is the least likely to have gone silent.
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

void Gateway::openMore(Millis now)
{
    if (now < m_openAfter)
        return;
    int opening = 0;
    int pinned = 0;
    for (const auto &entry : m_connections) {
        opening += entry.second.state == ConnectionState::Opening ? 1 : 0;
        pinned += entry.second.transaction.empty() ? 0 : 1;
    }
    // Enough for every slot besides the pinned ones; the rest of the quota is for transactions.
    const bool wanted = m_primary || !m_works.empty() || !m_connections.empty();
    const int target = wanted ? std::min(m_options.quota, m_options.slots + pinned) : 0;
    while (opening < MaxOpening && static_cast<int>(m_connections.size()) < target) {
        const std::uint64_t id = ++m_lastConnection;
        m_connections[id] = Connection{};
        m_actions.emplace_back(OpenConnection{id});
        ++opening;
    }
}

void Gateway::assign(Millis now, std::uint64_t connection, std::uint64_t work)
{
    Connection &state = m_connections.at(connection);
    state.work = work;
    if (now - state.idleSince < m_options.idlePing) {
        start(now, connection, work);
        return;
    }
    state.state = ConnectionState::Pinging;
    TargetCall ping;
    ping.connection = connection;
    ping.kind = TargetCallKind::Ping;
    ping.timeout = m_options.pingTimeout;
    m_actions.emplace_back(std::move(ping));
}

void Gateway::start(Millis now, std::uint64_t connection, std::uint64_t work)
{
    const GatewayRequest &started = m_works.at(work).work;
    if (now >= started.deadline) {
        refuse(work, Cause::Timeout);
        release(now, connection);
        return;
    }
    TargetCallKind callKind = TargetCallKind::Execute;
    if (started.kind == RequestKind::Begin)
        callKind = TargetCallKind::Begin;
    m_startedAt[connection] = now;
    call(now, connection, callKind, started);
}

void Gateway::call(Millis now, std::uint64_t connection, TargetCallKind callKind,
                   const GatewayRequest &work)
{
    Connection &state = m_connections.at(connection);
    state.state = ConnectionState::Running;
    state.callKind = callKind;
    state.work = work.id;
    TargetCall call;
    call.connection = connection;
    call.kind = callKind;
    call.term = m_term;
    call.readOnly = work.replicaAllowed;
    call.inTransaction = work.kind == RequestKind::TransactionStatement;
    call.operations = work.operations;
    call.requestId = work.requestId;
    const bool writesLedger
        = callKind == TargetCallKind::Execute || callKind == TargetCallKind::Commit;
    if (writesLedger && !work.requestId.empty())
        call.ledgerValue = work.kind == RequestKind::OutcomeQuery ? LedgerCancelled : LedgerRan;
    call.timeout = callTimeout(now, work);
    m_actions.emplace_back(std::move(call));
}

Millis Gateway::callTimeout(Millis now, const GatewayRequest &work) const
{
    const Millis left = std::max(Millis(1), work.deadline - now);
    // What may be sent again leaves time for that, in case this connection has gone silent.
    const bool isRead = work.kind == RequestKind::Execute && !work.write;
    const bool marked = !work.requestId.empty() && work.kind != RequestKind::TransactionStatement;
    return isRead || marked ? std::min(left, m_options.attempt) : left;
}

void Gateway::continueTransaction(Millis now, const GatewayRequest &work)
{
    const std::uint64_t connection = m_transactions.at(work.transaction);
    TargetCallKind callKind = TargetCallKind::Execute;
    if (work.kind == RequestKind::Commit)
        callKind = TargetCallKind::Commit;
    if (work.kind == RequestKind::Rollback)
        callKind = TargetCallKind::Rollback;
    m_startedAt[connection] = now;
    call(now, connection, callKind, work);
}

void Gateway::finishStep(Millis now, std::uint64_t connection, const TargetAnswer &answer)
{
    const Connection &state = m_connections.at(connection);
    const std::uint64_t work = state.work;
    const auto started = m_startedAt.find(connection);
    if (started != m_startedAt.end()) {
        const auto took = static_cast<double>((now - started->second).count());
        m_serviceMs += ServiceSmoothing * (std::max(took, 1.0) - m_serviceMs);
        m_startedAt.erase(started);
    }
    if (state.callKind == TargetCallKind::ReadLedger) {
        finishLedger(work, answer);
        release(now, connection);
        return;
    }
    const bool inTransaction = m_works.at(work).work.kind == RequestKind::TransactionStatement;
    if (answer.cause == Cause::Conflict && answer.ledgerConflict && inTransaction) {
        m_connections.at(connection).state = ConnectionState::Pinned;
        m_connections.at(connection).idleSince = now;
        refuse(work, Cause::Duplicate);
        return;
    }
    if (answer.cause == Cause::Conflict && answer.ledgerConflict) {
        // Somebody was first under this request id; the ledger tells what became of it.
        call(now, connection, TargetCallKind::ReadLedger, m_works.at(work).work);
        return;
    }
    if (answer.cause != Cause::None)
        finishFailed(connection, work, answer);
    else
        finishExecuted(now, connection, work, answer);
}

void Gateway::finishFailed(std::uint64_t connection, std::uint64_t work, const TargetAnswer &answer)
{
    if (answer.cause == Cause::Leaving)
        m_leaving = true;
    const RequestKind kind = m_works.at(work).work.kind;
    refuse(work, answer.cause);
    // A failed statement leaves its transaction open; anything else that fails leaves the
    // connection in a state that is not known.
    const bool statement = answer.cause == Cause::Conflict || answer.cause == Cause::Invalid;
    if (kind == RequestKind::TransactionStatement && statement) {
        m_connections.at(connection).state = ConnectionState::Pinned;
        return;
    }
    const bool transactional = kind != RequestKind::Execute && kind != RequestKind::OutcomeQuery;
    if (transactional) {
        discard(connection);
        m_actions.emplace_back(CloseConnection{connection});
    } else {
        m_connections.at(connection).state = ConnectionState::Idle;
    }
}

void Gateway::finishExecuted(Millis now, std::uint64_t connection, std::uint64_t work,
                             const TargetAnswer &answer)
{
    const GatewayRequest &finished = m_works.at(work).work;
    GatewayReply result{.verdict = Verdict::Ran, .results = answer.results};
    result.position = answer.position;
    switch (finished.kind) {
    case RequestKind::Begin:
        pin(connection, work, answer);
        return;
    case RequestKind::TransactionStatement:
        m_connections.at(connection).state = ConnectionState::Pinned;
        m_connections.at(connection).idleSince = now;
        reply(work, std::move(result));
        return;
    case RequestKind::Rollback:
        reply(work, std::move(result));
        break;
    case RequestKind::Commit:
        holdOrReply(work, result);
        break;
    case RequestKind::OutcomeQuery:
        result = {.verdict = Verdict::NotRun, .cause = Cause::Cancelled};
        result.position = answer.position;
        holdOrReply(work, result);
        break;
    case RequestKind::Execute:
        if (finished.write)
            holdOrReply(work, result);
        else
            finishRead(now, work, answer);
        break;
    }
    release(now, connection);
}

void Gateway::finishRead(Millis now, std::uint64_t work, const TargetAnswer &answer)
{
    const GatewayRequest &finished = m_works.at(work).work;
    if (!answer.position.covers(finished.requiredPosition)) {
        refuse(work, m_primary ? Cause::NotPrimary : Cause::Behind);
        return;
    }
    if (finished.maxAge) {
        const std::optional<Millis> age = m_replicaAge.age(now, answer.position);
        if (!age || *age > *finished.maxAge) {
            refuse(work, Cause::TooOld);
            return;
        }
    }
    GatewayReply result{.verdict = Verdict::Ran, .results = answer.results};
    result.position = answer.position;
    reply(work, std::move(result));
}

void Gateway::finishLedger(std::uint64_t work, const TargetAnswer &answer)
{
    if (answer.cause != Cause::None || answer.ledgerValue.empty()) {
        reply(work, {.verdict = Verdict::MayHaveRun, .cause = answer.cause});
        return;
    }
    // The row may not be acknowledged yet, so even an old outcome waits for the majority.
    GatewayReply result;
    result.position = answer.position;
    result.duplicate = true;
    if (ledgerOutcome(answer.ledgerValue) == LedgerRan) {
        result.verdict = Verdict::Ran;
    } else {
        result.verdict = Verdict::NotRun;
        result.cause = Cause::Cancelled;
    }
    holdOrReply(work, result);
}

void Gateway::pin(std::uint64_t connection, std::uint64_t work, const TargetAnswer &answer)
{
    const std::string id = m_options.transactionPrefix + std::to_string(++m_lastTransaction);
    Connection &state = m_connections.at(connection);
    state.state = ConnectionState::Pinned;
    state.transaction = id;
    state.idleSince = m_works.at(work).arrived;
    m_transactions[id] = connection;
    GatewayReply result{.verdict = Verdict::Ran, .transaction = id};
    result.position = answer.position;
    reply(work, std::move(result));
}

void Gateway::release(Millis now, std::uint64_t connection)
{
    Connection &state = m_connections.at(connection);
    m_transactions.erase(state.transaction);
    state.transaction.clear();
    state.state = ConnectionState::Idle;
    state.idleSince = now;
}

void Gateway::discard(std::uint64_t connection)
{
    const auto found = m_connections.find(connection);
    m_transactions.erase(found->second.transaction);
    m_startedAt.erase(connection);
    m_connections.erase(found);
}

void Gateway::holdOrReply(std::uint64_t work, const GatewayReply &reply)
{
    if (m_majorityTracker.holds(reply.position)) {
        this->reply(work, reply);
        return;
    }
    m_works.at(work).held = reply;
    m_held.insert(work);
    poll(Millis());
}

void Gateway::releaseConfirmed()
{
    const std::set<std::uint64_t> held = m_held;
    for (const std::uint64_t work : held) {
        const GatewayReply waiting = *m_works.at(work).held;
        if (m_majorityTracker.holds(waiting.position))
            reply(work, waiting);
    }
}

void Gateway::failHeld(std::uint64_t belowTerm)
{
    const std::set<std::uint64_t> held = m_held;
    for (const std::uint64_t work : held) {
        const Position position = m_works.at(work).held->position;
        if (position.term < belowTerm)
            reply(work, {.verdict = Verdict::MayHaveRun, .cause = Cause::NotPrimary});
    }
}

void Gateway::reply(std::uint64_t work, GatewayReply reply)
{
    m_held.erase(work);
    m_waiting.erase(work);
    m_works.erase(work);
    m_actions.emplace_back(SendReply{work, std::move(reply)});
}

void Gateway::refuse(std::uint64_t work, Cause cause)
{
    reply(work, {.verdict = Verdict::NotRun, .cause = cause, .position = m_known});
}

void Gateway::retryWaiting(Millis now)
{
    const std::set<std::uint64_t> waiting = m_waiting;
    for (const std::uint64_t id : waiting) {
        WorkState &state = m_works.at(id);
        if (hasData(now, state.work)) {
            m_waiting.erase(id);
            enqueue(now, id);
        } else if (now >= state.waitUntil) {
            const bool behind = !m_known.covers(state.work.requiredPosition);
            refuse(id, behind ? Cause::Behind : Cause::TooOld);
        }
    }
}

void Gateway::expire(Millis now)
{
    for (const QueueEntry &entry : m_queue.takeExpired(now))
        refuse(entry.id, Cause::Timeout);
    const std::set<std::uint64_t> held = m_held;
    for (const std::uint64_t work : held) {
        if (now >= m_works.at(work).work.deadline)
            reply(work, {.verdict = Verdict::MayHaveRun, .cause = Cause::Timeout});
    }
    std::vector<std::uint64_t> abandoned;
    for (const auto &entry : m_connections) {
        const Connection &connection = entry.second;
        const bool idle = now - connection.idleSince >= m_options.transactionIdle;
        if (connection.state == ConnectionState::Pinned && idle)
            abandoned.push_back(entry.first);
    }
    for (const std::uint64_t connection : abandoned) {
        discard(connection);
        m_actions.emplace_back(CloseConnection{connection});
    }
}

void Gateway::closeSurplus(Millis now)
{
    std::vector<std::uint64_t> surplus;
    auto count = static_cast<int>(m_connections.size());
    for (const auto &entry : m_connections) {
        const Connection &connection = entry.second;
        if (connection.state != ConnectionState::Idle)
            continue;
        const bool unused = now - connection.idleSince >= m_options.idleClose && !m_primary;
        if (count > m_options.quota || unused) {
            surplus.push_back(entry.first);
            --count;
        }
    }
    for (const std::uint64_t connection : surplus) {
        discard(connection);
        m_actions.emplace_back(CloseConnection{connection});
    }
}

void Gateway::poll(Millis delay)
{
    if (m_polling)
        return;
    m_polling = true;
    m_actions.emplace_back(PollStatus{delay});
}

std::size_t Gateway::busy() const
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
