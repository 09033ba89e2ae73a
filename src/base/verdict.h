// The outcome of a request: whether it ran at its target, and why an attempt failed.
#pragma once

#include "base/names.h"

namespace cicadagap {

// Whether a request ran at its target. Every failed step of a request reports a Verdict. Only
// NotRun permits an automatic retry of a request that is not idempotent.
enum class Verdict {
    NotRun,     // The request has not run and will not run later.
    MayHaveRun, // The request was sent, but whether it ran is unknown.
    Ran,        // The request ran and its effect is acknowledged.
};

inline constexpr NameTable<Verdict, 3> VerdictNames{{{
    {Verdict::NotRun, "not-run"},
    {Verdict::MayHaveRun, "may-have-run"},
    {Verdict::Ran, "ran"},
}}};

// Why an attempt did not succeed. Targets, gateways, entry hosts and callers all use these values.
enum class Cause {
    None,
    Invalid,         // The request is malformed or violates the settings.
    UnknownTeam,     // This host has no settings for the team (the customer).
    NoPrimary,       // No primary is known or reachable.
    NotPrimary,      // The instance is not the primary in the expected term.
    Behind,          // The replica has not applied the log up to the required position.
    TooOld,          // The replica's data may be older than the request permits.
    Overloaded,      // A queue is full, or the expected wait exceeds the deadline.
    Leaving,         // The target or host is about to stop and accepts no new work.
    Unreachable,     // No connection could be established.
    ConnectionLost,  // The connection failed after the request was sent.
    Timeout,         // The deadline passed.
    Conflict,        // The target rejected the statement, for example a duplicate key.
    Cancelled,       // An outcome query cancelled the request id.
    NoTransaction,   // The transaction is unknown, finished or expired.
    Busy,            // The transaction already has a statement in progress.
    Duplicate,       // The ledger (the table of used request ids) already holds the request id.
    Aborted,         // The transaction was rolled back; none of its changes are kept.
    Failed,          // The statement ran and returned an error.
    WrongInstance,   // The address belongs to an instance other than the expected one.
    NoConnection,    // The instance has reached its connection limit.
    UnknownDatabase, // No route exists for the database.
    UnknownName,     // No statement was prepared under that name.
    TooLong,         // It, or what it needs, exceeds a limit on lengths; it has not run.
    UnknownKey,      // No tenant holds the caller's API key.
    QuotaExceeded,   // The tenant has used up its quota; it has not run.
};

inline constexpr NameTable<Cause, 26> CauseNames{{{
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
    {Cause::TooLong, "too-long"},
    {Cause::UnknownKey, "unknown-key"},
    {Cause::QuotaExceeded, "quota-exceeded"},
}}};

} // namespace cicadagap
