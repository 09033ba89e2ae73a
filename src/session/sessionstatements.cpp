// The way of a statement: where it runs, what is sent, what its caller is told.
#include "session/sessionengine.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Assumed distance to an instance that has not answered yet, by place.
constexpr Millis NearRoundTrip(2);
constexpr Millis FarRoundTrip(25);
// A sample this much younger than required is asked for, at most.
constexpr Millis MaxSampleMargin(20);
// What it costs to wait for an instance that has no connection left.
constexpr Millis ShutOutCost(400);

bool isForwarded(StatementKind kind)
{
    return kind == StatementKind::Read || kind == StatementKind::Write
        || kind == StatementKind::Execute || kind == StatementKind::Commit;
}

} // namespace

void SessionEngine::startStatement(Millis now, SessionId id, Session *session, Statement statement)
{
    const StatementKind kind = statement.kind;
    if (session->phase == SessionPhase::FailedTransaction) {
        if (kind == StatementKind::Rollback || kind == StatementKind::Commit) {
            endTransaction(now, session, /*rollBackFirst=*/true);
            answerLocally(now, id, session,
                          kind == StatementKind::Commit ? Cause::Aborted : Cause::None);
        } else {
            answerLocally(now, id, session, Cause::Invalid);
        }
        return;
    }
    if (kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly)
        beginTransaction(now, id, session, statement);
    else if (kind == StatementKind::Rollback)
        rollBack(now, id, session);
    else if (isForwarded(kind))
        startForwarded(now, id, session, std::move(statement));
    else
        answerLocally(now, id, session, session->state.apply(statement));
}

void SessionEngine::beginTransaction(Millis now, SessionId id, Session *session,
                                     const Statement &statement)
{
    if (session->transaction) {
        answerLocally(now, id, session, Cause::Invalid);
        return;
    }
    const DatabaseRoute *found = route(session->database);
    if (!found) {
        answerLocally(now, id, session, Cause::UnknownDatabase);
        return;
    }
    session->transaction = Transaction{.route = *found,
                                       .readOnly = statement.kind == StatementKind::BeginReadOnly,
                                       .lastUsed = now};
    session->phase = SessionPhase::Transaction;
    m_active.insert(id);
    answerLocally(now, id, session, Cause::None);
}

void SessionEngine::rollBack(Millis now, SessionId id, Session *session)
{
    if (!session->transaction) {
        answerLocally(now, id, session, Cause::Invalid);
        return;
    }
    endTransaction(now, session, /*rollBackFirst=*/true);
    answerLocally(now, id, session, Cause::None);
}

// Reads, writes and commits.
void SessionEngine::startForwarded(Millis now, SessionId id, Session *session, Statement statement)
{
    const bool inTransaction = session->transaction.has_value();
    const StatementKind kind = statement.kind;
    if (kind == StatementKind::Commit && !inTransaction) {
        answerLocally(now, id, session, Cause::Invalid);
        return;
    }
    Operation operation{.arrived = now};
    if (kind == StatementKind::Execute) {
        const auto prepared = session->state.prepared.find(statement.name);
        if (prepared == session->state.prepared.end()) {
            answerLocally(now, id, session, Cause::UnknownName);
            return;
        }
        operation.prepared = prepared->second;
        operation.writes = prepared->second.writes;
        statement.name = prepared->second.sharedName();
    } else {
        operation.writes = kind == StatementKind::Write;
    }
    const DatabaseRoute *found
        = inTransaction ? &session->transaction->route : route(session->database);
    if (!found) {
        answerLocally(now, id, session, Cause::UnknownDatabase);
        return;
    }
    operation.route = *found;
    const bool strict = found->consistency == Consistency::Strong;
    const bool mayWrite = inTransaction ? !session->transaction->readOnly : operation.writes;
    operation.needsPrimary = strict || mayWrite;
    operation.wrapped = !inTransaction && strict && !operation.writes;
    if (kind == StatementKind::Commit)
        operation.writes = session->transaction->wrote;
    operation.statement = std::move(statement);
    operation.deadline
        = now + std::max(found->latencyObjective * m_options.waitObjectives, m_options.minWait);
    session->operation = std::move(operation);
    m_active.insert(id);
    dispatch(now, id, session);
}

// Finds an instance for the operation, or lets it wait for a primary.
void SessionEngine::dispatch(Millis now, SessionId id, Session *session)
{
    Operation &operation = *session->operation;
    if (session->transaction && session->transaction->lost) {
        refuse(now, id, session, Cause::Aborted);
        return;
    }
    if (session->transaction && session->transaction->connection != 0) {
        runInTransaction(now, session);
        return;
    }
    operation.instance = chooseInstance(now, *session, &operation);
    if (operation.instance.empty()) {
        operation.stage = Stage::Waiting;
        return;
    }
    const Millis wait = m_pool.expectedWait(operation.instance, operation.route.priority);
    if (now + wait > operation.deadline) {
        refuse(now, id, session, Cause::Overloaded);
        return;
    }
    operation.stage = Stage::Queued;
    operation.work = nextWork();
    m_works[operation.work] = id;
    TargetWork work{.id = operation.work,
                    .priority = operation.route.priority,
                    .deadline = operation.deadline,
                    .freshAsOf = operation.freshAsOf,
                    .values = &session->state.values,
                    .prepared = operation.prepared};
    if (!m_pool.submit(now, operation.instance, std::move(work))) {
        m_works.erase(operation.work);
        if (m_pool.isDirect(operation.instance))
            refuse(now, id, session, Cause::Overloaded);
        else
            operation.stage = Stage::Waiting; // For a gateway.
    }
}

// The transaction holds its connection already.
void SessionEngine::runInTransaction(Millis now, Session *session)
{
    Operation &operation = *session->operation;
    operation.opened = true;
    operation.connection = session->transaction->connection;
    operation.work = session->transaction->work;
    operation.instance = session->transaction->instance;
    const PreparedStatement *prepared = operation.prepared ? &*operation.prepared : nullptr;
    m_pool.restore(now, operation.connection, session->state.values, prepared);
    sendOperation(now, session);
}

// The instance that is expected to answer soonest among those that may; empty if none is known.
std::string SessionEngine::chooseInstance(Millis now, const Session &session,
                                          Operation *operation) const
{
    std::string leader = m_control.primary(operation->route.group);
    operation->statement.requiredPosition.reset();
    operation->freshAsOf.reset();
    if (operation->needsPrimary)
        return leader;
    const std::optional<Position> required = requiredPosition(session, *operation);
    std::string best;
    Millis lowest;
    const PrimaryTracker *tracker = m_control.tracker(operation->route.group);
    if (tracker) {
        for (const RegisteredInstance &member : m_control.members(operation->route.group)) {
            const bool direct = m_pool.isDirect(member.id);
            const bool silent = direct
                && tracker->silentFor(now, member.id, operation->route.latencyObjective / 2);
            const bool usable
                = direct ? required.has_value() : !chooseGateway(now, member.id).empty();
            if (member.leaving || silent || !usable || operation->avoid.contains(member.id))
                continue;
            Millis distance = m_pool.roundTrip(member.id);
            const bool near = member.dataCentre == m_options.dataCentre;
            if (distance == Millis(0))
                distance = near ? NearRoundTrip : FarRoundTrip;
            Millis cost = distance + m_pool.expectedWait(member.id, operation->route.priority);
            if (m_pool.noConnectionAvailable(now, member.id))
                cost = cost + ShutOutCost;
            if (best.empty() || cost < lowest) {
                best = member.id;
                lowest = cost;
            }
        }
    }
    if (!best.empty()) {
        operation->wrapped = false;
        if (m_pool.isDirect(best)) {
            operation->statement.requiredPosition = required;
        } else {
            operation->freshAsOf = operation->arrived - operation->route.maxAge;
            if (operation->route.consistency == Consistency::ReadYourWrites
                && session.state.lastCommit.term > 0)
                operation->statement.requiredPosition = session.state.lastCommit;
        }
        return best;
    }
    // No replica is known to be recent enough: the primary itself always is.
    operation->wrapped = !session.transaction;
    return leader;
}

// What a replica's log must hold for the read; nothing if no recent sample tells.
std::optional<Position> SessionEngine::requiredPosition(const Session &session,
                                                        const Operation &operation) const
{
    const PrimaryTracker *tracker = m_control.tracker(operation.route.group);
    if (!tracker)
        return std::nullopt;
    const Millis margin = std::min(MaxSampleMargin, operation.route.maxAge / 10);
    std::optional<Position> position
        = tracker->replicaAge().coveringSince(operation.arrived - operation.route.maxAge + margin);
    if (position && operation.route.consistency == Consistency::ReadYourWrites)
        position = std::max(*position, session.state.lastCommit);
    return position;
}

void SessionEngine::onWorkStarted(Millis now, WorkId work, ConnectionId connection)
{
    if (m_control.onWorkStarted(now, work, connection)
        || m_relay.onWorkStarted(now, work, connection))
        return;
    const auto found = m_works.find(work);
    Session *session = found == m_works.end() ? nullptr : find(found->second);
    if (!session || !session->operation || session->operation->work != work) {
        m_pool.release(now, connection);
        return;
    }
    Operation &operation = *session->operation;
    operation.connection = connection;
    ++operation.attempts;
    const PreparedStatement *prepared = operation.prepared ? &*operation.prepared : nullptr;
    m_pool.restore(now, connection, session->state.values, prepared);
    if (!session->transaction && !operation.wrapped) {
        sendOperation(now, session);
        return;
    }
    Statement opening{.kind = StatementKind::Begin,
                      .requiredPosition = operation.statement.requiredPosition};
    const bool replica = operation.statement.requiredPosition || operation.freshAsOf;
    if (session->transaction && !operation.needsPrimary && replica)
        opening.kind = StatementKind::BeginReadOnly;
    operation.statement.requiredPosition.reset();
    operation.stage = Stage::Opening;
    setExpiry(now, &operation);
    m_pool.send(now, connection, SendPurpose::OpenTransaction, std::move(opening));
    operation.opened = false;
    operation.sentAhead = !m_pool.isDirect(operation.instance);
    if (operation.sentAhead)
        sendOperation(now, session);
}

// A statement has its route's time at the instance. What is relayed may wait at the gateway before.
void SessionEngine::setExpiry(Millis now, Operation *operation) const
{
    const bool waits = operation->stage != Stage::Running || !operation->opened;
    const bool relayed = !m_pool.isDirect(operation->instance);
    const Millis start = relayed && waits ? std::max(now, operation->deadline) : now;
    operation->startedAt = now;
    operation->expiresAt = start + operation->route.statementTimeout;
}

void SessionEngine::sendOperation(Millis now, Session *session)
{
    Operation &operation = *session->operation;
    operation.stage = Stage::Running;
    setExpiry(now, &operation);
    if (session->transaction) {
        session->transaction->lastUsed = now;
        session->transaction->wrote = session->transaction->wrote || operation.writes;
    }
    m_control.onRequestSent(now, operation.instance);
    m_pool.send(now, operation.connection, SendPurpose::Work, operation.statement);
    if (operation.wrapped)
        m_pool.send(now, operation.connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
}

void SessionEngine::onWorkRefused(Millis now, WorkId work, Cause cause)
{
    if (m_control.onWorkEnded(work) || m_relay.onWorkRefused(work, cause))
        return;
    const auto found = m_works.find(work);
    if (found == m_works.end())
        return;
    const SessionId id = found->second;
    m_works.erase(found);
    Session *session = find(id);
    if (session && session->operation && session->operation->work == work)
        retry(now, id, session, cause);
}

void SessionEngine::onWorkAnswer(Millis now, WorkId work, ConnectionId connection,
                                 SendPurpose purpose, StatementKind kind, Millis sentAt,
                                 const StatementAnswer &answer)
{
    if (m_relay.onWorkAnswer(now, work, purpose, answer))
        return;
    if (purpose == SendPurpose::OpenTransaction || purpose == SendPurpose::Work) {
        if (m_control.onWorkAnswer(now, work, connection, kind, sentAt, answer))
            return;
        const auto found = m_works.find(work);
        if (found == m_works.end())
            return;
        const SessionId id = found->second;
        Session *session = find(id);
        if (!session || !session->operation)
            return;
        if (purpose == SendPurpose::OpenTransaction)
            finishOpening(now, id, session, sentAt, answer);
        else
            finishWork(now, id, session, sentAt, answer);
    }
}

// The transaction around the statement was opened or refused.
void SessionEngine::finishOpening(Millis now, SessionId id, Session *session, Millis sentAt,
                                  const StatementAnswer &answer)
{
    Operation &operation = *session->operation;
    const bool mayWrite = operation.needsPrimary || operation.wrapped;
    if (answer.succeeded()) {
        operation.opened = true;
        if (mayWrite && answer.position)
            m_control.onProvenPrimary(now, operation.instance, sentAt, *answer.position);
        if (session->transaction) {
            session->transaction->connection = operation.connection;
            session->transaction->work = operation.work;
            session->transaction->instance = operation.instance;
        }
        if (!operation.sentAhead)
            sendOperation(now, session);
        return;
    }
    if (answer.cause == Cause::NotPrimary)
        m_control.onNotPrimary(now, operation.instance, sentAt);
    if (answer.phase != SessionPhase::Idle && !operation.sentAhead)
        m_pool.send(now, operation.connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
    m_pool.release(now, operation.connection);
    m_works.erase(operation.work);
    retry(now, id, session, answer.cause);
}

void SessionEngine::finishWork(Millis now, SessionId id, Session *session, Millis sentAt,
                               const StatementAnswer &answer)
{
    Operation &operation = *session->operation;
    const bool commit = operation.statement.kind == StatementKind::Commit;
    if (answer.succeeded() && operation.writes && answer.position
        && (commit || !session->transaction))
        m_control.onProvenPrimary(now, operation.instance, sentAt, *answer.position);
    if (answer.cause == Cause::NotPrimary)
        m_control.onNotPrimary(now, operation.instance, sentAt);
    if (commit) {
        finishCommit(now, id, session, answer);
        return;
    }
    if (session->transaction) {
        session->transaction->lastUsed = now;
        const bool mayWait = answer.cause == Cause::Overloaded
            && answer.phase == SessionPhase::Transaction && now < operation.deadline;
        if (mayWait) {
            note(now, "request.retried", id, *session, answer.cause);
            operation.stage = Stage::Waiting; // Sent again at the next tick.
            return;
        }
        if (answer.phase != SessionPhase::Transaction)
            endTransaction(now, session, /*rollBackFirst=*/true);
        session->phase = answer.succeeded() && answer.phase == SessionPhase::Transaction
            ? SessionPhase::Transaction
            : SessionPhase::FailedTransaction;
        deliver(now, id, session, answer);
        return;
    }
    if (answer.cause == Cause::UnknownName)
        m_pool.discard(now, operation.connection);
    else
        m_pool.release(now, operation.connection);
    m_works.erase(operation.work);
    const bool notRun = answer.cause == Cause::Overloaded || answer.cause == Cause::Behind
        || answer.cause == Cause::NotPrimary || answer.cause == Cause::UnknownName;
    const bool mayRepeat = !operation.writes && answer.cause == Cause::Failed;
    if (notRun || mayRepeat) {
        retry(now, id, session, answer.cause);
        return;
    }
    if (answer.succeeded() && operation.writes && answer.position)
        session->state.lastCommit = std::max(session->state.lastCommit, *answer.position);
    deliver(now, id, session, answer);
}

void SessionEngine::finishCommit(Millis now, SessionId id, Session *session,
                                 const StatementAnswer &answer)
{
    const Operation &operation = *session->operation;
    if (answer.succeeded() && operation.writes && answer.position)
        session->state.lastCommit = std::max(session->state.lastCommit, *answer.position);
    endTransaction(now, session, /*rollBackFirst=*/answer.phase != SessionPhase::Idle);
    deliver(now, id, session, answer);
}

// The statement has not run, or only reads. Tries elsewhere, or tells the caller that it has not
// run.
void SessionEngine::retry(Millis now, SessionId id, Session *session, Cause cause)
{
    Operation &operation = *session->operation;
    operation.connection = 0;
    operation.work = 0;
    if (cause == Cause::Behind || cause == Cause::TooOld || cause == Cause::Failed
        || cause == Cause::ConnectionLost || cause == Cause::Leaving)
        operation.avoid.insert(operation.instance);
    note(now, "request.retried", id, *session, cause);
    const bool full = cause == Cause::Overloaded;
    if ((!full && operation.attempts >= m_options.maxAttempts) || now >= operation.deadline) {
        refuse(now, id, session, Cause::Overloaded);
        return;
    }
    if (full) {
        const std::size_t tried = operation.avoid.size();
        operation.avoid.insert(operation.instance);
        const bool nowhereElse = operation.needsPrimary || operation.avoid.size() == tried
            || operation.avoid.size() >= m_control.members(operation.route.group).size();
        if (nowhereElse) {
            // Asked again at the next tick, when an instance may have room.
            operation.avoid.clear();
            operation.stage = Stage::Waiting;
            return;
        }
    }
    dispatch(now, id, session);
}

// Tells the caller that nothing of this attempt is kept.
void SessionEngine::refuse(Millis now, SessionId id, Session *session, Cause cause)
{
    note(now, "request.refused", id, *session, cause);
    if (session->transaction) {
        endTransaction(now, session, /*rollBackFirst=*/true);
        session->phase = SessionPhase::FailedTransaction;
        if (session->operation->statement.kind == StatementKind::Commit)
            session->phase = SessionPhase::Idle;
    }
    deliver(now, id, session, {.cause = cause});
}

// The connection failed or the time is over while the statement ran.
void SessionEngine::failRunning(Millis now, SessionId id, Session *session, Cause cause, bool sent)
{
    Operation &operation = *session->operation;
    const bool commit = operation.statement.kind == StatementKind::Commit;
    m_works.erase(operation.work);
    if (session->transaction) {
        session->transaction->connection = 0;
        const bool uncertain = sent && commit && operation.writes;
        endTransaction(now, session, /*rollBackFirst=*/false);
        session->phase = commit ? SessionPhase::Idle : SessionPhase::FailedTransaction;
        note(now, "request.failed", id, *session, uncertain ? cause : Cause::Aborted);
        deliver(now, id, session, {.cause = uncertain ? cause : Cause::Aborted});
        return;
    }
    if (!operation.writes && cause == Cause::ConnectionLost) {
        retry(now, id, session, cause);
        return;
    }
    note(now, "request.failed", id, *session, cause);
    deliver(now, id, session, {.cause = cause});
}

void SessionEngine::onWorkConnectionLost(Millis now, WorkId work, ConnectionId connection,
                                         bool workSent)
{
    static_cast<void>(connection);
    if (m_control.onWorkEnded(work) || m_relay.onWorkConnectionLost(work, workSent))
        return;
    const auto found = m_works.find(work);
    Session *session = found == m_works.end() ? nullptr : find(found->second);
    if (!session)
        return;
    const SessionId id = found->second;
    if (!session->operation || session->operation->work != work) {
        if (session->transaction && session->transaction->work == work) {
            session->transaction->connection = 0;
            session->transaction->lost = true;
            m_works.erase(work);
        }
        return;
    }
    if (session->transaction && session->transaction->connection != 0) {
        failRunning(now, id, session, Cause::ConnectionLost, workSent);
        return;
    }
    const bool running = session->operation->stage == Stage::Running;
    if (!running || !workSent) {
        m_works.erase(work);
        retry(now, id, session, Cause::ConnectionLost);
        return;
    }
    failRunning(now, id, session, Cause::ConnectionLost, /*sent=*/true);
}

void SessionEngine::onTargetOpening(Millis now, const std::string &instance)
{
    m_control.onRequestSent(now, instance);
}

void SessionEngine::onTargetReceived(Millis now, const std::string &instance)
{
    m_control.onReceived(now, instance);
}

void SessionEngine::onTargetConnectionFailed(Millis now, const std::string &instance)
{
    m_control.onConnectionFailed(now, instance);
}

void SessionEngine::deliver(Millis now, SessionId id, Session *session, StatementAnswer answer)
{
    answer.phase = session->phase;
    note(now, answer.succeeded() ? "request.answered" : "request.ended", id, *session,
         answer.cause);
    session->operation.reset();
    if (!session->transaction)
        m_active.erase(id);
    m_output->answerCaller(id, answer);
    startPending(now, id);
}

void SessionEngine::answerLocally(Millis now, SessionId id, Session *session, Cause cause)
{
    if (!session->transaction)
        m_active.erase(id);
    m_output->answerCaller(id, {.cause = cause, .phase = session->phase});
    startPending(now, id);
}

void SessionEngine::startPending(Millis now, SessionId id)
{
    Session *session = find(id);
    if (!session || session->operation || session->pending.empty())
        return;
    Statement next = std::move(session->pending.front());
    session->pending.pop_front();
    startStatement(now, id, session, std::move(next));
}

// Gives the transaction's connection back. The session's phase becomes Idle.
void SessionEngine::endTransaction(Millis now, Session *session, bool rollBackFirst)
{
    session->phase = SessionPhase::Idle;
    if (!session->transaction)
        return;
    const Transaction transaction = *std::exchange(session->transaction, std::nullopt);
    m_works.erase(transaction.work);
    if (transaction.connection == 0)
        return;
    if (rollBackFirst)
        m_pool.send(now, transaction.connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
    m_pool.release(now, transaction.connection);
}

} // namespace cicadagap
