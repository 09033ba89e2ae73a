// The state of one database-group instance as the stand-in target keeps it: a replicated log with
// terms, rows derived from the log, transactions per connection, and the orders that a steward
// gives (follow, promote).
//
// It is a pure state machine: the program cicadagap-standin-target drives it over HTTP, and tests
// drive many of them in one process. Not thread-safe.
//
//     GroupInstance primary({.name = "t1"});
//     primary.promote(1, {"t1", "t2", "t3"});
//     primary.execute(connection, {.operations = {{OperationKind::Append, "pulls", "bar-7",
//     "x"}}});
#pragma once

#include "base/millis.h"
#include "base/names.h"
#include "base/position.h"
#include "base/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

enum class OperationKind {
    Append, // Adds a value to the list under a key.
    Insert, // Creates a key with one value; a conflict if the key exists.
    Get,    // Reads the list under a key.
    Count,  // Counts the keys of a table.
    Expire, // Deletes keys of a table whose first value is numerically below `value`.
};

inline constexpr NameTable<OperationKind, 5> OperationKindNames{{{
    {OperationKind::Append, "append"},
    {OperationKind::Insert, "insert"},
    {OperationKind::Get, "get"},
    {OperationKind::Count, "count"},
    {OperationKind::Expire, "expire"},
}}};

struct Operation
{
    OperationKind kind = OperationKind::Get;
    std::string table;
    std::string key;
    std::string value;

    bool writes() const { return kind != OperationKind::Get && kind != OperationKind::Count; }
    bool operator==(const Operation &) const = default;
};

// One log entry. A barrier entry has no operations.
struct LogEntry
{
    std::uint64_t term = 0;
    std::vector<Operation> operations;

    bool operator==(const LogEntry &) const = default;
};

// The result of one operation: the values read, or a number of rows.
struct OperationResult
{
    std::vector<std::string> values;
    std::uint64_t count = 0;
};

struct ExecuteRequest
{
    std::uint64_t term = 0;     // The term in which the caller believes this instance is primary.
    bool readOnly = false;      // Permitted on replicas; writes are refused.
    bool inTransaction = false; // Refused unless the connection has a transaction open.
    std::vector<Operation> operations;
};

struct ExecuteAnswer
{
    Cause cause = Cause::None;
    std::size_t failedOperation = 0; // With Cause::Conflict.
    std::vector<OperationResult> results;
    Position position; // The instance's last entry after the statement.
};

// What the primary last heard from a replica.
struct ReplicaReport
{
    std::string name;
    std::uint64_t term = 0;
    Position last;
    Millis heardAt;
};

struct TargetInstanceStatus
{
    std::string name;
    bool primary = false;
    std::uint64_t term = 0;
    std::string following; // The primary's name, if known.
    Position last;
    std::vector<ReplicaReport> replicas; // On the primary only.
};

struct ReplicateRequest
{
    std::uint64_t term = 0;
    std::string primary;
    Position previous; // The entry before the first of `entries`.
    std::vector<LogEntry> entries;
};

struct ReplicateAnswer
{
    bool accepted = false;
    std::uint64_t term = 0;
    Position last;
    std::uint64_t nextIndex = 0; // If not accepted: where the primary should continue from.
};

// The answer to follow(): whether the term was adopted, and the state that a steward compares.
struct FollowAnswer
{
    bool accepted = false;
    std::uint64_t term = 0;
    Position last;
};

class TargetInstance
{
public:
    struct Options
    {
        std::string name;
    };

    explicit TargetInstance(Options options);

    // Adopts `term` and stops being primary. Without `primary` (a seal) the term must be higher
    // than the instance's own; with it (who leads this term), equal is enough.
    FollowAnswer follow(std::uint64_t term, const std::optional<std::string> &primary);
    // Makes the instance primary of `term`, which it must have adopted before, and writes a barrier
    // entry. False if the instance is in another term. Idempotent.
    bool promote(std::uint64_t term, const std::vector<std::string> &members);

    // The next replication message for `replica`, or nothing if this is not the primary.
    std::optional<ReplicateRequest> replicationFor(const std::string &replica) const;
    ReplicateAnswer onReplicate(const ReplicateRequest &request);
    void onReplicateAnswer(const std::string &replica, const ReplicateAnswer &answer, Millis now);

    // Executes a statement, inside the connection's transaction if one is open.
    ExecuteAnswer execute(std::uint64_t connection, const ExecuteRequest &request);
    ExecuteAnswer begin(std::uint64_t connection, std::uint64_t term);
    // Commits; `operations` run first in the same transaction. Any failure rolls back.
    ExecuteAnswer commit(std::uint64_t connection, const std::vector<Operation> &operations);
    ExecuteAnswer rollback(std::uint64_t connection);
    // Rolls back whatever the closed connection left open.
    void onClosed(std::uint64_t connection);

    TargetInstanceStatus status() const;
    std::uint64_t term() const { return m_term; }
    Position last() const;
    const std::vector<LogEntry> &log() const { return m_log; }
    // Begins, or statements of no transaction, that arrived on a connection with a transaction
    // open. Always 0 in a correct proxy.
    std::uint64_t interleavedTransactions() const { return m_interleavedTransactions; }
    // The values under a key, for checks.
    std::vector<std::string> values(const std::string &table, const std::string &key) const;
    // All rows of a table, for checks.
    std::map<std::string, std::vector<std::string>> rows(const std::string &table) const;
    // Replaces the whole state, after a restart from disk. The instance is a replica.
    void restore(std::uint64_t term, std::vector<LogEntry> log);

private:
    using Table = std::map<std::string, std::vector<std::string>>;

    struct Transaction
    {
        std::uint64_t term = 0;
        std::vector<Operation> operations;
    };

    struct Progress
    {
        std::uint64_t nextIndex = 1;
        ReplicaReport report;
    };

    void becomeFollower(std::uint64_t term);
    void appendEntry(LogEntry entry);
    void truncateAfter(std::uint64_t index);
    void apply(const LogEntry &entry);
    std::uint64_t termAt(std::uint64_t index) const;
    ExecuteAnswer refuse(Cause cause) const;
    // Runs operations against the rows plus `pending`; collects the writes into `pending`.
    ExecuteAnswer evaluate(const std::vector<Operation> &operations,
                           std::vector<Operation> *pending) const;
    std::vector<std::string> visibleValues(const std::string &table, const std::string &key,
                                           const std::vector<Operation> &pending) const;

    std::string m_name;
    bool m_primary = false;
    std::uint64_t m_term = 0;
    std::string m_following;
    std::vector<LogEntry> m_log;
    std::map<std::string, Table> m_tables;
    std::map<std::uint64_t, Transaction> m_transactions;
    std::map<std::string, Progress> m_progress;
    std::uint64_t m_interleavedTransactions = 0;
};

} // namespace cicadagap
