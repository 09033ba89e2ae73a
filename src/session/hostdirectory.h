// The system's hosts, as they registered themselves in the platform's store, and which of them hold
// connections to an instance.
//
// While an instance accepts at least DirectShare connections from every host, all hosts connect to
// it themselves. Otherwise a few gateways in the instance's data centre hold its connections, and
// the other hosts relay their statements through them. All hosts that see the same list choose the
// same gateways; a different view costs refused connections, never safety. Stronger hosts are
// chosen more often: weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted
// distributed hash tables", 2005).
//
// Load pattern: hosts outnumber an instance's connections and differ several times in strength.
//
// Pure and not thread-safe.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "base/reason.h"
#include "session/registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// What a host says of itself.
struct HostRecord
{
    std::string host;
    std::string dataCentre;
    Endpoint peerEndpoint;       // Where other hosts relay statements to.
    double weight = 1;           // Its strength, relative to others.
    std::uint64_t heartbeat = 0; // Changes with each renewal.
    bool leaving = false;

    bool operator==(const HostRecord &) const = default;
};

// The record as text, and back; nothing, and a reason, if it is not one.
std::string hostRecordText(const HostRecord &record);
std::optional<HostRecord> parseHostRecord(std::string_view text, Reason *reason);

// How this host reaches an instance.
struct InstanceAccess
{
    bool direct = true;
    int connections = 1;               // That this host may hold; only if direct.
    std::vector<std::string> gateways; // In the order to try them; only if not direct.
};

class HostDirectory
{
public:
    struct Options
    {
        std::string self;
        int directShare = 2;                 // Connections to an instance for each host, at least.
        std::size_t gateways = 3;            // Of an instance.
        Millis renewal = Millis(10'000);     // Of a host's own record.
        Millis expiry = Millis(35'000);      // Of a record that is not renewed.
        Millis readerMemory = Millis(8000);  // The same, for a reader of the platform.
        Millis failureMemory = Millis(1500); // A host that did not answer is avoided for this long.
    };

    explicit HostDirectory(Options options);

    // The whole list, as read at `now`.
    void setRecords(Millis now, const std::vector<HostRecord> &records);
    // A host did not answer, or is going to stop.
    void onFailed(Millis now, const std::string &host);
    // Whether the list changed in a way that may change accesses; cleared by the call.
    bool takeChanged();

    // Neither direct nor by gateways before the hosts are known.
    InstanceAccess access(const RegisteredInstance &instance, int maxConnections) const;
    // The gateway to use now; empty if every one failed recently.
    std::string chooseGateway(Millis now, const InstanceAccess &access) const;
    // The host that reads the platform for this host's data centre; empty while none is known.
    std::string platformReader(Millis now) const;
    void onPlatformReaderFailed(Millis now, const std::string &host);
    const HostRecord *find(const std::string &host) const;
    std::size_t size() const { return m_hosts.size(); }

private:
    struct Known
    {
        HostRecord record;
        Millis avoidUntil;
        Millis noReaderUntil;
    };

    // The last change of a record, also of one that expired.
    struct Renewal
    {
        std::uint64_t heartbeat = 0;
        Millis at;
    };

    std::vector<const Known *> candidates(const std::string &dataCentre) const;

    Options m_options;
    std::map<std::string, Known> m_hosts;
    std::map<std::string, Renewal> m_renewals;
    bool m_known = false; // A list was read.
    bool m_changed = false;
};

} // namespace cicadagap
