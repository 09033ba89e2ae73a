// Tracks which writes a majority of a group's instances holds, and how old a replica's data is.
//
// Both classes perform no I/O and read no clock. Not thread-safe.
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

// Decides when a write may be acknowledged.
//
// A write at (term, index) may be acknowledged as soon as a majority of the group's instances holds
// it in that same term. An instance counts if it is still in the term, and the last entry of its
// log was written in the term and has at least this index. Each primary starts its term with a
// barrier entry, the first entry of the term, so an entry of an earlier term never counts by
// itself. (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014,
// section 5.4.2.)
class MajorityTracker
{
public:
    // `instances` is the number of instances in the group, whether reachable or not.
    explicit MajorityTracker(std::size_t instances)
        : m_instances(instances)
    {
    }

    // Records that `instance` is in `term` and holds all entries up to `last`. Ignored if it is
    // older than what is known of the instance.
    void observe(const std::string &instance, std::uint64_t term, Position last);
    // Whether a majority holds `position` in its term, so that a write there may be acknowledged.
    bool holds(Position position) const;
    // The highest index of `term` that a majority holds while in `term`; 0 if there is none.
    std::uint64_t majorityIndex(std::uint64_t term) const;

private:
    struct Observation
    {
        std::uint64_t term = 0;
        Position last;
    };

    std::size_t m_instances;
    std::map<std::string, Observation> m_latest; // By instance.
};

// Computes an upper bound of the age of a replica's data, on this process's monotonic clock.
//
// It is based on position samples. A sample (t, p) means that at the instant t the primary was
// still primary and the last entry of its log was p. The data of a replica whose log covers p is at
// most `now - t` old. Clocks of different hosts are never compared.
class ReplicaAge
{
public:
    // Keeps the newest `capacity` samples, which cover `capacity` times the sampling interval.
    explicit ReplicaAge(std::size_t capacity = 64)
        : m_capacity(capacity)
    {
    }

    // Adds the sample (at, primaryLast). Ignored if its instant or its position is lower than that
    // of the newest sample.
    void addSample(Millis at, Position primaryLast);
    // The greatest possible age of data that ends at `replicaLast`; nothing if it covers no sample.
    std::optional<Millis> age(Millis now, Position replicaLast) const;
    // A position that covers everything the primary had at `since`: that of the oldest sample taken
    // at `since` or later. Nothing if all samples are older.
    std::optional<Position> coveringSince(Millis since) const;
    // The instant of the newest sample; nothing if there is none.
    std::optional<Millis> newestSample() const;
    // The position of the newest sample; the lowest position if there is none.
    Position newestPosition() const;

private:
    struct Sample
    {
        Millis at;
        Position last;
    };

    std::size_t m_capacity;
    std::deque<Sample> m_samples; // In ascending order of their instants.
};

} // namespace cicadagap
