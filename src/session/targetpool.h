// This host's connections to all instances, and the work that waits for them.
//
// Each instance has a queue in order of priority. A work item starts when one of the instance's
// slots is free as far as this host knows, and a connection is idle; it keeps that slot until its
// first statement takes it, however long a transaction takes to open before. Later statements of an
// open transaction wait for a slot too, before all new work. Connections are opened
// on demand, kept, and closed when they stay idle. An instance that refuses a connection because
// other hosts hold them all is asked again later; the work waits here, where it can still be
// ordered, moved or refused.
//
// Load pattern: several times more statements than slots, all hosts at once. Waiting in this queue
// instead of the instance's keeps the order by priority and the refusals truthful.
//
// Pure and not thread-safe: actions go to a TargetOutput, results to a TargetListener. Neither may
// call back into the fleet except where said.
#pragma once

#include "base/millis.h"
#include "connection/admissionqueue.h"
#include "session/hostdirectory.h"
#include "session/registry.h"
#include "session/relaybatch.h"
#include "session/sessionstate.h"
#include "session/statement.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

using ConnectionId = std::uint64_t;
using WorkId = std::uint64_t;

// Receives what has to be done.
class TargetOutput
{
public:
    TargetOutput() = default;
    TargetOutput(const TargetOutput &) = delete;
    TargetOutput &operator=(const TargetOutput &) = delete;
    virtual ~TargetOutput() = default;

    virtual void openTarget(ConnectionId connection, const RegisteredInstance &instance) = 0;
    virtual void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements)
        = 0;
    virtual void closeTarget(ConnectionId connection) = 0;
    // Send a batch through a gateway; answered by onRelayReply().
    virtual void relayToGateway(ConnectionId connection, const std::string &gateway,
                                RelayBatch batch)
        = 0;
    // Give up a channel on which something may still run or be open.
    virtual void dropAtGateway(ConnectionId connection, const std::string &gateway) = 0;
};

// Receives what happened. Work may be submitted from within these calls.
class TargetListener
{
public:
    TargetListener() = default;
    TargetListener(const TargetListener &) = delete;
    TargetListener &operator=(const TargetListener &) = delete;
    virtual ~TargetListener() = default;

    // The work owns the connection now; send() on it, then release() or discard() it.
    virtual void onWorkStarted(Millis now, WorkId work, ConnectionId connection) = 0;
    // The work was not started and will not be.
    virtual void onWorkRefused(Millis now, WorkId work, Cause cause) = 0;
    virtual void onWorkAnswer(Millis now, WorkId work, ConnectionId connection, SendPurpose purpose,
                              StatementKind kind, Millis sentAt, const StatementAnswer &answer)
        = 0;
    // The connection failed; `workSent` tells whether its statement may have reached the instance.
    virtual void onWorkConnectionLost(Millis now, WorkId work, ConnectionId connection,
                                      bool workSent)
        = 0;
    // News about an instance.
    virtual void onTargetOpening(Millis now, const std::string &instance) = 0;
    virtual void onTargetReceived(Millis now, const std::string &instance) = 0;
    virtual void onTargetConnectionFailed(Millis now, const std::string &instance) = 0;
};

struct TargetWork
{
    WorkId id = 0;
    int priority = 0;                      // 0 goes first.
    Millis deadline;                       // Refused if it has not started by then.
    std::optional<Millis> freshAsOf;       // A read that must see what was committed until then.
    bool needsSlot = true;                 // Otherwise it goes before everything that does.
    const SessionValues *values = nullptr; // Null if any state of the connection will do.
    std::optional<PreparedStatement> prepared;
};

class TargetPool
{
public:
    static constexpr int Priorities = 8;

    struct Options
    {
        std::size_t queueCapacity = 400;     // Of each priority, for each instance.
        Millis openTimeout = Millis(1500);   // To open a connection.
        Millis fullBackoff = Millis(60);     // After an instance had no connection left.
        Millis refusedBackoff = Millis(150); // After a refused or failed connection.
        Millis idleClose = Millis(1500);     // Of connections beyond the first.
    };

    // Chooses the gateway to an instance; empty if none can be used now.
    using ChooseGateway = std::function<std::string(Millis now, const std::string &instance)>;

    TargetPool(Options options, TargetOutput *output, TargetListener *listener,
               ChooseGateway chooseGateway);

    void setInstance(Millis now, const RegisteredInstance &instance, const InstanceAccess &access,
                     bool keepOpen);
    // This host holds connections to the instance itself.
    bool isDirect(const std::string &instance) const;
    // Closes idle connections and refuses what waits; running work goes on.
    void removeInstance(Millis now, const std::string &instance);
    // The ids of all instances that were set and not removed.
    std::vector<std::string> instances() const;

    // False if the queue is full or the instance unknown; the listener is then not told.
    bool submit(Millis now, const std::string &instance, TargetWork work);
    // Forgets work that has not started.
    void cancel(WorkId work);
    // Sends on a connection that a work owns. Statements of the session's state go before others.
    void send(Millis now, ConnectionId connection, SendPurpose purpose, Statement statement);
    // Lets everything leave that was sent in this turn.
    void flush(Millis now);
    // Restores the session's state; called once, before the work's first statement.
    void restore(Millis now, ConnectionId connection, const SessionValues &values,
                 const PreparedStatement *prepared);
    // The work does not need the connection any more; it is reused after its last answer.
    void release(Millis now, ConnectionId connection);
    // The connection's state is not known to be clean: closes it.
    void discard(Millis now, ConnectionId connection);
    // Breaks all connections whose owner satisfies the condition, and the idle ones.
    void breakConnections(Millis now, const std::string &instance,
                          const std::function<bool(WorkId)> &condition);

    void onOpened(Millis now, ConnectionId connection);
    // `full`: the instance has no connection left for us.
    void onOpenFailed(Millis now, ConnectionId connection, bool full);
    void onAnswer(Millis now, ConnectionId connection, const StatementAnswer &answer);
    void onClosed(Millis now, ConnectionId connection);
    void onRelayReply(Millis now, ConnectionId connection, const RelayReply &reply);
    void onTick(Millis now);

    // The expected time until work submitted now would be answered, without the network's share.
    Millis expectedWait(const std::string &instance, int priority) const;
    // The network's share: the shortest time in which the instance answered.
    Millis roundTrip(const std::string &instance) const;
    // The instance has no connection left for us, and we hold none.
    bool noConnectionAvailable(Millis now, const std::string &instance) const;
    // An idle connection exists.
    bool hasIdle(const std::string &instance) const;
    std::size_t connections(const std::string &instance) const;
    std::size_t connections() const { return m_connections.size(); }
    const std::string &instanceOf(ConnectionId connection) const;
    // Starts an additional connection if none is being opened.
    void openFresh(Millis now, const std::string &instance);

private:
    enum class State {
        Opening,
        Idle,
        Owned,
        Draining, // Released; its last answers are on their way.
    };

    struct Sent
    {
        SendPurpose purpose = SendPurpose::Work;
        StatementKind kind = StatementKind::Unknown;
        Millis at;
    };

    struct Connection
    {
        std::string instance;
        State state = State::Opening;
        ConnectionSessionState memory;
        WorkId owner = 0;
        Millis since; // Of its state.
        std::deque<Sent> awaited;
        std::vector<RelayedStatement> unsent;
        std::vector<RelayedStatement> held; // Until a slot is free.
        bool workSent = false;
        bool reserved = false; // A slot is kept for the work's first statement.
        // Of relayed work only.
        std::string gateway;
        std::optional<TargetWork> relayed;
        SessionPhase phase = SessionPhase::Idle;
        bool answered = false;
        bool ended = false; // At the gateway.
    };

    struct Instance
    {
        RegisteredInstance registered;
        bool direct = true;
        int maxConnections = 1;
        bool keepOpen = false;
        bool removed = false;
        std::unique_ptr<AdmissionQueue> queue;
        std::deque<WorkId> urgent;        // Work that needs no slot.
        std::deque<ConnectionId> holding; // Connections whose next statement waits for a slot.
        std::set<ConnectionId> connections;
        std::size_t opening = 0;
        std::size_t slotsTaken = 0;
        Millis openAfter;
        Millis crowdedUntil;
        Millis fullUntil;       // It refused us for lack of connections not long ago.
        double serviceMs = 10;  // Moving average of a statement's time at the instance.
        double fastestMs = 1e9; // Slowly forgotten minimum.
    };

    struct Waiting
    {
        TargetWork work;
        std::string instance;
    };

    static RelayBatch batchOf(Millis now, ConnectionId id, const Connection &connection,
                              std::vector<RelayedStatement> statements);
    void refuseWaiting(Millis now, const std::string &instance, Cause cause);
    bool startRelayed(Millis now, Instance *instance, TargetWork work);
    void pump(Millis now, const std::string &instance);
    bool startNext(Millis now, Instance *instance);
    std::optional<WorkId> nextWork(Millis now, Instance *instance);
    std::vector<WorkId> takeExpiredUrgent(Millis now, Instance *instance) const;
    std::optional<ConnectionId> bestIdle(const Instance &instance, const TargetWork &work) const;
    void openMore(Millis now, Instance *instance);
    void open(Millis now, Instance *instance);
    void forget(Millis now, ConnectionId connection);
    void settle(Millis now, ConnectionId connection);
    void noteAnswer(Millis now, Instance *instance, const Sent &sent);
    void giveBackReserved(Connection *connection);
    static bool slotFree(Millis now, const Instance &instance);
    void sendNow(Millis now, ConnectionId id, Connection *connection, RelayedStatement entry);
    void sendHeld(Millis now, Instance *instance);
    Connection *find(ConnectionId connection);

    Options m_options;
    TargetOutput *m_output;
    TargetListener *m_listener;
    ChooseGateway m_chooseGateway;
    std::map<std::string, Instance> m_instances;
    std::map<ConnectionId, Connection> m_connections;
    std::map<WorkId, Waiting> m_waiting;
    std::set<ConnectionId> m_toFlush;
    ConnectionId m_lastConnection = 0;
};

} // namespace cicadagap
