// The session token: the position of the last acknowledged write of a session in each group that it
// wrote to.
//
// The system returns the token with each answer and the caller sends it back with the next request,
// so that a session reads its own writes on any host although the hosts share no session state. The
// token is signed, and a token that was altered or that was signed with an unknown key is rejected.
//
// Not thread-safe.
//
//     SessionToken token;
//     token.advance("tensile", {3, 17});
//     std::string text = token.encode({"key"});       // "1.tensile:3:17.<signature>"
//     std::optional<SessionToken> back = SessionToken::decode(text, {"newKey", "key"}, &reason);
#pragma once

#include "base/position.h"
#include "base/reason.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

class SessionToken
{
public:
    // When a token with this many groups gets another one, it drops the group whose name sorts
    // first.
    static constexpr std::size_t MaxGroups = 32;

    // Reads a token that encode() returned. The signature may match any of `keys`, so that keys can
    // be rotated. Returns std::nullopt and sets `reason` if no key matches or the text is
    // malformed.
    static std::optional<SessionToken> decode(std::string_view text,
                                              const std::vector<std::string> &keys, Reason *reason);
    // Returns the text of the token, signed with the first key. `keys` must not be empty.
    std::string encode(const std::vector<std::string> &keys) const;

    // Sets the group's position if `position` is higher than the known one.
    void advance(const std::string &group, Position position);
    // Returns the group's position, or {0, 0} if the session has not written to the group.
    Position position(const std::string &group) const;

private:
    std::map<std::string, Position> m_positions;
};

} // namespace cicadagap
