// Versioned records that are replicated to every host.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

// A versioned record: the settings of a team, the primary of a group, or a host.
struct Record
{
    std::string key; // "<kind>/<name>", for example "settings/valle".
    std::uint64_t version = 0;
    std::string body; // JSON text; not interpreted by the store.
    // In which its version was given out: the platform's table may come back from an older copy of
    // itself, and gives versions out again in each epoch. 0 for records of other origin.
    std::uint64_t epoch = 0;

    bool operator==(const Record &) const = default;
};

// The key and version of a record, without its body.
struct RecordId
{
    std::string key;
    std::uint64_t version = 0;
    std::uint64_t epoch = 0;
};

// Holds the newest known version of each record: that of the latest epoch, and in it the highest. A
// record never returns to an older one, in whatever order its copies arrive. Keys are hashed into
// buckets. Two stores compare their digests, which have one hash for each bucket, to find where
// they differ.
//
//     RecordStore store;
//     store.merge({"primary/valle/tensile", 7, body});   // True: new or newer.
//     store.merge({"primary/valle/tensile", 6, body});   // False: older.
//
// Performs no I/O and reads no clock. Not thread-safe.
class RecordStore
{
public:
    static constexpr std::size_t BucketCount = 64;
    using Digest = std::array<std::uint64_t, BucketCount>;

    // Stores `record` if its key is new or it is newer than the stored one. If epoch and version
    // are equal, the lexicographically greater body wins, so that all stores converge.
    // Returns whether the store changed.
    bool merge(const Record &record);
    // Removes the record with that key, if there is one.
    void remove(const std::string &key);
    // The record with that key, or null. The pointer is valid until the record is removed.
    const Record *find(const std::string &key) const;
    // The records whose key starts with `prefix`, in key order. The pointers are valid until the
    // records are removed.
    std::vector<const Record *> withPrefix(std::string_view prefix) const;
    std::size_t size() const { return m_records.size(); }

    // One hash of all records. Stores with equal records have equal hashes.
    std::uint64_t hash() const;
    // One hash for each bucket, over the records whose keys belong to it.
    const Digest &digest() const { return m_digest; }
    // The ids of the records in the buckets whose hash differs from that in `other`.
    std::vector<RecordId> idsInDifferingBuckets(const Digest &other) const;
    // The records in the buckets whose hash differs from that in `other`, without those for which
    // `ids` contains a newer version.
    std::vector<Record> newerThan(const std::vector<RecordId> &ids, const Digest &other) const;

private:
    static std::size_t bucketOf(const std::string &key);
    // Adds `record` to the digest, or removes it if the digest contains it.
    void toggleInDigest(const Record &record);

    std::map<std::string, Record> m_records;
    Digest m_digest{};
};

} // namespace cicadagap
