// The quotas of tenants on one host: admits or refuses their operations, and asks the owners of the
// tenants for what its own share does not cover. See docs/design/tenant-quotas.md.
//
// Expected load: some 70 tenants, most of them far below their limits, with callers that are spread
// unevenly over 60 to 120 hosts.
//
//     TenantQuota quota({.host = "host-1", .start = 17});
//     quota.setLimits(now, limits);
//     quota.setHosts(now, hosts, quotaOwners(hosts));
//     Admission admission = quota.admit(now, "t1", std::nullopt);
//     for (const OutgoingQuotaRequest &due : quota.takeRequests(now))
//         send(due); // quota.onReply() follows.
#pragma once

#include "session/quotashares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// The result of TenantQuota::admit().
struct Admission
{
    enum class Outcome {
        Admitted,
        Waiting, // For a grant. The operation is to be admitted again, soon.
        Refused,
    };

    Outcome outcome = Outcome::Admitted;
    Millis comeBackAfter; // If refused: when it makes sense to try again.
};

struct OutgoingQuotaRequest
{
    std::string owner;
    QuotaRequest request;
};

// A tenant's operations were first refused, or are admitted again.
struct QuotaChange
{
    std::string tenant;
    bool refusing = false;
    double ownLevel = 0;        // Operations in this host's own share.
    std::uint32_t held = 0;     // Granted and not used.
    std::size_t hosts = 0;      // That share the limits.
    Millis grantAge;            // Since the owner's last answer.
    std::uint32_t refused = 0;  // Since the last change.
    std::int64_t perSecond = 0; // The limit.
};

// Operations of a tenant, or of all after the first CountedTenants, which are "other".
struct QuotaCount
{
    std::string tenant;
    std::int64_t admitted = 0;
    std::int64_t refused = 0;
};

// Performs no I/O and reads no clock. Not thread-safe. Instants are of a clock that also counts the
// time of a suspension.
class TenantQuota
{
public:
    struct Options
    {
        std::string host;              // This host.
        std::uint64_t start = 0;       // Grows with each process of the host.
        Millis patience = Millis(600); // An operation waits so long for a grant.
        // After an operation waited in vain, others are refused at once for this long.
        Millis refusalTime = Millis(300);
        Millis askInterval = Millis(250);       // Between two requests to an owner,
        Millis urgentAskInterval = Millis(100); // if operations wait.
        // A host sends each owner a request at least this often, also if it wants nothing: an owner
        // hands out in proportion to the hosts that ask it.
        Millis keepAlive = Millis(850);
        // Only hosts that were listed for this long use an own share. By then the lists of a fleet
        // that starts together are whole.
        Millis listedTime = Millis(2000);
    };

    // So many tenants of a version are counted by name.
    static constexpr std::size_t CountedTenants = 100;

    explicit TenantQuota(Options options);

    // The limits in force. Tenants without limits are left out.
    void setLimits(Millis now, const std::map<std::string, TenantLimits> &limits);
    // A list of hosts is known. Has to be called again from time to time.
    void setHosts(Millis now, const std::vector<std::string> &hosts, const QuotaOwners &owners);

    bool hasLimits(const std::string &tenant) const { return m_tenants.contains(tenant); }
    // Asks to run an operation of the tenant, which has waited since `waitingSince` if it was not
    // admitted at once. Tenants without limits are always admitted.
    Admission admit(Millis now, const std::string &tenant, std::optional<Millis> waitingSince);
    // The requests to send now, at most one to each owner. To be called after the waiting
    // operations were admitted again.
    std::vector<OutgoingQuotaRequest> takeRequests(Millis now);
    void onReply(Millis now, const std::string &owner, std::uint64_t number,
                 const QuotaReply &reply);
    // Returns and forgets the changes since the last call.
    std::vector<QuotaChange> takeChanges(Millis now);
    // Returns and forgets what was admitted and refused since the last call.
    std::vector<QuotaCount> takeCounts();
    bool limitsTenants() const { return !m_tenants.empty(); }

private:
    struct TenantState
    {
        TenantLimits limits;
        QuotaBucket own;
        std::uint32_t held = 0;
        Millis heldUntil;
        std::uint32_t reported = 0;  // Of what it held, in the newest request.
        std::uint32_t uncovered = 0; // Operations beyond the own share in this askInterval.
        std::uint32_t waiting = 0;   // That were admitted again since the last call.
        double demand = 0;           // Uncovered operations in an interval, smoothed.
        Millis countedAt;            // When `uncovered` was last taken into `demand`.
        Millis answeredAt;           // By the owner.
        Millis refuseUntil;
        std::uint32_t refused = 0;    // Since it began to be refused.
        std::int64_t newAdmitted = 0; // Since takeCounts().
        std::int64_t newRefused = 0;
        Millis refusedAt;
        bool refusing = false;
    };

    struct OwnerState
    {
        std::uint64_t number = 0; // Of the request without a reply; 0 if there is none.
        Millis sentAt;
    };

    std::size_t sharingHosts(Millis now) const;
    void growOwn(Millis now, TenantState *state) const;
    Admission refuse(Millis now, const std::string &tenant, TenantState *state, Millis comeBack);
    bool isDue(Millis now, const std::string &owner, bool urgent) const;
    QuotaChange change(Millis now, const std::string &tenant, const TenantState &state) const;

    Options m_options;
    std::map<std::string, TenantState> m_tenants;
    QuotaOwners m_owners;
    std::optional<Millis> m_listedSince;
    HostCount m_hostCount;
    std::map<std::string, OwnerState> m_ownerStates;
    std::uint64_t m_lastNumber = 0;
    std::vector<QuotaChange> m_changes;
};

} // namespace cicadagap
