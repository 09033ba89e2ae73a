// The session token: the highest acknowledged position of each group that a session wrote to.
//
// Callers carry it from answer to request, so a session may roam between hosts that share nothing.
// It is signed; a token that was altered or made elsewhere is rejected.
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
    // A token with this many groups drops the one with the lowest name when another is added.
    static constexpr std::size_t MaxGroups = 32;

    // Verifies with every key, so that keys can be rotated. Returns nothing if none fits or the
    // text is malformed.
    static std::optional<SessionToken> decode(std::string_view text,
                                              const std::vector<std::string> &keys, Reason *reason);
    // Signs with the first key, of which there must be one.
    std::string encode(const std::vector<std::string> &keys) const;

    // Raises the group's position; a lower one changes nothing.
    void advance(const std::string &group, Position position);
    // The group's position; {0, 0} if the session has none.
    Position position(const std::string &group) const;

private:
    std::map<std::string, Position> m_positions;
};

} // namespace cicadagap
