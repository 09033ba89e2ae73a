// How the limits of a tenant are divided, and the messages by which hosts share them. See
// docs/design/tenant-quotas.md.
//
// Expected load: 60 to 120 hosts and about 70 tenants, most of them far below their limits.
#pragma once

#include "base/millis.h"
#include "session/tenant.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

// The tenants are divided into so many sets; each set has one owner.
inline constexpr std::size_t QuotaSets = 8;
// Counted by the host from before it asked, and by the owner from its answer.
inline constexpr Millis QuotaGrantLife(600);
// A request without a reply for longer counts as lost.
inline constexpr Millis QuotaReplyTimeout(400);

// A stock of operations that grows with time up to its depth.
struct QuotaStock
{
    double perSecond = 0;
    double depth = 0;
};

// The parts of a tenant's limits, for all hosts together. In any window of 5 s they sum up to less
// than 1.1 times the limit plus 20.
QuotaStock ownShares(const TenantLimits &limits); // Of all hosts; each uses one of N shares.
QuotaStock grantedPart(const TenantLimits &limits);

// The set to which a tenant belongs.
std::size_t quotaSetOf(const std::string &tenant);
// The owner of each set; empty names if there are no hosts.
using QuotaOwners = std::array<std::string, QuotaSets>;
QuotaOwners quotaOwners(const std::vector<std::string> &hosts);

// What a host holds and wants of a tenant's operations.
struct QuotaWant
{
    std::string tenant;
    std::uint32_t unused = 0; // Granted earlier, and not used yet.
    std::uint32_t wanted = 0; // Beside these.

    bool operator==(const QuotaWant &) const = default;
};

struct QuotaRequest
{
    std::string host;
    std::uint64_t start = 0;     // Grows with each process of the host.
    std::uint64_t number = 0;    // Grows with each request of a process.
    std::bitset<QuotaSets> sets; // Those whose owner it takes the receiver for.
    std::vector<QuotaWant> wants;

    bool operator==(const QuotaRequest &) const = default;
};

// Hosts send the values to each other by number.
enum class QuotaState {
    Enough,      // More comes soon, if not all that was wanted is granted.
    UsedUp,      // The hosts want more than there is.
    CannotGrant, // The sender's list of hosts is too old, or it knows no limits of the tenant.
};

struct QuotaGrant
{
    std::string tenant;
    std::uint32_t kept = 0; // Of what the host holds unused: more has ended, or is not the owner's.
    std::uint32_t granted = 0;
    QuotaState state = QuotaState::Enough;

    bool operator==(const QuotaGrant &) const = default;
};

struct QuotaReply
{
    std::vector<QuotaGrant> grants;

    bool operator==(const QuotaReply &) const = default;
};

// The greatest number of hosts in the lists of the last seconds, by which shares are divided: hosts
// that others do not list any more may still use theirs.
class HostCount
{
public:
    // How long a list counts after it was replaced.
    static constexpr Millis Memory = Millis(15'000);

    // A list of so many hosts is known. Has to be called again from time to time.
    void note(Millis now, std::size_t hosts);
    // 0 if none was known.
    std::size_t greatest() const { return m_counts.empty() ? 0 : m_counts.front().second; }

private:
    // Greatest first. The time is when the count was replaced, or last confirmed.
    std::deque<std::pair<Millis, std::size_t>> m_counts;
};

// A stock that is being used.
class QuotaBucket
{
public:
    // Lets the stock grow until `now`, and cuts it to `depth`.
    void grow(Millis now, double perSecond, double depth);
    // Takes out `count` operations; takes none and returns false if there are fewer.
    bool take(std::uint32_t count);
    double level() const { return m_level; }

private:
    double m_level = 0;
    Millis m_at;
    bool m_started = false;
};

} // namespace cicadagap
