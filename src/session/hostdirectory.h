// The system's hosts, as they registered themselves in the platform's store. Decides which of them
// hold connections to an instance, and which one reads the platform for its data centre.
//
// If an instance accepts at least `directShare` connections from every host, all hosts connect to
// it themselves. Otherwise a few hosts of the instance's data centre, its gateways, hold all
// connections to it, and the other hosts relay their statements through them. All hosts that see
// the same list of hosts choose the same gateways. If the lists differ, connections may be refused,
// but correctness is not affected. Stronger hosts are chosen more often, by weighted rendezvous
// hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
//
// Expected load: more hosts than an instance accepts connections; the strongest host is several
// times as strong as the weakest.
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

// Hosts with less computing power are chosen as if they had this much.
inline constexpr double MinHostWeight = 0.01;

// What a host registers about itself.
struct HostRecord
{
    std::string host;
    std::string dataCentre;
    Endpoint peerEndpoint;       // Where other hosts send relayed statements.
    double weight = 1;           // Its computing power, relative to other hosts.
    std::uint64_t heartbeat = 0; // Changes with each renewal of the record.
    bool leaving = false;        // It takes no new work and will stop.

    bool operator==(const HostRecord &) const = default;
};

// The record as the text that is stored, and back; nothing, and a reason, if the text is not a
// record.
std::string hostRecordText(const HostRecord &record);
std::optional<HostRecord> parseHostRecord(std::string_view text, Reason *reason);
// Whether the record has a name, and a weight that can be compared with others.
bool isUsable(const HostRecord &record);

// How this host reaches an instance.
struct InstanceAccess
{
    bool direct = true;
    int connections = 1;               // If direct: how many this host may hold.
    std::vector<std::string> gateways; // If not direct: the hosts to try, in this order.
};

// How often a host renews its own record.
inline constexpr Millis HostRenewalInterval(60'000);

// The hosts that are live according to the newest list.
//
//     HostDirectory directory({.self = "host-1"});
//     directory.setRecords(now, records);
//     InstanceAccess access = directory.access(instance, maxConnections);
//     if (!access.direct)
//         relayTo(directory.chooseGateway(now, access, tenant));
//
// Performs no I/O and reads no clock. Not thread-safe.
class HostDirectory
{
public:
    struct Options
    {
        std::string self; // This host.
        // All hosts connect to an instance directly only if each may hold at least this many
        // connections to it.
        int directShare = 2;
        std::size_t gateways = 3; // The number of gateways to an instance.
        // So many other hosts are asked at the most to pass a command on to an instance.
        std::size_t relayingHosts = 8;
        // A host whose record is not renewed for longer counts as stopped. The platform reader of
        // its data centre usually notices much earlier; see HostLiveness.
        Millis expiry = HostRenewalInterval * 3 + Millis(20'000);
        // A platform reader that failed is not used as one again for this long.
        Millis readerBackoff = Millis(8000);
        // A gateway that did not answer is not used again for this long.
        Millis gatewayBackoff = Millis(1500);
    };

    explicit HostDirectory(Options options);

    // Replaces the list of hosts by the one that was read at `now`.
    void setRecords(Millis now, const std::vector<HostRecord> &records);
    // A gateway did not answer, or announced that it will stop.
    void onGatewayFailed(Millis now, const std::string &host);
    // Whether the list changed, since the last call, in a way that may change the result of
    // access().
    bool takeChanged();

    // How this host reaches an instance that accepts `maxConnections` connections. Before the first
    // list of hosts, the result is neither direct nor has it any gateway.
    InstanceAccess access(const RegisteredInstance &instance, int maxConnections) const;
    // The other hosts that may hold connections to the instance; see access().
    std::vector<std::string> othersThatReach(const RegisteredInstance &instance,
                                             int maxConnections) const;
    // The gateway to use now; empty if all of them failed recently. All hosts choose the same one
    // for a tenant, so that its connections to the instance are in one place.
    std::string chooseGateway(Millis now, const InstanceAccess &access,
                              const std::string &tenant = {}) const;
    // The platform reader: the host that reads the platform for all hosts of this host's data
    // centre. Empty while this host itself is not in the list.
    std::string platformReader(Millis now) const;
    void onPlatformReaderFailed(Millis now, const std::string &host);
    // Null if the host is not in the list.
    const HostRecord *find(const std::string &host) const;
    std::size_t size() const { return m_hosts.size(); }

private:
    struct KnownHost
    {
        HostRecord record;
        Millis gatewayBackoffUntil;
        Millis readerBackoffUntil;
    };

    // When a record's heartbeat last changed. Kept for expired records too.
    struct Renewal
    {
        std::uint64_t heartbeat = 0;
        Millis at;
    };

    int directShare(int maxConnections) const;
    bool allConnectDirectly(int maxConnections) const;
    static std::vector<const KnownHost *> highestScores(const RegisteredInstance &instance,
                                                        std::vector<const KnownHost *> hosts,
                                                        std::size_t count);
    std::vector<const KnownHost *> candidates(const std::string &dataCentre) const;

    Options m_options;
    std::map<std::string, KnownHost> m_hosts;
    std::map<std::string, Renewal> m_renewals;
    bool m_listKnown = false; // A list of hosts was read.
    bool m_changed = false;
};

} // namespace cicadagap
