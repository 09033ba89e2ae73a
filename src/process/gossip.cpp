#include "process/gossip.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

Gossip::Gossip(Options options, RecordStore *store, std::uint64_t seed)
    : m_options(std::move(options))
    , m_store(store)
    , m_random(seed)
{
}

void Gossip::setPeers(std::vector<std::string> peers)
{
    std::erase(peers, m_options.self);
    m_peers = std::move(peers);
}

bool Gossip::publish(const Record &record)
{
    if (!m_store->merge(record))
        return false;
    m_recordsToPush.push_back(record);
    return true;
}

std::vector<GossipSend> Gossip::onMessage(const std::string &from, const GossipMessage &message,
                                          std::vector<Record> *changed)
{
    switch (message.kind) {
    case GossipKind::Push:
        mergeRecords(message.records, changed);
        return {};
    case GossipKind::Exchange:
        return answerExchange(from, message);
    case GossipKind::Request: {
        GossipMessage push;
        if (message.digest)
            push.records = m_store->newerThan(message.ids, *message.digest);
        if (push.records.size() > m_options.maxRecordsPerMessage)
            push.records.resize(m_options.maxRecordsPerMessage);
        return {{from, std::move(push)}};
    }
    }
    return {};
}

std::vector<GossipSend> Gossip::onTick(Millis now)
{
    std::vector<GossipSend> sends;
    if (!m_recordsToPush.empty()) {
        GossipMessage push;
        push.records = std::exchange(m_recordsToPush, {});
        for (const std::string &peer : randomPeers(m_options.fanout))
            sends.push_back({peer, push});
    }
    if (now >= m_nextExchange) {
        m_nextExchange = now + m_options.exchangeInterval;
        for (const std::string &peer : randomPeers(1)) {
            GossipMessage exchange;
            exchange.kind = GossipKind::Exchange;
            exchange.hash = m_store->hash();
            sends.push_back({peer, std::move(exchange)});
        }
    }
    return sends;
}

std::vector<GossipSend> Gossip::answerExchange(const std::string &from,
                                               const GossipMessage &message)
{
    if (message.hash == m_store->hash())
        return {};
    GossipMessage answer;
    answer.digest = m_store->digest();
    if (!message.digest) {
        // The stores differ. Send the digest, so that the peer can list its records in the buckets
        // that differ.
        answer.kind = GossipKind::Exchange;
        answer.hash = m_store->hash();
        return {{from, std::move(answer)}};
    }
    // An exchange transfers records in one direction only; the peer obtains records from this host
    // in the exchanges that it starts itself. A record that one side refuses therefore cannot make
    // two hosts answer each other endlessly.
    answer.kind = GossipKind::Request;
    answer.ids = m_store->idsInDifferingBuckets(*message.digest);
    return {{from, std::move(answer)}};
}

void Gossip::mergeRecords(const std::vector<Record> &records, std::vector<Record> *changed)
{
    for (const Record &record : records) {
        if (!m_store->merge(record))
            continue;
        m_recordsToPush.push_back(record);
        changed->push_back(record);
    }
}

std::vector<std::string> Gossip::randomPeers(std::size_t count)
{
    std::vector<std::string> pool = m_peers;
    std::vector<std::string> chosen;
    while (!pool.empty() && chosen.size() < count) {
        const std::size_t index = m_random.below(pool.size());
        chosen.push_back(std::move(pool[index]));
        pool[index] = std::move(pool.back());
        pool.pop_back();
    }
    return chosen;
}

} // namespace cicadagap
