// The gateway of one group instance: the only place on a host that decides which work goes to that
// instance, on which connection, and when its answer may be given.
//
// It owns the instance's queue, its connections (as identities; the driver owns the sockets), the
// transactions pinned to them, the ledger protocol of requests that must not be repeated, and the
// wait for acknowledgement. Events go in, actions come out; the driver carries the actions out in
// order.
//
//     Gateway gateway({.instance = "t1", .groupSize = 3, ...});
//     run(gateway.submit(now, work));
//     run(gateway.onAnswer(now, connection, answer));
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/position.h"
#include "base/verdict.h"
#include "connection/admissionqueue.h"
#include "connection/majoritytracker.h"
#include "process/groupmonitor.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cicadagap {

enum class RequestKind {
    Execute, // One statement in a transaction of its own.
    Begin,
    TransactionStatement, // A statement inside a transaction.
    Commit,
    Rollback,
    OutcomeQuery, // What became of a request id? Cancels the id if it has not run.
};

inline constexpr NameTable<RequestKind, 6> RequestKindNames{{{
    {RequestKind::Execute, "execute"},
    {RequestKind::Begin, "begin"},
    {RequestKind::TransactionStatement, "continue"},
    {RequestKind::Commit, "commit"},
    {RequestKind::Rollback, "rollback"},
    {RequestKind::OutcomeQuery, "outcome"},
}}};

// One piece of work for an instance.
struct GatewayRequest
{
    std::uint64_t id = 0; // Chosen by the driver; unique in the gateway.
    RequestKind kind = RequestKind::Execute;
    std::size_t priorityClass = 0;
    bool write = false;
    bool replicaAllowed = false;  // A read that a replica may serve.
    std::string operations;       // Opaque to the gateway.
    std::string requestId;        // Set if the work must not be repeated, and with Outcome.
    Position requiredPosition;    // The data read must cover this.
    std::optional<Millis> maxAge; // The data read may be this old.
    Millis deadline;
    std::string transaction; // With Continue, Commit and Rollback.
};

struct GatewayReply
{
    Verdict verdict = Verdict::NotRun;
    Cause cause = Cause::None;
    std::string results;     // Opaque.
    Position position;       // Of the acknowledged write, or of the data read.
    std::string transaction; // With Begin.
    bool duplicate = false;  // The ledger answered; the work ran earlier.
};

enum class TargetCallKind {
    Execute,
    Begin,
    Commit,
    Rollback,
    ReadLedger,
    Ping,
};

// One call to the instance on an open connection.
struct TargetCall
{
    std::uint64_t connection = 0;
    TargetCallKind kind = TargetCallKind::Execute;
    std::uint64_t term = 0;
    bool readOnly = false;
    bool inTransaction = false; // Must run inside the connection's open transaction or not at all.
    std::string operations;
    std::string requestId;   // The ledger's key, with a non-empty ledgerValue or ReadLedger.
    std::string ledgerValue; // Written under requestId in the same transaction.
    Millis timeout;
};

// The instance's answer to a call.
struct TargetAnswer
{
    Cause cause = Cause::None;
    bool ledgerConflict = false; // With Cause::Conflict: the request id is in the ledger already.
    std::string results;
    Position position;       // The instance's last entry when it answered.
    std::string ledgerValue; // With ReadLedger.
};

struct OpenConnection
{
    std::uint64_t connection = 0;
};

struct CloseConnection
{
    std::uint64_t connection = 0;
};

struct SendReply
{
    std::uint64_t work = 0;
    GatewayReply reply;
};

// Fetch the instance's status after `delay`, on the gateway's status connection.
struct PollStatus
{
    Millis delay;
};

// Fetch the primary's position from its gateway.
struct FetchPositionSample
{
};

// Tell the steward that the instance could not be reached.
struct ReportFailure
{
};

using GatewayAction = std::variant<OpenConnection, CloseConnection, TargetCall, SendReply,
                                   PollStatus, FetchPositionSample, ReportFailure>;
using GatewayActions = std::vector<GatewayAction>;

class Gateway
{
public:
    struct Options
    {
        std::string instance;
        std::size_t groupSize = 3;
        int slots = 3;
        int quota = 8;         // Connections this gateway may have.
        int reservedSlots = 0; // Of `slots`, kept for top classes.
        AdmissionQueue::Options queue;
        std::string transactionPrefix; // Makes transaction ids unique among all gateways.
        Millis transactionIdle = Millis(5000);
        Millis replicaWait = Millis(20);
        Millis attempt = Millis(1000);  // For calls that may be repeated.
        Millis idlePing = Millis(1000); // Idle connections are pinged after this long.
        Millis pingTimeout = Millis(250);
        Millis idleClose = Millis(60'000);
        Millis pollInterval = Millis(2); // Between status polls while answers wait.
        Millis maxOpenBackoff = Millis(1000);
    };

    struct Counters
    {
        std::size_t queued = 0;
        std::size_t busy = 0;
        std::size_t connections = 0;
        std::size_t transactions = 0;
        std::size_t awaiting = 0;
    };

    explicit Gateway(Options options);

    GatewayActions submit(Millis now, GatewayRequest work);
    GatewayActions onOpened(Millis now, std::uint64_t connection);
    GatewayActions onOpenFailed(Millis now, std::uint64_t connection);
    GatewayActions onAnswer(Millis now, std::uint64_t connection, const TargetAnswer &answer);
    // The connection failed. `sent` is false if the call in progress never left this host.
    GatewayActions onConnectionLost(Millis now, std::uint64_t connection, bool sent);
    // The status fetched by a poll sent at `sentAt`.
    GatewayActions onStatus(Millis now, Millis sentAt, const InstanceReport &report);
    GatewayActions onStatusFailed(Millis now);
    // The primary's last entry as of `at`, on this process's clock.
    GatewayActions onPositionSample(Millis now, Millis at, Position primaryLast);
    // A replica's gateway wants the newest sample; polls if the one here is old.
    GatewayActions onPositionSampleRequested(Millis now);
    GatewayActions onTick(Millis now);
    // What the host knows of the instance: whether it leads `term`, and whether it is leaving.
    GatewayActions setRole(Millis now, std::uint64_t term, bool primary, bool leaving);
    GatewayActions setQuota(Millis now, int quota);
    // Graceful shutdown: takes no new work; what is here ends normally.
    void drain() { m_draining = true; }

    // The newest sample of a primary, for the gateways of its replicas.
    const ReplicaAge &replicaAge() const { return m_replicaAge; }
    Counters counters() const;
    // Whether the instance is primary, as this host knows it.
    bool isPrimary() const { return m_primary; }
    bool idle() const { return m_works.empty() && m_transactions.empty(); }

private:
    enum class ConnectionState {
        Opening,
        Idle,
        Pinging, // Checked before `work` is sent.
        Running,
        Pinned, // Idle inside a transaction.
    };

    struct Connection
    {
        ConnectionState state = ConnectionState::Opening;
        std::uint64_t work = 0;
        TargetCallKind callKind = TargetCallKind::Execute;
        std::string transaction; // Non-empty while pinned.
        Millis idleSince;
    };

    struct WorkState
    {
        GatewayRequest work;
        Millis arrived;
        std::optional<GatewayReply> held; // Waits for acknowledgement.
        Millis waitUntil;
    };

    Cause refusal(Millis now, const GatewayRequest &work) const;
    bool hasLiveConnection() const;
    bool tooLate(Millis now, const GatewayRequest &work) const;
    bool hasData(Millis now, const GatewayRequest &work) const;
    void waitForData(Millis now, WorkState *state);
    void refreshSample(Millis now, Millis maxAge);
    void enqueue(Millis now, std::uint64_t id);
    void pump(Millis now);
    Connection *idleConnection(std::uint64_t *id);
    void openMore(Millis now);
    void assign(Millis now, std::uint64_t connection, std::uint64_t work);
    void start(Millis now, std::uint64_t connection, std::uint64_t work);
    void call(Millis now, std::uint64_t connection, TargetCallKind callKind,
              const GatewayRequest &work);
    Millis callTimeout(Millis now, const GatewayRequest &work) const;
    void continueTransaction(Millis now, const GatewayRequest &work);
    void finishStep(Millis now, std::uint64_t connection, const TargetAnswer &answer);
    void finishFailed(std::uint64_t connection, std::uint64_t work, const TargetAnswer &answer);
    void finishExecuted(Millis now, std::uint64_t connection, std::uint64_t work,
                        const TargetAnswer &answer);
    void finishRead(Millis now, std::uint64_t work, const TargetAnswer &answer);
    void finishLedger(std::uint64_t work, const TargetAnswer &answer);
    void pin(std::uint64_t connection, std::uint64_t work, const TargetAnswer &answer);
    void release(Millis now, std::uint64_t connection);
    void discard(std::uint64_t connection);
    void holdOrReply(std::uint64_t work, const GatewayReply &reply);
    void releaseConfirmed();
    void failHeld(std::uint64_t belowTerm);
    void reply(std::uint64_t work, GatewayReply reply);
    void refuse(std::uint64_t work, Cause cause);
    void retryWaiting(Millis now);
    void expire(Millis now);
    void closeSurplus(Millis now);
    void poll(Millis delay);
    std::size_t busy() const;
    GatewayActions takeActions();

    Options m_options;
    AdmissionQueue m_queue;
    MajorityTracker m_majorityTracker;
    ReplicaAge m_replicaAge;
    std::map<std::uint64_t, Connection> m_connections;
    std::map<std::uint64_t, WorkState> m_works;
    std::map<std::string, std::uint64_t> m_transactions; // To connections.
    std::set<std::uint64_t> m_held;                      // Works with a held reply.
    std::set<std::uint64_t> m_waiting;                   // Works that wait for data.
    GatewayActions m_actions;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastTransaction = 0;
    std::uint64_t m_term = 0;
    bool m_primary = false;
    bool m_leaving = false;
    bool m_draining = false;
    bool m_polling = false;
    Position m_known;       // The instance's last entry, as last heard.
    double m_serviceMs = 1; // Moving average of a statement's time at the instance.
    std::map<std::uint64_t, Millis> m_startedAt; // Running statements by connection.
    Millis m_nextFetch;
    Millis m_openBackoff;
    Millis m_openAfter;
};

} // namespace cicadagap
