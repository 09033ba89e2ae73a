// Decides when a write may be acknowledged, and how old a replica's data is.
//
// A write at (term, index) is acknowledged once a majority of the group's instances hold it in that
// very term. An instance counts if it is still in the term and its last entry was written in the
// term at or behind the index; because each primary starts its term with a barrier entry, an entry
// of an earlier term never counts by itself. (Ongaro and Ousterhout, "In search of an
// understandable consensus algorithm", 2014, section 5.4.2.)
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/position.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cicadagap {

class MajorityTracker
{
public:
    // `instances` is the number of instances of the group, reachable or not.
    explicit MajorityTracker(std::size_t instances)
        : m_instances(instances)
    {
    }

    // An instance, in `term`, holds everything up to `last`.
    void observe(const std::string &instance, std::uint64_t term, Position last);
    // Whether a write at `position` may be acknowledged.
    bool holds(Position position) const;
    // The highest index of `term` that a majority holds in `term`; 0 if none.
    std::uint64_t majorityIndex(std::uint64_t term) const;

private:
    struct Observation
    {
        std::uint64_t term = 0;
        Position last;
    };

    std::size_t m_instances;
    std::map<std::string, Observation> m_latest;
};

// Bounds the age of a replica's data on this process's own monotonic clock.
//
// Each sample says "at instant t, the primary's last entry was p, and it was still primary". A
// replica whose log covers p is at most `now - t` old. No clocks are compared between hosts.
class ReplicaAge
{
public:
    // Keeps at most `capacity` samples, which spans capacity times the sampling interval.
    explicit ReplicaAge(std::size_t capacity = 64)
        : m_capacity(capacity)
    {
    }

    void addSample(Millis at, Position primaryLast);
    // The age of data that ends at `replicaLast`, or nothing if no sample bounds it.
    std::optional<Millis> age(Millis now, Position replicaLast) const;
    // A position that covers everything the primary had at `since`: the oldest sample taken then
    // or later. Nothing if the newest sample is older.
    std::optional<Position> coveringSince(Millis since) const;
    // When the newest sample was valid.
    std::optional<Millis> newestSample() const;
    // The newest sample's position.
    Position newestPosition() const;

private:
    struct Sample
    {
        Millis at;
        Position last;
    };

    std::size_t m_capacity;
    std::deque<Sample> m_samples; // Ascending in time.
};

} // namespace cicadagap
