// An IP address with a TCP port.
#pragma once

#include "base/reason.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// Port 0 lets the system choose one when listening.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    std::string text() const { return address + ":" + std::to_string(port); }
};

// Reads "ADDRESS:PORT"; names are not resolved.
std::optional<Endpoint> parseEndpoint(std::string_view text, Reason *reason);

} // namespace cicadagap
