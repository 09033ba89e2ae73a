// Positions in the replicated log of a database group.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cicadagap {

// The position of a log entry: the term of the primary that wrote the entry, and the entry's index.
//
// Positions are ordered by term first, then by index. If an entry at position P is acknowledged,
// every instance whose last entry is at P or after it holds that entry: logs that end in the same
// term agree up to the end of the shorter one, and the log of a later term begins with every entry
// that was acknowledged before it (docs/DESIGN.md, "Acknowledgement").
struct Position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    constexpr auto operator<=>(const Position &) const = default;

    // Whether a log whose last entry is at this position holds the acknowledged entry at `entry`.
    constexpr bool covers(Position entry) const { return *this >= entry; }
};

// The position as "TERM.INDEX".
inline std::string positionText(Position position)
{
    return std::to_string(position.term) + "." + std::to_string(position.index);
}

} // namespace cicadagap
