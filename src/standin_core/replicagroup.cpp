#include "standin_core/replicagroup.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cicadagap {

namespace {

// Between attempts to send a commit to a replica that has not received it yet.
constexpr Millis ResendInterval(100);
// From the moment at which a replaced primary can reach its successor until it stops leading.
constexpr Millis DemotionDelay(1000);

// Whether the transaction began in a term of which the instance is no longer primary.
bool lostPrimaryRole(const GroupInstance &instance, const InstanceConnection &connection)
{
    return connection.phase == SessionPhase::Transaction && !connection.readOnly
        && (!instance.primary || instance.term != connection.beganTerm);
}

bool writes(const Statement &statement, const InstanceConnection &connection)
{
    if (statement.kind != StatementKind::Execute)
        return statement.kind == StatementKind::Write;
    const auto prepared = connection.prepared.find(statement.name);
    return prepared != connection.prepared.end() && prepared->second.writes;
}

bool isReadOrWrite(StatementKind kind)
{
    return kind == StatementKind::Read || kind == StatementKind::Write
        || kind == StatementKind::Execute;
}

bool isCommand(StatementKind kind)
{
    return kind == StatementKind::Status || kind == StatementKind::Pause
        || kind == StatementKind::Resume || kind == StatementKind::StepDown;
}

} // namespace

bool restoresState(const Statement &statement)
{
    switch (statement.kind) {
    case StatementKind::SetValue:
    case StatementKind::Reset:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        return statement.id == InternalStatementId;
    default:
        return false;
    }
}

void ReplicaGroup::add(const std::string &id)
{
    const bool first = m_instances.empty();
    m_instances[id] = {.id = id, .primary = first};
}

GroupInstance *ReplicaGroup::find(const std::string &id)
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

GroupInstance *ReplicaGroup::primary()
{
    GroupInstance *newest = nullptr;
    for (auto &row : m_instances) {
        GroupInstance &instance = row.second;
        if (instance.primary && instance.running && !instance.removed
            && (!newest || instance.term > newest->term))
            newest = &instance;
    }
    return newest;
}

void ReplicaGroup::execute(GroupInstance *instance, InstanceConnection *connection,
                           const Statement &statement, const Reply &reply)
{
    if (isCommand(statement.kind)) {
        reply(command(instance, statement));
        return;
    }
    const bool commits = statement.kind == StatementKind::Commit
        || (connection->phase == SessionPhase::Idle && writes(statement, *connection));
    const StatementAnswer answer = run(instance, connection, statement);
    if (!commits || !answer.succeeded() || connection->writes.empty()) {
        reply(answer);
        return;
    }
    const std::uint64_t term = instance->term;
    commit(instance, std::exchange(connection->writes, {}),
           [this, id = instance->id, term, answer, reply] {
               const GroupInstance *primary = find(id);
               if (!primary || !primary->running || !primary->primary || primary->term != term)
                   return;
               StatementAnswer completeAnswer = answer;
               completeAnswer.position = primary->end();
               reply(completeAnswer);
           });
}

void ReplicaGroup::refuse(const InstanceConnection &connection, const Reply &reply)
{
    reply({.cause = Cause::Failed, .signature = "-", .phase = connection.phase});
}

StatementAnswer ReplicaGroup::run(GroupInstance *instance, InstanceConnection *connection,
                                  const Statement &statement)
{
    StatementAnswer answer{
        .signature = "-", .phase = connection->phase, .position = instance->end()};
    if (!isReadOrWrite(statement.kind))
        m_environment->onOther(*connection, statement);
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        if (statement.kind == StatementKind::Begin && !instance->primary) {
            answer.cause = Cause::NotPrimary;
            return answer;
        }
        if (statement.requiredPosition && instance->visible() < *statement.requiredPosition) {
            answer.cause = Cause::Behind;
            return answer;
        }
        connection->readOnly = statement.kind == StatementKind::BeginReadOnly;
        connection->phase = SessionPhase::Transaction;
        connection->beganTerm = instance->term;
        break;
    case StatementKind::Rollback:
        connection->phase = SessionPhase::Idle;
        connection->readOnly = false;
        connection->writes.clear();
        break;
    case StatementKind::Commit: {
        const bool mayCommit = connection->phase == SessionPhase::Transaction
            && (!lostPrimaryRole(*instance, *connection) || connection->writes.empty());
        if (!mayCommit) {
            answer.cause = Cause::NotPrimary;
            connection->writes.clear();
        }
        connection->phase = SessionPhase::Idle;
        connection->readOnly = false;
        answer.signature = "signed." + statement.id;
        break;
    }
    case StatementKind::SetValue:
        connection->values[statement.name] = statement.argument;
        break;
    case StatementKind::Reset:
        connection->values.clear();
        connection->prepared.clear();
        break;
    case StatementKind::Prepare:
        connection->prepared[statement.name]
            = {.shape = statement.argument, .writes = statement.preparesWrite};
        break;
    case StatementKind::Deallocate:
        connection->prepared.erase(statement.name);
        break;
    case StatementKind::Execute:
        if (!connection->prepared.contains(statement.name)) {
            answer.cause = Cause::UnknownName;
            return answer;
        }
        if (!writes(statement, *connection))
            return runRead(instance, connection, statement);
        runWrite(instance, connection, statement, &answer);
        break;
    case StatementKind::Read:
        return runRead(instance, connection, statement);
    case StatementKind::Write:
        runWrite(instance, connection, statement, &answer);
        break;
    default:
        answer.cause = Cause::Invalid;
        return answer;
    }
    answer.phase = connection->phase;
    return answer;
}

StatementAnswer ReplicaGroup::runRead(GroupInstance *instance, InstanceConnection *connection,
                                      const Statement &statement)
{
    StatementAnswer answer{.signature = "signed." + statement.id,
                           .phase = connection->phase,
                           .position = instance->end()};
    if (lostPrimaryRole(*instance, *connection)) {
        answer.cause = Cause::NotPrimary;
        connection->phase = answer.phase = SessionPhase::FailedTransaction;
        return answer;
    }
    if (statement.requiredPosition && instance->visible() < *statement.requiredPosition) {
        answer.cause = Cause::Behind;
        return answer;
    }
    m_environment->onRead(*instance, *connection, statement);
    answer.rows.push_back(statement.id + "@" + instance->id);
    return answer;
}

void ReplicaGroup::runWrite(GroupInstance *instance, InstanceConnection *connection,
                            const Statement &statement, StatementAnswer *answer)
{
    if (!instance->primary || lostPrimaryRole(*instance, *connection) || connection->readOnly) {
        answer->cause = Cause::NotPrimary;
        if (connection->phase == SessionPhase::Transaction)
            connection->phase = SessionPhase::FailedTransaction;
        return;
    }
    m_environment->onWrite(*instance, *connection, statement);
    const bool isWrite = statement.kind == StatementKind::Write;
    connection->writes.push_back({.term = instance->term,
                                  .statementId = statement.id,
                                  .item = isWrite ? statement.name : statement.argument});
    answer->signature = "signed." + statement.id;
}

void ReplicaGroup::commit(GroupInstance *instance, std::vector<GroupLogEntry> writes,
                          const std::function<void()> &acknowledged)
{
    const std::uint64_t term = instance->term;
    for (GroupLogEntry &entry : writes) {
        entry.term = term;
        instance->log.push_back(std::move(entry));
    }
    instance->applied = instance->log.size();
    const auto called = std::make_shared<bool>(false);
    const auto acknowledgeOnce = [called, acknowledged] {
        if (!std::exchange(*called, true))
            acknowledged();
    };
    for (const auto &row : m_instances) {
        if (row.first != instance->id && !row.second.removed)
            sendEntries(instance->id, row.first, instance->log.size(), term, acknowledgeOnce);
    }
}

void ReplicaGroup::sendEntries(const std::string &from, const std::string &to, std::size_t length,
                               std::uint64_t term, const std::function<void()> &received)
{
    m_environment->after(m_environment->receiveDelay(), [=, this] {
        if (receive(from, to, length, term)) {
            received();
            return;
        }
        const GroupInstance *sender = find(from);
        const GroupInstance *replica = find(to);
        const bool givesUp = !sender->primary || sender->term != term || sender->removed
            || !sender->running || replica->removed;
        if (!givesUp)
            m_environment->after(ResendInterval,
                                 [=, this] { sendEntries(from, to, length, term, received); });
    });
}

bool ReplicaGroup::receive(const std::string &from, const std::string &to, std::size_t length,
                           std::uint64_t term)
{
    const GroupInstance *sender = find(from);
    GroupInstance *receiver = find(to);
    // What was on its way when the sender stepped down arrives, until another one leads.
    const bool mayStillSend = sender->primary || !hasPromotedSince(term);
    const bool canReceive = sender->running && mayStillSend && sender->term == term
        && receiver->running && !receiver->removed && !receiver->primary
        && receiver->pausedTerm == 0 && receiver->term <= term
        && m_environment->canReplicate(from, to) && !hearsOfLaterPrimary(to, term);
    if (!canReceive)
        return false;
    receiver->term = term;
    const std::size_t newLength
        = std::min(std::max(length, receiver->log.size()), sender->log.size());
    // The common beginning of both logs stays. Entries of the receiver that the sender does not
    // have are replaced.
    std::size_t common = std::min(receiver->log.size(), newLength);
    while (common > 0 && receiver->log[common - 1] != sender->log[common - 1])
        --common;
    receiver->log.resize(common);
    receiver->log.insert(receiver->log.end(),
                         sender->log.begin() + static_cast<std::ptrdiff_t>(common),
                         sender->log.begin() + static_cast<std::ptrdiff_t>(newLength));
    receiver->applied = std::min(receiver->applied, receiver->log.size());
    m_environment->after(receiver->applyDelay, [this, to, newLength] {
        GroupInstance *replica = find(to);
        replica->applied = std::max(replica->applied, std::min(newLength, replica->log.size()));
    });
    return true;
}

bool ReplicaGroup::hasPromotedSince(std::uint64_t term) const
{
    return std::any_of(m_instances.begin(), m_instances.end(),
                       [term](const auto &row) { return row.second.term > term; });
}

StatementAnswer ReplicaGroup::command(GroupInstance *instance, const Statement &statement)
{
    const std::uint64_t term = statement.argument.empty() ? 0 : std::stoull(statement.argument);
    std::uint64_t highestTerm = 0;
    for (const auto &row : m_instances)
        highestTerm = std::max(highestTerm, row.second.term);
    if (statement.kind == StatementKind::Pause && !instance->primary && term > highestTerm)
        instance->pausedTerm = term;
    if (statement.kind == StatementKind::Resume)
        instance->pausedTerm = 0;
    if (statement.kind == StatementKind::StepDown && instance->primary && instance->term < term)
        instance->primary = false;
    StatementAnswer answer{.signature = "-", .position = instance->end()};
    answer.status = InstanceStatus{.primary = instance->primary,
                                   .term = instance->term,
                                   .received = instance->end(),
                                   .pausedTerm = instance->pausedTerm};
    return answer;
}

bool ReplicaGroup::promote(const std::string &id)
{
    GroupInstance *newPrimary = find(id);
    if (!newPrimary || !newPrimary->running || newPrimary->removed || newPrimary->primary)
        return false;
    std::uint64_t highestTerm = 0;
    for (auto &row : m_instances) {
        highestTerm = std::max(highestTerm, row.second.term);
        if (m_options.replacedPrimaryGoesOn && row.second.primary)
            demoteWhenReachable(row.first, row.second.term);
        else
            row.second.primary = false;
    }
    newPrimary->primary = true;
    newPrimary->term = highestTerm + 1;
    newPrimary->pausedTerm = 0;
    newPrimary->applied = newPrimary->log.size();
    m_environment->onPromoted(*newPrimary);
    for (auto &row : m_instances) {
        GroupInstance &other = row.second;
        if (row.first != id && other.running && !other.primary)
            rollBack(&other, *newPrimary);
    }
    if (m_options.sendsLogWhenPromoted)
        sendLog(*newPrimary);
    return true;
}

void ReplicaGroup::sendLog(const GroupInstance &primary)
{
    for (const auto &row : m_instances) {
        if (row.first != primary.id && !row.second.removed)
            sendEntries(primary.id, row.first, primary.log.size(), primary.term, [] {});
    }
}

void ReplicaGroup::rollBack(GroupInstance *instance, const GroupInstance &primary)
{
    const std::size_t sharedLength = std::min(instance->log.size(), primary.log.size());
    const bool isPrefix = instance->log.size() <= primary.log.size()
        && std::equal(instance->log.begin(), instance->log.end(), primary.log.begin());
    if (isPrefix)
        return;
    instance->log.assign(primary.log.begin(),
                         primary.log.begin() + static_cast<std::ptrdiff_t>(sharedLength));
    instance->applied = std::min(instance->applied, instance->log.size());
}

void ReplicaGroup::demoteWhenReachable(const std::string &replaced, std::uint64_t term)
{
    m_environment->after(ResendInterval, [=, this] {
        GroupInstance *instance = find(replaced);
        if (!instance->primary || instance->term != term || instance->removed)
            return;
        if (!instance->running || !hearsOfLaterPrimary(replaced, term)) {
            demoteWhenReachable(replaced, term);
            return;
        }
        m_environment->after(DemotionDelay, [=, this] {
            GroupInstance *demoted = find(replaced);
            const GroupInstance *successor = primary();
            if (!demoted->primary || demoted->term != term || !successor)
                return;
            demoted->primary = false;
            rollBack(demoted, *successor);
        });
    });
}

bool ReplicaGroup::hearsOfLaterPrimary(const std::string &id, std::uint64_t term)
{
    return std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &row) {
        const GroupInstance &other = row.second;
        return row.first != id && other.running && other.primary && other.term > term
            && m_environment->canReplicate(row.first, id);
    });
}

void ReplicaGroup::crash(const std::string &id)
{
    if (GroupInstance *instance = find(id))
        instance->running = false;
}

void ReplicaGroup::restart(const std::string &id)
{
    GroupInstance *restarted = find(id);
    if (!restarted || restarted->removed)
        return;
    restarted->running = true;
    restarted->pausedTerm = 0;
    const bool hasOtherPrimary
        = std::any_of(m_instances.begin(), m_instances.end(),
                      [&](const auto &row) { return row.first != id && row.second.primary; });
    if (!hasOtherPrimary)
        return;
    restarted->primary = false;
    if (const GroupInstance *current = primary())
        restarted->log = current->log;
    restarted->applied = std::min(restarted->applied, restarted->log.size());
}

void ReplicaGroup::replace(const std::string &id, const std::string &successor,
                           std::int64_t incarnation)
{
    GroupInstance *old = find(id);
    if (!old || old->removed)
        return;
    m_instances[successor] = {.id = successor,
                              .log = old->log,
                              .applied = old->applied,
                              .term = old->term,
                              .incarnation = incarnation};
    old->removed = true;
    old->running = false;
    old->primary = false;
}

} // namespace cicadagap
