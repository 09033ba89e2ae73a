// The compact encoding of relayed batches and replies (generated/relaywire/relay.proto).
#pragma once

#include "base/reason.h"
#include "session/relaybatch.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

std::string encodeBatch(const RelayBatch &batch);
std::string encodeReply(const RelayReply &reply);

// Nothing, and a reason, for bytes that are not a batch or a reply.
std::optional<RelayBatch> decodeBatch(std::string_view bytes, Reason *reason);
std::optional<RelayReply> decodeReply(std::string_view bytes, Reason *reason);

} // namespace cicadagap
