// The steward of one host: a thin driver round Gossip, Membership, SettingsFeed and GroupMonitor.
//
// It learns settings, hosts and primaries, watches the groups assigned to it, changes their
// primaries, and hands what it knows to the daemon on its host. It never touches a request.
// Everything runs on a single-threaded event loop.
#pragma once

#include "connection/peerclient.h"
#include "connection/tablestore.h"
#include "connection/targetclient.h"
#include "connection/wire.h"
#include "process/gossip.h"
#include "process/groupmonitor.h"
#include "process/membership.h"
#include "process/recordstore.h"
#include "version/settings.h"
#include "version/settingsfeed.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

class Steward
{
public:
    Steward(EventLoop *loop, HostSettings settings);

    bool start(Reason *reason);
    Endpoint endpoint() const { return m_server->endpoint(); }
    // Tells the others that this host is leaving.
    void leave();

private:
    // A group that this steward watches.
    struct Watched
    {
        GroupMonitor watch;
        std::string team;
        std::string group;
        std::map<std::string, Endpoint> instances;
        std::vector<std::string> watchers; // Stewards of the group, in the order in which they act.
        Millis probeTimeout;
    };

    using Answered = std::function<void(const std::optional<boost::json::object> &)>;

    void onCall(const PeerRequest &request, const PeerRespond &respond);
    void onGossip(const std::string &body);
    void onSuspicionVote(const std::string &body);
    void onFailureReport(const std::string &body);
    void probeFor(const std::string &body, const PeerRespond &respond);
    void tick();
    void sendGossip(const std::vector<GossipSend> &sends);
    void send(const std::string &host, const PeerRequest &request, Answered answered);
    std::shared_ptr<PeerClient> link(const std::string &host);
    std::shared_ptr<PeerClient> linkTo(const std::string &address);
    void publish(const Record &record);
    void publishHost(const HostInfo &host);
    // A record changed here, whoever made it.
    void onChanged(const Record &record);
    void learnHost(const Record &record);
    void probeNeighbours();
    // Introduces this host to the seeds, which answer with the hosts that they know.
    void askSeeds();
    GossipMessage knownHosts() const;
    void readHostList();
    void takeHostList(const std::optional<PlatformHosts> &list);
    bool readsPlatform() const;
    void runFeed(const std::vector<FeedAction> &actions);
    void takeSettings(const std::vector<FeedRecord> &records);
    void assignGroups();
    void assignGroup(const TeamSettings &team, const std::string &group);
    void run(const std::string &key, const std::vector<MonitorAction> &actions);
    void runOne(const std::string &key, Watched *watched, const MonitorAction &action);
    void probe(const std::string &key, const Watched &watched, const MonitorAction &action);
    void seal(const std::string &key, const Watched &watched, const MonitorAction &action);
    void promote(const std::string &key, const Watched &watched, const MonitorAction &action);
    void broadcastVote(const Watched &watched, const MonitorAction &action);
    void noteLeaving(const Watched &watched, const InstanceReport &report);
    void pushView();
    Millis settingsAge() const;

    EventLoop *m_loop;
    HostSettings m_settings;
    SteadyClock m_clock;
    RecordStore m_records;
    Membership m_membership;
    Gossip m_gossip;
    SettingsFeed m_feed;
    std::shared_ptr<TableStore> m_platform;
    std::shared_ptr<TargetClient> m_targets;
    std::shared_ptr<PeerClient> m_daemon;
    std::unique_ptr<PeerServer> m_server;
    std::map<std::string, std::shared_ptr<PeerClient>> m_links; // By address.
    std::map<std::string, TeamSettings> m_teams;
    std::map<std::string, Watched> m_watched; // By "<team>/<group>".
    std::map<std::string, std::vector<std::string>>
        m_aliveByDataCentre; // When groups were assigned.
    std::vector<Record> m_toDaemon;
    std::size_t m_hostCount = 0; // Known to the membership when groups were assigned.
    bool m_alone = true;         // No other host is known.
    bool m_reader = false;       // One of those in the data centre that read the platform.
    bool m_assign = false;       // Hosts or settings changed since groups were assigned.
    bool m_pushing = false;
    Millis m_nextPush;
    Millis m_nextHostList;
    bool m_readingHosts = false;
    Millis m_nextSeeds;
    // The settings are no older than since this instant, by the word of whoever read them.
    std::optional<Millis> m_settingsConfirmedAt;
};

} // namespace cicadagap
