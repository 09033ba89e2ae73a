// Encodes relayed batches and replies as the messages Batch and Reply of
// generated/relaywire/relay.proto.
#pragma once

#include "base/reason.h"
#include "session/relaybatch.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

std::string encodeRelayBatch(const RelayBatch &batch);
std::string encodeRelayReply(const RelayReply &reply);
// The same, without the rows, and with a reason, if the encoding would be longer than `maxBytes`.
// Statements of a batch that only reads count as TooLong then, others as in doubt.
std::string encodeRelayReply(const RelayReply &reply, bool onlyReads, std::size_t maxBytes,
                             Reason *reason);

// Return nothing, and a reason, for bytes that are not a batch or a reply.
std::optional<RelayBatch> decodeRelayBatch(std::string_view bytes, Reason *reason);
std::optional<RelayReply> decodeRelayReply(std::string_view bytes, Reason *reason);

} // namespace cicadagap
