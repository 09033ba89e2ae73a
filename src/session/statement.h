// The statements of a caller's session and their answers, independent of the protocol that carries
// them. The same types describe what the system sends to an instance.
#pragma once

#include "base/position.h"
#include "base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

enum class StatementKind {
    Unknown, // Could not be read.
    Begin,   // A transaction that may write; only a primary accepts it.
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Reset, // This and the following are only sent by the system, never by callers.
    Status,
    Pause,    // A replica stops receiving the log and adopts `argument` as its held term.
    Resume,   // A paused replica receives again.
    StepDown, // A primary of a term lower than `argument` becomes a replica.
};

// The id of statements that the system sends on its own account.
inline constexpr const char *InternalStatementId = "-";

struct Statement
{
    std::string id = InternalStatementId;
    StatementKind kind = StatementKind::Unknown;
    std::string text;                         // As the caller sent it; passed on unchanged.
    std::string name;                         // Of a session value or a prepared statement.
    std::string argument;                     // The value, the shape, or an execution's parameters.
    bool preparesWrite = false;               // Prepare only.
    std::optional<Position> requiredPosition; // The instance must hold this position, or refuse.

    bool operator==(const Statement &) const = default;
};

// What a session or an instance's connection may do next.
enum class SessionPhase {
    Idle,
    Transaction,
    FailedTransaction, // Only a rollback or a commit (which rolls back) is accepted.
};

// How an instance describes itself in its answer to a status query or an order.
struct InstanceStatus
{
    bool primary = false;
    std::uint64_t term = 0;
    Position received;            // The end of its log.
    std::uint64_t pausedTerm = 0; // Of the order to stop receiving; 0 if it receives.
};

struct StatementAnswer
{
    Cause cause = Cause::None;
    std::string detail; // Why it failed, or the instance's own word.
    std::vector<std::string> rows;
    std::string signature; // The instance's proof that it ran the statement.
    SessionPhase phase = SessionPhase::Idle;
    std::optional<Position> position;     // Of the instance's log when it answered.
    std::optional<InstanceStatus> status; // Of status queries and orders only.

    bool succeeded() const { return cause == Cause::None; }
};

// Whether the statement has to wait for one of the instance's slots.
constexpr bool needsSlot(StatementKind kind)
{
    return kind == StatementKind::Read || kind == StatementKind::Write
        || kind == StatementKind::Execute || kind == StatementKind::Commit
        || kind == StatementKind::Status;
}

} // namespace cicadagap
