// Acquires promotion leases in the platform's store, and records candidates and resumes in their
// rows. What a row allows is decided by session/promotionlease.h.
//
// Load pattern: a few calls for each change of a primary, from several hosts at once.
#pragma once

#include "session/platformclient.h"
#include "session/promotionlease.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
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
    // Records the instances that this host may let receive again; see leaseWithResumes(). The
    // callback gets whether the row was written.
    void recordResumes(const std::string &group, const std::set<std::string> &instances,
                       std::uint64_t fencingToken, std::function<void(bool)> done);

private:
    // Computes the lease that replaces the present one at an instant of the store's clock; nothing
    // if it may not be replaced.
    using NextLease = std::function<std::optional<PromotionLease>(
        const std::optional<PromotionLease> &current, Millis storeNow)>;

    struct Attempt; // To acquire a lease.

    void handleRecord(Attempt attempt, const std::optional<LeaseRecord> &record);
    void decide(const Attempt &attempt, const StoreInstant &instant);
    void write(const Attempt &attempt, const PromotionLease &lease);
    // Replaces the lease in the row. The callback gets whether it did, and the reason if the row
    // could not be read.
    void replace(const std::string &group, const NextLease &next,
                 const std::function<void(bool replaced, const std::string &reason)> &done);

    PlatformClient *m_platform;
    const Clock *m_clock;
    Options m_options;
};

} // namespace cicadagap
