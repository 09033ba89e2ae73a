// Serves callers' sessions on one host: answers some statements itself, and runs the others on
// instances. For each statement it chooses the instance and the connection, decides whether to try
// again after a failure, and what to answer.
//
// - Values and prepared statements belong to the session. They are restored on whichever connection
//   serves it. A transaction keeps one connection from its first statement to its end.
// - Writes, transactions that may write, and reads of databases with strong consistency run on the
//   primary. Such a read runs inside an internal transaction: one that the system itself opens
//   around it, and that an instance refuses as soon as it is no longer primary.
// - Other reads go to the instance that is expected to answer soonest, among those that hold a
//   position that the primary had recently enough and, if the database asks for it, the session's
//   last commit.
// - A statement that has not run is tried again, also on other instances, for as long as its caller
//   can still use the answer. One that may have run is never repeated unless it only reads.
//
// Expected load: sessions that are mostly idle, few of them inside transactions, and a change of a
// primary under load. Work waits for a new primary only as long as the change is expected to take.
#pragma once

#include "session/groupcontrol.h"
#include "session/hostdirectory.h"
#include "session/instancechoice.h"
#include "session/instancelist.h"
#include "session/loadreports.h"
#include "session/outlierdetector.h"
#include "session/relaygateway.h"
#include "session/replicalag.h"
#include "session/routing.h"
#include "session/sessionstate.h"
#include "session/targetpool.h"
#include "session/tenantquota.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// Identifies a caller's session on this host. Chosen by whoever drives the engine.
using SessionId = std::uint64_t;

// A decision about a request, for the log and the metrics. The texts are valid during the call
// only.
struct RequestEvent
{
    std::string_view event; // The name of the log event.
    SessionId session = 0;
    std::string_view request; // The statement's id; empty if the event concerns no statement.
    std::string_view database;
    std::string_view tenant;    // Empty where callers need no key, and if theirs is unknown.
    std::string_view keyDigest; // Of an unknown API key; otherwise empty.
    std::string_view instance;
    // What the statement was sent on; 0 if it was not sent. Behind a gateway, the channel there.
    ConnectionId connection = 0;
    std::string_view gateway; // Empty if this host sent it to the instance itself.
    // On the connection; empty if no prepared statement was executed, and behind a gateway, which
    // gives it a name of its own.
    std::string_view preparedName;
    Cause cause = Cause::None;
    int attempts = 0;
    Millis waited;                   // Since the statement arrived.
    std::uint64_t configuration = 0; // The version of the routing table in use.
};

// Carries out the actions of a SessionEngine.
class SessionOutput : public TargetOutput, public GroupControlOutput
{
public:
    // Answers the oldest unanswered statement of the session.
    virtual void answerCaller(SessionId session, const StatementAnswer &answer) = 0;
    // Ends the session. If the cause is not None, it is reported to the caller first.
    virtual void closeCaller(SessionId session, Cause cause) = 0;
    virtual void logRequest(const RequestEvent &event) = 0;
    virtual void logNewName(const NewPreparedName &prepared) = 0;
    virtual void logRelayedStatement(const RelayedStatementEvent &event) = 0;
};

// The sessions of one host.
//
//     SessionEngine engine({.host = "host-1", .dataCentre = "cali"}, &output);
//     engine.onConfiguration(now, routingTable);
//     engine.onInstances(now, registeredInstances);
//     if (engine.onConnect(now, 1, "orders", ApiKey::fromText(key)) == Cause::None)
//         engine.onStatement(now, 1, statement); // output.answerCaller(1, answer) follows.
//
// A deterministic state machine: performs no I/O and reads no clock; events and time go in, actions
// go to a SessionOutput, which must outlive it. Not thread-safe. Instants are of one clock of this
// process. onTick() has to be called more often than every 300 ms: a longer time between two ticks
// counts as a suspension of the process.
class SessionEngine : private TargetListener, private CommandRelay
{
public:
    struct Options
    {
        std::string host;
        std::string dataCentre;
        int maxAttempts = 5; // To run a statement that has not run.
        // A statement waits for a primary or a slot for at most `waitObjectives` times the latency
        // objective of its database, or for `minWait` if that is longer.
        int waitObjectives = 2;
        Millis minWait = Millis(1600);
        std::size_t maxPending = 64; // Statements that a session may send before earlier answers.
        InstanceList::Options instances;
        // In a graceful shutdown, callers' new connections go on arriving for this long.
        Millis drainDelay = Millis(2300);
        // See PrimaryChange::Options.
        bool fencedPromotions = true;
        TargetPool::Options pool;
        std::uint64_t start = 0; // Grows with each process of the host.
    };

    // How long a graceful shutdown allows for what callers do.
    struct DrainTimes
    {
        Millis transactions;  // After that, sessions inside transactions are ended too.
        Millis newStatements; // After that, statements outside of transactions are refused.
    };

    SessionEngine(Options options, SessionOutput *output);

    // A version of the routing table was read. Ignored unless it is newer than the one in use.
    void onConfiguration(Millis now, const RoutingTable &routing);
    // The whole list of registered instances is known as the platform had it at `readAt`; without
    // it, as it is now. For `settled` see InstanceList::update().
    void onInstances(Millis now, const std::vector<RegisteredInstance> &instances,
                     std::optional<Millis> readAt = std::nullopt, bool settled = true);
    // The whole list of the system's hosts was read.
    void onHosts(Millis now, const std::vector<HostRecord> &hosts);

    // A caller connected. Returns None if the session is open now, otherwise why it is not.
    Cause onConnect(Millis now, SessionId session, const std::string &database,
                    const ApiKey &key = {});
    void onStatement(Millis now, SessionId session, Statement statement);
    void onCallerClosed(Millis now, SessionId session);

    // Events from connections to instances; see TargetPool.
    void onTargetOpened(Millis now, ConnectionId connection);
    void onTargetOpenFailed(Millis now, ConnectionId connection, bool full);
    void onTargetAnswer(Millis now, ConnectionId connection, const StatementAnswer &answer);
    void onTargetClosed(Millis now, ConnectionId connection);

    // The answer to a batch that was relayed through a gateway.
    void onRelayReply(Millis now, ConnectionId connection, const std::string &gateway,
                      const RelayReply &reply);
    // This host as a gateway: another host sent a batch, or gave up a channel.
    void onRelayBatch(Millis now, RelayBatch batch, RelayGateway::Reply reply);
    void onRelayDropped(Millis now, const std::string &origin, std::uint64_t channel);

    // The answers to acquireLease(), requestPromotion(), recordCandidate() and recordResumes().
    void onLeaseResult(Millis now, const std::string &group, const LeaseResult &result);
    void onPromotion(Millis now, const std::string &group, PromotionResult verdict);
    void onCandidateRecorded(Millis now, const std::string &group, const std::string &candidate,
                             bool recorded);
    void onResumesRecorded(const std::string &group, const std::set<std::string> &instances,
                           std::uint64_t fencingToken, bool recorded);

    void onTick(Millis now);
    // Changes how long a leaving instance may get new work; see InstanceList::setDrainTime().
    void setInstanceDrainTime(Millis now, Millis drainTime);
    // This host's own link is full; called before each onTick() while it is.
    void onOwnLinkFull(Millis now) { m_control.excuseSilence(now); }
    // Starts a graceful shutdown: after Options::drainDelay, ends each session as soon as it is
    // idle, and one that is always in use after an answer.
    void drain(Millis now, const DrainTimes &times);

    // Whether the routing table and the instances are known, and no shutdown has begun.
    bool ready() const;
    std::size_t sessions() const { return m_sessions.size(); }
    // Whether a group of the routing table has no known primary that takes new work, so that the
    // next list of instances is urgent.
    bool needsInstances(Millis now) const;
    // The platform reader: the host that reads the platform for all hosts of this data centre.
    // Empty while no hosts are known.
    std::string platformReader(Millis now) const { return m_hosts.platformReader(now); }
    void onPlatformReaderFailed(Millis now, const std::string &host)
    {
        m_hosts.onPlatformReaderFailed(now, host);
    }
    // The endpoint at which a host accepts relayed batches; nothing if the host is unknown.
    std::optional<Endpoint> peerEndpoint(const std::string &host) const;
    std::uint64_t configurationVersion() const { return m_routing.version; }
    // The limits of the tenants that have some.
    std::map<std::string, TenantLimits> tenantLimits() const;
    // Admits the operations of those tenants. Whoever drives the engine passes messages for it.
    TenantQuota *quota() { return &m_quota; }

private:
    enum class Stage {
        Waiting, // For a primary, a gateway or room at an instance.
        Queued,  // For a connection and a slot of an instance.
        Opening, // The transaction around it is being opened.
        Running, // It was sent.
    };

    // The statement of a session that is being run on an instance.
    struct Operation
    {
        Statement statement;
        DatabaseRoute route;
        std::string tenant; // In whose name it runs; empty where callers need no key.
        bool writes = false;
        bool needsPrimary = false;
        bool inInternalTransaction = false;
        std::optional<PreparedStatement> prepared;
        Millis arrivedAt;
        Millis deadline;
        int attempts = 0;
        bool admitted = false; // By the quota of its tenant, if outside of transactions.
        std::optional<Millis> quotaWaiting; // For the quota of its tenant since then.
        // Instances that failed or refused it; cleared when no other is left to try.
        std::set<std::string> excludedInstances;
        // Relayed reads only: the data must include everything committed by then.
        std::optional<Millis> freshAsOf;
        // It must see everything that was acknowledged by then, at the primary: when it, or the
        // transaction around it, arrived, less the age that its data may have.
        Millis seesCommitsOf;
        std::string instance;
        WorkId work = 0;
        ConnectionId connection = 0;
        std::string gateway;      // Of the connection; empty if it is this host's own.
        std::string preparedName; // On the connection; empty behind a gateway.
        Stage stage = Stage::Waiting;
        bool transactionOpened = false; // The transaction around it is open.
        // It was sent together with the opening; the gateway runs it once that has succeeded.
        bool sentWithOpening = false;
        Millis startedAt; // When its latest stage, Opening or Running, began.
        Millis expiresAt;
    };

    struct Transaction
    {
        DatabaseRoute route;
        std::string tenant;    // See Operation.
        bool admitted = false; // By the quota of its tenant.
        bool readOnly = false;
        bool wrote = false;
        bool lost = false;           // Its connection is lost; nothing of it is kept.
        bool hasRun = false;         // A statement of it has run on the instance.
        ConnectionId connection = 0; // 0 before the first statement.
        WorkId work = 0;
        std::string instance;
        Millis beganAt;
        Millis lastUsed;
    };

    struct Session
    {
        std::string database;
        ApiKey key;
        SessionState state;
        SessionPhase phase = SessionPhase::Idle;
        std::optional<Transaction> transaction;
        std::optional<Operation> operation;
        std::deque<Statement> pending; // Arrived before the operation ended.
    };

    // A command that another host was asked to pass on to an instance.
    struct RelayedCommand
    {
        std::string instance;
        StatementKind kind = StatementKind::Status;
        Millis sentAt;
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
    void onNamePrepared(const NewPreparedName &prepared) override;

    int relayCommand(Millis now, const RegisteredInstance &instance,
                     const Statement &statement) override;
    bool onCommandRelayed(Millis now, ConnectionId connection, const RelayReply &reply);
    void startStatement(Millis now, SessionId id, Session *session, Statement statement);
    void applyToSession(Millis now, SessionId id, Session *session, Statement statement);
    void refuseAtOnce(Millis now, SessionId id, Session *session, const Statement &statement);
    void beginTransaction(Millis now, SessionId id, Session *session, const Statement &statement);
    void rollBack(Millis now, SessionId id, Session *session);
    void startForwarded(Millis now, SessionId id, Session *session, Statement statement);
    void dispatch(Millis now, SessionId id, Session *session);
    Admission::Outcome admit(Millis now, Session *session);
    void runInTransaction(Millis now, Session *session);
    void restoreState(Millis now, Session *session);
    bool mayUseTransaction(Millis now, const Transaction &transaction) const;
    void giveUpOpening(Millis now, Session *session);
    std::string chooseInstance(Millis now, const Session &session, Operation *operation);
    InstanceCandidate candidate(Millis now, const RegisteredInstance &member,
                                const Operation &operation) const;
    std::vector<InstanceLoad> loadsToReport(const std::string &instance, bool all, int priority,
                                            const std::string &tenant) const;
    std::string usablePrimary(Millis now, const Session &session, const Operation &operation);
    void recordLag(Millis now, const Session &session, const StatementAnswer &answer);
    void noteLag(Millis now, const std::string &instance, Millis maxAge, Cause cause);
    void recordQuality(Millis now, const std::string &instance, SendPurpose purpose,
                       StatementKind kind, Millis sentAt, Cause cause);
    void recordEvidence(Millis now, ConnectionId connection, SendPurpose purpose, Millis sentAt,
                        const StatementAnswer &answer);
    std::string chooseGateway(Millis now, const std::string &instance,
                              const std::string &tenant) const;
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
    void failSentOperation(Millis now, SessionId id, Session *session, Cause cause, bool sent);
    void answerOperation(Millis now, SessionId id, Session *session, StatementAnswer answer);
    void answerLocally(Millis now, SessionId id, Session *session, Cause cause);
    void endTransaction(Millis now, Session *session, bool rollBackFirst);
    void startNextPending(Millis now, SessionId id);
    void checkTimeouts(Millis now, SessionId id, Session *session);
    void finishEvent(Millis now);
    void endIdleSessions(Millis now);
    bool mayEndForDrain(Millis now, const Session &session) const;
    void endForDrain(Millis now, SessionId id);
    bool comesTooLate(Millis now, const Session &session) const;
    void applyInstances(Millis now);
    void logDeparture(Millis now, const InstanceList::Departure &departure);
    void moveReadsFromSilentInstances(Millis now);
    void logEvent(Millis now, std::string_view event, SessionId id, const Session &session,
                  Cause cause, std::string_view request = {});
    Session *find(SessionId id);
    const DatabaseRoute *route(const std::string &database) const;
    std::optional<std::string> tenantFor(const ApiKey &key, const DatabaseRoute &route) const;
    std::optional<std::string> tenantFor(const Session &session) const;
    bool updateTenant(Session *session) const;
    void applyKeys(Millis now);
    WorkId nextWork() { return ++m_lastWork; }

    Options m_options;
    SessionOutput *m_output;
    HostDirectory m_hosts;
    std::map<std::string, InstanceAccess> m_access;
    GroupControl m_control;
    TargetPool m_pool;
    RelayGateway m_relayGateway;
    RoutingTable m_routing;
    TenantQuota m_quota;
    InstanceList m_instances;
    LoadReports m_loadReports;
    InstanceChoice m_choice;
    OutlierDetector m_outliers;
    ReplicaLag m_lag{{}};
    bool m_instancesKnown = false;
    std::map<SessionId, Session> m_sessions;
    std::map<ConnectionId, RelayedCommand> m_relayedCommands; // By the channel of each.
    std::map<WorkId, SessionId> m_sessionByWork;
    std::set<SessionId> m_active; // Those with an operation or a transaction.
    WorkId m_lastWork = 0;
    std::optional<Millis> m_drainingSince;
    DrainTimes m_drainTimes;
    std::set<SessionId> m_answered; // In the event that is being handled.
};

} // namespace cicadagap
