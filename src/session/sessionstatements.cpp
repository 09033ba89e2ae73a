// The part of SessionEngine that runs statements: chooses where each one runs, sends it, retries
// it, and answers its caller.
#include "session/sessionengine.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// The position sample that a read requires is younger than the database's maximum age by a margin
// of at most this.
constexpr Millis MaxSampleMargin(20);

// Whether the statement runs on an instance; the system answers the other kinds itself.
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
    if (statement.refusal != Cause::None)
        refuseAtOnce(now, id, session, statement);
    else if (kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly)
        beginTransaction(now, id, session, statement);
    else if (kind == StatementKind::Rollback)
        rollBack(now, id, session);
    else if (isForwarded(kind))
        startForwarded(now, id, session, std::move(statement));
    else
        applyToSession(now, id, session, std::move(statement));
}

// Handles a statement that changes only what the session holds.
void SessionEngine::applyToSession(Millis now, SessionId id, Session *session, Statement statement)
{
    const Cause cause = session->state.apply(statement);
    if (cause != Cause::TooLong) {
        answerLocally(now, id, session, cause);
        return;
    }
    statement.refusal = cause;
    refuseAtOnce(now, id, session, statement);
}

// Answers a statement that no instance can get. A transaction around it is lost, as it would be if
// an instance had refused the statement.
void SessionEngine::refuseAtOnce(Millis now, SessionId id, Session *session,
                                 const Statement &statement)
{
    logEvent(now, "request.refused", id, *session, statement.refusal, statement.id);
    if (session->transaction) {
        endTransaction(now, session, /*rollBackFirst=*/true);
        session->phase = SessionPhase::FailedTransaction;
    }
    answerLocally(now, id, session, statement.refusal);
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
    std::optional<std::string> tenant = tenantFor(session->key, *found);
    if (!tenant) {
        logEvent(now, "request.refused", id, *session, Cause::UnknownKey, statement.id);
        answerLocally(now, id, session, Cause::UnknownKey);
        return;
    }
    session->transaction = Transaction{.route = *found,
                                       .tenant = std::move(*tenant),
                                       .readOnly = statement.kind == StatementKind::BeginReadOnly,
                                       .beganAt = now,
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

// Starts a read, write or commit: everything that runs on an instance.
void SessionEngine::startForwarded(Millis now, SessionId id, Session *session, Statement statement)
{
    const bool inTransaction = session->transaction.has_value();
    const StatementKind kind = statement.kind;
    if (kind == StatementKind::Commit && !inTransaction) {
        answerLocally(now, id, session, Cause::Invalid);
        return;
    }
    Operation operation{.arrivedAt = now};
    if (kind == StatementKind::Execute) {
        const auto prepared = session->state.prepared.find(statement.name);
        if (prepared == session->state.prepared.end()) {
            answerLocally(now, id, session, Cause::UnknownName);
            return;
        }
        operation.prepared = prepared->second;
        operation.writes = prepared->second.writes;
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
    const bool strong = found->consistency == Consistency::Strong;
    const bool mayWrite = inTransaction ? !session->transaction->readOnly : operation.writes;
    operation.needsPrimary = strong || mayWrite;
    operation.inInternalTransaction = !inTransaction && strong && !operation.writes;
    if (kind == StatementKind::Commit)
        operation.writes = session->transaction->wrote;
    operation.seesCommitsOf = inTransaction ? session->transaction->beganAt : now;
    if (!strong)
        operation.seesCommitsOf = operation.seesCommitsOf - found->maxAge;
    operation.statement = std::move(statement);
    operation.deadline
        = now + std::max(found->latencyObjective * m_options.waitObjectives, m_options.minWait);
    session->operation = std::move(operation);
    m_active.insert(id);
    dispatch(now, id, session);
}

// Chooses an instance and queues the operation for it, or lets the operation wait until one can be
// chosen.
void SessionEngine::dispatch(Millis now, SessionId id, Session *session)
{
    Operation &operation = *session->operation;
    if (session->transaction && session->transaction->lost) {
        refuse(now, id, session, Cause::Aborted);
        return;
    }
    if (!updateTenant(session)) {
        logEvent(now, "request.key-withdrawn", id, *session, Cause::UnknownKey);
        // A transaction's caller is told that nothing of it is kept.
        refuse(now, id, session, session->transaction ? Cause::Aborted : Cause::UnknownKey);
        return;
    }
    const Admission::Outcome admission = admit(now, session);
    if (admission == Admission::Outcome::Refused) {
        refuse(now, id, session, Cause::QuotaExceeded);
        return;
    }
    if (admission == Admission::Outcome::Waiting) {
        operation.stage = Stage::Waiting; // It is admitted again at the next tick.
        return;
    }
    if (session->transaction && session->transaction->connection != 0) {
        if (mayUseTransaction(now, *session->transaction)) {
            runInTransaction(now, session);
            return;
        }
        giveUpOpening(now, session);
    }
    operation.instance = chooseInstance(now, *session, &operation);
    if (operation.instance.empty()) {
        operation.stage = Stage::Waiting;
        return;
    }
    const Millis wait
        = m_pool.expectedWait(operation.instance, operation.route.priority, operation.tenant);
    if (now + wait > operation.deadline) {
        refuse(now, id, session, Cause::Overloaded);
        return;
    }
    operation.stage = Stage::Queued;
    operation.work = nextWork();
    m_sessionByWork[operation.work] = id;
    TargetWork work{.id = operation.work,
                    .priority = operation.route.priority,
                    .deadline = operation.deadline,
                    .freshAsOf = operation.freshAsOf,
                    .tenant = operation.tenant,
                    .values = &session->state.values,
                    .prepared = operation.prepared};
    const bool onReplica
        = operation.freshAsOf || (!operation.needsPrimary && operation.statement.requiredPosition);
    if (!m_options.fencedPromotions && !onReplica)
        work.primaryAsOf = operation.seesCommitsOf;
    if (!m_pool.submit(now, operation.instance, std::move(work))) {
        m_sessionByWork.erase(operation.work);
        if (m_pool.isDirect(operation.instance))
            refuse(now, id, session, Cause::Overloaded);
        else
            operation.stage = Stage::Waiting; // No gateway can be used now.
    }
}

// Whether the quota of the tenant admits the operation; a transaction is admitted once, with its
// first statement.
Admission::Outcome SessionEngine::admit(Millis now, Session *session)
{
    Operation &operation = *session->operation;
    bool &admitted = session->transaction ? session->transaction->admitted : operation.admitted;
    if (admitted || !m_quota.hasLimits(operation.tenant))
        return Admission::Outcome::Admitted;
    const Admission admission = m_quota.admit(now, operation.tenant, operation.quotaWaiting);
    admitted = admission.outcome == Admission::Outcome::Admitted;
    if (admission.outcome == Admission::Outcome::Waiting && !operation.quotaWaiting)
        operation.quotaWaiting = now;
    return admission.outcome;
}

// Whether the transaction may go on where it was opened. Its first statement counts as new work.
bool SessionEngine::mayUseTransaction(Millis now, const Transaction &transaction) const
{
    return transaction.hasRun || m_pool.takesNewWork(now, transaction.instance);
}

// Gives up a transaction on an instance in which nothing has run, so that it can be opened on
// another one.
void SessionEngine::giveUpOpening(Millis now, Session *session)
{
    Transaction &transaction = *session->transaction;
    m_pool.send(now, transaction.connection, SendPurpose::CloseTransaction,
                {.kind = StatementKind::Rollback});
    m_pool.release(now, transaction.connection);
    m_sessionByWork.erase(transaction.work);
    transaction.connection = 0;
    transaction.work = 0;
    transaction.instance.clear();
}

// Sends the operation on the connection that its transaction has already.
void SessionEngine::runInTransaction(Millis now, Session *session)
{
    Operation &operation = *session->operation;
    operation.transactionOpened = true;
    operation.connection = session->transaction->connection;
    operation.work = session->transaction->work;
    operation.instance = session->transaction->instance;
    restoreState(now, session);
    sendOperation(now, session);
}

// Makes the operation's connection hold the session's state. An EXECUTE then carries the name that
// its prepared statement has there.
void SessionEngine::restoreState(Millis now, Session *session)
{
    Operation &operation = *session->operation;
    const PreparedStatement *prepared = operation.prepared ? &*operation.prepared : nullptr;
    const std::string name
        = m_pool.restore(now, operation.connection, session->state.values, prepared);
    operation.gateway = m_pool.gatewayOf(operation.connection);
    if (!prepared)
        return;
    operation.statement.name = name;
    if (operation.gateway.empty())
        operation.preparedName = name;
}

// The instance that is expected to answer soonest among those that may serve the operation; empty
// if none can be chosen now. Sets what the instance's data has to include for a read.
std::string SessionEngine::chooseInstance(Millis now, const Session &session, Operation *operation)
{
    operation->statement.requiredPosition.reset();
    operation->freshAsOf.reset();
    if (operation->needsPrimary) {
        // A transaction finds its session's commits at the primary, unless that was replaced.
        const bool own = operation->route.consistency == Consistency::ReadYourWrites;
        if (!m_options.fencedPromotions && own && session.transaction
            && session.state.lastCommit.term > 0)
            operation->statement.requiredPosition = session.state.lastCommit;
        return usablePrimary(now, session, *operation);
    }
    const std::optional<Position> required = requiredPosition(session, *operation);
    std::vector<std::string> names;
    std::vector<InstanceCandidate> candidates;
    const PrimaryTracker *tracker = m_control.tracker(operation->route.group);
    if (tracker) {
        for (const RegisteredInstance &member : m_control.members(operation->route.group)) {
            const bool direct = m_pool.isDirect(member.id);
            const bool silent = direct
                && tracker->silentFor(now, member.id, operation->route.latencyObjective / 2);
            const bool usable = direct ? required.has_value()
                                       : !chooseGateway(now, member.id, operation->tenant).empty();
            const bool behind = m_lag.isBehind(now, member.id, operation->route.maxAge);
            if (member.leaving || silent || !usable || behind
                || operation->excludedInstances.contains(member.id))
                continue;
            names.push_back(member.id);
            candidates.push_back(candidate(now, member, *operation));
        }
    }
    if (const std::optional<std::size_t> chosen = m_choice.choose(candidates)) {
        const std::string &best = names[*chosen];
        operation->inInternalTransaction = false;
        if (m_pool.isDirect(best)) {
            operation->statement.requiredPosition = required;
        } else {
            operation->freshAsOf = operation->arrivedAt - operation->route.maxAge;
            if (operation->route.consistency == Consistency::ReadYourWrites
                && session.state.lastCommit.term > 0)
                operation->statement.requiredPosition = session.state.lastCommit;
        }
        return best;
    }
    // No instance is known to hold recent enough data. The primary always does.
    operation->inInternalTransaction = !session.transaction;
    return usablePrimary(now, session, *operation);
}

// What is known of an instance for the choice.
InstanceCandidate SessionEngine::candidate(Millis now, const RegisteredInstance &member,
                                           const Operation &operation) const
{
    InstanceCandidate candidate{
        .sameDataCentre = member.dataCentre == m_options.dataCentre,
        .roundTrip = m_pool.roundTrip(member.id),
        .ownWait = m_pool.expectedWait(member.id, operation.route.priority, operation.tenant),
        .noConnection = m_pool.noConnectionAvailable(now, member.id),
        .share = m_outliers.share(now, member.id)};
    const std::optional<LoadReports::Received> report = m_loadReports.newest(member.id);
    if (report && !m_pool.isDirect(member.id)) {
        candidate.report = {.wait = report->load.wait, .age = now - report->at};
        candidate.sentSince
            = m_pool.waitForSentSince(member.id, report->at, report->load.serviceTime);
    }
    return candidate;
}

// The primary, if it holds all that the operation has to see; empty while that is not known. Behind
// a gateway, the gateway makes sure of it.
std::string SessionEngine::usablePrimary(Millis now, const Session &session,
                                         const Operation &operation)
{
    std::string primary = m_control.primary(operation.route.group);
    if (!m_pool.takesNewWork(now, primary))
        return {};
    if (m_options.fencedPromotions || !m_pool.isDirect(primary))
        return primary;
    const bool onlyWrites = operation.writes && !session.transaction;
    const bool usable = m_control.mayServe(now, primary, operation.seesCommitsOf, onlyWrites);
    return usable ? primary : std::string();
}

// The position that a replica's log must hold for the read; nothing if there is no sample of the
// primary's position that is recent enough to tell.
std::optional<Position> SessionEngine::requiredPosition(const Session &session,
                                                        const Operation &operation) const
{
    const PrimaryTracker *tracker = m_control.tracker(operation.route.group);
    if (!tracker)
        return std::nullopt;
    const Millis margin = std::min(MaxSampleMargin, operation.route.maxAge / 10);
    std::optional<Position> position = tracker->replicaAge().coveringSince(
        operation.arrivedAt - operation.route.maxAge + margin);
    if (position && operation.route.consistency == Consistency::ReadYourWrites)
        position = std::max(*position, session.state.lastCommit);
    return position;
}

void SessionEngine::onWorkStarted(Millis now, WorkId work, ConnectionId connection)
{
    if (m_control.onWorkStarted(now, work, connection)
        || m_relayGateway.onWorkStarted(now, work, connection))
        return;
    const auto found = m_sessionByWork.find(work);
    Session *session = found == m_sessionByWork.end() ? nullptr : find(found->second);
    if (!session || !session->operation || session->operation->work != work) {
        m_pool.release(now, connection);
        return;
    }
    Operation &operation = *session->operation;
    operation.connection = connection;
    ++operation.attempts;
    restoreState(now, session);
    if (!session->transaction && !operation.inInternalTransaction) {
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
    operation.transactionOpened = false;
    operation.sentWithOpening = !m_pool.isDirect(operation.instance);
    if (operation.sentWithOpening)
        sendOperation(now, session);
}

// Sets when the operation times out: the instance has the statement timeout of the database to
// answer. A relayed statement that is not running yet may wait at the gateway before that.
void SessionEngine::setExpiry(Millis now, Operation *operation) const
{
    const bool mayStillWait = operation->stage != Stage::Running || !operation->transactionOpened;
    const bool relayed = !m_pool.isDirect(operation->instance);
    const Millis start = relayed && mayStillWait ? std::max(now, operation->deadline) : now;
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
    if (operation.inInternalTransaction)
        m_pool.send(now, operation.connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
}

void SessionEngine::onWorkRefused(Millis now, WorkId work, Cause cause)
{
    if (m_control.onWorkEnded(work) || m_relayGateway.onWorkRefused(work, cause))
        return;
    const auto found = m_sessionByWork.find(work);
    if (found == m_sessionByWork.end())
        return;
    const SessionId id = found->second;
    m_sessionByWork.erase(found);
    Session *session = find(id);
    if (!session || !session->operation || session->operation->work != work)
        return;
    if (cause == Cause::NotPrimary)
        m_control.onNotPrimary(now, session->operation->instance, session->operation->startedAt);
    // The gateway knows that the instance lags.
    if (cause == Cause::Behind)
        noteLag(now, session->operation->instance, session->operation->route.maxAge, cause);
    // The gateway had no room for it, or the instance refused it there.
    if (cause == Cause::Overloaded && !m_pool.isDirect(session->operation->instance))
        m_outliers.onAnswer(now, session->operation->instance, AnswerQuality::Refused);
    // Sent again, the statement would be refused again.
    if (cause == Cause::TooLong)
        refuse(now, id, session, Cause::TooLong);
    else if (cause == Cause::Invalid)
        refuse(now, id, session, Cause::Overloaded);
    else
        retry(now, id, session, cause);
}

void SessionEngine::onWorkAnswer(Millis now, WorkId work, ConnectionId connection,
                                 SendPurpose purpose, StatementKind kind, Millis sentAt,
                                 const StatementAnswer &answer)
{
    recordEvidence(now, connection, purpose, sentAt, answer);
    recordQuality(now, m_pool.instanceOf(connection), purpose, kind, sentAt, answer.cause);
    if (const std::optional<Millis> age = m_relayGateway.takeAcceptedAge(work, purpose))
        noteLag(now, m_pool.instanceOf(connection), *age, answer.cause);
    if (m_relayGateway.onWorkAnswer(now, work, purpose, kind, sentAt, answer))
        return;
    if (purpose == SendPurpose::OpenTransaction || purpose == SendPurpose::Work) {
        if (m_control.onWorkAnswer(now, work, connection, kind, sentAt, answer))
            return;
        const auto found = m_sessionByWork.find(work);
        if (found == m_sessionByWork.end())
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

// What the answer to a read, or to its transaction's opening, tells about the lag of the replica.
void SessionEngine::recordLag(Millis now, const Session &session, const StatementAnswer &answer)
{
    const Operation &operation = *session.operation;
    if (operation.needsPrimary || operation.inInternalTransaction)
        return;
    // A replica that lacks the session's own commit may be recent enough for other sessions.
    const bool own = operation.route.consistency == Consistency::ReadYourWrites
        && session.state.lastCommit.term > 0;
    if (answer.cause == Cause::Behind && own
        && (!answer.position || session.state.lastCommit > *answer.position))
        return;
    noteLag(now, operation.instance, operation.route.maxAge, answer.cause);
}

// Takes the result of a read that accepts data of the given age.
void SessionEngine::noteLag(Millis now, const std::string &instance, Millis maxAge, Cause cause)
{
    std::string_view event;
    if (cause == Cause::Behind && m_lag.onBehind(now, instance, maxAge))
        event = "replica.behind";
    else if (cause == Cause::None && m_lag.onServed(instance, maxAge))
        event = "replica.caught-up";
    const RegisteredInstance *known = m_instances.find(instance);
    if (!event.empty() && known)
        m_output->logGroupEvent(known->group, event, instance, 0,
                                "reads of data up to " + std::to_string(maxAge.count())
                                    + " ms old");
}

// What an answer to callers' work tells about the instance. Answers to the system's own commands
// don't count, nor do those that depend on the caller's session or on the group's primary.
void SessionEngine::recordQuality(Millis now, const std::string &instance, SendPurpose purpose,
                                  StatementKind kind, Millis sentAt, Cause cause)
{
    const bool opens = purpose == SendPurpose::OpenTransaction;
    if (!opens && (purpose != SendPurpose::Work || !isForwarded(kind)))
        return;
    if (cause == Cause::None)
        m_outliers.onAnswer(now, instance, AnswerQuality::Good);
    else if (cause == Cause::Overloaded)
        m_outliers.onAnswer(now, instance, AnswerQuality::Refused);
    else if (cause == Cause::Failed || cause == Cause::Timeout)
        m_outliers.onAnswer(now, instance, AnswerQuality::Failed);
    // Behind a gateway, the gateway reports the time: this host's contains the wait there.
    if (kind == StatementKind::Read && cause == Cause::None && m_pool.isDirect(instance))
        m_outliers.onServiceTime(now, instance, now - sentAt);
}

// Every answer shows where the instance's log ended, which matters only without fenced promotions.
void SessionEngine::recordEvidence(Millis now, ConnectionId connection, SendPurpose purpose,
                                   Millis sentAt, const StatementAnswer &answer)
{
    if (!m_options.fencedPromotions && answer.position && purpose != SendPurpose::Restore)
        m_control.onPosition(now, m_pool.instanceOf(connection), sentAt, *answer.position);
}

// Handles the answer to the opening of the transaction around the statement.
void SessionEngine::finishOpening(Millis now, SessionId id, Session *session, Millis sentAt,
                                  const StatementAnswer &answer)
{
    recordLag(now, *session, answer);
    Operation &operation = *session->operation;
    const bool mayWrite = operation.needsPrimary || operation.inInternalTransaction;
    // The time of an instance that leaves may have ended since the opening was sent. A gateway has
    // seen to that already.
    const bool tooLate = answer.succeeded() && !operation.sentWithOpening
        && !m_pool.takesNewWork(now, operation.instance);
    // So may the caller's key have been withdrawn, or given to another tenant.
    const bool withdrawn = answer.succeeded() && !operation.sentWithOpening
        && tenantFor(*session) != operation.tenant;
    if (answer.succeeded() && !tooLate && !withdrawn) {
        operation.transactionOpened = true;
        if (mayWrite && answer.position)
            m_control.onProvenPrimary(now, operation.instance, sentAt, *answer.position);
        if (session->transaction) {
            session->transaction->connection = operation.connection;
            session->transaction->work = operation.work;
            session->transaction->instance = operation.instance;
        }
        if (!operation.sentWithOpening)
            sendOperation(now, session);
        return;
    }
    // A primary that lacks a commit of the session was replaced.
    const bool replaced = operation.needsPrimary && answer.cause == Cause::Behind;
    if (answer.cause == Cause::NotPrimary || replaced)
        m_control.onNotPrimary(now, operation.instance, sentAt);
    if (answer.phase != SessionPhase::Idle && !operation.sentWithOpening)
        m_pool.send(now, operation.connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
    m_pool.release(now, operation.connection);
    m_sessionByWork.erase(operation.work);
    if (withdrawn)
        retry(now, id, session, Cause::UnknownKey);
    else
        retry(now, id, session, tooLate ? Cause::Leaving : answer.cause);
}

void SessionEngine::finishWork(Millis now, SessionId id, Session *session, Millis sentAt,
                               const StatementAnswer &answer)
{
    if (!session->transaction)
        recordLag(now, *session, answer);
    Operation &operation = *session->operation;
    const bool commit = operation.statement.kind == StatementKind::Commit;
    if (answer.succeeded() && operation.writes && answer.position
        && (commit || !session->transaction)) {
        m_control.onProvenPrimary(now, operation.instance, sentAt, *answer.position);
        m_control.onCommitAcknowledged(operation.instance, sentAt);
    }
    if (answer.cause == Cause::NotPrimary)
        m_control.onNotPrimary(now, operation.instance, sentAt);
    if (commit) {
        finishCommit(now, id, session, answer);
        return;
    }
    if (session->transaction && answer.cause == Cause::UnknownName) {
        // The session prepared it, so to its caller it is not unknown.
        refuse(now, id, session, Cause::Aborted);
        return;
    }
    if (session->transaction) {
        session->transaction->lastUsed = now;
        session->transaction->hasRun = session->transaction->hasRun || answer.succeeded();
        const bool mayWait = answer.cause == Cause::Overloaded
            && answer.phase == SessionPhase::Transaction && now < operation.deadline;
        if (mayWait) {
            logEvent(now, "request.retried", id, *session, answer.cause);
            operation.stage = Stage::Waiting; // It is sent again at the next tick.
            return;
        }
        if (answer.phase != SessionPhase::Transaction)
            endTransaction(now, session, /*rollBackFirst=*/true);
        session->phase = answer.succeeded() && answer.phase == SessionPhase::Transaction
            ? SessionPhase::Transaction
            : SessionPhase::FailedTransaction;
        answerOperation(now, id, session, answer);
        return;
    }
    m_pool.release(now, operation.connection);
    m_sessionByWork.erase(operation.work);
    const bool notRun = answer.cause == Cause::Overloaded || answer.cause == Cause::Behind
        || answer.cause == Cause::NotPrimary || answer.cause == Cause::UnknownName;
    const bool mayRepeat = !operation.writes && answer.cause == Cause::Failed;
    if (notRun || mayRepeat) {
        retry(now, id, session, answer.cause);
        return;
    }
    if (answer.succeeded() && operation.writes && answer.position)
        session->state.lastCommit = std::max(session->state.lastCommit, *answer.position);
    answerOperation(now, id, session, answer);
}

void SessionEngine::finishCommit(Millis now, SessionId id, Session *session,
                                 const StatementAnswer &answer)
{
    const Operation &operation = *session->operation;
    if (answer.succeeded() && operation.writes && answer.position)
        session->state.lastCommit = std::max(session->state.lastCommit, *answer.position);
    endTransaction(now, session, /*rollBackFirst=*/answer.phase != SessionPhase::Idle);
    answerOperation(now, id, session, answer);
}

// Tries a statement again that has not run or only reads, possibly on another instance. If there is
// no time or attempt left, answers the caller that it has not run.
void SessionEngine::retry(Millis now, SessionId id, Session *session, Cause cause)
{
    logEvent(now, "request.retried", id, *session, cause);
    Operation &operation = *session->operation;
    operation.connection = 0;
    operation.gateway.clear();
    operation.preparedName.clear();
    operation.work = 0;
    const bool mayHaveRun = cause == Cause::Failed
        || (cause == Cause::ConnectionLost && operation.stage == Stage::Running);
    if (mayHaveRun) {
        // It counts again.
        (session->transaction ? session->transaction->admitted : operation.admitted) = false;
        operation.quotaWaiting.reset();
    }
    if (cause == Cause::Behind || cause == Cause::TooOld || cause == Cause::Failed
        || cause == Cause::ConnectionLost || cause == Cause::Leaving)
        operation.excludedInstances.insert(operation.instance);
    const bool overloaded = cause == Cause::Overloaded;
    if ((!overloaded && operation.attempts >= m_options.maxAttempts) || now >= operation.deadline) {
        refuse(now, id, session, Cause::Overloaded);
        return;
    }
    if (overloaded) {
        const std::size_t excludedBefore = operation.excludedInstances.size();
        operation.excludedInstances.insert(operation.instance);
        const bool noOtherInstance = operation.needsPrimary
            || operation.excludedInstances.size() == excludedBefore
            || operation.excludedInstances.size()
                >= m_control.members(operation.route.group).size();
        if (noOtherInstance) {
            // Tried again at the next tick, when an instance may have room.
            operation.excludedInstances.clear();
            operation.stage = Stage::Waiting;
            return;
        }
    }
    dispatch(now, id, session);
}

// Answers the caller with the cause and ends its transaction, if any: the statement has not run,
// and nothing of the transaction is kept.
void SessionEngine::refuse(Millis now, SessionId id, Session *session, Cause cause)
{
    logEvent(now, "request.refused", id, *session, cause);
    if (session->transaction) {
        endTransaction(now, session, /*rollBackFirst=*/true);
        session->phase = SessionPhase::FailedTransaction;
        if (session->operation->statement.kind == StatementKind::Commit)
            session->phase = SessionPhase::Idle;
    }
    answerOperation(now, id, session, {.cause = cause});
}

// Handles the loss of the connection, or a timeout, while the statement was running. `sent` tells
// whether it may have reached the instance.
void SessionEngine::failSentOperation(Millis now, SessionId id, Session *session, Cause cause,
                                      bool sent)
{
    Operation &operation = *session->operation;
    const bool commit = operation.statement.kind == StatementKind::Commit;
    m_sessionByWork.erase(operation.work);
    if (session->transaction) {
        session->transaction->connection = 0;
        const bool uncertain = sent && commit && operation.writes;
        endTransaction(now, session, /*rollBackFirst=*/false);
        session->phase = commit ? SessionPhase::Idle : SessionPhase::FailedTransaction;
        logEvent(now, "request.failed", id, *session, uncertain ? cause : Cause::Aborted);
        answerOperation(now, id, session, {.cause = uncertain ? cause : Cause::Aborted});
        return;
    }
    if (!operation.writes && cause == Cause::ConnectionLost) {
        retry(now, id, session, cause);
        return;
    }
    logEvent(now, "request.failed", id, *session, cause);
    answerOperation(now, id, session, {.cause = cause});
}

void SessionEngine::onWorkConnectionLost(Millis now, WorkId work, ConnectionId connection,
                                         bool workSent)
{
    static_cast<void>(connection);
    if (m_control.onWorkEnded(work) || m_relayGateway.onWorkConnectionLost(work, workSent))
        return;
    const auto found = m_sessionByWork.find(work);
    Session *session = found == m_sessionByWork.end() ? nullptr : find(found->second);
    if (!session)
        return;
    const SessionId id = found->second;
    if (!session->operation || session->operation->work != work) {
        if (session->transaction && session->transaction->work == work) {
            session->transaction->connection = 0;
            session->transaction->lost = true;
            m_sessionByWork.erase(work);
        }
        return;
    }
    if (session->transaction && session->transaction->connection != 0) {
        failSentOperation(now, id, session, Cause::ConnectionLost, workSent);
        return;
    }
    const bool running = session->operation->stage == Stage::Running;
    if (!running || !workSent) {
        m_sessionByWork.erase(work);
        retry(now, id, session, Cause::ConnectionLost);
        return;
    }
    failSentOperation(now, id, session, Cause::ConnectionLost, /*sent=*/true);
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
    m_outliers.onAnswer(now, instance, AnswerQuality::Failed);
}

void SessionEngine::onNamePrepared(const NewPreparedName &prepared)
{
    m_output->logNewName(prepared);
}

void SessionEngine::answerOperation(Millis now, SessionId id, Session *session,
                                    StatementAnswer answer)
{
    answer.phase = session->phase;
    logEvent(now, answer.succeeded() ? "request.answered" : "request.ended", id, *session,
             answer.cause);
    session->operation.reset();
    if (!session->transaction)
        m_active.erase(id);
    m_output->answerCaller(id, answer);
    if (m_drainingSince)
        m_answered.insert(id);
    startNextPending(now, id);
}

void SessionEngine::answerLocally(Millis now, SessionId id, Session *session, Cause cause)
{
    if (!session->transaction)
        m_active.erase(id);
    m_output->answerCaller(id, {.cause = cause, .phase = session->phase});
    if (m_drainingSince)
        m_answered.insert(id);
    startNextPending(now, id);
}

void SessionEngine::startNextPending(Millis now, SessionId id)
{
    Session *session = find(id);
    if (!session || session->operation || session->pending.empty())
        return;
    Statement next = std::move(session->pending.front());
    session->pending.pop_front();
    startStatement(now, id, session, std::move(next));
}

// Ends the session's transaction and gives its connection back, after a rollback if
// `rollBackFirst`. The session's phase becomes Idle.
void SessionEngine::endTransaction(Millis now, Session *session, bool rollBackFirst)
{
    session->phase = SessionPhase::Idle;
    if (!session->transaction)
        return;
    const Transaction transaction = *std::exchange(session->transaction, std::nullopt);
    m_sessionByWork.erase(transaction.work);
    if (transaction.connection == 0)
        return;
    if (rollBackFirst)
        m_pool.send(now, transaction.connection, SendPurpose::CloseTransaction,
                    {.kind = StatementKind::Rollback});
    m_pool.release(now, transaction.connection);
}

} // namespace cicadagap
