// A position in a group's replicated log: the term that wrote an entry and the entry's index.
//
// Positions are ordered by term first, then by index. If an entry (T, p) is acknowledged, an
// instance whose last entry is at or after (T, p) in this order holds the entry: logs that end in
// the same term agree up to the shorter one, and a later term's log starts with every entry
// acknowledged before it (docs/DESIGN.md, "Acknowledgement").
#pragma once

#include <compare>
#include <cstdint>

namespace cicadagap {

struct Position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    constexpr auto operator<=>(const Position &) const = default;

    // Whether a log that ends here holds the acknowledged entry `entry`.
    constexpr bool covers(Position entry) const { return *this >= entry; }
};

} // namespace cicadagap
