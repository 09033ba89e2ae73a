// Runs the gateways of one host: a thin driver that feeds Gateway with events and carries out its
// actions. Gateways are spread over shards, each under its own lock.
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

// Finds the link to another host's daemon; null if the host is unknown.
using PeerLookup = std::function<std::shared_ptr<PeerClient>(const std::string &host)>;

class GatewayPool : public std::enable_shared_from_this<GatewayPool>
{
public:
    struct Options
    {
        EventLoop *loop = nullptr;
        SystemView *view = nullptr;
        std::shared_ptr<TargetClient> targets;
        PeerLookup peers;
        std::shared_ptr<PeerClient> steward; // Receives reports of unreachable instances.
        std::uint64_t incarnation = 0;
    };

    // The newest sample of a primary's position and its age on this host.
    struct PositionSample
    {
        Position last;
        Millis age;
    };

    explicit GatewayPool(Options options);

    // Does the work at the instance it names; `done` runs exactly once, on the event loop.
    void submit(const ForwardedRequest &routed, std::function<void(const GatewayReply &)> done);
    std::optional<PositionSample> positionSample(const std::string &team, const std::string &group,
                                                 const std::string &instance);
    // Looks at the host's view again after a change.
    void refresh();
    void tick();
    // Graceful shutdown: refuses new work.
    void drain();
    bool idle() const;
    // Counters by "<team>/<instance>", for the status page.
    std::map<std::string, Gateway::Counters> counters() const;

private:
    static constexpr std::size_t ShardCount = 16;

    // A gateway with its sockets. A change of settings starts a new one; the old one retires.
    struct Running
    {
        explicit Running(const Gateway::Options &options, ConnectionQuota::Options quotaOptions)
            : gateway(options)
            , quota(quotaOptions)
        {
        }

        std::string team;
        std::string group;
        std::string instance;
        std::uint64_t number = 0; // Unique in the pool.
        std::uint64_t settingsVersion = 0;
        Endpoint endpoint;
        Millis connectTimeout;
        Millis ledgerRetention;
        std::map<std::string, std::size_t> classes;
        Gateway gateway;
        ConnectionQuota quota;
        std::map<std::uint64_t, std::shared_ptr<TargetConnection>> connections;
        std::map<std::uint64_t, std::function<void(const GatewayReply &)>> waiting;
        bool retiring = false;
        Millis nextCleaning; // Of the ledger.
    };

    struct Shard
    {
        mutable Mutex mutex;
        std::map<std::string, std::vector<std::unique_ptr<Running>>>
            gateways CICADAGAP_GUARDED_BY(mutex); // By "<team>/<instance>"; the newest is last.
    };

    // Replies to hand out after the shard's lock is released.
    using Replies = std::vector<std::function<void()>>;

    Shard &shardFor(const std::string &key);
    Running *current(Shard *shard, const std::string &team, const std::string &group,
                     const std::string &instance, Replies *replies)
        CICADAGAP_REQUIRES(shard->mutex);
    std::unique_ptr<Running> build(const VersionedTeamSettings &team, const std::string &group,
                                   const std::string &instance);
    static Running *holderOf(Shard *shard, const std::string &key, const std::string &transaction)
        CICADAGAP_REQUIRES(shard->mutex);
    static Running *byNumber(Shard *shard, const std::string &key, std::uint64_t number)
        CICADAGAP_REQUIRES(shard->mutex);
    void adapt(Running *running, Millis now, Replies *replies);
    // Deletes the group's ledger rows that are past their retention, now and then.
    void cleanLedger(Running *running, Millis now, Replies *replies);
    // Carries out actions; the shard of `running` must be locked.
    void carryOut(Running *running, const GatewayActions &actions, Replies *replies);
    void open(Running *running, std::uint64_t connection);
    void callTarget(Running *running, const TargetCall &call);
    void pollStatus(Running *running, Millis delay);
    void fetchStatus(const std::string &key, std::uint64_t number, const Endpoint &endpoint);
    void fetchPositionSample(Running *running);
    void reportFailure(Running *running);
    // Feeds an event to the gateway with that number, if it still runs.
    void deliver(const std::string &key, std::uint64_t number,
                 const std::function<GatewayActions(Running *, Millis)> &event);
    static void run(const Replies &replies);
    static std::string keyOf(const std::string &team, const std::string &instance);

    Options m_options;
    SteadyClock m_clock;
    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::uint64_t> m_lastWork = 0;
    std::atomic<std::uint64_t> m_lastNumber = 0;
    std::atomic<bool> m_draining = false;
};

} // namespace cicadagap
