// Versioned records that every host ends up with: settings of teams, primaries of groups, hosts.
//
// A record never goes back to a lower version, whichever path a copy takes. Two stores compare
// digests to find what differs, bucket by bucket.
//
//     RecordStore store;
//     store.merge({"primary/valle/tensile", 7, body});   // true: new or newer
//     store.merge({"primary/valle/tensile", 6, body});   // false: older
//
// Pure and not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadagap {

struct Record
{
    std::string key; // "<kind>/<name>", for example "settings/valle".
    std::uint64_t version = 0;
    std::string body; // JSON text; opaque here.

    bool operator==(const Record &) const = default;
};

// A record's key and version without its body.
struct RecordId
{
    std::string key;
    std::uint64_t version = 0;
};

class RecordStore
{
public:
    static constexpr std::size_t BucketCount = 64;
    using Digest = std::array<std::uint64_t, BucketCount>;

    // Takes `record` if its key is new or its version is higher. At an equal version the greater
    // body wins, so that all stores agree. Returns whether the store changed.
    bool merge(const Record &record);
    void remove(const std::string &key);
    const Record *find(const std::string &key) const;
    // The records whose key starts with `prefix`, in key order.
    std::vector<const Record *> withPrefix(std::string_view prefix) const;
    std::size_t size() const { return m_records.size(); }

    // One hash over everything; equal stores have equal hashes.
    std::uint64_t hash() const;
    // One hash for each bucket of keys.
    const Digest &digest() const { return m_digest; }
    // The ids in the buckets whose hash differs from `other`.
    std::vector<RecordId> idsInDifferingBuckets(const Digest &other) const;
    // The records that are newer here than in `ids`, or absent there, in buckets that differ from
    // `other`.
    std::vector<Record> newerThan(const std::vector<RecordId> &ids, const Digest &other) const;

private:
    static std::size_t bucketOf(const std::string &key);
    void toggleDigest(const Record &record);

    std::map<std::string, Record> m_records;
    Digest m_digest{};
};

} // namespace cicadagap
