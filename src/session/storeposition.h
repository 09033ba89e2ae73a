// The order of what the platform's store says.
//
// The store counts its changes: an answer of a higher version is newer. If the store is lost, it
// comes back from an older copy of itself. The versions since the copy are then given out again,
// for other changes, so that they order answers only within one epoch: the time between two such
// returns. The store counts its epochs too, and names the present one in each answer.
#pragma once

#include <compare>
#include <cstdint>

namespace cicadagap {

// Where an answer stands in the store's history.
struct StorePosition
{
    std::uint64_t epoch
        = 0; // 0: the store, or the host that passed the answer on, counts no epochs.
    std::uint64_t version = 0;

    auto operator<=>(const StorePosition &) const = default;
};

// What was read from the store, and where in its history.
template <typename Value> struct StoreReading
{
    Value value;
    StorePosition position;
};

} // namespace cicadagap
