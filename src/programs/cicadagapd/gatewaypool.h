// Runs the gateways of one host. It is the driver of class Gateway: it owns the sockets and timers,
// passes events to the gateways and carries out their actions.
#pragma once

#include "base/mutex.h"
#include "connection/gateway.h"
#include "connection/peerclient.h"
#include "connection/quota.h"
#include "connection/targetclient.h"
#include "connection/wire.h"
#include "request/systemview.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Returns the client for the cicadagapd of another host; null if that host is unknown or dead.
using PeerLookup = std::function<std::shared_ptr<PeerClient>(const std::string &host)>;

// Thread-safe. The gateways are spread over shards, each with its own mutex.
class GatewayPool : public std::enable_shared_from_this<GatewayPool>
{
public:
    // `loop` and `view` must outlive the pool.
    struct Options
    {
        EventLoop *loop = nullptr;
        SystemView *view = nullptr;
        std::shared_ptr<TargetClient> targets;
        PeerLookup peers;
        std::shared_ptr<PeerClient> steward; // Receives reports of unreachable instances.
        std::uint64_t incarnation = 0;       // Of this process; part of each transaction id.
    };

    // The newest position sample of a primary: its last position, and the age of the sample.
    struct PositionSample
    {
        Position last;
        Millis age;
    };

    explicit GatewayPool(Options options);

    // Passes the request to the gateway of its instance. `done` runs exactly once with the reply:
    // on the event loop, or inside this function if the reply is known at once.
    void submit(const ForwardedRequest &forwarded, std::function<void(const GatewayReply &)> done);
    // Returns the newest position sample of the instance's gateway, if it has one, and has the
    // gateway refresh it if it is old.
    std::optional<PositionSample> positionSample(const std::string &team, const std::string &group,
                                                 const std::string &instance);
    // Applies a change of the host's system view to the gateways.
    void refresh();
    // Runs the gateways' timeouts. Call it regularly.
    void tick();
    // Starts a graceful shutdown: refuses new requests.
    void drain();
    // Whether all gateways are idle.
    bool idle() const;
    // The gateways' counters by "<team>/<instance>", for the status page.
    std::map<std::string, Gateway::Counters> counters() const;

private:
    static constexpr std::size_t ShardCount = 16;

    // A gateway with its sockets. After a change of the settings, a new one takes over; the old one
    // retires: it completes its requests and is deleted when it is idle and has no connections.
    struct RunningGateway
    {
        explicit RunningGateway(const Gateway::Options &options,
                                ConnectionQuota::Options quotaOptions)
            : gateway(options)
            , quota(quotaOptions)
        {
        }

        std::string team;
        std::string group;
        std::string instance;
        std::uint64_t number = 0;          // Unique in the pool.
        std::uint64_t settingsVersion = 0; // Of the team's settings it was created with.
        Endpoint endpoint;
        Millis connectTimeout;
        Millis ledgerRetention;
        std::map<std::string, std::size_t> classes; // Names of priority classes to their indexes.
        Gateway gateway;
        ConnectionQuota quota;
        std::map<std::uint64_t, std::shared_ptr<TargetConnection>> connections;
        std::map<std::uint64_t, std::function<void(const GatewayReply &)>> replyCallbacks;
        bool retiring = false;
        Millis nextLedgerCleanup; // When to delete expired ledger rows next.
    };

    struct Shard
    {
        mutable Mutex mutex;
        std::map<std::string, std::vector<std::unique_ptr<RunningGateway>>>
            gateways CICADAGAP_GUARDED_BY(mutex); // By "<team>/<instance>"; the newest one is last.
    };

    // Replies to send after the shard's mutex is released.
    using Replies = std::vector<std::function<void()>>;

    Shard &shardFor(const std::string &key);
    // The gateway for the settings in force, created if there is none yet; null if the team, the
    // group or the instance is not in the settings.
    RunningGateway *currentGateway(Shard *shard, const std::string &team, const std::string &group,
                                   const std::string &instance, Replies *replies)
        CICADAGAP_REQUIRES(shard->mutex);
    std::unique_ptr<RunningGateway> createGateway(const VersionedTeamSettings &team,
                                                  const std::string &group,
                                                  const std::string &instance);
    // The gateway that has the transaction; null if there is none.
    static RunningGateway *findByTransaction(Shard *shard, const std::string &key,
                                             const std::string &transaction)
        CICADAGAP_REQUIRES(shard->mutex);
    static RunningGateway *findByNumber(Shard *shard, const std::string &key, std::uint64_t number)
        CICADAGAP_REQUIRES(shard->mutex);
    // Sets the gateway's role and quota according to the host's system view.
    void applyView(RunningGateway *running, Millis now, Replies *replies);
    // Deletes the group's expired ledger rows, if that is due.
    void cleanUpLedger(RunningGateway *running, Millis now, Replies *replies);
    // Carries out the gateway's actions. The mutex of its shard must be held.
    void runActions(RunningGateway *running, const GatewayActions &actions, Replies *replies);
    void open(RunningGateway *running, std::uint64_t connection);
    void callTarget(RunningGateway *running, const TargetCall &call);
    void pollStatus(RunningGateway *running, Millis delay);
    void fetchStatus(const std::string &key, std::uint64_t number, const Endpoint &endpoint);
    void fetchPositionSample(RunningGateway *running);
    void reportFailure(RunningGateway *running);
    // Passes an event to the gateway with this number, if it still exists.
    void handleEvent(const std::string &key, std::uint64_t number,
                     const std::function<GatewayActions(RunningGateway *, Millis)> &event);
    static void sendReplies(const Replies &replies);
    static std::string instanceKey(const std::string &team, const std::string &instance);

    Options m_options;
    SteadyClock m_clock;
    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::uint64_t> m_lastRequestId = 0;
    std::atomic<std::uint64_t> m_lastGatewayNumber = 0;
    std::atomic<bool> m_draining = false;
};

} // namespace cicadagap
