// The owner of tenants' quotas: hands out operations to the hosts that ask for them. See
// docs/design/tenant-quotas.md.
//
// What it has handed out and hosts have not used yet counts as part of a tenant's stock. So the
// operations that hosts admit in any time are at most the depth of the stock and what it grew by,
// however long a grant lives.
//
// Whoever is asked is an owner. It hands out the part of a tenant's limits that corresponds to its
// share of all hosts: those that ask it. A host asks one owner at a time, so that owners who do not
// know of each other never hand out more than the whole.
//
// Expected load: up to 120 hosts that ask once to four times a second, for a few tenants each.
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
        // It hands out nothing while its list of hosts is older: other owners may not count the
        // hosts any more that ask this one.
        Millis listValidity = HostCount::Memory - Millis(2000);
        // A host counts until it has not asked for this long, and only once it has asked for
        // settleTime, so that two owners never count the same host.
        Millis hostSilence = Millis(1800);
        Millis settleTime = Millis(2300);
    };

    explicit QuotaOwner(Options options);

    // The limits in force. Tenants without limits are left out.
    void setLimits(const std::map<std::string, TenantLimits> &limits) { m_limits = limits; }
    // The list of `hosts` hosts was confirmed: the platform had it at `readAt`.
    void setHosts(Millis now, std::size_t hosts, Millis readAt);
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

    // Since when a host takes this one for the owner of a set, and when it last said so.
    struct Asking
    {
        std::optional<Millis> since; // Without a silence of hostSilence. Nothing if it does not.
        Millis at;
    };

    struct Sender
    {
        std::uint64_t start = 0;
        std::uint64_t number = 0;
        std::array<Asking, QuotaSets> sets;
    };

    bool listIsValid(Millis now) const;
    void noteSets(Millis now, const std::bitset<QuotaSets> &sets, Sender *sender) const;
    double shareOfHosts(Millis now, std::size_t set) const;
    QuotaGrant grant(Millis now, const std::string &host, const QuotaWant &want);

    Options m_options;
    std::map<std::string, TenantLimits> m_limits;
    std::optional<Millis> m_listReadAt;
    HostCount m_hosts;
    std::map<std::string, Stock> m_stocks;   // By tenant.
    std::map<std::string, Sender> m_senders; // By host.
};

} // namespace cicadagap
