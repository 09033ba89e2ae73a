// A gossip protocol that replicates records to all hosts.
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
    Push,     // Carries records that the receiver may not have.
    Exchange, // Carries the hash of the sender's store, and also its digest if `digest` is set.
    Request,  // Carries the sender's digest and the ids of its records in the buckets that differ.
              // The receiver answers with a Push.
};

inline constexpr NameTable<GossipKind, 3> GossipKindNames{{{
    {GossipKind::Push, "push"},
    {GossipKind::Exchange, "exchange"},
    {GossipKind::Request, "request"},
}}};

// One message between two hosts. `kind` determines which of the other members are set.
struct GossipMessage
{
    GossipKind kind = GossipKind::Push;
    std::uint64_t hash = 0;
    std::optional<RecordStore::Digest> digest;
    std::vector<RecordId> ids;
    std::vector<Record> records;
};

// A message that the caller has to send to the host `to`.
struct GossipSend
{
    std::string to;
    GossipMessage message;
};

// Replicates the records of a RecordStore to all hosts. A new record is pushed at once to a few
// random peers, each of which passes it on when it receives it for the first time. In addition,
// each host periodically exchanges digests with one random peer, which repairs what the pushes
// missed. See Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
//
// A deterministic state machine: it performs no I/O and reads no clock. Not thread-safe. It shares
// the store with its owner, which must keep the store alive.
//
//     Gossip gossip({.self = "cali-1", .fanout = 4, .exchangeInterval = Millis(500)}, &store, 1);
//     for (const GossipSend &item : gossip.onTick(now))
//         send(item.to, item.message);
class Gossip
{
public:
    struct Options
    {
        std::string self;                       // Name of this host.
        std::size_t fanout = 4;                 // Peers to which a new record is pushed.
        Millis exchangeInterval = Millis(500);  // Between the exchanges that this host starts.
        std::size_t maxRecordsPerMessage = 200; // Of a Push that answers a Request.
    };

    // `seed` determines the random choice of peers.
    Gossip(Options options, RecordStore *store, std::uint64_t seed);

    // Replaces the set of peers. `self` is removed from it.
    void setPeers(std::vector<std::string> peers);
    // Merges a record that this host created into the store, and spreads it if it was new. Returns
    // whether it was new.
    bool publish(const Record &record);
    // Handles a message from the host `from` and returns the answers. Appends the records that were
    // new to this host to `changed`.
    std::vector<GossipSend> onMessage(const std::string &from, const GossipMessage &message,
                                      std::vector<Record> *changed);
    // Returns the pushes of the records that publish() and onMessage() queued, and the periodic
    // exchange when it is due.
    std::vector<GossipSend> onTick(Millis now);

private:
    std::vector<GossipSend> answerExchange(const std::string &from, const GossipMessage &message);
    void mergeRecords(const std::vector<Record> &records, std::vector<Record> *changed);
    std::vector<std::string> randomPeers(std::size_t count);

    Options m_options;
    RecordStore *m_store;
    Random m_random;
    std::vector<std::string> m_peers;
    std::vector<Record> m_recordsToPush; // At the next tick.
    Millis m_nextExchange;
};

} // namespace cicadagap
