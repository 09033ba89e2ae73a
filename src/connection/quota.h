// How many of an instance's scarce connections this host's gateway may hold.
//
// Each instance has one preferred gateway (the first live host of its data centre in rendezvous
// order) and standbys that entry hosts use while the preferred one cannot be reached. A host that
// becomes the preferred gateway starts with the standby's share and takes the whole only when its
// predecessor had time to let go; an instance's own refusal is the last resort.
//
//     ConnectionQuota quota({.connections = 20});
//     quota.setRank(now, 0);
//     int allowed = quota.allowed(now);
#pragma once

#include "base/millis.h"

#include <algorithm>

namespace cicadagap {

// Pure and not thread-safe.
class ConnectionQuota
{
public:
    struct Options
    {
        int connections = 20; // That the instance accepts.
        Millis handover = Millis(2000);
    };

    explicit ConnectionQuota(Options options)
        : m_options(options)
    {
    }

    // This host's place among the instance's gateways, 0 for the preferred one.
    void setRank(Millis now, int rank)
    {
        if (rank == 0 && m_rank != 0)
            m_preferredSince = now;
        m_rank = rank;
    }

    // Whether this host is the instance's preferred gateway.
    bool preferred() const { return m_rank == 0; }

    int allowed(Millis now) const
    {
        const int standby = std::max(1, m_options.connections / 5);
        const bool handedOver = now - m_preferredSince >= m_options.handover;
        return m_rank == 0 && handedOver ? m_options.connections - standby : standby;
    }

private:
    Options m_options;
    int m_rank = -1;
    Millis m_preferredSince;
};

} // namespace cicadagap
