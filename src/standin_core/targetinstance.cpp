#include "standin_core/targetinstance.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 500;

std::int64_t toNumber(const std::string &text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

TargetInstance::TargetInstance(Options options)
    : m_name(std::move(options.name))
{
}

FollowAnswer TargetInstance::follow(std::uint64_t term, const std::optional<std::string> &primary)
{
    const bool seal = !primary;
    const bool accepted = seal ? term > m_term : term >= m_term;
    const bool primaryOfSameTerm = m_primary && term == m_term;
    if (accepted && !primaryOfSameTerm) {
        if (term > m_term)
            becomeReplica(term);
        if (primary)
            m_following = *primary;
    }
    return {accepted, m_term, last()};
}

bool TargetInstance::promote(std::uint64_t term, const std::vector<std::string> &members)
{
    if (term != m_term)
        return false;
    if (m_primary)
        return true;
    if (!m_following.empty())
        return false;
    m_primary = true;
    m_following = m_name;
    m_replicaProgress.clear();
    for (const std::string &member : members) {
        if (member != m_name)
            m_replicaProgress[member]
                = ReplicaProgress{m_log.size() + 1, {member, 0, {}, Millis()}};
    }
    appendEntry({m_term, {}});
    return true;
}

std::optional<ReplicateRequest> TargetInstance::replicationFor(const std::string &replica) const
{
    const auto found = m_replicaProgress.find(replica);
    if (!m_primary || found == m_replicaProgress.end())
        return std::nullopt;
    ReplicateRequest request;
    request.term = m_term;
    request.primary = m_name;
    const std::uint64_t next = found->second.nextIndex;
    request.previous = {termAt(next - 1), next - 1};
    const std::size_t end = std::min(m_log.size(), next - 1 + MaxEntriesPerMessage);
    for (std::size_t i = next - 1; i < end; ++i)
        request.entries.push_back(m_log[i]);
    return request;
}

ReplicateAnswer TargetInstance::onReplicate(const ReplicateRequest &request)
{
    const bool staleTerm = request.term < m_term;
    const bool secondPrimaryOfTerm = m_primary && request.term == m_term;
    if (staleTerm || secondPrimaryOfTerm)
        return {false, m_term, last(), m_log.size() + 1};
    if (request.term > m_term)
        becomeReplica(request.term);
    m_following = request.primary;
    const std::uint64_t previous = request.previous.index;
    if (previous > m_log.size())
        return {false, m_term, last(), m_log.size() + 1};
    if (termAt(previous) != request.previous.term)
        return {false, m_term, last(), std::max<std::uint64_t>(previous, 1)};
    std::uint64_t index = previous;
    for (const LogEntry &entry : request.entries) {
        ++index;
        if (index <= m_log.size() && termAt(index) == entry.term)
            continue;
        truncateAfter(index - 1);
        appendEntry(entry);
    }
    return {true, m_term, {termAt(index), index}, index + 1};
}

void TargetInstance::onReplicateAnswer(const std::string &replica, const ReplicateAnswer &answer,
                                       Millis now)
{
    const auto found = m_replicaProgress.find(replica);
    if (!m_primary || found == m_replicaProgress.end())
        return;
    ReplicaProgress &progress = found->second;
    progress.report.term = answer.term;
    progress.report.lastContactAt = now;
    if (answer.term > m_term)
        return;
    if (answer.accepted)
        progress.report.last = answer.last;
    const std::uint64_t limit = m_log.size() + 1;
    progress.nextIndex = std::clamp<std::uint64_t>(answer.nextIndex, 1, limit);
}

ExecuteAnswer TargetInstance::execute(std::uint64_t connection, const ExecuteRequest &request)
{
    const bool writes = std::any_of(request.operations.begin(), request.operations.end(),
                                    [](const Operation &operation) { return operation.writes(); });
    const auto transaction = m_transactions.find(connection);
    if (request.readOnly && writes)
        return refuse(Cause::Invalid);
    if (!request.readOnly && (!m_primary || request.term != m_term))
        return refuse(Cause::NotPrimary);
    if (request.inTransaction && transaction == m_transactions.end())
        return refuse(Cause::NoTransaction);
    if (!request.inTransaction && transaction != m_transactions.end()) {
        ++m_interleavedTransactions;
        return refuse(Cause::Invalid);
    }
    if (request.inTransaction)
        return runOperations(request.operations, &transaction->second.operations);
    std::vector<Operation> pending;
    ExecuteAnswer answer = runOperations(request.operations, &pending);
    if (answer.cause == Cause::None && !pending.empty()) {
        appendEntry({m_term, std::move(pending)});
        answer.position = last();
    }
    return answer;
}

ExecuteAnswer TargetInstance::begin(std::uint64_t connection, std::uint64_t term)
{
    if (!m_primary || term != m_term)
        return refuse(Cause::NotPrimary);
    if (m_transactions.contains(connection))
        ++m_interleavedTransactions;
    m_transactions[connection] = Transaction{m_term, {}};
    ExecuteAnswer answer;
    answer.position = last();
    return answer;
}

ExecuteAnswer TargetInstance::commit(std::uint64_t connection,
                                     const std::vector<Operation> &operations)
{
    const auto found = m_transactions.find(connection);
    if (found == m_transactions.end())
        return refuse(Cause::NoTransaction);
    Transaction transaction = std::move(found->second);
    m_transactions.erase(found);
    if (!m_primary || transaction.term != m_term)
        return refuse(Cause::NotPrimary);
    // The statements run again, because other transactions may have committed in between.
    std::vector<Operation> all = operations;
    all.insert(all.end(), transaction.operations.begin(), transaction.operations.end());
    std::vector<Operation> pending;
    ExecuteAnswer answer = runOperations(all, &pending);
    if (answer.cause == Cause::None && !pending.empty())
        appendEntry({m_term, std::move(pending)});
    answer.position = last();
    return answer;
}

ExecuteAnswer TargetInstance::rollback(std::uint64_t connection)
{
    if (m_transactions.erase(connection) == 0)
        return refuse(Cause::NoTransaction);
    ExecuteAnswer answer;
    answer.position = last();
    return answer;
}

void TargetInstance::onClosed(std::uint64_t connection)
{
    m_transactions.erase(connection);
}

TargetInstanceStatus TargetInstance::status() const
{
    TargetInstanceStatus status{m_name, m_primary, m_term, m_following, last(), {}};
    for (const auto &entry : m_replicaProgress)
        status.replicas.push_back(entry.second.report);
    return status;
}

Position TargetInstance::last() const
{
    return {termAt(m_log.size()), m_log.size()};
}

std::vector<std::string> TargetInstance::values(const std::string &table,
                                                const std::string &key) const
{
    return valuesWithPending(table, key, {});
}

std::map<std::string, std::vector<std::string>> TargetInstance::rows(const std::string &table) const
{
    const auto found = m_tables.find(table);
    return found == m_tables.end() ? Table{} : found->second;
}

void TargetInstance::restore(std::uint64_t term, std::vector<LogEntry> log)
{
    becomeReplica(term);
    m_log = std::move(log);
    m_tables.clear();
    for (const LogEntry &entry : m_log)
        apply(entry);
}

void TargetInstance::becomeReplica(std::uint64_t term)
{
    m_term = term;
    m_primary = false;
    m_following.clear();
    m_replicaProgress.clear();
    m_transactions.clear();
}

void TargetInstance::appendEntry(LogEntry entry)
{
    apply(entry);
    m_log.push_back(std::move(entry));
}

void TargetInstance::truncateAfter(std::uint64_t index)
{
    if (index >= m_log.size())
        return;
    m_log.resize(index);
    m_tables.clear();
    for (const LogEntry &entry : m_log)
        apply(entry);
}

void TargetInstance::apply(const LogEntry &entry)
{
    for (const Operation &operation : entry.operations) {
        Table &table = m_tables[operation.table];
        if (operation.kind == OperationKind::Expire) {
            const std::int64_t limit = toNumber(operation.value);
            std::erase_if(table, [limit](const auto &row) {
                return !row.second.empty() && toNumber(row.second.front()) < limit;
            });
        } else {
            table[operation.key].push_back(operation.value);
        }
    }
}

std::uint64_t TargetInstance::termAt(std::uint64_t index) const
{
    return index == 0 ? 0 : m_log.at(index - 1).term;
}

ExecuteAnswer TargetInstance::refuse(Cause cause) const
{
    ExecuteAnswer answer;
    answer.cause = cause;
    answer.position = last();
    return answer;
}

ExecuteAnswer TargetInstance::runOperations(const std::vector<Operation> &operations,
                                            std::vector<Operation> *pending) const
{
    ExecuteAnswer answer;
    answer.position = last();
    for (std::size_t i = 0; i < operations.size(); ++i) {
        const Operation &operation = operations[i];
        OperationResult result;
        switch (operation.kind) {
        case OperationKind::Get:
            result.values = valuesWithPending(operation.table, operation.key, *pending);
            break;
        case OperationKind::Count:
            result.count = rows(operation.table).size();
            break;
        case OperationKind::Insert:
            if (!valuesWithPending(operation.table, operation.key, *pending).empty()) {
                answer.cause = Cause::Conflict;
                answer.failedOperation = i;
                return answer;
            }
            [[fallthrough]];
        case OperationKind::Append:
        case OperationKind::Expire:
            result.count = 1;
            pending->push_back(operation);
            break;
        }
        answer.results.push_back(std::move(result));
    }
    return answer;
}

std::vector<std::string>
TargetInstance::valuesWithPending(const std::string &table, const std::string &key,
                                  const std::vector<Operation> &pending) const
{
    std::vector<std::string> values;
    const auto foundTable = m_tables.find(table);
    if (foundTable != m_tables.end()) {
        const auto foundRow = foundTable->second.find(key);
        if (foundRow != foundTable->second.end())
            values = foundRow->second;
    }
    for (const Operation &operation : pending) {
        if (operation.kind != OperationKind::Expire && operation.table == table
            && operation.key == key)
            values.push_back(operation.value);
    }
    return values;
}

} // namespace cicadagap
