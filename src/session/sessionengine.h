// Serves callers' sessions: answers what it may answer itself, and runs everything else on a
// connection to an instance that fits the session and sees what the session must see.
//
// - A session's values and prepared statements belong to the session; they are restored on
// whichever
//   connection serves it. A transaction keeps one connection from its first statement to its end.
// - Writes, transactions that may write, and reads that must see every commit run on the primary.
//   Such a read runs inside a transaction of the system's own, which an instance refuses as soon as
//   it has lost the lead.
// - Other reads go to whichever instance answers soonest and holds a position that the primary had
//   recently enough, and at least the session's last commit.
// - A statement that has not run is tried again elsewhere while its caller still profits; one that
//   may have run is never repeated unless it only reads.
//
// Load pattern: sessions that are mostly idle, few of them inside transactions, and a change of a
// primary under load. Work waits for a new primary only as long as the change is expected to take.
//
// Pure and not thread-safe: events and time go in, actions go to a SessionOutput.
#pragma once

#include "session/groupcontrol.h"
#include "session/hostdirectory.h"
#include "session/relaygateway.h"
#include "session/routing.h"
#include "session/sessionstate.h"
#include "session/targetpool.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

using SessionId = std::uint64_t;

// A decision about a request, for the log.
struct RequestEvent
{
    std::string_view event;
    SessionId session = 0;
    std::string_view request;
    std::string_view database;
    std::string_view instance;
    Cause cause = Cause::None;
    int attempts = 0;
    Millis waited;                   // Since the statement arrived.
    std::uint64_t configuration = 0; // Version in force.
};

class SessionOutput : public TargetOutput, public GroupControlOutput
{
public:
    virtual void answerCaller(SessionId session, const StatementAnswer &answer) = 0;
    // Ends the session; with a cause the caller is told first.
    virtual void closeCaller(SessionId session, Cause cause) = 0;
    virtual void logRequest(const RequestEvent &note) = 0;
};

class SessionEngine : private TargetListener
{
public:
    struct Options
    {
        std::string host;
        std::string dataCentre;
        int maxAttempts = 5; // Of a statement that has not run.
        // Longest wait for a primary or for a slot, as a multiple of the objective, and at least.
        int waitObjectives = 2;
        Millis minWait = Millis(1600);
        std::size_t maxPending = 64;          // Statements that one session may send ahead.
        Millis missingGrace = Millis(2500);   // Before an unregistered instance counts as leaving.
        Millis missingRemoval = Millis(5000); // Before it is forgotten.
        // Graceful shutdown: callers' new connections go on arriving for this long.
        Millis drainNotice = Millis(2300);
        TargetPool::Options pool;
    };

    SessionEngine(Options options, SessionOutput *output);

    // Older versions than the one in force are ignored.
    void onConfiguration(Millis now, const RoutingTable &routing);
    // The whole list of registered instances.
    void onInstances(Millis now, const std::vector<RegisteredInstance> &instances);

    // The whole list of the system's hosts.
    void onHosts(Millis now, const std::vector<HostRecord> &hosts);

    // A caller connected; the cause is None if the session is open.
    Cause onConnect(Millis now, SessionId session, const std::string &database);
    void onStatement(Millis now, SessionId session, Statement statement);
    void onCallerClosed(Millis now, SessionId session);

    void onTargetOpened(Millis now, ConnectionId connection);
    void onTargetOpenFailed(Millis now, ConnectionId connection, bool full);
    void onTargetAnswer(Millis now, ConnectionId connection, const StatementAnswer &answer);
    void onTargetClosed(Millis now, ConnectionId connection);

    // The answer to a batch that was relayed through a gateway.
    void onRelayReply(Millis now, ConnectionId connection, const std::string &gateway,
                      const RelayReply &reply);
    // This host as a gateway: another host's batch, and a channel that it gives up.
    void onRelayBatch(Millis now, RelayBatch batch, RelayGateway::Reply reply);
    void onRelayDropped(Millis now, const std::string &origin, std::uint64_t channel);

    void onLeaseResult(Millis now, const std::string &group, const LeaseResult &result);
    void onPromotion(Millis now, const std::string &group, PromotionResult verdict);

    void onTick(Millis now);
    // Graceful shutdown: ends sessions as they become idle. Transactions get that long to end.
    void drain(Millis now, Millis forTransactions);

    // Settings and instances are known, and no shutdown has begun.
    bool ready() const;
    std::size_t sessions() const { return m_sessions.size(); }
    // A configured group has no instance or no primary yet: the next list of instances is urgent.
    bool needsInstances() const;
    // The host that reads the platform for this data centre; empty while no hosts are known.
    std::string platformReader(Millis now) const { return m_hosts.platformReader(now); }
    void onPlatformReaderFailed(Millis now, const std::string &host)
    {
        m_hosts.onPlatformReaderFailed(now, host);
    }
    // The endpoint at which a host takes relayed batches; nothing if it is unknown.
    std::optional<Endpoint> peerEndpoint(const std::string &host) const;
    std::uint64_t configurationVersion() const { return m_routing.version; }

private:
    enum class Stage {
        Waiting, // For a primary to be known.
        Queued,  // At an instance.
        Opening, // The transaction around it is being opened.
        Running,
    };

    // A statement on its way.
    struct Operation
    {
        Statement statement;
        DatabaseRoute route;
        bool writes = false;
        bool needsPrimary = false;
        bool wrapped = false; // In a transaction of the system's own.
        std::optional<PreparedStatement> prepared;
        Millis arrived;
        Millis deadline;
        int attempts = 0;
        std::set<std::string> avoid;
        std::optional<Millis> freshAsOf; // Of reads that the gateway makes recent enough.
        std::string instance;
        WorkId work = 0;
        ConnectionId connection = 0;
        Stage stage = Stage::Waiting;
        bool opened = false;    // The transaction around it is open.
        bool sentAhead = false; // With the opening; the gateway runs it once that has succeeded.
        Millis startedAt;
        Millis expiresAt;
    };

    struct Transaction
    {
        DatabaseRoute route;
        bool readOnly = false;
        bool wrote = false;
        bool lost = false;           // Its connection is gone; nothing of it is kept.
        ConnectionId connection = 0; // 0 before the first statement.
        WorkId work = 0;
        std::string instance;
        Millis lastUsed;
    };

    struct Session
    {
        std::string database;
        SessionState state;
        SessionPhase phase = SessionPhase::Idle;
        std::optional<Transaction> transaction;
        std::optional<Operation> operation;
        std::deque<Statement> pending;
    };

    void onWorkStarted(Millis now, WorkId work, ConnectionId connection) override;
    void onWorkRefused(Millis now, WorkId work, Cause cause) override;
    void onWorkAnswer(Millis now, WorkId work, ConnectionId connection, SendPurpose purpose,
                      StatementKind kind, Millis sentAt, const StatementAnswer &answer) override;
    void onWorkConnectionLost(Millis now, WorkId work, ConnectionId connection,
                              bool workSent) override;
    void onTargetOpening(Millis now, const std::string &instance) override;
    void onTargetReceived(Millis now, const std::string &instance) override;
    void onTargetConnectionFailed(Millis now, const std::string &instance) override;

    void startStatement(Millis now, SessionId id, Session *session, Statement statement);
    void beginTransaction(Millis now, SessionId id, Session *session, const Statement &statement);
    void rollBack(Millis now, SessionId id, Session *session);
    void startForwarded(Millis now, SessionId id, Session *session, Statement statement);
    void dispatch(Millis now, SessionId id, Session *session);
    void runInTransaction(Millis now, Session *session);
    std::string chooseInstance(Millis now, const Session &session, Operation *operation) const;
    std::string chooseGateway(Millis now, const std::string &instance) const;
    std::optional<Position> requiredPosition(const Session &session,
                                             const Operation &operation) const;
    void setExpiry(Millis now, Operation *operation) const;
    void sendOperation(Millis now, Session *session);
    void finishOpening(Millis now, SessionId id, Session *session, Millis sentAt,
                       const StatementAnswer &answer);
    void finishWork(Millis now, SessionId id, Session *session, Millis sentAt,
                    const StatementAnswer &answer);
    void finishCommit(Millis now, SessionId id, Session *session, const StatementAnswer &answer);
    void retry(Millis now, SessionId id, Session *session, Cause cause);
    void refuse(Millis now, SessionId id, Session *session, Cause cause);
    void failRunning(Millis now, SessionId id, Session *session, Cause cause, bool sent);
    void deliver(Millis now, SessionId id, Session *session, StatementAnswer answer);
    void answerLocally(Millis now, SessionId id, Session *session, Cause cause);
    void endTransaction(Millis now, Session *session, bool rollBackFirst);
    void startPending(Millis now, SessionId id);
    void checkSession(Millis now, SessionId id, Session *session);
    void checkDrain(Millis now);
    void applyInstances(Millis now);
    void breakSilent(Millis now);
    void note(Millis now, std::string_view event, SessionId id, const Session &session,
              Cause cause);
    Session *find(SessionId id);
    const DatabaseRoute *route(const std::string &database) const;
    WorkId nextWork() { return ++m_lastWork; }

    Options m_options;
    SessionOutput *m_output;
    HostDirectory m_hosts;
    std::map<std::string, InstanceAccess> m_access;
    GroupControl m_control;
    TargetPool m_pool;
    RelayGateway m_relay;
    RoutingTable m_routing;
    std::map<std::string, RegisteredInstance> m_instances;
    std::map<std::string, Millis> m_missingSince;
    bool m_instancesKnown = false;
    std::map<SessionId, Session> m_sessions;
    std::map<WorkId, SessionId> m_works;
    std::set<SessionId> m_active; // With an operation or a transaction.
    WorkId m_lastWork = 0;
    std::optional<Millis> m_drainingSince;
    Millis m_drainTransactions;
};

} // namespace cicadagap
