// A duty that one host holds at a time, kept as a row in the platform's store.
//
// A host that wants the duty reads the row, and replaces it under the condition that it has not
// changed. A claim lasts until an instant of the store's own clock, so that no two hosts' clocks
// are compared. Each claim draws a higher fencing token; the platform refuses calls with a lower
// one. (Gray and Cheriton, "Leases", 1989; Kleppmann, "How to do distributed locking", 2016.)
//
// Pure functions.
#pragma once

#include "base/millis.h"
#include "base/reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// How long a claim keeps others out, and for how long of it the holder acts. The difference covers
// the time in which an order that the holder sent is on its way.
inline constexpr Millis LeaseDuration(5000);
inline constexpr Millis LeaseActingTime(2500);

// The row's content.
struct PromotionLease
{
    std::string holder;
    std::uint64_t fencingToken = 0;
    Millis until; // On the store's clock.

    bool operator==(const PromotionLease &) const = default;
};

std::string leaseText(const PromotionLease &row);
std::optional<PromotionLease> parseLease(std::string_view text, Reason *reason);

// The row to write in order to claim the duty, or nothing while another host holds it. `current` is
// empty if the row does not exist.
std::optional<PromotionLease> nextLease(const std::optional<PromotionLease> &current,
                                        const std::string &self, Millis storeNow);

} // namespace cicadagap
