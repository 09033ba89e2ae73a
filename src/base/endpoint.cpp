#include "base/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace cicadagap {

namespace {

// Whether `text` is a numeric IPv4 or IPv6 address.
bool isIpAddress(const std::string &text)
{
    if (text.find('\0') != std::string::npos)
        return false; // inet_pton() stops there.
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text, Reason *reason)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        setReason(reason, "\"" + std::string(text) + "\" is not of the form IP:PORT");
        return std::nullopt;
    }
    const std::string address(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char *const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || !isIpAddress(address)) {
        setReason(reason, "\"" + std::string(text) + "\" is not an IP address and a port");
        return std::nullopt;
    }
    return Endpoint{address, port};
}

std::optional<Endpoint> parseRemoteEndpoint(std::string_view text, Reason *reason)
{
    std::optional<Endpoint> endpoint = parseEndpoint(text, reason);
    if (!endpoint || endpoint->port > 0)
        return endpoint;
    setReason(reason, "\"" + std::string(text) + "\" has port 0");
    return std::nullopt;
}

} // namespace cicadagap
