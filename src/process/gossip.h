// Spreads records to all hosts: new ones are pushed to a few random peers at once and passed on by
// whoever hears them first; a periodic digest exchange with one random peer repairs what was
// missed. (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.)
//
//     Gossip gossip({.self = "cali-1", .fanout = 4, .exchangeInterval = Millis(500)}, &store, 1);
//     for (const GossipSend &send : gossip.onTick(now)) ...
//
// Pure and not thread-safe; the store is shared with the caller.
#pragma once

#include "base/hash.h"
#include "base/millis.h"
#include "base/names.h"
#include "process/recordstore.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

enum class GossipKind {
    Push,     // Records that the receiver may not have.
    Exchange, // The sender's hash, and its digest if `digest` is set.
    Request,  // Ids from the differing buckets; the receiver answers with a Push.
};

inline constexpr NameTable<GossipKind, 3> GossipKindNames{{{
    {GossipKind::Push, "push"},
    {GossipKind::Exchange, "exchange"},
    {GossipKind::Request, "request"},
}}};

struct GossipMessage
{
    GossipKind kind = GossipKind::Push;
    std::uint64_t hash = 0;
    std::optional<RecordStore::Digest> digest;
    std::vector<RecordId> ids;
    std::vector<Record> records;
};

struct GossipSend
{
    std::string to;
    GossipMessage message;
};

class Gossip
{
public:
    struct Options
    {
        std::string self;
        std::size_t fanout = 4;
        Millis exchangeInterval = Millis(500);
        std::size_t maxRecordsPerMessage = 200;
    };

    Gossip(Options options, RecordStore *store, std::uint64_t seed);

    // Replaces the peers to talk to; `self` is left out.
    void setPeers(std::vector<std::string> peers);
    // Takes a record from this host's own decisions and spreads it. Returns whether it was new.
    bool publish(const Record &record);
    // Handles a message; `changed` receives the records that were new here.
    std::vector<GossipSend> onMessage(const std::string &from, const GossipMessage &message,
                                      std::vector<Record> *changed);
    // Sends what publish() and onMessage() queued, and the periodic exchange when it is due.
    std::vector<GossipSend> onTick(Millis now);

private:
    std::vector<GossipSend> answerExchange(const std::string &from, const GossipMessage &message);
    void takeRecords(const std::vector<Record> &records, std::vector<Record> *changed);
    std::vector<std::string> randomPeers(std::size_t count);

    Options m_options;
    RecordStore *m_store;
    Random m_random;
    std::vector<std::string> m_peers;
    std::vector<Record> m_fresh; // To be pushed at the next tick.
    Millis m_nextExchange;
};

} // namespace cicadagap
