#include "guaranteechecker.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::size_t MaxViolations = 200; // More are not recorded.

bool isRead(const Statement &statement)
{
    return statement.kind == StatementKind::Read
        || (statement.kind == StatementKind::Execute && statement.name.starts_with('r'));
}

bool isWrite(const Statement &statement)
{
    return statement.kind == StatementKind::Write
        || (statement.kind == StatementKind::Execute && statement.name.starts_with('w'));
}

} // namespace

GuaranteeChecker::GuaranteeChecker(Options options, ReplicaGroup *group)
    : m_options(std::move(options))
    , m_group(group)
    , m_random(m_options.seed)
{
}

std::size_t GuaranteeChecker::addCaller(Consistency consistency)
{
    m_callers.push_back({.consistency = consistency, .session = ++m_lastSession});
    return m_callers.size() - 1;
}

void GuaranteeChecker::startSession(std::size_t caller)
{
    const Consistency consistency = m_callers[caller].consistency;
    if (m_callers[caller].awaited)
        ++m_report.uncertain;
    m_callers[caller] = {.consistency = consistency, .session = ++m_lastSession};
}

Statement GuaranteeChecker::nextStatement(std::size_t index, Millis now)
{
    Caller &caller = m_callers[index];
    Statement statement{.id = m_options.idPrefix + std::to_string(++m_lastId)};
    drawStatement(&caller, &statement);
    statement.text = statement.id;
    if (caller.phase == SessionPhase::Idle) {
        caller.startedAt = now;
        caller.transactionWrites.clear();
    }
    if (isWrite(statement))
        caller.transactionWrites.insert(statement.id);
    m_statementOwner[statement.id] = index;
    caller.awaited = statement;
    return statement;
}

void GuaranteeChecker::drawStatement(Caller *caller, Statement *statement)
{
    const std::string item = std::to_string(m_random.below(std::uint64_t(m_options.items)));
    const bool inTransaction = caller->phase == SessionPhase::Transaction;
    if (caller->phase == SessionPhase::FailedTransaction) {
        statement->kind = StatementKind::Rollback;
        return;
    }
    if (inTransaction && caller->statementsLeft-- <= 0) {
        constexpr std::uint64_t RollbackShare = 10; // One transaction in so many is rolled back.
        const bool commit = m_random.below(RollbackShare) > 0;
        statement->kind = commit ? StatementKind::Commit : StatementKind::Rollback;
        return;
    }
    const std::uint64_t draw = m_random.below(20);
    if (!inTransaction && draw < 5) {
        drawSessionStatement(caller, statement);
        return;
    }
    const bool writes = draw < 10 && !(inTransaction && caller->readOnly);
    const std::string shape = writes ? "w1" : "r1";
    if (caller->prepared.contains(shape) && m_random.below(2) == 0) {
        statement->kind = StatementKind::Execute;
        statement->name = shape;
        statement->argument = writes ? item + " data" : item;
        return;
    }
    statement->kind = writes ? StatementKind::Write : StatementKind::Read;
    statement->name = item;
    if (writes)
        statement->argument = "data";
}

void GuaranteeChecker::drawSessionStatement(Caller *caller, Statement *statement)
{
    const std::uint64_t draw = m_random.below(5);
    if (draw == 0) {
        statement->kind = StatementKind::SetValue;
        statement->name = "v" + std::to_string(m_random.below(2));
        statement->argument = statement->id;
        caller->requestedValues = caller->values;
        caller->requestedValues[statement->name] = statement->id;
        return;
    }
    if (draw == 1) {
        statement->kind = StatementKind::Prepare;
        statement->preparesWrite = m_random.below(2) == 0;
        statement->name = statement->preparesWrite ? "w1" : "r1";
        statement->argument = "shape";
        return;
    }
    caller->readOnly = m_random.below(3) == 0;
    caller->statementsLeft = 1 + static_cast<int>(m_random.below(3));
    statement->kind = caller->readOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
}

void GuaranteeChecker::onAnswer(std::size_t index, const StatementAnswer &answer, Millis now)
{
    Caller &caller = m_callers[index];
    if (!caller.awaited) {
        addViolation(now, "an answer arrived that no statement awaits");
        return;
    }
    const Statement statement = *std::exchange(caller.awaited, std::nullopt);
    const bool wasIdle = caller.phase == SessionPhase::Idle;
    const bool commits = statement.kind == StatementKind::Commit || (isWrite(statement) && wasIdle);
    caller.phase = answer.phase;
    if (answer.succeeded()) {
        ++m_report.answered;
        checkSuccess(now, statement, answer);
        if (statement.kind == StatementKind::SetValue)
            caller.values = caller.requestedValues;
        if (statement.kind == StatementKind::Prepare)
            caller.prepared.insert(statement.name);
        if (commits && !caller.transactionWrites.empty())
            addAcknowledgedWrites(caller, now);
        return;
    }
    const bool uncertain = answer.cause == Cause::ConnectionLost || answer.cause == Cause::Timeout
        || answer.cause == Cause::Failed;
    ++(uncertain ? m_report.uncertain : m_report.refused);
    if (!uncertain)
        m_refusedWrites.insert(caller.transactionWrites.begin(), caller.transactionWrites.end());
}

// The answers to reads, writes and commits must carry the signature of the instance that ran them.
void GuaranteeChecker::checkSuccess(Millis now, const Statement &statement,
                                    const StatementAnswer &answer)
{
    const bool signatureExpected
        = isRead(statement) || isWrite(statement) || statement.kind == StatementKind::Commit;
    if (signatureExpected && answer.signature != "signed." + statement.id)
        addViolation(now, statement.id + " succeeded with the signature " + answer.signature);
    const bool rowFits = answer.rows.size() == 1 && answer.rows[0].starts_with(statement.id + "@");
    if (isRead(statement) && !rowFits)
        addViolation(now, statement.id + " succeeded with unexpected rows");
}

void GuaranteeChecker::addAcknowledgedWrites(const Caller &caller, Millis now)
{
    for (const std::string &write : caller.transactionWrites)
        addAcknowledgedWrite({.statementId = write,
                              .index = logIndexOf(write),
                              .at = now,
                              .session = caller.session});
    const Millis gap = m_report.lastWrite ? now - *m_report.lastWrite : Millis(0);
    m_report.longestWriteGap = std::max(m_report.longestWriteGap, gap);
    m_report.lastWrite = now;
}

void GuaranteeChecker::addAcknowledgedWrite(const AcknowledgedWrite &write)
{
    const std::size_t position = m_acknowledged.size();
    m_acknowledged.push_back(write);
    const auto higherOf = [&](std::size_t other) {
        return m_acknowledged[other].index >= write.index ? other : position;
    };
    m_highestUpTo.push_back(m_highestUpTo.empty() ? position : higherOf(m_highestUpTo.back()));
    const auto ofSession = m_highestOfSession.emplace(write.session, position).first;
    ofSession->second = higherOf(ofSession->second);
}

// Of the acknowledged writes that the caller's read must see, the one that is highest in the log;
// null if there is none.
const GuaranteeChecker::AcknowledgedWrite *
GuaranteeChecker::newestRequiredWrite(const Caller &caller) const
{
    const Millis before = caller.consistency == Consistency::Strong
        ? caller.startedAt
        : caller.startedAt - m_options.maxAge;
    const auto end
        = std::lower_bound(m_acknowledged.begin(), m_acknowledged.end(), before,
                           [](const AcknowledgedWrite &write, Millis at) { return write.at < at; });
    const AcknowledgedWrite *newest = nullptr;
    if (end != m_acknowledged.begin())
        newest
            = &m_acknowledged[m_highestUpTo[static_cast<std::size_t>(end - m_acknowledged.begin())
                                            - 1]];
    const auto ofSession = m_highestOfSession.find(caller.session);
    if (caller.consistency != Consistency::ReadYourWrites || ofSession == m_highestOfSession.end())
        return newest;
    const AcknowledgedWrite *newestOfSession = &m_acknowledged[ofSession->second];
    return !newest || newestOfSession->index > newest->index ? newestOfSession : newest;
}

const GuaranteeChecker::Caller *GuaranteeChecker::senderOf(const Statement &statement) const
{
    const auto owner = m_statementOwner.find(statement.id);
    return owner == m_statementOwner.end() ? nullptr : &m_callers[owner->second];
}

void GuaranteeChecker::onRead(const GroupInstance &instance, const InstanceConnection &connection,
                              const Statement &statement, Millis now)
{
    const Caller *caller = senderOf(statement);
    if (!caller) {
        addViolation(now, "a statement ran that no caller sent: " + statement.id);
        return;
    }
    m_report.replicaReads += instance.primary ? 0 : 1;
    if (!caller->awaited || caller->awaited->id != statement.id)
        return; // The caller's session has ended.
    checkRead(now, *caller, instance, statement);
    if (connection.values != caller->values)
        addViolation(now, statement.id + " ran with another session's values");
}

void GuaranteeChecker::onWrite(const GroupInstance &instance, const InstanceConnection &connection,
                               const Statement &statement, Millis now)
{
    static_cast<void>(instance);
    const Caller *caller = senderOf(statement);
    if (!caller) {
        addViolation(now, "a write ran that no caller sent: " + statement.id);
        return;
    }
    if (!caller->awaited || caller->awaited->id != statement.id)
        return;
    if (connection.values != caller->values)
        addViolation(now, statement.id + " ran with another session's values");
    const bool inTransaction = connection.phase == SessionPhase::Transaction;
    if (inTransaction != (caller->phase == SessionPhase::Transaction))
        addViolation(now, statement.id + " ran outside of its transaction, or inside another one");
    for (const GroupLogEntry &entry : connection.writes) {
        if (!caller->transactionWrites.contains(entry.statementId))
            addViolation(now, statement.id + " ran inside the transaction of " + entry.statementId);
    }
}

void GuaranteeChecker::checkRead(Millis now, const Caller &caller, const GroupInstance &instance,
                                 const Statement &statement)
{
    const std::size_t visible = instance.primary ? instance.log.size() : instance.applied;
    const AcknowledgedWrite *newest = newestRequiredWrite(caller);
    // Logs that agree in one entry agree in all entries before it, so checking one is enough.
    const bool visibleThere = !newest
        || (newest->index < visible
            && instance.log[newest->index].statementId == newest->statementId);
    if (!visibleThere)
        addViolation(
            now, "read " + statement.id + " on " + instance.id + " lacks " + newest->statementId);
}

void GuaranteeChecker::onPromoted(const GroupInstance &newPrimary, Millis now)
{
    std::set<std::string> keptWrites;
    for (const GroupLogEntry &entry : newPrimary.log)
        keptWrites.insert(entry.statementId);
    for (const AcknowledgedWrite &row : m_acknowledged) {
        if (!keptWrites.contains(row.statementId))
            addViolation(now,
                         "acknowledged write " + row.statementId + " was lost by the promotion of "
                             + newPrimary.id);
    }
}

// The index of the write in the logs that contain it, which is the same in all of them; SIZE_MAX if
// none does.
std::size_t GuaranteeChecker::logIndexOf(const std::string &write) const
{
    for (const auto &row : m_group->instances()) {
        const std::vector<GroupLogEntry> &log = row.second.log;
        for (std::size_t i = log.size(); i > 0; --i) {
            if (log[i - 1].statementId == write)
                return i - 1;
        }
    }
    return SIZE_MAX;
}

void GuaranteeChecker::checkFinalState(Millis now)
{
    const GroupInstance *primary = m_group->primary();
    if (!primary) {
        addViolation(now, "no instance is primary at the end");
        return;
    }
    std::map<std::string, int> counts;
    for (const GroupLogEntry &entry : primary->log)
        ++counts[entry.statementId];
    for (const AcknowledgedWrite &row : m_acknowledged) {
        if (counts[row.statementId] != 1)
            addViolation(now,
                         "acknowledged write " + row.statementId + " is in the log "
                             + std::to_string(counts[row.statementId]) + " times");
    }
    for (const auto &[write, count] : counts) {
        if (count > 1)
            addViolation(now, "write " + write + " took effect more than once");
        if (m_refusedWrites.contains(write))
            addViolation(now, "write " + write + " is in the log although it was refused");
    }
}

void GuaranteeChecker::addViolation(Millis now, const std::string &text)
{
    if (m_report.violations.size() < MaxViolations)
        m_report.violations.push_back(std::to_string(now.count()) + " ms: " + text);
}

} // namespace cicadagap
