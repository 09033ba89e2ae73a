// The gateway's side of relayed statements: runs other hosts' statements on this host's
// connections.
//
// A channel stands for one piece of work of another host: a single statement or a transaction. It
// takes a connection with its first batch, keeps it while a transaction is open, and gives it back
// as soon as the connection is outside of transactions. A batch is answered as a whole, in order.
// If it opens a transaction, the other statements are sent once the instance has opened it, and
// never if the instance has refused.
#pragma once

#include "session/groupknowledge.h"
#include "session/relaybatch.h"
#include "session/targetpool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadagap {

// Prepared statements by the names that the origin of a channel gave them there.
using RelayedNames = std::map<std::string, PreparedStatement>;

// A caller's statement that another host relayed is being sent on a connection of this host. The
// texts are valid during the call only.
struct RelayedStatementEvent
{
    std::string_view request; // The statement's id.
    std::string_view origin;
    std::uint64_t channel = 0;
    std::string_view instance;
    ConnectionId connection = 0;
    std::string_view preparedName; // On the connection; empty unless it is an Execute.
};

// The channels of other hosts on this host.
//
//     gateway.onBatch(now, batch, [](RelayReply reply) { send(reply); });
//
// A deterministic state machine: performs no I/O and reads no clock; statements go to a TargetPool,
// which must outlive it. Not thread-safe.
class RelayGateway
{
public:
    // Called exactly once for each batch, possibly from within onBatch().
    using Reply = std::function<void(RelayReply)>;

    using LogStatement = std::function<void(const RelayedStatementEvent &)>;

    // `groups` must outlive this object.
    RelayGateway(TargetPool *pool, std::function<WorkId()> nextWork, GroupKnowledge *groups,
                 LogStatement logStatement);

    // Another host sent a batch.
    void onBatch(Millis now, RelayBatch batch, Reply reply);
    // The origin gave the channel up. Its connection is closed, which rolls a transaction back.
    void onDropped(Millis now, const std::string &origin, std::uint64_t channel);
    // Ends transactions that have been idle for longer than `limit`, and starts or refuses batches
    // that wait for evidence that the instance is still primary.
    void onTick(Millis now, Millis limit);

    // Results from the pool. Return false if the work was not submitted by this object.
    bool onWorkStarted(Millis now, WorkId work, ConnectionId connection);
    bool onWorkRefused(WorkId work, Cause cause);
    bool onWorkAnswer(Millis now, WorkId work, SendPurpose purpose, StatementKind kind,
                      Millis sentAt, const StatementAnswer &answer);
    bool onWorkConnectionLost(WorkId work, bool workSent);

    // Whether the channel exists here.
    bool knows(const std::string &origin, std::uint64_t channel) const
    {
        return m_channels.contains({origin, channel});
    }
    // For each primary with an unanswered write, when the oldest one was sent.
    std::map<std::string, Millis> oldestWrites() const;
    // The age that the data of a read may have, if the read does not need more recent data because
    // of its session's own commits. Returned once, for the answer to the statement that the age
    // concerns; nothing for others.
    std::optional<Millis> takeAcceptedAge(WorkId work, SendPurpose purpose);
    // Whether the work only reads, so that it may be tried on another instance.
    bool onlyReads(WorkId work) const;

private:
    using ChannelKey = std::pair<std::string, std::uint64_t>;

    struct Channel
    {
        std::string instance;
        std::string tenant;
        WorkId work = 0;
        ConnectionId connection = 0;
        SessionValues values;
        RelayedNames prepared;
        std::vector<RelayedStatement> statements; // Of the batch in progress, not sent yet.
        std::size_t unanswered = 0;               // Statements of that batch without an answer.
        RelayReply reply;
        Reply respond; // Set only while a batch is in progress.
        Millis lastUsed;
        bool onlyReads = false;
        std::optional<Millis> acceptedAge; // See takeAcceptedAge().
        bool sendsWrite = false;           // The batch in progress has a write.
        bool wrote = false;                // A write succeeded on it.
        std::optional<Millis> writeSentAt; // Of an unanswered write or commit.
    };

    // A batch that waits for evidence that its instance is still primary.
    struct UnprovenBatch
    {
        RelayBatch batch;
        Reply reply;
        Millis primaryAsOf;
        Millis deadline;
        bool onlyWrites = false;
    };

    // Whether a batch may start that needs its instance to be primary.
    enum class Admission {
        Start,
        Wait,
        Refuse, // Another instance is primary.
    };

    Admission admit(Millis now, const UnprovenBatch &waiting);

    void startBatch(Millis now, RelayBatch batch, Reply reply);
    void startProvenBatches(Millis now);
    void sendBatch(Millis now, Channel *channel);
    void sendStatements(Millis now, Channel *channel);
    void log(const Channel &channel, const RelayedStatement &entry) const;
    void endChannel(const ChannelKey &key, Cause cause, bool sent);
    Channel *find(WorkId work, ChannelKey *key);

    TargetPool *m_pool;
    std::function<WorkId()> m_nextWork;
    GroupKnowledge *m_groups;
    LogStatement m_logStatement;
    std::vector<UnprovenBatch> m_unproven;
    std::map<ChannelKey, Channel> m_channels;
    std::map<WorkId, ChannelKey> m_channelByWork;
};

} // namespace cicadagap
