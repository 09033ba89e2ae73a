// Passes on what the platform stores (routing table, instances, hosts) from one host of a data
// centre to the others.
//
// The platform reader is the host that reads the platform for all hosts of its data centre: the
// first live one in rendezvous order. The others send it requests, which it answers when it has
// something newer (long polling). Each answer says how old the reader's data is; a host that finds
// it too old reads the platform itself. So the platform's load grows with the number of data
// centres, not of hosts, and updates still arrive when the reader fails or the platform refuses its
// requests.
#pragma once

#include "base/millis.h"
#include "base/reason.h"
#include "session/hostdirectory.h"
#include "session/registry.h"
#include "session/routing.h"
#include "session/routingdelta.h"
#include "session/storeposition.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// Asks for whatever is newer than the versions that the sender has. Revisions are hashes of
// contents, so that they mean the same on every host; 0 stands for no contents.
struct PlatformUpdateRequest
{
    std::uint64_t routingVersion = 0;
    std::uint64_t instancesRevision = 0;
    std::uint64_t hostsRevision = 0;
    Millis wait;      // How long to wait for something newer.
    std::string host; // The sender.
    // The sender applies a difference to its version of the routing table.
    bool takesDelta = false;
};

// The answer to a PlatformUpdateRequest. Contains only what differs from what the sender of the
// request has. Ages count from the last successful reading.
struct PlatformUpdate
{
    std::optional<RoutingTable> routing;
    std::optional<RoutingDelta> routingDelta; // Instead of `routing`.
    std::optional<std::vector<RegisteredInstance>> instances;
    std::optional<std::vector<HostRecord>> hosts;
    std::uint64_t instancesRevision = 0;
    std::uint64_t hostsRevision = 0;
    // Where the lists stand in the store's history; all zero if the sender does not say.
    StorePosition instancesPosition;
    StorePosition hostsPosition;
    std::uint64_t storeEpoch = 0; // The last one that the answering host knows.
    Millis storeEpochAge;         // It began at least so long ago.
    Millis routingAge;
    Millis instancesAge;
    Millis hostsAge;
    // For how long a newer answer with the configuration has been arriving at the answering host;
    // nothing if none is.
    std::optional<Millis> readingTime;
    bool reachesPlatform = false; // The answering host's last reading of each kind succeeded.

    // The update may have been on its way for so long. storeEpochAge, a lower bound, stays true.
    void addAge(Millis delay)
    {
        routingAge = routingAge + delay;
        instancesAge = instancesAge + delay;
        hostsAge = hostsAge + delay;
        if (readingTime)
            readingTime = *readingTime + delay;
    }
};

// A hash of the contents, equal on every host.
std::uint64_t routingHash(const RoutingTable &routing);

// Encode as the messages Bulletin and BulletinRequest of generated/relaywire/relay.proto, and back;
// nothing, and a reason, for bytes that are not such a message. An entry of a list that is not
// valid is left out, with a reason.
std::string encodePlatformUpdate(const PlatformUpdate &update);
std::optional<PlatformUpdate> decodePlatformUpdate(std::string_view bytes, Reason *reason);
std::string encodePlatformUpdateRequest(const PlatformUpdateRequest &request);
std::optional<PlatformUpdateRequest> decodePlatformUpdateRequest(std::string_view bytes,
                                                                 Reason *reason);

// The newest data of one host, whether it read the platform itself or got the data from the
// platform reader, and the requests of other hosts that wait for newer data.
//
// Performs no I/O and reads no clock. Not thread-safe.
class PlatformCache
{
public:
    using Reply = std::function<void(const PlatformUpdate &)>;

    // Data was read from the platform, or came from the platform reader, which read it `age` ago.
    // Older data than the cached is ignored. Configurations are ordered by their own version, which
    // the operator counts; lists by their position in the store's history, or else by their age.
    void setRouting(Millis now, const RoutingTable &routing, Millis age = Millis(0));
    // Returns false if the list is older than the cached one.
    bool setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                      StorePosition position = {}, Millis age = Millis(0));
    void setHosts(Millis now, const std::vector<HostRecord> &hosts, StorePosition position = {},
                  Millis age = Millis(0));
    // Sets whether this host's last readings succeeded. A change answers all waiting requests.
    void setReachesPlatform(Millis now, bool reaches);
    // Replaces a difference by the routing table that it leads to. Returns false, with a reason, if
    // it does not fit to the cached one; the next request then asks for the whole table.
    bool resolveDelta(PlatformUpdate *update, Reason *reason);
    // Takes over an answer of the platform reader.
    void refresh(Millis now, const PlatformUpdate &update);

    // The request to send to the platform reader.
    PlatformUpdateRequest request(Millis wait) const;
    // Handles another host's request. Calls `reply` at once if there is something newer, or if this
    // host does not reach the platform; otherwise with the next update or when the wait is over.
    void requestUpdate(Millis now, const PlatformUpdateRequest &request, Reply reply);
    // Answers the requests whose wait is over.
    void onTick(Millis now);

    // The cached data; nothing if there was none yet.
    const std::optional<std::vector<RegisteredInstance>> &instances() const { return m_instances; }
    const std::optional<std::vector<HostRecord>> &hosts() const { return m_hosts; }
    // When the platform had the cached list of instances.
    Millis instancesReadAt() const { return m_instancesOrigin.readAt; }
    // The same of the cached list of hosts.
    Millis hostsReadAt() const { return m_hostsOrigin.readAt; }

private:
    struct WaitingRequest
    {
        PlatformUpdateRequest request;
        Millis until;
        Reply reply;
    };

    // Of a cached list.
    struct Origin
    {
        StorePosition position;
        Millis readAt = Millis(-1'000'000);
    };

    static bool isOlder(const Origin &origin, const Origin &than);
    static void confirm(Origin *origin, const Origin &again);
    bool takeInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                       const Origin &origin, std::uint64_t revision);
    void takeHosts(Millis now, const std::vector<HostRecord> &hosts, const Origin &origin,
                   std::uint64_t revision);
    bool hasUpdate(const PlatformUpdateRequest &request) const;
    PlatformUpdate updateFor(Millis now, const PlatformUpdateRequest &request);
    void addRouting(const PlatformUpdateRequest &request, PlatformUpdate *update);
    enum class AnswerWhom {
        Updated,          // Requests for which there is something newer.
        UpdatedOrExpired, // Those, and requests whose wait is over.
        All,
    };
    void answerWaiting(Millis now, AnswerWhom which);

    std::optional<RoutingTable> m_routing;
    RoutingHistory m_history;
    std::optional<RoutingDelta> m_delta; // The last one that was sent; all followers get the same.
    bool m_wantsWhole = false;           // The last difference did not fit.
    std::optional<std::vector<RegisteredInstance>> m_instances;
    std::optional<std::vector<HostRecord>> m_hosts;
    std::uint64_t m_instancesRevision = 0;
    std::uint64_t m_hostsRevision = 0;
    // When the cached configuration was read.
    Millis m_routingAt = Millis(-1'000'000);
    Origin m_instancesOrigin;
    Origin m_hostsOrigin;
    bool m_reachesPlatform = false;
    std::vector<WaitingRequest> m_waiting;
};

} // namespace cicadagap
