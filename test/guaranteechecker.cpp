#include "guaranteechecker.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::size_t MaxViolations = 200; // Of a report.

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
    if (m_callers[caller].sent)
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
        caller.began = now;
        caller.transactionWrites.clear();
    }
    if (isWrite(statement))
        caller.transactionWrites.insert(statement.id);
    m_statementOwner[statement.id] = index;
    caller.sent = statement;
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
    if (inTransaction && caller->left-- <= 0) {
        constexpr std::uint64_t RollbackShare = 10; // One transaction in that many.
        const bool commit = m_random.below(RollbackShare) > 0;
        statement->kind = commit ? StatementKind::Commit : StatementKind::Rollback;
        return;
    }
    const std::uint64_t dice = m_random.below(20);
    if (!inTransaction && dice < 5) {
        drawOutsideTransaction(caller, statement);
        return;
    }
    const bool writes = dice < 10 && !(inTransaction && caller->readOnly);
    const std::string shape = writes ? "w1" : "r1";
    if (caller->prepared.contains(shape) && m_random.below(2) == 0) {
        statement->kind = StatementKind::Execute;
        statement->name = shape;
        statement->argument = writes ? item + " data" : item;
        return;
    }
    statement->kind = writes ? StatementKind::Write : StatementKind::Read;
    statement->name = item;
}

void GuaranteeChecker::drawOutsideTransaction(Caller *caller, Statement *statement)
{
    const std::uint64_t dice = m_random.below(5);
    if (dice == 0) {
        statement->kind = StatementKind::SetValue;
        statement->name = "v" + std::to_string(m_random.below(2));
        statement->argument = statement->id;
        caller->wanted = caller->values;
        caller->wanted[statement->name] = statement->id;
        return;
    }
    if (dice == 1) {
        statement->kind = StatementKind::Prepare;
        statement->preparesWrite = m_random.below(2) == 0;
        statement->name = statement->preparesWrite ? "w1" : "r1";
        statement->argument = "shape";
        return;
    }
    caller->readOnly = m_random.below(3) == 0;
    caller->left = 1 + static_cast<int>(m_random.below(3));
    statement->kind = caller->readOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
}

void GuaranteeChecker::onAnswer(std::size_t index, const StatementAnswer &answer, Millis now)
{
    Caller &caller = m_callers[index];
    if (!caller.sent) {
        violate(now, "an answer came to nothing");
        return;
    }
    const Statement statement = *std::exchange(caller.sent, std::nullopt);
    const bool wasIdle = caller.phase == SessionPhase::Idle;
    const bool decides = statement.kind == StatementKind::Commit || (isWrite(statement) && wasIdle);
    caller.phase = answer.phase;
    if (answer.succeeded()) {
        ++m_report.answered;
        checkSuccess(now, statement, answer);
        if (statement.kind == StatementKind::SetValue)
            caller.values = caller.wanted;
        if (statement.kind == StatementKind::Prepare)
            caller.prepared.insert(statement.name);
        if (decides && !caller.transactionWrites.empty())
            acknowledgeWrites(caller, now);
        return;
    }
    const bool uncertain = answer.cause == Cause::ConnectionLost || answer.cause == Cause::Timeout
        || answer.cause == Cause::Failed;
    ++(uncertain ? m_report.uncertain : m_report.refused);
    if (!uncertain)
        m_refusedWrites.insert(caller.transactionWrites.begin(), caller.transactionWrites.end());
}

// Reads, writes and commits carry the signature of the instance that ran them.
void GuaranteeChecker::checkSuccess(Millis now, const Statement &statement,
                                    const StatementAnswer &answer)
{
    const bool signedOff
        = isRead(statement) || isWrite(statement) || statement.kind == StatementKind::Commit;
    if (signedOff && answer.signature != "signed." + statement.id)
        violate(now, statement.id + " succeeded with the signature " + answer.signature);
    const bool rowFits = answer.rows.size() == 1 && answer.rows[0].starts_with(statement.id + "@");
    if (isRead(statement) && !rowFits)
        violate(now, statement.id + " succeeded with other rows");
}

void GuaranteeChecker::acknowledgeWrites(const Caller &caller, Millis now)
{
    for (const std::string &write : caller.transactionWrites)
        acknowledge(
            {.write = write, .index = indexOf(write), .at = now, .session = caller.session});
    const Millis gap = m_report.lastWrite ? now - *m_report.lastWrite : Millis(0);
    m_report.longestWriteGap = std::max(m_report.longestWriteGap, gap);
    m_report.lastWrite = now;
}

void GuaranteeChecker::acknowledge(const Acknowledged &write)
{
    const std::size_t place = m_acknowledged.size();
    m_acknowledged.push_back(write);
    const auto higher = [&](std::size_t other) {
        return m_acknowledged[other].index >= write.index ? other : place;
    };
    m_newest.push_back(m_newest.empty() ? place : higher(m_newest.back()));
    const auto own = m_newestOfSession.emplace(write.session, place).first;
    own->second = higher(own->second);
}

// Of the writes that the caller's read must see, the one that is highest in the log; null if it
// need not see any.
const GuaranteeChecker::Acknowledged *GuaranteeChecker::newestFor(const Caller &caller) const
{
    const Millis before = caller.consistency == Consistency::Strong
        ? caller.began
        : caller.began - m_options.maxAge;
    const auto end
        = std::lower_bound(m_acknowledged.begin(), m_acknowledged.end(), before,
                           [](const Acknowledged &write, Millis at) { return write.at < at; });
    const Acknowledged *newest = nullptr;
    if (end != m_acknowledged.begin())
        newest
            = &m_acknowledged[m_newest[static_cast<std::size_t>(end - m_acknowledged.begin()) - 1]];
    const auto own = m_newestOfSession.find(caller.session);
    if (caller.consistency != Consistency::ReadYourWrites || own == m_newestOfSession.end())
        return newest;
    const Acknowledged *ownNewest = &m_acknowledged[own->second];
    return !newest || ownNewest->index > newest->index ? ownNewest : newest;
}

const GuaranteeChecker::Caller *GuaranteeChecker::sender(const Statement &statement) const
{
    const auto owner = m_statementOwner.find(statement.id);
    return owner == m_statementOwner.end() ? nullptr : &m_callers[owner->second];
}

void GuaranteeChecker::onRead(const GroupInstance &instance, const InstanceConnection &connection,
                              const Statement &statement, Millis now)
{
    const Caller *caller = sender(statement);
    if (!caller) {
        violate(now, "a statement ran that no caller sent: " + statement.id);
        return;
    }
    m_report.replicaReads += instance.primary ? 0 : 1;
    if (!caller->sent || caller->sent->id != statement.id)
        return; // The caller has left.
    checkRead(now, *caller, instance, statement);
    if (connection.values != caller->values)
        violate(now, statement.id + " ran with another session's values");
}

void GuaranteeChecker::onWrite(const GroupInstance &instance, const InstanceConnection &connection,
                               const Statement &statement, Millis now)
{
    static_cast<void>(instance);
    const Caller *caller = sender(statement);
    if (!caller) {
        violate(now, "a write ran that no caller sent: " + statement.id);
        return;
    }
    if (!caller->sent || caller->sent->id != statement.id)
        return;
    if (connection.values != caller->values)
        violate(now, statement.id + " ran with another session's values");
    const bool inTransaction = connection.phase == SessionPhase::Transaction;
    if (inTransaction != (caller->phase == SessionPhase::Transaction))
        violate(now, statement.id + " ran outside of its transaction, or inside another one");
    for (const GroupLogEntry &entry : connection.writes) {
        if (!caller->transactionWrites.contains(entry.statementId))
            violate(now, statement.id + " ran inside the transaction of " + entry.statementId);
    }
}

void GuaranteeChecker::checkRead(Millis now, const Caller &caller, const GroupInstance &instance,
                                 const Statement &statement)
{
    const std::size_t visible = instance.primary ? instance.log.size() : instance.applied;
    const Acknowledged *newest = newestFor(caller);
    // Logs that agree in one entry agree in all before it.
    const bool held = !newest
        || (newest->index < visible && instance.log[newest->index].statementId == newest->write);
    if (!held)
        violate(now, "read " + statement.id + " on " + instance.id + " lacks " + newest->write);
}

void GuaranteeChecker::onPromoted(const GroupInstance &newPrimary, Millis now)
{
    std::set<std::string> kept;
    for (const GroupLogEntry &entry : newPrimary.log)
        kept.insert(entry.statementId);
    for (const Acknowledged &row : m_acknowledged) {
        if (!kept.contains(row.write))
            violate(now,
                    "acknowledged write " + row.write + " is lost by the promotion of "
                        + newPrimary.id);
    }
}

// Where the write is in the logs that hold it (the same place in all); behind everything if none
// does.
std::size_t GuaranteeChecker::indexOf(const std::string &write) const
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

void GuaranteeChecker::checkAtTheEnd(Millis now)
{
    const GroupInstance *leader = m_group->primary();
    if (!leader) {
        violate(now, "no instance leads at the end");
        return;
    }
    std::map<std::string, int> counts;
    for (const GroupLogEntry &entry : leader->log)
        ++counts[entry.statementId];
    for (const Acknowledged &row : m_acknowledged) {
        if (counts[row.write] != 1)
            violate(now,
                    "acknowledged write " + row.write + " is there "
                        + std::to_string(counts[row.write]) + " times");
    }
    for (const auto &[write, count] : counts) {
        if (count > 1)
            violate(now, "write " + write + " took effect twice");
        if (m_refusedWrites.contains(write))
            violate(now, "write " + write + " is kept though its caller was told that it is not");
    }
}

void GuaranteeChecker::violate(Millis now, const std::string &text)
{
    if (m_report.violations.size() < MaxViolations)
        m_report.violations.push_back(std::to_string(now.count()) + " ms: " + text);
}

} // namespace cicadagap
