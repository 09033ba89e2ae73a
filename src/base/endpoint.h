// IP addresses with TCP ports.
#pragma once

#include "base/reason.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// An IPv4 or IPv6 address and a TCP port. Port 0 lets the operating system choose a free port when
// listening.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    // "ADDRESS:PORT", as parseEndpoint() reads it.
    std::string text() const { return address + ":" + std::to_string(port); }
};

// Parses "ADDRESS:PORT". The address must be numeric: host names are not resolved. Returns nothing
// and sets `reason` if `text` is malformed.
std::optional<Endpoint> parseEndpoint(std::string_view text, Reason *reason);
// The same for an endpoint to connect to: its port must not be 0.
std::optional<Endpoint> parseRemoteEndpoint(std::string_view text, Reason *reason);

} // namespace cicadagap
