// Encodes the messages by which hosts share quotas as QuotaRequest and QuotaReply of
// generated/relaywire/relay.proto.
#pragma once

#include "base/reason.h"
#include "session/quotashares.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

std::string encodeQuotaRequest(const QuotaRequest &request);
std::string encodeQuotaReply(const QuotaReply &reply);

// Return nothing, and a reason, for bytes that are no such message, and for one without a host or a
// tenant's name, with a tenant twice, or with counts or a state that no host sends.
std::optional<QuotaRequest> decodeQuotaRequest(std::string_view bytes, Reason *reason);
std::optional<QuotaReply> decodeQuotaReply(std::string_view bytes, Reason *reason);

} // namespace cicadagap
