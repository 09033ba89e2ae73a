// What a host sends to a gateway, and what it gets back. A gateway is a host that holds connections
// to an instance and runs other hosts' statements on them.
#pragma once

#include "base/millis.h"
#include "session/loadreports.h"
#include "session/statement.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Why a statement is sent to an instance. Hosts send the values to each other by number.
enum class SendPurpose {
    Restore,          // Makes the connection hold the session's state.
    OpenTransaction,  // Sent by the system itself to open a transaction.
    Work,             // The caller's statement, or a command to the instance.
    CloseTransaction, // Sent by the system itself to roll a transaction back.
};

// A statement of a batch, with the reason why it is sent.
struct RelayedStatement
{
    Statement statement;
    SendPurpose purpose = SendPurpose::Work;

    bool operator==(const RelayedStatement &) const = default;
};

// Statements that a gateway runs in this order on one connection, and answers together.
struct RelayBatch
{
    std::string origin; // The process that sends the batch: the host and the time of its start.
    // Identifies the statement or transaction that the batch belongs to; unique for the origin.
    std::uint64_t channel = 0;
    std::string instance;   // The instance to run the statements on.
    bool continues = false; // The channel's transaction is open; the gateway must know it.
    int priority = 0;       // 0 goes first.
    std::string tenant;     // In whose name the statements run; empty for callers without a key.
    bool needsSlot = true;  // Work that needs none goes ahead of all work that does.
    Millis maxWait;         // How long it may wait for a connection and a slot.
    std::optional<Millis> maxAge; // For reads: the age that the data may have.
    // For work at the primary: the instance must have been primary this long ago.
    std::optional<Millis> primaryAge;
    std::vector<RelayedStatement> statements;

    bool operator==(const RelayBatch &) const = default;
    // Whether none of the statements can write, as far as their kinds tell.
    bool onlyReads() const
    {
        return std::none_of(statements.begin(), statements.end(), [](const auto &entry) {
            const StatementKind kind = entry.statement.kind;
            return kind == StatementKind::Write || kind == StatementKind::Execute
                || kind == StatementKind::Commit;
        });
    }
};

// The answers to the statements of a batch, in order, without those that only restore the session's
// state. If the channel ended, some answers may be missing; `cause` says why.
struct RelayReply
{
    std::vector<StatementAnswer> answers;
    bool ended = false; // The channel has ended; its connection is given back or lost.
    Cause cause = Cause::None;
    bool sent = false; // The caller's statement may have reached the instance.
    std::string
        primary; // The group's primary as the gateway knows it, if not the batch's instance.
    // The load of instances as the gateway sees it. Empty from hosts of earlier versions.
    std::vector<InstanceLoad> loads;

    bool operator==(const RelayReply &) const = default;
};

} // namespace cicadagap
