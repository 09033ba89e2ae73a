// The results of earlier attempts, kept by an entry host (the host that received the callers'
// requests) so that later attempts go where they can succeed: the last known position of each
// replica, and which gateways failed to reach which instance. A gateway is the queue and the
// connections of one host to one instance and is named by its host here.
//
//     RouteHistory history;
//     history.gateways.recordFailure(now, "cali-1", "t1");
//     std::size_t best = history.gateways.preferred(now, "t1", {"cali-1", "cali-2"});   // 1
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

// The last known position of each replica. Not thread-safe.
class ReplicaPositions
{
public:
    // A replica whose known position is too low is tried again after this time, because it may have
    // caught up.
    static constexpr Millis SampleLifetime = Millis(10);

    // Records the position that `instance` answered with. A lower position than the known one came
    // out of order and is ignored.
    void record(Millis now, const std::string &instance, Position position)
    {
        Sample &sample = m_samples[instance];
        if (position >= sample.position)
            sample = {position, now};
    }

    // Whether `instance` may hold the entry at `required` by now.
    bool mayHold(Millis now, const std::string &instance, Position required) const
    {
        const auto found = m_samples.find(instance);
        if (found == m_samples.end() || found->second.position.covers(required))
            return true;
        return now - found->second.takenAt >= SampleLifetime;
    }

private:
    struct Sample
    {
        Position position;
        Millis takenAt;
    };

    std::map<std::string, Sample> m_samples;
};

// Backs off from gateways that failed, for each pair of gateway and instance on its own. Not
// thread-safe.
class GatewayHealth
{
public:
    // The backoff after a failure. It doubles with each failure in a row, up to MaxBackoff.
    static constexpr Millis InitialBackoff = Millis(1000);
    static constexpr Millis MaxBackoff = Millis(16'000);

    void recordFailure(Millis now, const std::string &host, const std::string &instance)
    {
        Failure &failure = m_failures[{host, instance}];
        // Attempts that were in progress at the same time count as one failure.
        if (now < failure.backoffUntil)
            return;
        failure.backoff = std::clamp(failure.backoff * 2, InitialBackoff, MaxBackoff);
        failure.backoffUntil = now + failure.backoff;
    }

    void recordSuccess(const std::string &host, const std::string &instance)
    {
        m_failures.erase({host, instance});
    }

    // Returns the index of the first of `hosts` whose gateway is not in backoff or, if all are, of
    // the one whose backoff ends first. `hosts` must not be empty.
    std::size_t preferred(Millis now, const std::string &instance,
                          const std::vector<std::string> &hosts) const
    {
        std::size_t best = 0;
        Millis bestEnd = backoffEnd(hosts[0], instance);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const Millis end = backoffEnd(hosts[i], instance);
            if (end <= now)
                return i;
            if (end < bestEnd) {
                best = i;
                bestEnd = end;
            }
        }
        return best;
    }

private:
    struct Failure
    {
        Millis backoff;
        Millis backoffUntil;
    };

    // Returns zero if the gateway has not failed since it last succeeded.
    Millis backoffEnd(const std::string &host, const std::string &instance) const
    {
        const auto found = m_failures.find({host, instance});
        return found == m_failures.end() ? Millis() : found->second.backoffUntil;
    }

    std::map<std::pair<std::string, std::string>, Failure> m_failures;
};

// Not thread-safe.
struct RouteHistory
{
    ReplicaPositions replicas;
    GatewayHealth gateways;
};

} // namespace cicadagap
