// The gateway's side of relayed statements: other hosts' statements run on this host's connections.
//
// A channel stands for one piece of another host's work: a single statement, or a transaction. It
// takes a connection with its first batch, keeps it while a transaction is open, and gives it back
// as soon as the connection is idle. A batch is answered as a whole, in order. If it opens a
// transaction, the rest is sent once the instance has opened it, and never if it has refused.
//
// Pure and not thread-safe: actions go to a RelayOutput.
#pragma once

#include "session/relaybatch.h"
#include "session/targetpool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {

class RelayGateway
{
public:
    using Reply = std::function<void(RelayReply)>;
    // A position that covers what the primary of the instance's group had at `since`.
    using CoveringSince
        = std::function<std::optional<Position>(const std::string &instance, Millis since)>;

    RelayGateway(TargetPool *pool, std::function<WorkId()> nextWork, CoveringSince coveringSince);

    void onBatch(Millis now, RelayBatch batch, Reply reply);
    // The origin gave the channel up; a transaction on it is rolled back.
    void onDropped(Millis now, const std::string &origin, std::uint64_t channel);
    // Ends transactions that are idle for longer than `limit`.
    void onTick(Millis now, Millis limit);

    // Results from the fleet; false if the work is not the relay's.
    bool onWorkStarted(Millis now, WorkId work, ConnectionId connection);
    bool onWorkRefused(WorkId work, Cause cause);
    bool onWorkAnswer(Millis now, WorkId work, SendPurpose purpose, const StatementAnswer &answer);
    bool onWorkConnectionLost(WorkId work, bool workSent);

    bool knows(const std::string &origin, std::uint64_t channel) const
    {
        return m_channels.contains({origin, channel});
    }
    // By instance, since when a write that was sent has had no answer.
    std::map<std::string, Millis> oldestWrites() const;
    // Whether the work only reads and may be tried elsewhere.
    bool onlyReads(WorkId work) const;

private:
    using ChannelKey = std::pair<std::string, std::uint64_t>;

    struct Channel
    {
        std::string instance;
        WorkId work = 0;
        ConnectionId connection = 0;
        SessionValues values;
        std::optional<PreparedStatement> prepared;
        std::vector<RelayedStatement> statements; // Of the batch in progress.
        std::size_t awaited = 0;                  // Answers of it that have not come.
        RelayReply reply;
        Reply done; // Set while a batch is in progress.
        Millis lastUsed;
        bool onlyReads = false;
        std::optional<Millis> writingSince; // A write or a commit was sent, and not answered yet.
    };

    void sendBatch(Millis now, Channel *channel);
    void sendStatements(Millis now, Channel *channel);
    void finish(const ChannelKey &key, Cause cause, bool sent);
    Channel *find(WorkId work, ChannelKey *key);

    TargetPool *m_pool;
    std::function<WorkId()> m_nextWork;
    CoveringSince m_coveringSince;
    std::map<ChannelKey, Channel> m_channels;
    std::map<WorkId, ChannelKey> m_works;
};

} // namespace cicadagap
