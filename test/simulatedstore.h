// The platform's store in the session simulation: the row of one group's promotion lease, what the
// hosts record of its epochs, and copies of itself that it can come back from.
#pragma once

#include "base/millis.h"
#include "session/promotionlease.h"
#include "session/registry.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cicadagap {

// Performs no I/O. Instants are of the simulation's clock, except those of leases, which are of the
// store's own.
class SimulatedStore
{
public:
    // Of the store's clock over the simulation's.
    static constexpr Millis ClockLead = Millis(1'000'000);

    // The lease's row, as it was read.
    struct LeaseRow
    {
        std::optional<PromotionLease> lease;
        std::uint64_t version = 0;
        StoreInstant instant;
    };

    // From now on the store counts its epochs; the first one began long ago.
    void countEpochs(Millis now);
    std::uint64_t epoch() const { return m_state.epoch; }
    // A host sees the present epoch. Returns when the first one did.
    Millis recordEpoch(Millis now);

    LeaseRow readLease(Millis now) const;
    // Writes the lease if nobody has since the row was read; returns whether it did.
    bool writeLease(const LeaseRow &row, const PromotionLease &lease);

    void keepCopy(Millis now, const std::vector<RegisteredInstance> &registered);
    // Returns to the newest copy from before `oldest`, or else to the oldest one. Until
    // `refilledAt` the list of instances is that of the copy.
    void putBack(Millis oldest, Millis refilledAt);
    // The list that the store answers with, if `registered` is the true one.
    const std::vector<RegisteredInstance> &
    listed(Millis now, const std::vector<RegisteredInstance> &registered) const
    {
        return now < m_refilledAt ? m_copiedList : registered;
    }

private:
    struct State
    {
        std::optional<PromotionLease> lease;
        std::uint64_t leaseVersion = 0;
        std::uint64_t epoch = 0;           // 0: the store counts no epochs.
        std::optional<Millis> epochSeenAt; // As the hosts recorded it.
    };

    struct Copy
    {
        Millis at;
        State state;
        std::vector<RegisteredInstance> instances;
    };

    State m_state;
    std::deque<Copy> m_copies; // The oldest first.
    Millis m_refilledAt;
    std::vector<RegisteredInstance> m_copiedList;
};

} // namespace cicadagap
