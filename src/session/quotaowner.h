// The owner of tenants' quotas: hands out operations to the hosts that ask for them. See
// docs/design/tenant-quotas.md.
//
// What it has handed out and hosts have not used yet counts as part of a tenant's stock. So the
// operations that hosts admit in any time are at most the depth of the stock and what it grew by,
// however long a grant lives.
//
// Expected load: up to 120 hosts that ask twice a second, for a few tenants each.
#pragma once

#include "session/quotashares.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe. Instants are of a clock that also counts the
// time of a suspension.
class QuotaOwner
{
public:
    struct Options
    {
        std::string host; // This host.
        Millis startedAt; // When this process started.
        // It hands out nothing while its list of hosts is older. Readers of the platform read the
        // list every 4 s, and others learn of it within 2 s.
        Millis listValidity = Millis(8000);
        // A new owner hands out only takeOverPart() for this long: until no other one can think
        // that it is the owner, and what that one granted has ended.
        Millis takeOverTime = Millis(12'000);
        // It does not wait if all hosts started together: within jointStart of its own start, it
        // has heard of at least nine tenths of those listed, none of them started more than
        // jointStart before it, and the list has not grown or shrunk for settleTime.
        Millis jointStart = Millis(6000);
        Millis settleTime = Millis(2000);
    };

    explicit QuotaOwner(Options options);

    // The limits in force. Tenants without limits are left out.
    void setLimits(const std::map<std::string, TenantLimits> &limits) { m_limits = limits; }
    // The list of `hosts` hosts was confirmed: the platform had it at `readAt`.
    void setOwners(Millis now, const QuotaOwners &owners, std::size_t hosts, Millis readAt);
    QuotaReply onRequest(Millis now, const QuotaRequest &request);

private:
    // What a host may hold of a tenant's operations.
    struct Holding
    {
        std::uint32_t count = 0;
        Millis until;
        std::uint32_t wanted = 0; // In its newest request, and not granted.
        Millis askedAt;
    };

    struct Stock
    {
        QuotaBucket bucket;
        std::map<std::string, Holding> holdings; // By host.
    };

    struct Sender
    {
        std::uint64_t start = 0;
        std::uint64_t number = 0;
        Millis startedAt; // The process, on this host's clock, or a little later.
    };

    bool allStartedTogether(Millis now) const;
    bool listIsValid(Millis now) const;
    QuotaGrant grant(Millis now, const std::string &host, const QuotaWant &want, Millis ownedSince);

    Options m_options;
    std::map<std::string, TenantLimits> m_limits;
    std::optional<Millis> m_listReadAt;
    std::array<std::optional<Millis>, QuotaSets> m_ownedSince; // Nothing if another host owns it.
    std::map<std::string, Stock> m_stocks;                     // By tenant.
    std::map<std::string, Sender> m_senders;
    std::size_t m_hosts = 0; // Listed.
    Millis m_listChangedAt;
    bool m_startedTogether = false; // It was found once that all hosts did.
};

} // namespace cicadagap
