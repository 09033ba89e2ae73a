#include "session/relaygateway.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace {

// Moves the session's state out of the batch. It is restored later, as far as the connection that
// will serve the batch does not hold it already.
void extractSessionState(std::vector<RelayedStatement> *statements, SessionValues *values,
                         RelayedNames *prepared)
{
    std::erase_if(*statements, [&](const RelayedStatement &entry) {
        if (entry.purpose != SendPurpose::Restore)
            return false;
        const Statement &statement = entry.statement;
        switch (statement.kind) {
        case StatementKind::Reset:
            values->clear();
            prepared->clear();
            break;
        case StatementKind::SetValue:
            (*values)[statement.name] = statement.argument;
            break;
        case StatementKind::Prepare:
            (*prepared)[statement.name]
                = {.shape = statement.argument, .writes = statement.preparesWrite};
            break;
        case StatementKind::Deallocate:
            prepared->erase(statement.name);
            break;
        default:
            break;
        }
        return true;
    });
}

// The prepared statement that an Execute runs; null if the origin has prepared none under its name,
// and for statements of other kinds.
const PreparedStatement *executedBy(const Statement &statement, const RelayedNames &prepared)
{
    if (statement.kind != StatementKind::Execute)
        return nullptr;
    const auto found = prepared.find(statement.name);
    return found == prepared.end() ? nullptr : &found->second;
}

// Whether the statement is a caller's, not a command or one that the origin itself added.
bool isCallers(const RelayedStatement &entry)
{
    const StatementKind kind = entry.statement.kind;
    return entry.purpose == SendPurpose::Work
        && (kind == StatementKind::Read || kind == StatementKind::Write
            || kind == StatementKind::Execute || kind == StatementKind::Commit);
}

bool isWrite(const Statement &statement, const RelayedNames &prepared)
{
    const PreparedStatement *executed = executedBy(statement, prepared);
    return statement.kind == StatementKind::Write || (executed && executed->writes);
}

// The prepared statement that the batch executes; null if it executes none.
const PreparedStatement *executedByBatch(const std::vector<RelayedStatement> &statements,
                                         const RelayedNames &prepared)
{
    for (const RelayedStatement &entry : statements) {
        if (const PreparedStatement *executed = executedBy(entry.statement, prepared))
            return executed;
    }
    return nullptr;
}

// Why a batch cannot be run, given its statements without those that restore the session's state;
// None if it can.
Cause refusal(const std::vector<RelayedStatement> &statements, const RelayedNames &prepared)
{
    // No answer would end its channel.
    if (statements.empty())
        return Cause::Invalid;
    const bool executesUnknownName
        = std::any_of(statements.begin(), statements.end(), [&](const RelayedStatement &entry) {
              return entry.statement.kind == StatementKind::Execute
                  && !executedBy(entry.statement, prepared);
          });
    return executesUnknownName ? Cause::UnknownName : Cause::None;
}

// Whether the batch consists of a single write outside of a transaction, besides statements that
// restore the session's state.
bool onlyWrites(std::vector<RelayedStatement> statements)
{
    SessionValues values;
    RelayedNames prepared;
    extractSessionState(&statements, &values, &prepared);
    return !statements.empty()
        && std::all_of(statements.begin(), statements.end(), [&](const RelayedStatement &entry) {
               return entry.purpose == SendPurpose::Work && isWrite(entry.statement, prepared);
           });
}

} // namespace

RelayGateway::RelayGateway(TargetPool *pool, std::function<WorkId()> nextWork,
                           GroupKnowledge *groups, LogStatement logStatement)
    : m_pool(pool)
    , m_nextWork(std::move(nextWork))
    , m_groups(groups)
    , m_logStatement(std::move(logStatement))
{
}

void RelayGateway::onBatch(Millis now, RelayBatch batch, Reply reply)
{
    if (!batch.primaryAge) {
        startBatch(now, std::move(batch), std::move(reply));
        return;
    }
    const Millis primaryAsOf = now - *batch.primaryAge;
    const Millis deadline = now + batch.maxWait;
    const bool writes = onlyWrites(batch.statements);
    m_unproven.push_back({.batch = std::move(batch),
                          .reply = std::move(reply),
                          .primaryAsOf = primaryAsOf,
                          .deadline = deadline,
                          .onlyWrites = writes});
    startProvenBatches(now);
}

void RelayGateway::startProvenBatches(Millis now)
{
    for (UnprovenBatch &waiting : std::exchange(m_unproven, {})) {
        switch (admit(now, waiting)) {
        case Admission::Start:
            waiting.batch.maxWait = std::max(Millis(1), waiting.deadline - now);
            startBatch(now, std::move(waiting.batch), std::move(waiting.reply));
            break;
        case Admission::Refuse:
            waiting.reply({.ended = true, .cause = Cause::NotPrimary});
            break;
        case Admission::Wait:
            if (now < waiting.deadline && m_pool->isDirect(waiting.batch.instance))
                m_unproven.push_back(std::move(waiting));
            else
                waiting.reply({.ended = true, .cause = Cause::Overloaded});
            break;
        }
    }
}

RelayGateway::Admission RelayGateway::admit(Millis now, const UnprovenBatch &waiting)
{
    const RelayBatch &batch = waiting.batch;
    if (m_groups->mayServe(now, batch.instance, waiting.primaryAsOf, waiting.onlyWrites))
        return Admission::Start;
    return m_groups->anotherIsPrimary(batch.instance) ? Admission::Refuse : Admission::Wait;
}

void RelayGateway::startBatch(Millis now, RelayBatch batch, Reply reply)
{
    const ChannelKey key{batch.origin, batch.channel};
    if (batch.continues && !m_channels.contains(key)) {
        // This process started after the transaction began, or has ended the transaction.
        reply({.ended = true, .cause = Cause::NoTransaction});
        return;
    }
    std::optional<Position> required;
    if (batch.maxAge) {
        required = m_groups->positionCovering(batch.instance, now - *batch.maxAge);
        if (!required) {
            reply({.ended = true, .cause = Cause::TooOld});
            return;
        }
    }
    const auto [found, isNew] = m_channels.try_emplace(key);
    Channel &channel = found->second;
    if (!isNew && channel.tenant != batch.tenant) {
        reply({.ended = true, .cause = Cause::NoTransaction});
        return;
    }
    // A batch that begins a channel must not join another one's transaction.
    if (channel.respond || (!isNew && !batch.continues)) {
        reply({.ended = true, .cause = Cause::Busy});
        return;
    }
    channel.respond = std::move(reply);
    channel.reply = {};
    channel.lastUsed = now;
    channel.statements = std::move(batch.statements);
    extractSessionState(&channel.statements, &channel.values, &channel.prepared);
    if (const Cause cause = refusal(channel.statements, channel.prepared); cause != Cause::None) {
        if (channel.connection != 0)
            m_pool->discard(now, channel.connection);
        endChannel(key, cause, /*sent=*/false);
        return;
    }
    if (required && !channel.statements.empty()) {
        std::optional<Position> &after = channel.statements.front().statement.requiredPosition;
        if (!after || *after <= *required)
            channel.acceptedAge = batch.maxAge;
        after = std::max(after.value_or(*required), *required);
    }
    if (!isNew) {
        sendBatch(now, &channel);
        return;
    }
    channel.instance = batch.instance;
    channel.tenant = batch.tenant;
    channel.work = m_nextWork();
    m_channelByWork[channel.work] = key;
    channel.onlyReads = batch.maxAge.has_value();
    // Only commands may run on the connections of any tenant.
    const bool hasCallersStatement
        = std::any_of(channel.statements.begin(), channel.statements.end(), isCallers);
    TargetWork work{.id = channel.work,
                    .priority = batch.priority,
                    .deadline = now + batch.maxWait,
                    .needsSlot = batch.needsSlot || hasCallersStatement,
                    .tenant = batch.tenant,
                    .values = &channel.values};
    if (const PreparedStatement *executed = executedByBatch(channel.statements, channel.prepared))
        work.prepared = *executed;
    if (!m_pool->isDirect(batch.instance) || !m_pool->submit(now, batch.instance, std::move(work)))
        endChannel(key, Cause::Overloaded, /*sent=*/false);
}

void RelayGateway::onDropped(Millis now, const std::string &origin, std::uint64_t channelId)
{
    const ChannelKey key{origin, channelId};
    std::erase_if(m_unproven, [&](const UnprovenBatch &waiting) {
        return waiting.batch.origin == origin && waiting.batch.channel == channelId;
    });
    const auto found = m_channels.find(key);
    if (found == m_channels.end())
        return;
    const Channel &channel = found->second;
    if (channel.connection != 0)
        m_pool->discard(now, channel.connection);
    else
        m_pool->cancel(channel.work);
    endChannel(key, Cause::ConnectionLost, /*sent=*/true);
}

void RelayGateway::onTick(Millis now, Millis limit)
{
    std::vector<ChannelKey> idle;
    for (const auto &[key, channel] : m_channels) {
        if (!channel.respond && now - channel.lastUsed > limit)
            idle.push_back(key);
    }
    for (const ChannelKey &key : idle)
        onDropped(now, key.first, key.second);
    startProvenBatches(now);
}

bool RelayGateway::onWorkStarted(Millis now, WorkId work, ConnectionId connection)
{
    ChannelKey key;
    Channel *channel = find(work, &key);
    if (!channel)
        return false;
    channel->connection = connection;
    sendBatch(now, channel);
    return true;
}

void RelayGateway::sendBatch(Millis now, Channel *channel)
{
    m_pool->restore(now, channel->connection, channel->values,
                    executedByBatch(channel->statements, channel->prepared));
    channel->unanswered = channel->statements.size();
    const bool opensTransaction = !channel->statements.empty()
        && channel->statements.front().purpose == SendPurpose::OpenTransaction;
    if (!opensTransaction) {
        sendStatements(now, channel);
        return;
    }
    RelayedStatement opening = std::move(channel->statements.front());
    channel->statements.erase(channel->statements.begin());
    m_pool->send(now, channel->connection, opening.purpose, std::move(opening.statement));
}

void RelayGateway::sendStatements(Millis now, Channel *channel)
{
    channel->sendsWrite = false;
    for (RelayedStatement &entry : std::exchange(channel->statements, {})) {
        Statement &statement = entry.statement;
        const bool writes = isWrite(statement, channel->prepared);
        channel->sendsWrite = channel->sendsWrite || writes;
        if (statement.kind == StatementKind::Commit || writes)
            channel->writeSentAt = now;
        // The origin's name is valid on its channel only, not on this host's connection.
        if (const PreparedStatement *executed = executedBy(statement, channel->prepared))
            statement.name = m_pool->restore(now, channel->connection, channel->values, executed);
        if (isCallers(entry))
            log(*channel, entry);
        m_pool->send(now, channel->connection, entry.purpose, std::move(statement));
    }
}

void RelayGateway::log(const Channel &channel, const RelayedStatement &entry) const
{
    const Statement &statement = entry.statement;
    const auto &[origin, channelId] = m_channelByWork.at(channel.work);
    RelayedStatementEvent event{.request = statement.id,
                                .origin = origin,
                                .channel = channelId,
                                .instance = channel.instance,
                                .connection = channel.connection};
    if (statement.kind == StatementKind::Execute)
        event.preparedName = statement.name;
    m_logStatement(event);
}

std::map<std::string, Millis> RelayGateway::oldestWrites() const
{
    std::map<std::string, Millis> oldest;
    for (const auto &[key, channel] : m_channels) {
        if (!channel.writeSentAt
            || !m_groups->concernsPrimary(channel.instance, *channel.writeSentAt))
            continue;
        Millis &since = oldest.emplace(channel.instance, *channel.writeSentAt).first->second;
        since = std::min(since, *channel.writeSentAt);
    }
    return oldest;
}

bool RelayGateway::onWorkRefused(WorkId work, Cause cause)
{
    ChannelKey key;
    if (!find(work, &key))
        return false;
    // To the origin, Leaving would mean that this host leaves.
    endChannel(key, cause == Cause::Leaving ? Cause::Overloaded : cause, /*sent=*/false);
    return true;
}

bool RelayGateway::onWorkAnswer(Millis now, WorkId work, SendPurpose purpose, StatementKind kind,
                                Millis sentAt, const StatementAnswer &answer)
{
    ChannelKey key;
    Channel *channel = find(work, &key);
    if (!channel)
        return false;
    if (purpose == SendPurpose::Restore)
        return true;
    channel->lastUsed = now;
    if (purpose == SendPurpose::OpenTransaction && answer.succeeded()
        && !m_pool->takesNewWork(now, channel->instance)) {
        // The instance's time to leave has ended meanwhile: the transaction must not begin.
        m_pool->send(now, channel->connection, SendPurpose::CloseTransaction,
                     {.kind = StatementKind::Rollback});
        m_pool->release(now, channel->connection);
        endChannel(key, Cause::Overloaded, /*sent=*/false);
        return true;
    }
    // The success of a write outside of a transaction, or of a transaction's commit, acknowledges a
    // commit.
    const bool writes
        = channel->sendsWrite && (kind == StatementKind::Write || kind == StatementKind::Execute);
    channel->wrote = channel->wrote || (writes && answer.succeeded());
    const bool committed = answer.succeeded() && answer.phase == SessionPhase::Idle
        && channel->wrote && (writes || kind == StatementKind::Commit);
    if (committed)
        m_groups->onCommitAcknowledged(channel->instance, sentAt);
    channel->reply.answers.push_back(answer);
    --channel->unanswered;
    if (answer.cause == Cause::UnknownName) {
        // The instance lacks a name that this host takes the connection to hold.
        m_pool->discard(now, channel->connection);
        endChannel(key, Cause::UnknownName, /*sent=*/false);
        return true;
    }
    const bool refused = purpose == SendPurpose::OpenTransaction && !answer.succeeded();
    if (refused) {
        // The statements that were to run inside the transaction must not run.
        channel->statements.clear();
        channel->unanswered = 0;
    }
    if (purpose == SendPurpose::OpenTransaction)
        sendStatements(now, channel);
    if (channel->unanswered > 0)
        return true;
    channel->writeSentAt.reset();
    if (answer.phase == SessionPhase::Idle) {
        m_pool->release(now, channel->connection);
        endChannel(key, Cause::None, /*sent=*/!refused);
        return true;
    }
    const Reply respond = std::exchange(channel->respond, nullptr);
    respond(std::exchange(channel->reply, {}));
    return true;
}

bool RelayGateway::onWorkConnectionLost(WorkId work, bool workSent)
{
    ChannelKey key;
    if (!find(work, &key))
        return false;
    endChannel(key, Cause::ConnectionLost, workSent);
    return true;
}

std::optional<Millis> RelayGateway::takeAcceptedAge(WorkId work, SendPurpose purpose)
{
    const auto found = m_channelByWork.find(work);
    const bool concerned = purpose == SendPurpose::OpenTransaction || purpose == SendPurpose::Work;
    if (!concerned || found == m_channelByWork.end())
        return std::nullopt;
    return std::exchange(m_channels.at(found->second).acceptedAge, std::nullopt);
}

bool RelayGateway::onlyReads(WorkId work) const
{
    const auto found = m_channelByWork.find(work);
    if (found == m_channelByWork.end())
        return false;
    const Channel &channel = m_channels.at(found->second);
    return channel.onlyReads;
}

// Ends the channel, and replies if a batch is in progress. Its connection has been given back or is
// lost.
void RelayGateway::endChannel(const ChannelKey &key, Cause cause, bool sent)
{
    const auto found = m_channels.find(key);
    if (found == m_channels.end())
        return;
    Channel channel = std::move(found->second);
    m_channels.erase(found);
    m_channelByWork.erase(channel.work);
    if (!channel.respond)
        return;
    channel.reply.ended = true;
    channel.reply.cause = cause;
    channel.reply.sent = sent;
    channel.respond(std::move(channel.reply));
}

RelayGateway::Channel *RelayGateway::find(WorkId work, ChannelKey *key)
{
    const auto found = m_channelByWork.find(work);
    if (found == m_channelByWork.end())
        return nullptr;
    *key = found->second;
    return &m_channels.at(found->second);
}

} // namespace cicadagap
