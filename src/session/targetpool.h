// This host's connections to all instances, and the work that is queued for them.
//
// An instance has a number of slots: the statements that it runs at a time. Work is a statement or
// a transaction that needs a connection to a certain instance. Each instance has a queue of work,
// ordered by priority and shared fairly by tenants. Work starts when a connection is idle and a
// slot is free as far as this host knows; the slot is reserved until the work's first statement
// takes it, however long it takes to open a transaction before. Later statements of an open
// transaction wait for a slot too, and go ahead of all new work.
//
// Connections are opened on demand, reused, and closed when they stay idle. A connection belongs to
// one tenant. If all that this host may hold are open, the one that has been idle for longest makes
// room for a tenant that has none. Opening a connection takes a slot of the instance for a while,
// so other tenants' work leaves one free for it when it is that tenant's turn. If an instance
// refuses a connection because other hosts hold all of them, this host tries again later. Meanwhile
// the work waits here, where it can still be ordered by priority, moved to another instance or
// refused.
//
// Expected load: several times more statements than slots, from all hosts at once. Queueing here
// and not in the instance keeps the order by priority, and a refusal really means that nothing has
// run.
#pragma once

#include "base/millis.h"
#include "session/hostdirectory.h"
#include "session/loadreports.h"
#include "session/registry.h"
#include "session/relaybatch.h"
#include "session/sessionstate.h"
#include "session/statement.h"
#include "session/workqueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// A connection to an instance, or a channel to it through a gateway. Unique in a pool.
using ConnectionId = std::uint64_t;
// Chosen by whoever submits the work; unique in a pool.
using WorkId = std::uint64_t;

// A connection to an instance, not a channel through a gateway, got a new name for a prepared
// statement, and the instance was sent it. The texts are valid during the call only.
struct NewPreparedName
{
    ConnectionId connection = 0;
    std::string_view instance;
    std::string_view name;
    std::string_view shape;
    bool writes = false;
    std::size_t removedNames = 0; // Names that were removed to make room for it.
};

// Carries out the actions of a TargetPool. Must not call back into the pool.
class TargetOutput
{
public:
    TargetOutput() = default;
    TargetOutput(const TargetOutput &) = delete;
    TargetOutput &operator=(const TargetOutput &) = delete;
    virtual ~TargetOutput() = default;

    // Opens a connection; answered by onOpened() or onOpenFailed().
    // The instance is told the tenant's name; without one, that of the system.
    virtual void openTarget(ConnectionId connection, const RegisteredInstance &instance,
                            const std::string &tenant)
        = 0;
    // Sends statements in one write; each is answered by onAnswer(), in order.
    virtual void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements)
        = 0;
    // Closes a connection, whatever its state; nothing is reported for it any more.
    virtual void closeTarget(ConnectionId connection) = 0;
    // Sends a batch through a gateway; answered by onRelayReply().
    virtual void relayToGateway(ConnectionId connection, const std::string &gateway,
                                RelayBatch batch)
        = 0;
    // Gives up a channel at a gateway on which a statement may still run or a transaction be open.
    virtual void dropAtGateway(ConnectionId connection, const std::string &gateway) = 0;
};

// Receives the results of a TargetPool. New work may be submitted from within these calls; other
// calls into the pool are allowed only where a comment says so.
class TargetListener
{
public:
    TargetListener() = default;
    TargetListener(const TargetListener &) = delete;
    TargetListener &operator=(const TargetListener &) = delete;
    virtual ~TargetListener() = default;

    // The work owns the connection from now on. Its owner sends on it with send(), also from within
    // this call, and gives it up with release() or discard().
    virtual void onWorkStarted(Millis now, WorkId work, ConnectionId connection) = 0;
    // The work was not started and will not be.
    virtual void onWorkRefused(Millis now, WorkId work, Cause cause) = 0;
    // The instance answered a statement that the work sent at `sentAt`.
    virtual void onWorkAnswer(Millis now, WorkId work, ConnectionId connection, SendPurpose purpose,
                              StatementKind kind, Millis sentAt, const StatementAnswer &answer)
        = 0;
    // The connection failed; `workSent` tells whether its statement may have reached the instance.
    virtual void onWorkConnectionLost(Millis now, WorkId work, ConnectionId connection,
                                      bool workSent)
        = 0;
    // A connection to the instance is being opened.
    virtual void onTargetOpening(Millis now, const std::string &instance) = 0;
    // Something arrived from the instance.
    virtual void onTargetReceived(Millis now, const std::string &instance) = 0;
    // The instance refused a connection, closed one, or did not accept it in time.
    virtual void onTargetConnectionFailed(Millis now, const std::string &instance) = 0;
    // No work may be submitted from within this call.
    virtual void onNamePrepared(const NewPreparedName &prepared) = 0;
};

// A statement or transaction that needs a connection to an instance.
struct TargetWork
{
    WorkId id = 0;
    int priority = 0; // 0 goes first.
    Millis deadline;  // The work is refused if it has not started by then.
    // Relayed reads only: the data must include everything committed by then.
    std::optional<Millis> freshAsOf;
    // Relayed work at the primary only: it must have been primary at this instant.
    std::optional<Millis> primaryAsOf;
    // Work that needs none goes ahead of all work that does. It may use connections of all tenants.
    bool needsSlot = true;
    std::string tenant; // Whose connections may serve it. Empty for callers that need no key.
    // The session's values, which must stay valid until the work starts. Null if the connection's
    // values don't matter.
    const SessionValues *values = nullptr;
    std::optional<PreparedStatement> prepared; // The prepared statement to execute, if any.
};

// A pool of connections to instances with a queue of work for each.
//
//     pool.setInstance(now, instance, access, /*keepOpen=*/true);
//     pool.submit(now, "i1", {.id = 7, .deadline = now + Millis(500)});
//     // In TargetListener::onWorkStarted():
//     pool.restore(now, connection, values, nullptr);
//     pool.send(now, connection, SendPurpose::Work, statement);
//     // In TargetListener::onWorkAnswer():
//     pool.release(now, connection);
//     // At the end of each event-loop iteration:
//     pool.flush(now);
//
// A deterministic state machine: performs no I/O and reads no clock. Not thread-safe. The output
// and the listener must outlive the pool.
class TargetPool
{
public:
    struct Options
    {
        // Work that may be queued for each priority of each instance.
        std::size_t queueCapacity = 400;
        // A connection that takes longer to open has failed.
        Millis openTimeout = Millis(1500);
        // Before the next attempt to connect, after an instance had no connection left.
        Millis fullBackoff = Millis(60);
        // Before the next attempt to connect, after a refused or failed connection.
        Millis refusedBackoff = Millis(150);
        // Connections are closed after being idle for longer, except the last one to an instance
        // that is kept open.
        Millis idleClose = Millis(1500);
        // The same for connections of a tenant, which serve nobody else: they are needed again
        // later, and are closed when another tenant needs the room.
        Millis tenantIdleClose = Millis(8000);
        // Where all connections are taken, a tenant with queued work keeps one for at least this
        // long before it makes room for a tenant without any. Several times what an instance spends
        // on a new connection.
        Millis tenantTurn = Millis(40);
    };

    // Returns the host that is the gateway to an instance for a tenant; empty if none can be used
    // now.
    using ChooseGateway = std::function<std::string(Millis now, const std::string &instance,
                                                    const std::string &tenant)>;

    TargetPool(Options options, TargetOutput *output, TargetListener *listener,
               ChooseGateway chooseGateway);

    // Adds or updates an instance. With `keepOpen`, at least one connection to it stays open if
    // this host connects to it directly.
    void setInstance(Millis now, const RegisteredInstance &instance, const InstanceAccess &access,
                     bool keepOpen);
    // Sets until when the instance gets work that needs a slot. Work that is queued then is
    // refused. Nothing if there is no such limit.
    void setNewWorkUntil(Millis now, const std::string &instance, std::optional<Millis> until);
    // Whether statements and transactions may be started at the instance.
    bool takesNewWork(Millis now, const std::string &instance) const;
    // Whether this host holds connections to the instance itself, without a gateway.
    bool isDirect(const std::string &instance) const;
    // Closes idle connections and refuses queued work; started work continues.
    void removeInstance(Millis now, const std::string &instance);
    // The ids of all instances that were set and not removed.
    std::vector<std::string> instances() const;

    // Queues the work, or starts it at once. Returns false, without a call of the listener, if the
    // queue is full, the instance is unknown or takes no new work, or no gateway to it can be used.
    bool submit(Millis now, const std::string &instance, TargetWork work);
    // Removes work that has not started; the listener is not called.
    void cancel(WorkId work);
    // Sends a statement on a connection that the caller's work owns. It leaves with the next
    // flush(), or later if it has to wait for a slot.
    void send(Millis now, ConnectionId connection, SendPurpose purpose, Statement statement);
    // Passes everything that was sent in this event-loop iteration to the output, in one write for
    // each connection.
    void flush(Millis now);
    // Sends the statements that make the connection hold the session's state. Has to be called
    // before the statements that depend on that state are sent; those leave once the instance has
    // confirmed the state. Returns the name that the prepared
    // statement has on the connection; empty without one, and if the connection does not exist.
    std::string restore(Millis now, ConnectionId connection, const SessionValues &values,
                        const PreparedStatement *prepared);
    // Gives the connection back; it is reused once everything sent on it is answered.
    void release(Millis now, ConnectionId connection);
    // Closes the connection, because a statement may still run or a transaction be open on it.
    void discard(Millis now, ConnectionId connection);
    // Closes all open connections to the instance whose owner satisfies the condition, and those
    // without owner. The owners are told onWorkConnectionLost().
    void breakConnections(Millis now, const std::string &instance,
                          const std::function<bool(WorkId)> &condition);

    // Events from the output's connections.
    void onOpened(Millis now, ConnectionId connection);
    // With `full`, the instance answered that it has no connection left.
    void onOpenFailed(Millis now, ConnectionId connection, bool full);
    void onAnswer(Millis now, ConnectionId connection, const StatementAnswer &answer);
    void onClosed(Millis now, ConnectionId connection);
    void onRelayReply(Millis now, ConnectionId connection, const RelayReply &reply);
    void onTick(Millis now);

    // The expected time until work of the tenant that is submitted now would be answered, without
    // the network's share.
    Millis expectedWait(const std::string &instance, int priority, const std::string &tenant) const;
    // The network's share: the shortest recent time in which the instance answered; 0 if it has not
    // answered yet.
    Millis roundTrip(const std::string &instance) const;
    // The load of an instance that this host connects to directly, as work of the tenant sees it;
    // nothing for others.
    std::optional<InstanceLoad> load(const std::string &instance, int priority,
                                     const std::string &tenant) const;
    // The expected wait that statements cause which this host sent after `since` and which are not
    // answered, if each takes `serviceTime`.
    Millis waitForSentSince(const std::string &instance, Millis since, Millis serviceTime) const;
    // Whether the instance recently had no connection left for this host, which holds none.
    bool noConnectionAvailable(Millis now, const std::string &instance) const;
    // Whether work could start at once as far as connections go: one is idle, or the instance is
    // reached through gateways.
    bool hasIdle(const std::string &instance) const;
    // Connections to one instance, including those being opened.
    std::size_t connections(const std::string &instance) const;
    std::size_t connections() const { return m_connections.size(); }
    // Empty if the connection does not exist.
    const std::string &instanceOf(ConnectionId connection) const;
    // The gateway of a channel; empty for a connection of this host, and if it does not exist.
    const std::string &gatewayOf(ConnectionId connection) const;
    // Opens an additional connection to an instance that this host connects to directly, unless one
    // is being opened already or the backoff after a failed one lasts.
    void openNewConnection(Millis now, const std::string &instance);

private:
    enum class State {
        Opening,
        Idle,
        Owned,    // By started work.
        Draining, // Released, but not everything sent on it is answered.
    };

    // A statement that was sent and is not answered yet.
    struct Sent
    {
        SendPurpose purpose = SendPurpose::Work;
        StatementKind kind = StatementKind::Unknown;
        Millis at;
    };

    struct Connection
    {
        std::string instance;
        std::string tenant;
        State state = State::Opening;
        Millis openedAt;
        ConnectionSessionState sessionState;
        WorkId owner = 0;
        Millis since; // When it entered its state.
        std::deque<Sent> awaited;
        std::vector<RelayedStatement> unsent;       // Leave with the next flush().
        std::vector<RelayedStatement> held;         // Wait for a free slot.
        std::size_t unconfirmedRestores = 0;        // Without an answer.
        std::vector<RelayedStatement> afterRestore; // Wait until there are none.
        bool stateUnknown = false;                  // What sessionState says is wrong.
        bool workSent = false;                      // The work's own statement may have left.
        bool reserved = false; // A slot is reserved for the work's first statement.
        // Channels at a gateway only.
        std::string gateway;
        std::optional<TargetWork> relayed;
        SessionPhase phase = SessionPhase::Idle;
        bool answered = false;
        bool endedAtGateway = false;
    };

    struct Instance
    {
        RegisteredInstance registered;
        bool direct = true;
        int maxConnections = 1;
        bool keepOpen = false;
        bool removed = false;
        std::optional<Millis> newWorkUntil;
        WorkQueue queue{{}};
        std::deque<WorkId> urgent;            // Queued work that needs no slot.
        std::deque<ConnectionId> slotWaiters; // Connections with held statements.
        std::set<ConnectionId> connections;
        std::size_t opening = 0;
        std::size_t slotsInUse = 0;
        Millis openAfter;         // No connection is opened before.
        Millis overloadedUntil;   // Until then it gets one statement at a time.
        Millis noConnectionUntil; // Until then it probably has no connection left.
        double serviceMs = 10;    // Moving average of the time that it takes for a statement.
        double shortestMs = 1e9;  // Shortest time of an answer, which slowly grows again.
    };

    struct QueuedWork
    {
        TargetWork work;
        std::string instance;
    };

    // A tenant's connections to an instance.
    struct Share
    {
        std::size_t connections = 0; // In any state.
        std::size_t opening = 0;
        std::size_t idle = 0;
        bool isPastTurn = false; // An idle one may be closed for a tenant without any.
    };

    // The connections to an instance by tenant, as of one moment.
    struct Shares
    {
        Share of(std::string_view tenant) const;

        std::map<std::string_view, Share> byTenant;
        std::size_t withoutWork = 0; // Idle connections of tenants without queued work.
        std::size_t pastTurn = 0;    // Idle ones that may be closed for a tenant without any.
        // Those of them that have been idle for longest: without work, and of both.
        std::optional<ConnectionId> longestWithoutWork;
        std::optional<ConnectionId> longestReplaceable;
    };

    // A connection to open.
    struct Opening
    {
        std::string tenant;
        std::optional<ConnectionId> replaced; // Closed before, to make room.
    };

    static RelayBatch makeBatch(Millis now, ConnectionId id, const Connection &connection,
                                std::vector<RelayedStatement> statements);
    static bool takesNewWork(Millis now, const Instance &instance);
    void refuseQueued(Millis now, const std::string &instance, Cause cause);
    void refuseNewWork(Millis now, Instance *instance, Cause cause);
    void refuseAll(Millis now, const std::vector<WorkId> &works, Cause cause);
    bool startRelayed(Millis now, Instance *instance, TargetWork work);
    void startWork(Millis now, const std::string &instance);
    bool startNext(Millis now, Instance *instance);
    std::optional<WorkId> nextWork(Millis now, Instance *instance);
    std::optional<WorkId> nextQueued(Millis now, Instance *instance);
    std::vector<WorkId> takeExpiredUrgent(Millis now, Instance *instance) const;
    std::optional<ConnectionId> cheapestIdle(const Instance &instance,
                                             const TargetWork &work) const;
    static std::size_t roomIn(const Instance &instance);
    Shares sharesOf(Millis now, const Instance &instance) const;
    std::optional<Opening> nextOpening(Millis now, const Instance &instance) const;
    Millis idleLimit(const Connection &connection) const;
    void openIfNeeded(Millis now, Instance *instance);
    void open(Millis now, Instance *instance, const std::string &tenant);
    void closeConnection(Millis now, ConnectionId connection);
    void makeIdleIfDone(Millis now, ConnectionId connection);
    void recordAnswer(Millis now, Instance *instance, const Sent &sent);
    void freeReservedSlot(Connection *connection);
    static bool slotFree(Millis now, const Instance &instance);
    void sendAfterRestore(Millis now, ConnectionId connection);
    void sendNow(Millis now, ConnectionId id, Connection *connection, RelayedStatement entry);
    void sendHeld(Millis now, Instance *instance);
    Connection *find(ConnectionId connection);

    Options m_options;
    TargetOutput *m_output;
    TargetListener *m_listener;
    ChooseGateway m_chooseGateway;
    std::map<std::string, Instance> m_instances;
    std::map<ConnectionId, Connection> m_connections;
    std::map<WorkId, QueuedWork> m_queued;
    std::set<ConnectionId> m_toFlush;
    ConnectionId m_lastConnection = 0;
};

} // namespace cicadagap
