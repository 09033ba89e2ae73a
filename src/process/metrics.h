// Counters and latency distributions of a process.
#pragma once

#include "base/millis.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cicadagap {

// Counters and latency distributions, which are kept with Boost.Accumulators and served over HTTP.
//
//     Metrics metrics;
//     metrics.add("statements.ran");
//     metrics.observe("latency.entry", Millis(7));
//     std::string json = metrics.json();
//
// A name may have any bytes; one that is too long, or not of printable ASCII, is reported in
// another form, which a 64-bit hash tells from others. Any other two names are two series.
//
// Thread-safe: the state is split by metric name into shards, each with its own lock.
class Metrics
{
public:
    // Counters and distributions that are kept apart. Those that come later share one of each,
    // which has the name "other".
    static constexpr std::size_t MaxSeries = 2000;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds `count` to a counter. The counter is created on first use.
    void add(std::string_view name, std::int64_t count = 1);
    // Adds a value to a distribution. The distribution is created on first use.
    void observe(std::string_view name, Millis value);
    // All metrics as JSON:
    // {"counters": {...},
    //  "latencies": {NAME: {"count", "meanMs", "p50Ms", "p90Ms", "p99Ms", "maxMs"}}}
    std::string json() const;
    // All metrics in the Prometheus text format. Each distribution has a histogram and quantiles.
    std::string text() const;

private:
    struct Shard;
    class TextNames;
    bool tryAdd(std::string_view name, std::int64_t count);
    bool tryObserve(std::string_view name, Millis value);
    Shard &shardFor(std::string_view name) const;

    std::unique_ptr<Shard[]> m_shards;
    std::unique_ptr<TextNames> m_textNames;
};

} // namespace cicadagap
