// What one host of a data centre reads from the platform for all the others there.
//
// The reader is the first live host in rendezvous order. The others ask it and wait for news; each
// answer says how old the reader's knowledge is, and whoever finds it too old reads the platform
// itself. So the platform's load grows with data centres, not with hosts, and neither the loss of a
// reader nor a platform that turns it away stops the news.
#pragma once

#include "base/millis.h"
#include "base/reason.h"
#include "session/hostdirectory.h"
#include "session/registry.h"
#include "session/routing.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// Revisions are hashes of contents, so that they mean the same on every host.
struct PlatformUpdateRequest
{
    std::uint64_t routingVersion = 0;
    std::uint64_t instancesRevision = 0;
    std::uint64_t hostsRevision = 0;
    Millis wait; // For something newer.
};

// Holds only what differs from what the asker has. Ages count from the last good reading.
struct PlatformUpdate
{
    std::optional<RoutingTable> routing;
    std::optional<std::vector<RegisteredInstance>> instances;
    std::optional<std::vector<HostRecord>> hosts;
    std::uint64_t instancesRevision = 0;
    std::uint64_t hostsRevision = 0;
    Millis routingAge;
    Millis instancesAge;
    Millis hostsAge;
    bool reachesPlatform = false; // The last reading of each kind succeeded.
};

std::string encodePlatformUpdate(const PlatformUpdate &bulletin);
std::optional<PlatformUpdate> decodePlatformUpdate(std::string_view bytes, Reason *reason);
std::string encodePlatformUpdateRequest(const PlatformUpdateRequest &request);
std::optional<PlatformUpdateRequest> decodePlatformUpdateRequest(std::string_view bytes,
                                                                 Reason *reason);

// The newest knowledge of one host, wherever it came from, and who waits for more.
//
// Pure and not thread-safe.
class PlatformCache
{
public:
    using Reply = std::function<void(const PlatformUpdate &)>;

    // Something was read, or came from the reader, which had read it `age` ago.
    void setRouting(Millis now, const RoutingTable &routing, Millis age = Millis(0));
    void setInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                      Millis age = Millis(0));
    void setHosts(Millis now, const std::vector<HostRecord> &hosts, Millis age = Millis(0));
    // Whether this host's last readings succeeded; a change is news to those who wait.
    void setReachesPlatform(Millis now, bool reaches);
    // Takes over what the reader told.
    void refresh(Millis now, const PlatformUpdate &bulletin);

    // What to ask the reader for.
    PlatformUpdateRequest request(Millis wait) const;
    // Answers at once if there is news, or if this host does not reach the platform; else with the
    // next news or when the wait is over.
    void ask(Millis now, const PlatformUpdateRequest &request, Reply reply);
    void onTick(Millis now);

    const std::optional<std::vector<RegisteredInstance>> &instances() const { return m_instances; }
    const std::optional<std::vector<HostRecord>> &hosts() const { return m_hosts; }

private:
    struct Waiting
    {
        PlatformUpdateRequest request;
        Millis until;
        Reply reply;
    };

    bool hasNews(const PlatformUpdateRequest &request) const;
    PlatformUpdate updateFor(Millis now, const PlatformUpdateRequest &request) const;
    enum class Answer {
        News, // Those for whom there is news.
        NewsOrExpired,
        All,
    };
    void answerWaiting(Millis now, Answer which);

    std::optional<RoutingTable> m_routing;
    std::optional<std::vector<RegisteredInstance>> m_instances;
    std::optional<std::vector<HostRecord>> m_hosts;
    std::uint64_t m_instancesRevision = 0;
    std::uint64_t m_hostsRevision = 0;
    Millis m_routingAt = Millis(-1'000'000);
    Millis m_instancesAt = Millis(-1'000'000);
    Millis m_hostsAt = Millis(-1'000'000);
    bool m_reachesPlatform = false;
    std::vector<Waiting> m_waiting;
};

} // namespace cicadagap
