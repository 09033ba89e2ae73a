// Remembers how far each replica was when last heard of, so that requests skip replicas that cannot
// have what they need yet.
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <map>
#include <string>

namespace cicadagap {

// Not thread-safe.
class ReplicaLag
{
public:
    // A replica that was behind is tried again after `retryAfter`.
    explicit ReplicaLag(Millis retryAfter)
        : m_retryAfter(retryAfter)
    {
    }

    void observe(Millis now, const std::string &instance, Position last)
    {
        Seen &seen = m_seen[instance];
        if (last >= seen.last)
            seen = {last, now};
    }

    // Whether `instance` may hold `required` by now.
    bool worthTrying(Millis now, const std::string &instance, Position required) const
    {
        const auto found = m_seen.find(instance);
        if (found == m_seen.end() || found->second.last.covers(required))
            return true;
        return now - found->second.at >= m_retryAfter;
    }

private:
    struct Seen
    {
        Position last;
        Millis at;
    };

    Millis m_retryAfter;
    std::map<std::string, Seen> m_seen;
};

} // namespace cicadagap
