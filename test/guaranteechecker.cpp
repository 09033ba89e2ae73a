#include "guaranteechecker.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::size_t MaxViolations = 200; // More are not recorded.

// The text with all bytes but printable ASCII escaped, and not too long.
std::string printable(const std::string &text)
{
    constexpr std::size_t MaxShownBytes = 60;
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string shown = "'";
    for (const char c : text.substr(0, MaxShownBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= ' ' && byte <= '~')
            shown += c;
        else
            shown.append("\\x").append({Digits[byte / 16], Digits[byte % 16]});
    }
    return shown + (text.size() > MaxShownBytes ? "..'" : "'");
}

std::string printable(const PreparedStatement &prepared)
{
    return (prepared.writes ? "WRITE " : "READ ") + printable(prepared.shape);
}

// The statement's text in the customer's protocol.
std::string textOf(const Statement &statement)
{
    const std::string &name = statement.name;
    const std::string &argument = statement.argument;
    switch (statement.kind) {
    case StatementKind::Begin:
        return "BEGIN";
    case StatementKind::BeginReadOnly:
        return "BEGIN READ";
    case StatementKind::Commit:
        return "COMMIT";
    case StatementKind::Rollback:
        return "ROLLBACK";
    case StatementKind::Read:
        return "READ " + name;
    case StatementKind::Write:
        return "WRITE " + name + " " + argument;
    case StatementKind::SetValue:
        return "SET " + name + " " + argument;
    case StatementKind::Prepare:
        return "PREPARE " + name + (statement.preparesWrite ? " WRITE " : " READ ") + argument;
    case StatementKind::Execute:
        return "EXECUTE " + name + " " + argument;
    default:
        return "DEALLOCATE " + name;
    }
}

bool isSessionStatement(StatementKind kind)
{
    return kind == StatementKind::SetValue || kind == StatementKind::Prepare
        || kind == StatementKind::Deallocate;
}

} // namespace

GuaranteeChecker::GuaranteeChecker(Options options, ReplicaGroup *group)
    : m_options(std::move(options))
    , m_group(group)
    , m_random(m_options.seed)
    , m_texts(hash64("texts", m_options.seed))
{
}

std::size_t GuaranteeChecker::addCaller(Consistency consistency)
{
    m_callers.push_back({.consistency = consistency, .session = ++m_lastSession});
    return m_callers.size() - 1;
}

void GuaranteeChecker::setTenant(std::size_t caller, const std::optional<std::string> &tenant,
                                 Millis now)
{
    std::vector<Holding> &holdings = m_holdings[caller];
    if (!holdings.empty() && !holdings.back().until)
        holdings.back().until = now;
    if (tenant)
        holdings.push_back({.tenant = *tenant, .since = now, .until = {}});
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
    if (hasArbitraryTexts())
        statement.id += m_texts.idSuffix();
    drawStatement(&caller, &statement);
    statement.text = textOf(statement);
    if (caller.phase == SessionPhase::Idle) {
        caller.startedAt = now;
        caller.transactionWrites.clear();
        caller.connection = nullptr;
    }
    Sent sent{.statement = statement,
              .caller = index,
              .at = now,
              .phase = caller.phase,
              .values = caller.state.values};
    const auto prepared = caller.state.prepared.find(statement.name);
    if (statement.kind == StatementKind::Execute && prepared != caller.state.prepared.end())
        sent.prepared = prepared->second;
    if (sent.writes())
        caller.transactionWrites.insert(statement.id);
    sent.transactionWrites = caller.transactionWrites;
    m_sent[statement.id] = sent;
    caller.awaited = std::move(sent);
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
    constexpr std::uint64_t SessionStatementShare = 4;
    if (hasArbitraryTexts() && m_texts.oneIn(SessionStatementShare)) {
        drawArbitrarySessionStatement(statement);
        return;
    }
    const std::uint64_t draw = m_random.below(20);
    if (!inTransaction && draw < 5) {
        drawSessionStatement(caller, statement);
        return;
    }
    const bool mayWrite = !(inTransaction && caller->readOnly);
    const bool writes = draw < 10 && mayWrite;
    if (hasArbitraryTexts() && drawExecute(*caller, mayWrite, statement))
        return;
    const std::string name = writes ? "w1" : "r1";
    if (!hasArbitraryTexts() && caller->state.prepared.contains(name) && m_random.below(2) == 0) {
        statement->kind = StatementKind::Execute;
        statement->name = name;
        statement->argument = writes ? item + " data" : item;
        return;
    }
    statement->kind = writes ? StatementKind::Write : StatementKind::Read;
    statement->name = hasArbitraryTexts() ? m_texts.item() : item;
    if (writes)
        statement->argument = hasArbitraryTexts() ? m_texts.text() : "data";
}

void GuaranteeChecker::drawSessionStatement(Caller *caller, Statement *statement)
{
    const std::uint64_t draw = m_random.below(5);
    if (draw == 0) {
        statement->kind = StatementKind::SetValue;
        statement->name = "v" + std::to_string(m_random.below(2));
        statement->argument = statement->id;
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
    // Long enough to come back to a prepared statement after others.
    constexpr int LongTransaction = 8;
    if (hasArbitraryTexts() && m_texts.oneIn(3))
        caller->statementsLeft += LongTransaction;
    statement->kind = caller->readOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
}

void GuaranteeChecker::drawArbitrarySessionStatement(Statement *statement)
{
    constexpr std::uint64_t SetShare = 3;
    constexpr std::uint64_t DeallocateShare = 5;
    if (m_texts.oneIn(SetShare)) {
        statement->kind = StatementKind::SetValue;
        statement->name = m_texts.valueName();
        // Values of different callers differ in most cases.
        statement->argument = m_texts.oneIn(4) ? m_texts.text() : statement->id + m_texts.text();
        return;
    }
    statement->name = m_texts.preparedName();
    statement->kind = StatementKind::Deallocate;
    if (m_texts.oneIn(DeallocateShare))
        return;
    statement->kind = StatementKind::Prepare;
    statement->preparesWrite = m_texts.oneIn(2);
    statement->argument = m_texts.shape();
}

// Draws the execution of a prepared statement, or of an unknown one; false if none is drawn.
bool GuaranteeChecker::drawExecute(const Caller &caller, bool mayWrite, Statement *statement)
{
    constexpr std::uint64_t UnknownNameShare = 30;
    if (m_texts.oneIn(3))
        return false;
    const std::string name = m_texts.preparedName();
    const auto &prepared = caller.state.prepared;
    auto chosen = prepared.lower_bound(name);
    if (chosen == prepared.end())
        chosen = prepared.begin();
    const bool isUnknown = m_texts.oneIn(UnknownNameShare) || prepared.empty();
    if (!isUnknown && chosen->second.writes && !mayWrite)
        return false;
    if (isUnknown && caller.phase != SessionPhase::Idle)
        return false;
    statement->kind = StatementKind::Execute;
    statement->name = isUnknown ? name : chosen->first;
    statement->argument = m_texts.item();
    if (m_texts.oneIn(2))
        statement->argument += " " + m_texts.text();
    return true;
}

void GuaranteeChecker::onAnswer(std::size_t index, const StatementAnswer &answer, Millis now)
{
    Caller &caller = m_callers[index];
    if (!caller.awaited) {
        addViolation(now, "an answer arrived that no statement awaits");
        return;
    }
    const Sent sent = *std::exchange(caller.awaited, std::nullopt);
    const Statement &statement = sent.statement;
    const bool commits = statement.kind == StatementKind::Commit
        || (sent.writes() && caller.phase == SessionPhase::Idle);
    caller.phase = answer.phase;
    checkUnknownName(now, sent, answer);
    checkUnknownKey(sent, answer, now);
    if (answer.succeeded()) {
        ++m_report.answered;
        checkSuccess(now, sent, answer);
        if (isSessionStatement(statement.kind))
            caller.state.apply(statement);
        if (commits && !caller.transactionWrites.empty())
            addAcknowledgedWrites(caller, now);
        return;
    }
    const bool uncertain = answer.cause == Cause::ConnectionLost || answer.cause == Cause::Timeout
        || answer.cause == Cause::Failed;
    ++(uncertain ? m_report.uncertain : m_report.refused);
    // A refused SET, PREPARE or DEALLOCATE says nothing about the transaction around it.
    if (!uncertain && !isSessionStatement(statement.kind))
        m_refusedWrites.insert(caller.transactionWrites.begin(), caller.transactionWrites.end());
}

// A name is unknown exactly if its session has not prepared it.
void GuaranteeChecker::checkUnknownName(Millis now, const Sent &sent, const StatementAnswer &answer)
{
    if (sent.statement.kind != StatementKind::Execute)
        return;
    if (sent.prepared && answer.cause == Cause::UnknownName)
        addBroken(BrokenRule::Pinned, now,
                  printable(sent.statement.id) + " found its name unknown, which was prepared");
    if (!sent.prepared && answer.succeeded())
        addBroken(BrokenRule::Pinned, now,
                  printable(sent.statement.id) + " ran a name that was not prepared");
}

// The answers to reads, writes and commits must carry the signature of the instance that ran them.
void GuaranteeChecker::checkSuccess(Millis now, const Sent &sent, const StatementAnswer &answer)
{
    const std::string &id = sent.statement.id;
    const bool signatureExpected
        = sent.reads() || sent.writes() || sent.statement.kind == StatementKind::Commit;
    if (signatureExpected && answer.signature != "signed." + id)
        addViolation(
            now, printable(id) + " succeeded with the signature " + printable(answer.signature));
    const bool rowFits = answer.rows.size() == 1 && answer.rows[0].starts_with(id + "@");
    if (sent.reads() && !rowFits)
        addViolation(now, printable(id) + " succeeded with unexpected rows");
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

const GuaranteeChecker::Sent *GuaranteeChecker::checkRun(const InstanceConnection &connection,
                                                         const Statement &statement, Millis now)
{
    const auto found = m_sent.find(statement.id);
    if (found == m_sent.end()) {
        addBroken(BrokenRule::Unasked, now,
                  "a statement ran that no caller sent: " + printable(statement.id));
        return nullptr;
    }
    Sent &sent = found->second;
    ++sent.runs;
    const bool renamed = statement.kind == StatementKind::Execute;
    const bool same = statement.kind == sent.statement.kind
        && (renamed ? statement.argument == sent.statement.argument
                    : statement.text == sent.statement.text);
    if (!same) {
        addBroken(BrokenRule::Unasked, now,
                  printable(statement.id) + " was sent as " + printable(textOf(sent.statement))
                      + " and ran as " + printable(textOf(statement)));
        return nullptr;
    }
    if (sent.runs > 1 && (sent.writes() || sent.phase == SessionPhase::Transaction))
        addBroken(BrokenRule::Unasked, now, printable(statement.id) + " ran again");
    checkState(connection, statement, sent, now);
    checkTransaction(connection, sent, now);
    checkTenant(connection, sent, now);
    return &sent;
}

void GuaranteeChecker::checkTenant(const InstanceConnection &connection, const Sent &sent,
                                   Millis now)
{
    const auto holdings = m_holdings.find(sent.caller);
    if (holdings == m_holdings.end())
        return;
    bool everHeld = false;
    for (const Holding &holding : holdings->second) {
        if (holding.tenant != connection.tenant)
            continue;
        everHeld = true;
        if (!holding.until || sent.at <= *holding.until + m_options.keyBound)
            return;
    }
    addBroken(everHeld ? BrokenRule::Config : BrokenRule::Unasked, now,
              printable(sent.statement.id) + " ran in the name of " + printable(connection.tenant)
                  + ", which does not hold its caller's key");
}

// A key that a tenant has held since before the bound is known.
void GuaranteeChecker::checkUnknownKey(const Sent &sent, const StatementAnswer &answer, Millis now)
{
    const auto holdings = m_holdings.find(sent.caller);
    if (answer.cause != Cause::UnknownKey || holdings == m_holdings.end()
        || holdings->second.empty())
        return;
    const Holding &last = holdings->second.back();
    if (!last.until && sent.at > last.since + m_options.keyBound)
        addBroken(BrokenRule::Config, now,
                  printable(sent.statement.id) + " was refused, though its caller's key is held");
}

void GuaranteeChecker::checkState(const InstanceConnection &connection, const Statement &statement,
                                  const Sent &sent, Millis now)
{
    if (connection.values != sent.values)
        addBroken(BrokenRule::Pinned, now,
                  printable(statement.id) + " ran with other values than its session's");
    if (statement.kind != StatementKind::Execute)
        return;
    const PreparedStatement &executed = connection.prepared.at(statement.name);
    if (sent.prepared != executed)
        addBroken(BrokenRule::Pinned, now,
                  printable(statement.id) + " ran " + printable(executed) + ", prepared was "
                      + (sent.prepared ? printable(*sent.prepared) : "nothing"));
}

// Outside of its caller's transactions, a read may run inside a transaction of the system's own.
void GuaranteeChecker::checkTransaction(const InstanceConnection &connection, const Sent &sent,
                                        Millis now)
{
    const std::string &id = sent.statement.id;
    const bool inTransaction = connection.phase == SessionPhase::Transaction;
    const bool expected = sent.phase == SessionPhase::Transaction;
    if (inTransaction != expected && !(sent.reads() && !expected))
        addBroken(BrokenRule::Pinned, now,
                  printable(id) + " ran outside of its transaction, or inside another one");
    for (const GroupLogEntry &entry : connection.writes) {
        if (!sent.transactionWrites.contains(entry.statementId))
            addBroken(BrokenRule::Pinned, now,
                      printable(id) + " ran inside the transaction of "
                          + printable(entry.statementId));
    }
    Caller &caller = m_callers[sent.caller];
    if (!expected || !caller.awaited || caller.awaited->statement.id != id)
        return;
    if (caller.connection && caller.connection != &connection)
        addBroken(BrokenRule::Pinned, now,
                  printable(id) + " ran on another connection than its transaction's first one");
    caller.connection = &connection;
}

void GuaranteeChecker::onRead(const GroupInstance &instance, const InstanceConnection &connection,
                              const Statement &statement, Millis now)
{
    const Sent *sent = checkRun(connection, statement, now);
    if (!sent)
        return;
    m_report.replicaReads += instance.primary ? 0 : 1;
    const Caller &caller = m_callers[sent->caller];
    if (!caller.awaited || caller.awaited->statement.id != statement.id)
        return; // The caller's session has ended.
    checkRead(now, caller, instance, statement);
}

void GuaranteeChecker::onWrite(const InstanceConnection &connection, const Statement &statement,
                               Millis now)
{
    checkRun(connection, statement, now);
}

// Statements that neither read nor write are the system's own, or as their callers sent them. The
// system commits nothing by itself.
void GuaranteeChecker::onOther(const InstanceConnection &connection, const Statement &statement,
                               Millis now)
{
    const bool commits = statement.kind == StatementKind::Commit;
    if (statement.id == InternalStatementId) {
        if (commits && !connection.writes.empty())
            addBroken(BrokenRule::Unasked, now, "a transaction was committed by the system");
        return;
    }
    const auto found = m_sent.find(statement.id);
    if (found == m_sent.end() || found->second.statement.text != statement.text) {
        addBroken(BrokenRule::Unasked, now,
                  "a statement ran that no caller sent so: " + printable(statement.id) + " "
                      + printable(statement.text));
        return;
    }
    if (commits) {
        checkTransaction(connection, found->second, now);
        checkTenant(connection, found->second, now);
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
        addViolation(now,
                     "read " + printable(statement.id) + " on " + instance.id + " lacks "
                         + printable(newest->statementId));
}

void GuaranteeChecker::onPromoted(const GroupInstance &newPrimary, Millis now)
{
    std::set<std::string> keptWrites;
    for (const GroupLogEntry &entry : newPrimary.log)
        keptWrites.insert(entry.statementId);
    for (const AcknowledgedWrite &row : m_acknowledged) {
        if (!keptWrites.contains(row.statementId))
            addViolation(now,
                         "acknowledged write " + printable(row.statementId)
                             + " was lost by the promotion of " + newPrimary.id);
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
                         "acknowledged write " + printable(row.statementId) + " is in the log "
                             + std::to_string(counts[row.statementId]) + " times");
    }
    for (const auto &[write, count] : counts) {
        if (count > 1)
            addViolation(now, "write " + printable(write) + " took effect more than once");
        if (m_refusedWrites.contains(write))
            addViolation(now,
                         "write " + printable(write) + " is in the log although it was refused");
    }
}

void GuaranteeChecker::addBroken(BrokenRule rule, Millis now, const std::string &text)
{
    ++m_report.broken[rule];
    addViolation(now, std::string(BrokenRuleNames.name(rule)) + ": " + text);
}

void GuaranteeChecker::addViolation(Millis now, const std::string &text)
{
    if (m_report.violations.size() < MaxViolations)
        m_report.violations.push_back(std::to_string(now.count()) + " ms: " + text);
}

} // namespace cicadagap
