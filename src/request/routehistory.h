// What an entry host remembers of earlier attempts, so that later ones go where they can succeed:
// how far each replica was, and which gateways failed to reach which instance.
//
//     RouteHistory memory;
//     memory.gateways.failed(now, "cali-1", "t1");
//     std::size_t rank = memory.gateways.preferred(now, "t1", {"cali-1", "cali-2"});   // 1
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

// Not thread-safe.
class ReplicaLag
{
public:
    // A replica that was behind is tried again after this time.
    static constexpr Millis RetryAfter = Millis(10);

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
        return now - found->second.at >= RetryAfter;
    }

private:
    struct Seen
    {
        Position last;
        Millis at;
    };

    std::map<std::string, Seen> m_seen;
};

// Not thread-safe.
class GatewayHealth
{
public:
    // A gateway that failed is avoided for this long, doubled with each failure in a row.
    static constexpr Millis FirstAvoidance = Millis(1000);
    static constexpr Millis MaxAvoidance = Millis(16'000);

    void failed(Millis now, const std::string &host, const std::string &instance)
    {
        Failure &failure = m_failures[{host, instance}];
        // Attempts that were under way together count once.
        if (now < failure.avoidUntil)
            return;
        failure.avoidance = std::clamp(failure.avoidance * 2, FirstAvoidance, MaxAvoidance);
        failure.avoidUntil = now + failure.avoidance;
    }

    void worked(const std::string &host, const std::string &instance)
    {
        m_failures.erase({host, instance});
    }

    // The index of the first gateway that is not avoided, or of the one avoided the shortest.
    // `hosts` must not be empty.
    std::size_t preferred(Millis now, const std::string &instance,
                          const std::vector<std::string> &hosts) const
    {
        std::size_t best = 0;
        Millis bestUntil = avoidedUntil(hosts[0], instance);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const Millis until = avoidedUntil(hosts[i], instance);
            if (until <= now)
                return i;
            if (until < bestUntil) {
                best = i;
                bestUntil = until;
            }
        }
        return best;
    }

private:
    struct Failure
    {
        Millis avoidance;
        Millis avoidUntil;
    };

    Millis avoidedUntil(const std::string &host, const std::string &instance) const
    {
        const auto found = m_failures.find({host, instance});
        return found == m_failures.end() ? Millis() : found->second.avoidUntil;
    }

    std::map<std::pair<std::string, std::string>, Failure> m_failures;
};

struct RouteHistory
{
    ReplicaLag lag;
    GatewayHealth gateways;
};

} // namespace cicadagap
