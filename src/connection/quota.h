// How many of an instance's limited connections the gateway on this host may hold.
//
// Each instance has one preferred gateway, on the first live host of its data centre in rendezvous
// order, and fallback gateways, which entry hosts use while the preferred one can't be reached. A
// host that becomes the preferred gateway starts with the share of a fallback gateway. It takes the
// whole share only after its predecessor has had time to close its connections. If both hold too
// many all the same, the instance itself refuses connections beyond its limit.
//
//     ConnectionQuota quota({.connections = 20});
//     quota.setRank(now, 0);
//     int allowed = quota.allowed(now);
#pragma once

#include "base/millis.h"

#include <algorithm>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe.
class ConnectionQuota
{
public:
    struct Options
    {
        int connections = 20; // How many connections the instance accepts.
        // The time that a predecessor gets to close its connections.
        Millis handover = Millis(2000);
    };

    explicit ConnectionQuota(Options options)
        : m_options(options)
    {
    }

    // Sets this host's rank among the instance's gateways; 0 is the preferred one.
    void setRank(Millis now, int rank)
    {
        if (rank == 0 && m_rank != 0)
            m_preferredSince = now;
        m_rank = rank;
    }

    // Whether this host is the instance's preferred gateway.
    bool preferred() const { return m_rank == 0; }

    // How many connections the gateway may hold at `now`.
    int allowed(Millis now) const
    {
        const int fallbackShare = std::max(1, m_options.connections / 5);
        const bool handedOver = now - m_preferredSince >= m_options.handover;
        return m_rank == 0 && handedOver ? m_options.connections - fallbackShare : fallbackShare;
    }

private:
    Options m_options;
    int m_rank = -1; // -1: not known yet.
    Millis m_preferredSince;
};

} // namespace cicadagap
