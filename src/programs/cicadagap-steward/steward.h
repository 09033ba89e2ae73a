// The control plane of one host.
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

// The control plane of one host. It distributes the teams' settings, tracks which hosts are alive
// and which instances are primaries, monitors the groups that are assigned to it, replaces their
// primaries, and sends what it knows to the daemon (cicadagapd) on its host. It handles no requests
// of callers.
//
// The decisions are made by Gossip, Membership, SettingsFeed and GroupMonitor, which perform no
// I/O. This class is their driver: it passes events to them and carries out the actions that they
// return.
//
// Not thread-safe: everything runs on the event loop, which must have a single thread and must
// outlive this object.
class Steward
{
public:
    Steward(EventLoop *loop, HostSettings settings);

    // Starts to listen and to work. Returns false and sets `reason` if it cannot listen.
    bool start(Reason *reason);
    // Where the other stewards can reach this one. Call it only after start() has succeeded.
    Endpoint endpoint() const { return m_server->endpoint(); }
    // Announces to the other hosts that this host is leaving.
    void leave();

private:
    // A group that this steward monitors.
    struct MonitoredGroup
    {
        GroupMonitor monitor;
        std::string team;
        std::string group;
        std::map<std::string, Endpoint> instances;
        std::vector<std::string> stewards; // Hosts whose stewards monitor the group, by rank.
        Millis probeTimeout;
    };

    // Receives the answer to a call, or nothing if the call failed.
    using ReplyHandler = std::function<void(const std::optional<boost::json::object> &)>;

    // Handles a call from another steward or from a daemon.
    void onCall(const PeerRequest &request, const PeerRespond &respond);
    void onGossip(const std::string &body);
    void onSuspicionVote(const std::string &body);
    void onFailureReport(const std::string &body);
    // Probes a host on behalf of another one and responds with the result.
    void probeOnBehalf(const std::string &body, const PeerRespond &respond);
    void tick();
    void sendGossip(const std::vector<GossipSend> &sends);
    // Calls the steward of `host`. `onReply` may be null.
    void send(const std::string &host, const PeerRequest &request, ReplyHandler onReply);
    // The client for the steward of a host, or null if the host is not known.
    std::shared_ptr<PeerClient> clientForHost(const std::string &host);
    // The client for the steward at an address, or null if the address is malformed.
    std::shared_ptr<PeerClient> clientForAddress(const std::string &address);
    // Stores a record that originates on this host and spreads it to all hosts.
    void publish(const Record &record);
    void publishHost(const HostInfo &host);
    // Handles a record that is new in the store of this host, whichever host created it.
    void onChanged(const Record &record);
    void handleHostRecord(const Record &record);
    void probeNeighbours();
    // Sends the record of this host to the seeds, which answer with the hosts that they know.
    void joinThroughSeeds();
    // The answer to a host that joins: a message with the records of the known hosts.
    GossipMessage knownHosts() const;
    void readHostList();
    void handleHostList(const std::optional<PlatformHosts> &list);
    // Whether this host reads the settings and the host list from the platform.
    bool readsPlatform() const;
    // Carries out the reads that the settings feed requests.
    void carryOutReads(const std::vector<FeedAction> &actions);
    void publishSettings(const std::vector<FeedRecord> &records);
    // Determines the peers, the platform readers, and the groups that this steward monitors.
    void assignGroups();
    void assignGroup(const TeamSettings &team, const std::string &group);
    // Carries out the actions of the monitor of the group `key`.
    void carryOut(const std::string &key, const std::vector<MonitorAction> &actions);
    void carryOutOne(const std::string &key, MonitoredGroup *monitored,
                     const MonitorAction &action);
    void probe(const std::string &key, const MonitoredGroup &monitored,
               const MonitorAction &action);
    void seal(const std::string &key, const MonitoredGroup &monitored, const MonitorAction &action);
    void promote(const std::string &key, const MonitoredGroup &monitored,
                 const MonitorAction &action);
    void broadcastSuspicionVote(const MonitoredGroup &monitored, const MonitorAction &action);
    // Publishes whether the instance is leaving, if that has changed.
    void publishLeaving(const MonitoredGroup &monitored, const InstanceReport &report);
    // Sends the records that changed to the daemon on this host.
    void sendViewUpdate();
    // How long ago the platform last confirmed that the settings of this host are the newest.
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
    std::map<std::string, std::shared_ptr<PeerClient>> m_clients; // By address.
    std::map<std::string, TeamSettings> m_teams;
    std::map<std::string, MonitoredGroup> m_monitoredGroups; // By "<team>/<group>".
    // Data centre to its hosts that were alive when the groups were assigned.
    std::map<std::string, std::vector<std::string>> m_aliveByDataCentre;
    std::vector<Record> m_recordsForDaemon; // Records that still have to be sent to the daemon.
    std::size_t m_hostCount = 0;            // Size of the membership when the groups were assigned.
    bool m_alone = true;                    // No other host is known.
    bool m_isPlatformReader = false;        // Whether this is a platform reader of its data centre.
    bool m_assignmentOutdated = false; // Hosts or settings changed since the groups were assigned.
    bool m_viewUpdateInProgress = false;
    Millis m_nextViewUpdate;
    Millis m_nextHostList;
    bool m_hostListReadInProgress = false;
    Millis m_nextJoin;
    // The last instant at which the settings are known to have been the newest, as confirmed by the
    // platform or reported by another host.
    std::optional<Millis> m_settingsConfirmedAt;
};

} // namespace cicadagap
