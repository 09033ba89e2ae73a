// The statements of a caller's session and their answers, independent of the protocol that carries
// them. The same types describe what the system itself sends to an instance: callers' statements,
// statements that restore a session's state, and commands, which change the instance's role in
// replication.
#pragma once

#include "base/position.h"
#include "base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// What a statement does. Hosts send the values to each other by number.
enum class StatementKind {
    Unknown, // The text could not be parsed.
    Begin,   // Opens a transaction that may write; only a primary accepts it.
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    // The following are sent only by the system itself, never by callers.
    Reset,    // Clears the connection's session values and prepared statements.
    Status,   // Queries the instance's status.
    Pause,    // Command: a replica stops receiving the log and adopts the term in `argument`.
    Resume,   // Command: a paused replica receives the log again.
    StepDown, // Command: a primary of a lower term than `argument` becomes a replica.
};

// The id of the statements that the system itself originates.
inline constexpr const char *InternalStatementId = "-";

struct Statement
{
    std::string id = InternalStatementId;
    StatementKind kind = StatementKind::Unknown;
    std::string text; // As the caller sent it; passed on unchanged.
    std::string name; // Of a session value or a prepared statement.
    // SetValue: the value. Prepare: the shape, which is the text with placeholders for parameters.
    // Execute: the parameters. Pause and StepDown: the term.
    std::string argument;
    // Callers' statements only: why it cannot be run, as far as its text alone tells.
    Cause refusal = Cause::None;
    bool preparesWrite = false; // Prepare only: executing the prepared statement writes.
    // The instance refuses the statement unless its log holds this position.
    std::optional<Position> requiredPosition;

    bool operator==(const Statement &) const = default;
};

// Whether a session, or a connection to an instance, is inside a transaction.
enum class SessionPhase {
    Idle,
    Transaction,
    FailedTransaction, // Accepts only a rollback, or a commit, which rolls back.
};

// The status of an instance, as it reports it in its answer to a status query or a command.
struct InstanceStatus
{
    bool primary = false;
    std::uint64_t term = 0;
    Position received;            // The end of its log.
    std::uint64_t pausedTerm = 0; // The term of the Pause command in effect; 0 if it receives.

    bool operator==(const InstanceStatus &) const = default;
};

// The answer to a statement, from an instance or from the system itself.
struct StatementAnswer
{
    Cause cause = Cause::None;
    std::string detail; // Why the statement failed, or the instance's own error text.
    std::vector<std::string> rows;
    std::string signature;                   // The instance's proof that it ran the statement.
    SessionPhase phase = SessionPhase::Idle; // After the statement.
    std::optional<Position> position;        // The end of the instance's log when it answered.
    std::optional<InstanceStatus> status;    // For status queries and commands only.

    bool succeeded() const { return cause == Cause::None; }

    bool operator==(const StatementAnswer &) const = default;
};

// Whether a statement of this kind occupies one of the instance's slots, the statements that it
// runs at a time.
constexpr bool needsSlot(StatementKind kind)
{
    return kind == StatementKind::Read || kind == StatementKind::Write
        || kind == StatementKind::Execute || kind == StatementKind::Commit
        || kind == StatementKind::Status;
}

} // namespace cicadagap
