// Keeps an engine's knowledge of the platform fresh: reads the platform, or asks the host that
// reads it for this data centre.
#pragma once

#include "connection/peerclient.h"
#include "process/eventloop.h"
#include "session/platformcache.h"
#include "session/platformclient.h"
#include "session/sessionengine.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadagap {

// Not thread-safe.
class PlatformFeed
{
public:
    using LinkTo = std::function<std::shared_ptr<PeerClient>(const std::string &host)>;

    // `linkTo` gives the link to a host, or null. `configured` runs after each new configuration.
    PlatformFeed(EventLoop *loop, SessionEngine *engine, PlatformClient *platform, HostRecord self,
                 LinkTo linkTo, std::function<void()> configured);

    void start();
    // Another host asks what this one knows.
    void answerPeer(const PeerRequest &request, const PeerRespond &respond);
    // This host is about to stop: tells the others.
    void leave();
    void tick();

private:
    void readConfiguration();
    void readInstances();
    void readHosts();
    void follow();
    void takeBulletin(const PlatformUpdate &bulletin);
    void applyHosts(std::vector<HostRecord> hosts);
    void applyRouting(const RoutingTable &routing);
    void registerSelf();
    bool readsItself();
    void setReachable(std::string_view what, bool *reachable, bool reached);
    Millis now() const { return m_clock.now(); }

    EventLoop *m_loop;
    SessionEngine *m_engine;
    PlatformClient *m_platform;
    HostRecord m_self;
    LinkTo m_linkTo;
    std::function<void()> m_configured;
    BootClock m_clock;
    Millis m_startedAt;
    PlatformCache m_board;
    std::string m_following; // Empty while this host reads by itself.
    bool m_readerIsFresh = false;
    bool m_configurationReachable = true;
    bool m_instancesReachable = true;
    bool m_hostsReachable = true;
};

} // namespace cicadagap
