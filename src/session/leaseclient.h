// Acquires promotion leases in the platform's store, and records candidates in their rows. What a
// row allows is decided by session/promotionlease.h.
//
// Load pattern: a few calls for each change of a primary, from several hosts at once.
#pragma once

#include "session/platformclient.h"
#include "session/promotionlease.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cicadagap {

// Runs on the event loop and is not thread-safe. The platform and the clock must outlive it and its
// calls. Every decision on a lease is logged.
class LeaseClient
{
public:
    struct Options
    {
        std::string host; // This host.
        // The platform refuses promotions with a lower fencing token than it has seen.
        bool fencedPromotions = true;
    };

    LeaseClient(PlatformClient *platform, const Clock *clock, Options options);

    // Tries to acquire the group's lease. The callback runs once.
    void acquire(const std::string &group, std::function<void(const LeaseResult &)> done);
    // Records the candidate in the lease's row; see leaseWithCandidate(). The callback gets whether
    // the row was written.
    void recordCandidate(const std::string &group, const std::string &candidate,
                         std::uint64_t fencingToken, std::function<void(bool)> done);

private:
    struct Attempt; // To acquire a lease.

    void handleRecord(Attempt attempt, const std::optional<LeaseRecord> &record);
    void decide(const Attempt &attempt, const StoreInstant &instant);
    void write(const Attempt &attempt, const PromotionLease &lease);

    PlatformClient *m_platform;
    const Clock *m_clock;
    Options m_options;
};

} // namespace cicadagap
