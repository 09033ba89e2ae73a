#include "request/sessiontoken.h"

#include "base/hash.h"
#include "connection/http.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cicadagap {

namespace {

constexpr std::string_view FormatVersion = "1";

bool parseNumber(std::string_view text, std::uint64_t *number)
{
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, *number);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

// Parses "<group>:<term>:<index>". The group's name is percent-encoded; tokens of earlier versions
// may have colons in it.
bool parseEntry(std::string_view text, std::string *group, Position *position)
{
    const std::size_t second = text.rfind(':');
    if (second == std::string_view::npos || second == 0)
        return false;
    const std::size_t first = text.rfind(':', second - 1);
    if (first == std::string_view::npos)
        return false;
    std::optional<std::string> name = percentDecode(text.substr(0, first));
    if (!name)
        return false;
    *group = std::move(*name);
    return parseNumber(text.substr(first + 1, second - first - 1), &position->term)
        && parseNumber(text.substr(second + 1), &position->index);
}

bool matchesAnyKey(std::string_view payload, std::string_view givenSignature,
                   const std::vector<std::string> &keys)
{
    return std::any_of(keys.begin(), keys.end(), [payload, givenSignature](const std::string &key) {
        return equalConstantTime(signature(key, payload), givenSignature);
    });
}

} // namespace

std::optional<SessionToken>
SessionToken::decode(std::string_view text, const std::vector<std::string> &keys, Reason *reason)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || !text.starts_with("1.") || dot < 2) {
        setReason(reason, "the session token is malformed");
        return std::nullopt;
    }
    const std::string_view payload = text.substr(0, dot);
    if (!matchesAnyKey(payload, text.substr(dot + 1), keys)) {
        setReason(reason, "the session token's signature matches none of the keys");
        return std::nullopt;
    }
    SessionToken token;
    std::string_view entries = payload.substr(2);
    while (!entries.empty()) {
        const std::size_t end = std::min(entries.find(','), entries.size());
        std::string group;
        Position position;
        if (!parseEntry(entries.substr(0, end), &group, &position)) {
            setReason(reason, "the session token is malformed");
            return std::nullopt;
        }
        token.advance(group, position);
        entries.remove_prefix(std::min(end + 1, entries.size()));
    }
    return token;
}

std::string SessionToken::encode(const std::vector<std::string> &keys) const
{
    std::string payload = std::string(FormatVersion) + ".";
    bool first = true;
    for (const auto &row : m_positions) {
        payload += first ? "" : ",";
        payload += percentEncode(row.first) + ":" + std::to_string(row.second.term) + ":"
            + std::to_string(row.second.index);
        first = false;
    }
    return payload + "." + signature(keys.front(), payload);
}

void SessionToken::advance(const std::string &group, Position position)
{
    if (!m_positions.contains(group) && m_positions.size() >= MaxGroups)
        m_positions.erase(m_positions.begin());
    Position &current = m_positions[group];
    current = std::max(current, position);
}

Position SessionToken::position(const std::string &group) const
{
    const auto found = m_positions.find(group);
    return found == m_positions.end() ? Position{} : found->second;
}

} // namespace cicadagap
