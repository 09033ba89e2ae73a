// What a host sends to a gateway, and what it gets back.
#pragma once

#include "base/millis.h"
#include "session/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Why a statement is sent to an instance.
enum class SendPurpose {
    Restore,          // Makes the connection fit the session.
    OpenTransaction,  // The system's own opening of a transaction.
    Work,             // The caller's statement, or an order.
    CloseTransaction, // The system's own rollback.
};

// A statement of a batch, with the reason why it is sent.
struct RelayedStatement
{
    Statement statement;
    SendPurpose purpose = SendPurpose::Work;

    bool operator==(const RelayedStatement &) const = default;
};

struct RelayBatch
{
    std::string origin;        // The sending host, with its incarnation.
    std::uint64_t channel = 0; // Unique at the origin.
    std::string instance;
    bool continues = false; // The gateway must know the channel; its transaction is open.
    int priority = 0;
    bool needsSlot = true;        // Otherwise it goes before everything that does.
    Millis maxWait;               // How long it may wait for a connection and a slot.
    std::optional<Millis> maxAge; // Reads accept data that was current this long ago.
    std::vector<RelayedStatement> statements;

    bool operator==(const RelayBatch &) const = default;
};

// The answers to the batch's statements but those that only restore the session's state. If the
// channel ended, fewer may have come, and `cause` tells why.
struct RelayReply
{
    std::vector<StatementAnswer> answers;
    bool ended = false;
    Cause cause = Cause::None;
    bool sent = false;   // The caller's statement may have reached the instance.
    std::string primary; // The group's primary as the gateway knows it, where that may help.
};

} // namespace cicadagap
