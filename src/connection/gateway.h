// The gateway to one instance of a database group. It alone decides, on its host, which requests go
// to the instance, on which connection, and when their replies may be sent.
//
// The gateway owns:
//   - the instance's admission queue,
//   - the connections to the instance, as identifiers (the driver owns the sockets),
//   - the transactions that are pinned to connections,
//   - the use of the ledger, the table in each group that records under each request id whether the
//     request ran or was cancelled, so that no request with a request id runs twice,
//   - the replies that wait until a majority of the instances holds what they report.
//
// The gateway is a deterministic state machine. The driver, the code that owns the sockets and
// timers, hands it events; each event returns actions, which the driver carries out in order.
//
//     Gateway gateway({.instance = "t1", .groupSize = 3, ...});
//     run(gateway.submit(now, request));
//     run(gateway.onAnswer(now, connection, answer));
//
// It performs no I/O and reads no clock: every instant is passed in. Not thread-safe.
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
    Execute,              // Runs operations in a transaction of their own.
    Begin,                // Opens a transaction.
    TransactionStatement, // Runs operations inside an open transaction.
    Commit,
    Rollback,
    OutcomeQuery, // Asks whether a request id has run, and cancels the id if it has not.
};

inline constexpr NameTable<RequestKind, 6> RequestKindNames{{{
    {RequestKind::Execute, "execute"},
    {RequestKind::Begin, "begin"},
    {RequestKind::TransactionStatement, "continue"},
    {RequestKind::Commit, "commit"},
    {RequestKind::Rollback, "rollback"},
    {RequestKind::OutcomeQuery, "outcome"},
}}};

// A request for one instance.
struct GatewayRequest
{
    std::uint64_t id = 0; // Chosen by the driver; unique among the gateway's requests.
    RequestKind kind = RequestKind::Execute;
    std::size_t priorityClass = 0; // Index into AdmissionQueue::Options::classes.
    bool write = false;
    bool replicaAllowed = false; // Set for a read that a replica may serve.
    std::string operations; // The operations for the instance, which the gateway doesn't parse.
    // The caller's name for a request that must not run twice. Empty for other requests; always set
    // with OutcomeQuery.
    std::string requestId;
    Position requiredPosition;    // The data that a read returns must cover this position.
    std::optional<Millis> maxAge; // The greatest accepted age of the data; unset: any age.
    Millis deadline;              // The instant by which the caller needs the reply.
    std::string transaction;      // With TransactionStatement, Commit and Rollback: its id.
};

// The gateway's reply to a GatewayRequest.
struct GatewayReply
{
    Verdict verdict = Verdict::NotRun;
    Cause cause = Cause::None;
    std::string results; // The operations' results, which the gateway doesn't parse.
    // The position of the acknowledged write, or of the data that was read. With a refusal: the
    // highest position that the instance reported.
    Position position;
    std::string transaction; // The id of the new transaction, with Begin.
    bool duplicate = false;  // Whether the outcome is that of an earlier request, from the ledger.
};

enum class TargetCallKind {
    Execute,
    Begin,
    Commit,
    Rollback,
    ReadLedger, // Reads the ledger row of a request id.
    Ping,       // Checks that the connection still works.
};

// A call to the instance on an open connection.
struct TargetCall
{
    std::uint64_t connection = 0;
    TargetCallKind kind = TargetCallKind::Execute;
    std::uint64_t term = 0; // The term in which the call is made, as the gateway knows it.
    bool readOnly = false;
    bool inTransaction = false; // Must run inside the connection's open transaction or not at all.
    std::string operations;
    std::string requestId;   // The key of the ledger row, with ReadLedger or a set ledgerValue.
    std::string ledgerValue; // If set, written to the ledger in the same transaction.
    Millis timeout;
};

// The instance's answer to a TargetCall.
struct TargetAnswer
{
    Cause cause = Cause::None;
    bool ledgerConflict = false; // With Cause::Conflict: the ledger already has the request id.
    std::string results;
    Position position;       // The last entry of the instance's log when it answered.
    std::string ledgerValue; // The value of the ledger row, with ReadLedger.
};

// Action: open a connection to the instance, then call onOpened() or onOpenFailed().
struct OpenConnection
{
    std::uint64_t connection = 0;
};

// Action: close the connection. No event follows.
struct CloseConnection
{
    std::uint64_t connection = 0;
};

// Action: answer the request with this id.
struct SendReply
{
    std::uint64_t work = 0; // GatewayRequest::id.
    GatewayReply reply;
};

// Action: fetch the instance's status after `delay`, on a connection kept for status calls, then
// call onStatus() or onStatusFailed().
struct PollStatus
{
    Millis delay;
};

// Action: fetch a position sample (an instant and the primary's last position then) from the
// gateway of the group's primary, then call onPositionSample().
struct FetchPositionSample
{
};

// Action: report to the steward, the host's control process, that the instance was unreachable.
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
        std::size_t groupSize = 3; // The number of instances of the group, reachable or not.
        int slots = 3;             // How many calls may be in progress at the same time.
        int quota = 8;             // How many connections the gateway may have.
        int reservedSlots = 0;     // How many of `slots` are kept for top classes.
        AdmissionQueue::Options queue;
        std::string transactionPrefix; // Makes transaction ids unique among all gateways.
        // A transaction without a statement for this long is closed together with its connection.
        Millis transactionIdleTimeout = Millis(5000);
        // How long a read may wait until the instance's data satisfies it.
        Millis maxDataWait = Millis(20);
        // The timeout of a call that may be repeated.
        Millis attemptTimeout = Millis(1000);
        // A connection that was idle for this long is pinged before it is used.
        Millis pingAfterIdle = Millis(1000);
        Millis pingTimeout = Millis(250);
        // A connection that was idle for this long is closed, unless the instance is primary.
        Millis closeAfterIdle = Millis(60'000);
        // The delay between status polls while replies are held; twice as long while only reads
        // wait for data.
        Millis pollInterval = Millis(2);
        Millis maxOpenBackoff = Millis(1000);
    };

    struct Counters
    {
        std::size_t queued = 0;       // Requests in the admission queue.
        std::size_t busy = 0;         // Connections with a call in progress.
        std::size_t connections = 0;  // All connections, including those that are opening.
        std::size_t transactions = 0; // Open transactions.
        std::size_t awaiting = 0;     // Replies that wait for a majority.
    };

    explicit Gateway(Options options);

    // Takes a request. Exactly one SendReply action for it follows, now or after a later event.
    GatewayActions submit(Millis now, GatewayRequest request);
    GatewayActions onOpened(Millis now, std::uint64_t connection);
    GatewayActions onOpenFailed(Millis now, std::uint64_t connection);
    GatewayActions onAnswer(Millis now, std::uint64_t connection, const TargetAnswer &answer);
    // The connection failed. `sent` is false if no part of the call in progress left this host.
    GatewayActions onConnectionLost(Millis now, std::uint64_t connection, bool sent);
    // The status poll that was sent at `sentAt` succeeded.
    GatewayActions onStatus(Millis now, Millis sentAt, const InstanceReport &report);
    GatewayActions onStatusFailed(Millis now);
    // At the instant `at` of this process's clock, the primary's last entry was `primaryLast`.
    GatewayActions onPositionSample(Millis now, Millis at, Position primaryLast);
    // A replica's gateway requested the newest position sample. Polls the status if that is old.
    GatewayActions onPositionSampleRequested(Millis now);
    // Checks timeouts and backoffs. Call it regularly.
    GatewayActions onTick(Millis now);
    // Sets what the host knows of the instance: whether it is the primary of `term`, and whether it
    // is leaving, that is, has announced that it takes no new requests and will stop. Ignored if
    // `term` is lower than an earlier one.
    GatewayActions setRole(Millis now, std::uint64_t term, bool primary, bool leaving);
    // Changes Options::quota; closes idle connections beyond it.
    GatewayActions setQuota(Millis now, int quota);
    // Starts a graceful shutdown: refuses new requests and completes those it has. Statements in
    // open transactions are still accepted.
    void drain() { m_draining = true; }

    // The gateway's position samples. Those of a primary's gateway serve the gateways of its
    // replicas.
    const ReplicaAge &replicaAge() const { return m_replicaAge; }
    Counters counters() const;
    // Whether the instance is primary, as far as this host knows.
    bool isPrimary() const { return m_primary; }
    // Whether no request is in progress and no transaction is open.
    bool idle() const { return m_requests.empty() && m_transactions.empty(); }

private:
    enum class ConnectionState {
        Opening,
        Idle,
        Pinging, // A ping is in progress; after its answer, `request` is sent.
        Running, // A call for `request` is in progress.
        Pinned,  // Idle inside a transaction.
    };

    struct Connection
    {
        ConnectionState state = ConnectionState::Opening;
        std::uint64_t request = 0; // The id of the request in progress.
        TargetCallKind callKind = TargetCallKind::Execute;
        std::string transaction; // The id of the transaction that is pinned here, if any.
        Millis idleSince;
    };

    struct PendingRequest
    {
        GatewayRequest request;
        Millis arrived;
        std::optional<GatewayReply> heldReply; // Waits until a majority holds its position.
        Millis waitUntil;                      // While it waits for data: when it is refused.
    };

    // Why a new request must be refused at once; Cause::None if it need not be.
    Cause refusalCause(Millis now, const GatewayRequest &request) const;
    bool hasLiveConnection() const;
    // Whether the expected wait in the queue exceeds the time until the deadline.
    bool wouldMissDeadline(Millis now, const GatewayRequest &request) const;
    // Whether the instance's data, as last reported, satisfies requiredPosition and maxAge.
    bool canReadRequiredData(Millis now, const GatewayRequest &request) const;
    void waitForData(Millis now, PendingRequest *pending);
    // Fetches a new position sample if the newest one is too old for reads with this `maxAge`.
    void refreshPositionSample(Millis now, Millis maxAge);
    void enqueue(Millis now, std::uint64_t id);
    // Sends queued requests while there are free slots and idle connections, then opens
    // connections if there are too few.
    void dispatchQueued(Millis now);
    // The idle connection that was used last; sets `id` to its id. Null if there is none.
    Connection *mostRecentIdleConnection(std::uint64_t *id);
    void openConnections(Millis now);
    // Sends the request on the connection, after a ping if the connection was idle for long.
    void assignConnection(Millis now, std::uint64_t connection, std::uint64_t request);
    void startRequest(Millis now, std::uint64_t connection, std::uint64_t request);
    void sendCall(Millis now, std::uint64_t connection, TargetCallKind callKind,
                  const GatewayRequest &request);
    Millis callTimeout(Millis now, const GatewayRequest &request) const;
    void sendInTransaction(Millis now, const GatewayRequest &request);
    // Handles the instance's answer to the call in progress.
    void finishCall(Millis now, std::uint64_t connection, const TargetAnswer &answer);
    void finishFailed(std::uint64_t connection, std::uint64_t request, const TargetAnswer &answer);
    void finishExecuted(Millis now, std::uint64_t connection, std::uint64_t request,
                        const TargetAnswer &answer);
    void finishRead(Millis now, std::uint64_t request, const TargetAnswer &answer);
    void finishLedgerRead(std::uint64_t request, const TargetAnswer &answer);
    void pinTransaction(std::uint64_t connection, std::uint64_t request,
                        const TargetAnswer &answer);
    // Makes the connection idle; its transaction, if any, has ended.
    void releaseConnection(Millis now, std::uint64_t connection);
    // Drops the connection and the transaction that is pinned to it.
    void forgetConnection(std::uint64_t connection);
    // Replies if a majority holds the reply's position; otherwise holds the reply until one does.
    void replyWhenAcknowledged(std::uint64_t request, const GatewayReply &reply);
    void sendAcknowledgedReplies();
    // Answers held replies of terms below `belowTerm` as MayHaveRun: whether the new primary has
    // their writes is unknown.
    void failHeldReplies(std::uint64_t belowTerm);
    void reply(std::uint64_t request, GatewayReply reply);
    // Replies that the request has not run and will not run.
    void refuse(std::uint64_t request, Cause cause);
    // Queues the requests whose data has become available and refuses those that waited too long.
    void recheckWaitingRequests(Millis now);
    void handleTimeouts(Millis now);
    void closeSurplusConnections(Millis now);
    // Requests a status poll unless one is under way.
    void pollStatus(Millis delay);
    std::size_t busyConnections() const;
    GatewayActions takeActions();

    Options m_options;
    AdmissionQueue m_queue;
    MajorityTracker m_majorityTracker;
    ReplicaAge m_replicaAge;
    std::map<std::uint64_t, Connection> m_connections;
    std::map<std::uint64_t, PendingRequest> m_requests;  // By GatewayRequest::id.
    std::map<std::string, std::uint64_t> m_transactions; // Transaction ids to connections.
    std::set<std::uint64_t> m_heldReplies;               // Requests whose reply is held.
    std::set<std::uint64_t> m_waitingForData;            // Requests that wait for data.
    GatewayActions m_actions; // Collected during an event; takeActions() returns them.
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastTransaction = 0;
    std::uint64_t m_term = 0;
    bool m_primary = false;
    // The instance is leaving: as it said itself the last time, and as the host's records say.
    bool m_saidLeaving = false;
    bool m_recordedLeaving = false;
    Millis m_nextLeavingPoll;
    bool m_draining = false;
    bool m_polling = false;                          // Whether a status poll is under way.
    Position m_lastKnownPosition;                    // The highest position the instance reported.
    double m_averageServiceMs = 1;                   // Moving average of the duration of a call.
    std::map<std::uint64_t, Millis> m_callStartedAt; // Start of the call in progress by connection.
    Millis m_nextSampleFetch; // Position samples are not fetched before this instant.
    Millis m_openBackoff;     // Doubles with each failure to open a connection in a row.
    Millis m_nextOpenAt;      // Connections are not opened before this instant.
};

} // namespace cicadagap
