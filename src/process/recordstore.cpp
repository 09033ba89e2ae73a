#include "process/recordstore.h"

#include "base/hash.h"

#include <tuple>
#include <utility>

namespace cicadagap {

bool RecordStore::merge(const Record &record)
{
    const auto found = m_records.find(record.key);
    if (found != m_records.end()) {
        const Record &known = found->second;
        if (std::tie(record.epoch, record.version, record.body)
            <= std::tie(known.epoch, known.version, known.body))
            return false;
        toggleInDigest(known);
    }
    m_records[record.key] = record;
    toggleInDigest(record);
    return true;
}

void RecordStore::remove(const std::string &key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    toggleInDigest(found->second);
    m_records.erase(found);
}

const Record *RecordStore::find(const std::string &key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<const Record *> RecordStore::withPrefix(std::string_view prefix) const
{
    std::vector<const Record *> records;
    for (auto it = m_records.lower_bound(std::string(prefix)); it != m_records.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        records.push_back(&it->second);
    }
    return records;
}

std::uint64_t RecordStore::hash() const
{
    std::uint64_t hash = 0;
    for (const std::uint64_t bucket : m_digest)
        hash = hash * 31 + bucket;
    return hash;
}

std::vector<RecordId> RecordStore::idsInDifferingBuckets(const Digest &other) const
{
    std::vector<RecordId> ids;
    for (const auto &entry : m_records) {
        const std::size_t bucket = bucketOf(entry.first);
        if (m_digest.at(bucket) != other.at(bucket))
            ids.push_back({entry.first, entry.second.version, entry.second.epoch});
    }
    return ids;
}

std::vector<Record> RecordStore::newerThan(const std::vector<RecordId> &ids,
                                           const Digest &other) const
{
    using Version = std::pair<std::uint64_t, std::uint64_t>; // The epoch first.
    std::map<std::string_view, Version> versions;
    for (const RecordId &id : ids)
        versions[id.key] = {id.epoch, id.version};
    std::vector<Record> newer;
    for (const auto &entry : m_records) {
        const std::size_t bucket = bucketOf(entry.first);
        if (m_digest.at(bucket) == other.at(bucket))
            continue;
        const auto known = versions.find(entry.first);
        // Equal versions are included too: their bodies may differ, and merge() decides which one
        // wins.
        if (known == versions.end()
            || Version(entry.second.epoch, entry.second.version) >= known->second)
            newer.push_back(entry.second);
    }
    return newer;
}

std::size_t RecordStore::bucketOf(const std::string &key)
{
    return hash64(key) % BucketCount;
}

void RecordStore::toggleInDigest(const Record &record)
{
    const std::uint64_t hash = hash64(record.body, hash64(record.key, record.version));
    m_digest.at(bucketOf(record.key)) ^= hash;
}

} // namespace cicadagap
