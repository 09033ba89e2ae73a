// Counters and latency distributions, kept with Boost.Accumulators and read over HTTP.
//
//     Metrics metrics;
//     metrics.add("statements.ran");
//     metrics.observe("latency.entry", Millis(7));
//     std::string json = metrics.json();
//
// Thread-safe: state is in shards, each under its own lock.
#pragma once

#include "base/millis.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cicadagap {

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter.
    void add(std::string_view name, std::int64_t count = 1);
    // Adds a value to a distribution, in milliseconds.
    void observe(std::string_view name, Millis value);
    // {"counters": {...}, "latencies": {NAME: {"count", "meanMs", "p50Ms", "p99Ms", "maxMs"}}}
    std::string json() const;
    // The same in the text format of the usual collectors, with a histogram of each distribution.
    std::string text() const;

private:
    struct Shard;
    Shard &shardFor(std::string_view name) const;

    std::unique_ptr<Shard[]> m_shards;
};

} // namespace cicadagap
