// Parses the messages that hosts send each other, which generated/relaywire/relay.proto describes.
#pragma once

#include "base/reason.h"

#include <string>
#include <string_view>

namespace cicadagap {

// Parses an encoded message. Returns false, and a reason that calls it `what`, for other bytes.
template <typename Message>
bool parseRelayMessage(std::string_view bytes, std::string_view what, Message *message,
                       Reason *reason)
{
    if (message->ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return true;
    setReason(reason, "not an encoded " + std::string(what));
    return false;
}

} // namespace cicadagap
