// The state machine of a stand-in target, which takes the place of one database instance in tests
// and in the demo: a replicated log with terms, rows derived from the log, transactions by
// connection, and the commands with which a steward (the control process of a host) changes the
// primary: follow and promote.
//
// Performs no I/O and reads no clock: the program cicadagap-standin-target drives one over HTTP,
// and tests drive many in one process. Not thread-safe.
//
//     TargetInstance primary({.name = "t1"});
//     primary.follow(1, std::nullopt);
//     primary.promote(1, {"t1", "t2", "t3"});
//     ExecuteRequest request{.term = 1};
//     request.operations = {{OperationKind::Append, "pulls", "bar-7", "x"}};
//     ExecuteAnswer answer = primary.execute(connection, request);
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
    Append, // Appends a value to the list under a key.
    Insert, // Creates a key with one value; fails with Cause::Conflict if the key exists.
    Get,    // Reads the list under a key.
    Count,  // Counts the keys of a table.
    Expire, // Deletes the keys of a table whose first value, as a number, is below `value`.
};

inline constexpr NameTable<OperationKind, 5> OperationKindNames{{{
    {OperationKind::Append, "append"},
    {OperationKind::Insert, "insert"},
    {OperationKind::Get, "get"},
    {OperationKind::Count, "count"},
    {OperationKind::Expire, "expire"},
}}};

// One operation of a statement.
struct Operation
{
    OperationKind kind = OperationKind::Get;
    std::string table;
    std::string key;
    std::string value;

    bool writes() const { return kind != OperationKind::Get && kind != OperationKind::Count; }
    bool operator==(const Operation &) const = default;
};

// One entry of the log: the writes of one transaction. A barrier entry, which a new primary appends
// when its term begins, has no operations.
struct LogEntry
{
    std::uint64_t term = 0;
    std::vector<Operation> operations;

    bool operator==(const LogEntry &) const = default;
};

// The result of one operation: the values that it read, or the number of rows.
struct OperationResult
{
    std::vector<std::string> values;
    std::uint64_t count = 0;
};

// A statement.
struct ExecuteRequest
{
    std::uint64_t term = 0;     // The term in which the sender takes this instance for the primary.
    bool readOnly = false;      // Allowed on replicas; refused if it contains a write.
    bool inTransaction = false; // Refused unless the connection has an open transaction.
    std::vector<Operation> operations;
};

// The answer to a statement, begin, commit or rollback.
struct ExecuteAnswer
{
    Cause cause = Cause::None;
    std::size_t failedOperation = 0; // The index of the operation, with Cause::Conflict.
    std::vector<OperationResult> results;
    Position position; // The instance's last entry after the statement.
};

// The state of a replica as of its last answer to the primary.
struct ReplicaReport
{
    std::string name;
    std::uint64_t term = 0;
    Position last;
    Millis lastContactAt; // When that answer arrived; zero if none has.
};

// What an instance reports about itself.
struct TargetInstanceStatus
{
    std::string name;
    bool primary = false;
    std::uint64_t term = 0;
    std::string following; // The name of the primary; empty if unknown.
    Position last;
    std::vector<ReplicaReport> replicas; // Filled in on the primary only.
};

// Log entries that a primary sends to a replica. Without entries it is a heartbeat.
struct ReplicateRequest
{
    std::uint64_t term = 0;
    std::string primary;
    Position previous; // The entry before the first of `entries`.
    std::vector<LogEntry> entries;
};

// A replica's answer to a ReplicateRequest.
struct ReplicateAnswer
{
    bool accepted = false;
    std::uint64_t term = 0;
    Position last;
    std::uint64_t nextIndex = 0; // The index of the entry that the primary should send next.
};

// The answer to follow(): whether the instance adopted the term, and its state, by which a steward
// chooses the new primary.
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

    // Adopts `term`, after which the instance accepts nothing more from a primary of a lower term,
    // and stops being primary. Without `primary` this is a seal: the term must be higher than the
    // instance's own. With `primary`, the name of the primary of this term, an equal term is
    // enough.
    FollowAnswer follow(std::uint64_t term, const std::optional<std::string> &primary);
    // Makes the instance primary of `term`, which it must have adopted by a seal, and appends a
    // barrier entry. Returns false if the instance is in another term or follows another primary in
    // this one. Idempotent.
    bool promote(std::uint64_t term, const std::vector<std::string> &members);

    // Returns the next entries for `replica`, or std::nullopt if this is not the primary or
    // `replica` is no member of the group.
    std::optional<ReplicateRequest> replicationFor(const std::string &replica) const;
    ReplicateAnswer onReplicate(const ReplicateRequest &request);
    void onReplicateAnswer(const std::string &replica, const ReplicateAnswer &answer, Millis now);

    // Executes a statement, in the connection's open transaction if `request` says so.
    ExecuteAnswer execute(std::uint64_t connection, const ExecuteRequest &request);
    // Begins a transaction on the connection.
    ExecuteAnswer begin(std::uint64_t connection, std::uint64_t term);
    // Runs `operations` before the statements of the connection's transaction, and commits all of
    // them. Any failure rolls back.
    ExecuteAnswer commit(std::uint64_t connection, const std::vector<Operation> &operations);
    ExecuteAnswer rollback(std::uint64_t connection);
    // The connection was closed. Rolls back its open transaction.
    void onClosed(std::uint64_t connection);

    TargetInstanceStatus status() const;
    std::uint64_t term() const { return m_term; }
    Position last() const;
    const std::vector<LogEntry> &log() const { return m_log; }
    // The number of begins, and of statements outside transactions, that arrived on a connection
    // with an open transaction. Always 0 if the proxy is correct.
    std::uint64_t interleavedTransactions() const { return m_interleavedTransactions; }
    // Returns the values under a key, for checks in tests.
    std::vector<std::string> values(const std::string &table, const std::string &key) const;
    // Returns all rows of a table, for checks in tests.
    std::map<std::string, std::vector<std::string>> rows(const std::string &table) const;
    // Replaces the whole state after a restart from disk. The instance is a replica afterwards.
    void restore(std::uint64_t term, std::vector<LogEntry> log);

private:
    using Table = std::map<std::string, std::vector<std::string>>;

    struct Transaction
    {
        std::uint64_t term = 0;
        std::vector<Operation> operations;
    };

    struct ReplicaProgress
    {
        std::uint64_t nextIndex = 1;
        ReplicaReport report;
    };

    void becomeReplica(std::uint64_t term);
    void appendEntry(LogEntry entry);
    void truncateAfter(std::uint64_t index);
    void apply(const LogEntry &entry);
    std::uint64_t termAt(std::uint64_t index) const;
    ExecuteAnswer refuse(Cause cause) const;
    // Runs operations on the rows as they would be after `pending`, and adds the writes to
    // `pending`.
    ExecuteAnswer runOperations(const std::vector<Operation> &operations,
                                std::vector<Operation> *pending) const;
    std::vector<std::string> valuesWithPending(const std::string &table, const std::string &key,
                                               const std::vector<Operation> &pending) const;

    std::string m_name;
    bool m_primary = false;
    std::uint64_t m_term = 0;
    std::string m_following;
    std::vector<LogEntry> m_log;
    std::map<std::string, Table> m_tables;
    std::map<std::uint64_t, Transaction> m_transactions;
    std::map<std::string, ReplicaProgress> m_replicaProgress;
    std::uint64_t m_interleavedTransactions = 0;
};

} // namespace cicadagap
