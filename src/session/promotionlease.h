// The promotion lease of a group: the right to replace the group's primary, held by one host at a
// time and kept as a row in the platform's store.
//
// A host that wants the lease reads the row, computes the next one with nextLease(), and replaces
// the row on the condition that it has not changed meanwhile. The lease ends at an instant on the
// store's own clock, so that the clocks of two hosts are never compared. Each lease has a higher
// fencing token than the one before; the platform refuses promotion requests with a lower one than
// it has seen. The store may come back from an older copy of the row, but counts its epochs (see
// storeposition.h); so the tokens of a later epoch are all higher than those of an earlier one.
// (Gray and Cheriton, "Leases", 1989; Kleppmann, "How to do distributed locking", 2016.)
//
//     std::optional<PromotionLease> current = parseLease(record.text, &reason);
//     const StoreInstant instant{.now = record.storeNow, .epoch = record.row.epoch};
//     LeaseOffer offer = nextLease(current, "host-1", instant, {.fencedPromotions = true});
//     if (offer.lease)
//         store->writeLease(group, leaseText(*offer.lease), record.row, done);
//
// The functions perform no I/O and read no clock.
#pragma once

#include "base/millis.h"
#include "base/reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cicadagap {

// How long a lease keeps other hosts out, and for how long from its start the holder may act on it.
// The difference covers the time in which a request that the holder sent is still on its way.
inline constexpr Millis LeaseDuration(5000);
inline constexpr Millis LeaseActingTime(2500);
// A promotion request without an answer may be carried out for this long after the candidate was
// recorded.
inline constexpr Millis LatePromotionLimit(10'000);
// A command to an instance, if it is not answered, may be carried out for this long after it was
// sent. Includes the time for which a broken link may hold it up.
inline constexpr Millis LateCommandLimit(13'000);

// How many fencing tokens an epoch has. An attempt to change a primary uses one.
inline constexpr std::uint64_t TokensPerEpoch = std::uint64_t(1) << 32;
// After an epoch began, for a promotion request of a holder of an earlier epoch, which may act for
// LeaseActingTime, to be carried out. Without fenced promotions LatePromotionLimit suffices: the
// candidate was recorded before the request, and so in the earlier epoch.
inline constexpr Millis ForgottenRequestLimit = LeaseActingTime + LatePromotionLimit;

// When the store answered.
struct StoreInstant
{
    Millis now; // On the store's clock, which goes on when the store is restored.
    std::uint64_t epoch = 0;
    Millis epochSeenAt; // The epoch had begun by then. On the store's clock.
};

// The content of the lease's row.
struct PromotionLease
{
    std::string holder;
    std::uint64_t fencingToken = 0;
    Millis until; // When it ends, on the store's clock.
    // The instance whose promotion was requested last, while the request may still be carried out:
    // until `candidateUntil` on the store's clock. If it is empty until then, some request may be
    // carried out that the store has forgotten.
    std::string candidate;
    Millis candidateUntil;
    std::uint64_t epoch = 0; // In which it was acquired.
    // The instances that the holder may let receive again. It sends no resume to others.
    std::set<std::string> resumes;
    // The instances at which a resume of an earlier holder may still be carried out: until when, on
    // the store's clock. Those that the store has forgotten are not known.
    std::map<std::string, Millis> openResumes;

    bool operator==(const PromotionLease &) const = default;
};

// The lease as the text of its row, and back; nothing, and a reason, if the text is not a lease.
std::string leaseText(const PromotionLease &lease);
std::optional<PromotionLease> parseLease(std::string_view text, Reason *reason);

// The result of an attempt to acquire a promotion lease.
struct LeaseResult
{
    std::optional<std::uint64_t> fencingToken; // Set if the lease was acquired.
    Millis actUntil; // With a token: the instant, on this host's clock, until which it may be used.
    Millis heldFor;  // Without a token: how much longer another host holds the lease.
    // With a token: a request of an earlier holder may be carried out until the instant, on this
    // host's clock, and promotes this instance; empty if it is not known which.
    std::string openCandidate;
    Millis openUntil;
    // With a token: see PromotionLease::openResumes. On this host's clock.
    std::map<std::string, Millis> openResumes;
};

// When a host sought a lease, on its own clock.
struct LeaseAttempt
{
    Millis requestedAt;
    Millis readAt;   // When the row's reading arrived.
    Millis storeNow; // The time on the store's clock at that reading.
};

// The result for the host that has written `lease`.
LeaseResult acquiredLease(const PromotionLease &lease, const LeaseAttempt &attempt);

// Whether the lease was acquired in the present epoch. Always, if the store counts no epochs.
bool isOfEpoch(const std::optional<PromotionLease> &lease, std::uint64_t epoch);

// What a host may do that wants the lease.
struct LeaseOffer
{
    std::optional<PromotionLease> lease; // To be written; nothing while the lease is not free.
    Millis heldFor;                      // Without a lease: until it is free.
};

struct LeaseRules
{
    // If not, a request of an earlier holder may be carried out after newer ones.
    bool fencedPromotions = true;
};

// The lease that the host `self` has to write in order to acquire it. `current` is what the row
// held at `instant`; empty if it did not exist. If it was not acquired in the present epoch, leases
// of an earlier one may have been lost: their holders have to have finished, and with them, if
// promotions are not fenced, their requests.
LeaseOffer nextLease(const std::optional<PromotionLease> &current, const std::string &self,
                     const StoreInstant &instant, const LeaseRules &rules);

// The lease that its holder has to write before it requests the promotion of `candidate`, or, with
// an empty candidate, once no such request can be carried out any more. What the store has
// forgotten stays open until its time is over. Nothing if `current` is not the lease of `self`
// under `fencingToken`.
std::optional<PromotionLease> leaseWithCandidate(const std::optional<PromotionLease> &current,
                                                 const std::string &self,
                                                 std::uint64_t fencingToken,
                                                 const std::string &candidate, Millis storeNow);

// The lease that its holder has to write before it lets `instances` receive again, and to take out
// those at which no resume can be carried out any more. Nothing if `current` is not the lease of
// `self` under `fencingToken`.
std::optional<PromotionLease> leaseWithResumes(const std::optional<PromotionLease> &current,
                                               const std::string &self, std::uint64_t fencingToken,
                                               const std::set<std::string> &instances);

} // namespace cicadagap
