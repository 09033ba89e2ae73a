// Keeps the engine's copy of the platform's data up to date: the configuration, the registered
// instances and the hosts.
//
// One host of each data centre, the platform reader, reads the platform; the others request its
// updates (see session/platformcache.h). A host reads the platform itself while the platform reader
// cannot be reached or its data is too old.
#pragma once

#include "connection/peerclient.h"
#include "process/eventloop.h"
#include "session/arrivaldelay.h"
#include "session/hostliveness.h"
#include "session/hostregistration.h"
#include "session/platformcache.h"
#include "session/platformclient.h"
#include "session/readingpolicy.h"
#include "session/sessionengine.h"
#include "session/storeepoch.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadagap {

// Not thread-safe; runs on the event loop. The arguments of the constructor must outlive it.
class PlatformFeed
{
public:
    using FindPeer = std::function<std::shared_ptr<PeerClient>(const std::string &host)>;

    struct Options
    {
        HostRecord self; // This host's record.
        // A changed configuration has to be in force everywhere within this time.
        Millis configurationBound = Millis(3000);
    };

    // `findPeer` returns the client of a host, or null if its endpoint is unknown.
    // `onConfiguration` runs whenever a configuration was passed to the engine.
    PlatformFeed(EventLoop *loop, SessionEngine *engine, PlatformClient *platform, Options options,
                 FindPeer findPeer, std::function<void()> onConfiguration);

    void start();
    // Changes Options::configurationBound; it holds from the next reading on.
    void setConfigurationBound(Millis bound);
    // Answers another host's request for an update.
    void answerPeer(const PeerRequest &request, const PeerRespond &respond);
    // Reads the list of instances once, besides the regular readings.
    void readInstancesNow();
    // Tells the other hosts that this one is leaving, by its record in the store.
    void announceLeaving();
    // The hosts as the store holds them, and when it did.
    const std::optional<std::vector<HostRecord>> &storedHosts() const { return m_cache.hosts(); }
    Millis hostsReadAt() const { return m_cache.hostsReadAt(); }
    // To be called regularly; answers requests whose wait is over.
    void onTick();

private:
    void startReading();
    void readConfiguration();
    void readInstances();
    void requestInstances(const std::function<void(bool succeeded)> &done);
    void readHosts();
    void followReader();
    void logRefusedEntry(const std::string &reason);
    void judge(const PlatformUpdate &update);
    void resolveDelta(PlatformUpdate *update);
    void applyUpdate(const PlatformUpdate &update);
    void applyInstances();
    void findEpochStart();
    void applyHosts(std::vector<HostRecord> hosts);
    void applyRouting(const RoutingTable &routing);
    void noteEpoch();
    void registerIfDue();
    void registerSelf();
    void withdrawStoppedHosts();
    // What a host reads from the platform: the lists are those of instances and of hosts.
    enum class Reading {
        Configuration,
        Lists
    };
    bool mustRead(Reading what);
    bool postpones(Reading what, ReadingBackoff *backoff, void (PlatformFeed::*read)());
    void updateRole();
    void loseReader();
    void recordReading(std::string_view what, ReadingBackoff *backoff, bool succeeded);
    template <typename Value>
    bool isUsable(std::string_view what, const std::optional<StoreReading<Value>> &reading);
    void logOutdated(std::string_view what, StorePosition position);
    Millis now() const { return m_clock.now(); }

    EventLoop *m_loop;
    SessionEngine *m_engine;
    PlatformClient *m_platform;
    HostRecord m_self;
    Millis m_configurationWait; // How long the store may wait for a change.
    ReaderAgeLimits m_ageLimits;
    Random m_random; // For the times of retries.
    FindPeer m_findPeer;
    std::function<void()> m_onConfiguration;
    BootClock m_clock;
    Millis m_startedAt;
    PlatformCache m_cache;
    StoreEpoch m_epoch;
    std::uint64_t m_epochSought = 0; // For which the start was asked for.
    ArrivalDelay m_arrivalDelay;
    HostRegistration m_registration;
    HostLiveness m_liveness;      // Of the hosts that follow this one.
    bool m_reading = false;       // The first list of hosts was read, or could not be.
    Millis m_followUntil;         // Until then only the platform reader is asked, unless it fails.
    std::string m_followedReader; // Empty while this host is the platform reader.
    std::string m_refusedEntry;   // Why the last one was left out; empty if none was.
    ReaderJudgement m_reader;     // Of the followed one.
    bool m_fillsLink = false;     // A transfer is taken to fill this host's link.
    // When each kind of reading may be repeated after failures.
    ReadingBackoff m_configurationBackoff;
    ReadingBackoff m_instancesBackoff;
    ReadingBackoff m_hostsBackoff;
};

} // namespace cicadagap
