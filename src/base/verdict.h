// Says whether a request may have run at its target.
//
// Every failed step of a request carries a Verdict. Only NotRun permits an automatic retry of a
// request that is not idempotent.
#pragma once

#include "base/names.h"

namespace cicadagap {

enum class Verdict {
    NotRun,     // The request has not run and will not run later.
    MayHaveRun, // The request was sent; whether it ran is unknown.
    Ran,        // The request ran and its effect is acknowledged.
};

inline constexpr NameTable<Verdict, 3> VerdictNames{{{
    {Verdict::NotRun, "not-run"},
    {Verdict::MayHaveRun, "may-have-run"},
    {Verdict::Ran, "ran"},
}}};

// Why an attempt did not succeed. Shared by targets, gateways, entry hosts and callers.
enum class Cause {
    None,
    Invalid,         // The request is malformed or violates the settings.
    UnknownTeam,     // This host has no settings for the team.
    NoPrimary,       // No primary is known or reachable.
    NotPrimary,      // The instance is not the primary of the expected term.
    Behind,          // The replica has not applied the required position.
    TooOld,          // The replica's data may be older than the request accepts.
    Overloaded,      // A queue is full or the expected wait exceeds the deadline.
    Leaving,         // The target or host accepts no new work.
    Unreachable,     // No connection could be established.
    ConnectionLost,  // The connection failed after the request was sent.
    Timeout,         // The deadline passed.
    Conflict,        // The target rejected the statement, for example a duplicate key.
    Cancelled,       // The request id was cancelled by an outcome query.
    NoTransaction,   // The transaction is unknown, finished or expired.
    Busy,            // The transaction already has a statement in progress.
    Duplicate,       // The ledger already holds the request id.
    Aborted,         // The transaction was rolled back; nothing of it is kept.
    Failed,          // The statement ran and failed.
    WrongInstance,   // The address belongs to another instance than the expected one.
    NoConnection,    // The instance accepts no more connections.
    UnknownDatabase, // No route has the database's name.
    UnknownName,     // No statement was prepared under the name.
};

inline constexpr NameTable<Cause, 23> CauseNames{{{
    {Cause::None, "none"},
    {Cause::Invalid, "invalid"},
    {Cause::UnknownTeam, "unknown-team"},
    {Cause::NoPrimary, "no-primary"},
    {Cause::NotPrimary, "not-primary"},
    {Cause::Behind, "behind"},
    {Cause::TooOld, "too-old"},
    {Cause::Overloaded, "overloaded"},
    {Cause::Leaving, "leaving"},
    {Cause::Unreachable, "unreachable"},
    {Cause::ConnectionLost, "connection-lost"},
    {Cause::Timeout, "timeout"},
    {Cause::Conflict, "conflict"},
    {Cause::Cancelled, "cancelled"},
    {Cause::NoTransaction, "no-transaction"},
    {Cause::Busy, "busy"},
    {Cause::Duplicate, "duplicate"},
    {Cause::Aborted, "aborted"},
    {Cause::Failed, "failed"},
    {Cause::WrongInstance, "wrong-instance"},
    {Cause::NoConnection, "no-connection"},
    {Cause::UnknownDatabase, "unknown-database"},
    {Cause::UnknownName, "unknown-name"},
}}};

} // namespace cicadagap
