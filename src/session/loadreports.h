// What gateways report about the load of instances, in replies that they send anyway.
//
// Expected load: many hosts that each send an instance only a few statements a second, so that a
// report about that instance alone would be old at most choices. So a reply also tells about the
// gateway's other instances, for each origin at most once in a while. No message is sent for it.
#pragma once

#include "base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cicadagap {

// The load of an instance as a gateway to it sees it.
struct InstanceLoad
{
    std::string instance;
    // Until work of the batch's tenant and priority that is submitted now would be answered.
    Millis wait;
    std::uint32_t queued = 0;  // Work at the gateway that waits for a connection or a slot.
    std::uint32_t running = 0; // Statements that the gateway has sent and are not answered.
    Millis serviceTime;        // From sending a statement to its answer; a moving average.

    bool operator==(const InstanceLoad &) const = default;
    // Whether the values are such as a sound gateway reports. Others are ignored.
    bool isPlausible() const;
};

// The greatest number of loads in a reply; more are ignored.
inline constexpr std::size_t MaxReportedLoads = 64;

// The newest report about each instance, and how lately each origin was told about all instances.
// No I/O, no clock. Not thread-safe.
class LoadReports
{
public:
    // A report, and when it arrived here.
    struct Received
    {
        InstanceLoad load;
        Millis at;
    };

    // An origin is told about all instances at most this often.
    static constexpr Millis FullReportInterval = Millis(200);
    // Origins that are remembered. Peers choose the names.
    static constexpr std::size_t MaxOrigins = 4096;

    // A reply told about an instance. Implausible values are ignored.
    void onReport(Millis now, const InstanceLoad &load);
    // Forgets all other instances.
    void keepOnly(const std::set<std::string> &instances);
    // The newest report; nothing if there was none.
    std::optional<Received> newest(const std::string &instance) const;
    // Whether the reply to a batch that arrived now tells the origin about all instances.
    bool takeFullReport(Millis now, const std::string &origin);

private:
    std::map<std::string, Received> m_received;
    std::map<std::string, Millis> m_lastFull; // By origin.
};

} // namespace cicadagap
