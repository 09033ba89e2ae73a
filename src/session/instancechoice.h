// The choice of the instance that serves a read.
//
// Expected load: many hosts that choose among the same few instances at the same moment, by figures
// that are up to some seconds old. If each took the least cost, all would take the same instance
// until the next report. So the choice is random, with probabilities that fall with the cost:
//
//     cost = round trip + expected wait (+ NoConnectionCost)
//     probability ~ exp(-(cost - lowest cost) / scale)
//
// The scale is what the waits may be wrong by. Without waits the nearest instance is chosen; with
// them, work leaves for farther instances in the proportion in which waiting costs more than the
// way. See docs/design/even-load.md.
#pragma once

#include "base/hash.h"
#include "base/millis.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace cicadagap {

// What a gateway said of the wait at an instance.
struct ReportedWait
{
    Millis wait;
    Millis age; // Since the report arrived.
};

// An instance that may serve a read, and what is known of it.
struct InstanceCandidate
{
    bool sameDataCentre = false;
    Millis roundTrip; // 0 if the instance has not answered yet.
    Millis ownWait;   // Expected, as far as this host's own work tells.
    std::optional<ReportedWait> report;
    Millis sentSince;          // Expected wait for what this host has sent since the report.
    bool noConnection = false; // It had no connection left for this host.
    double share = 1;          // Of its usual probability; 0 while it is set aside.
};

// Chooses among candidates. A deterministic function of the host's name and the calls; no I/O, no
// clock. Not thread-safe.
//
//     InstanceChoice choice("host-1");
//     const std::optional<std::size_t> chosen = choice.choose(candidates);
class InstanceChoice
{
public:
    // Hosts with different names draw differently.
    explicit InstanceChoice(std::string_view host);

    // The index of the chosen candidate; nothing if there are none. Those that are set aside are
    // chosen only if there are no others.
    std::optional<std::size_t> choose(const std::vector<InstanceCandidate> &candidates);

    // The probability of each candidate; they add up to 1.
    static std::vector<double> probabilities(const std::vector<InstanceCandidate> &candidates);

private:
    Random m_random;
};

} // namespace cicadagap
