#include "process/metrics.h"

#include "base/hash.h"
#include "base/mutex.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <map>

namespace cicadagap {

namespace acc = boost::accumulators;
namespace json = boost::json;

namespace {

constexpr std::size_t ShardCount = 8;
constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};
// Inclusive upper bounds of the histogram buckets, in milliseconds.
constexpr std::array<std::int64_t, 12> BucketBounds{1,   5,   10,  20,   50,   100,
                                                    200, 400, 800, 1600, 3200, 6400};

using Accumulator = acc::accumulator_set<double,
                                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean,
                                                    acc::tag::max, acc::tag::extended_p_square>>;

struct Distribution
{
    Accumulator values = Accumulator(acc::extended_p_square_probabilities = Quantiles);
    // For each bound, the number of values at or below it.
    std::array<std::int64_t, BucketBounds.size()> cumulativeCounts{};
};

// The name of a metric in the Prometheus text format, which permits neither dots nor dashes.
std::string prometheusName(std::string_view name)
{
    std::string text = "cicadagap_";
    for (const char c : name)
        text += c == '.' || c == '-' ? '_' : c;
    return text;
}

// Appends the histogram and the quantiles of a distribution to `text`.
void appendHistogram(const std::string &name, const Distribution &distribution, std::string *text)
{
    const std::string count = std::to_string(acc::count(distribution.values));
    *text += "# TYPE " + name + " histogram\n";
    for (std::size_t i = 0; i < BucketBounds.size(); ++i)
        *text += name + "_bucket{le=\"" + std::to_string(BucketBounds[i]) + "\"} "
            + std::to_string(distribution.cumulativeCounts[i]) + "\n";
    *text += name + "_bucket{le=\"+Inf\"} " + count + "\n";
    *text += name + "_sum "
        + std::to_string(static_cast<std::int64_t>(acc::sum(distribution.values))) + "\n";
    *text += name + "_count " + count + "\n";
    const auto quantiles = acc::extended_p_square(distribution.values);
    *text += "# TYPE " + name + "_quantile gauge\n";
    constexpr std::array<const char *, Quantiles.size()> Names{"0.5", "0.9", "0.99"};
    for (std::size_t i = 0; i < Quantiles.size(); ++i)
        *text += name + "_quantile{quantile=\"" + Names[i] + "\"} "
            + std::to_string(quantiles[static_cast<std::ptrdiff_t>(i)]) + "\n";
}

} // namespace

struct Metrics::Shard
{
    mutable Mutex mutex;
    std::map<std::string, std::int64_t, std::less<>> counters CICADAGAP_GUARDED_BY(mutex);
    std::map<std::string, Distribution, std::less<>> distributions CICADAGAP_GUARDED_BY(mutex);
};

Metrics::Metrics()
    : m_shards(std::make_unique<Shard[]>(ShardCount))
{
}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::int64_t count)
{
    Shard &shard = shardFor(name);
    MutexLock lock(&shard.mutex);
    const auto found = shard.counters.find(name);
    if (found != shard.counters.end())
        found->second += count;
    else
        shard.counters.emplace(name, count);
}

void Metrics::observe(std::string_view name, Millis value)
{
    Shard &shard = shardFor(name);
    MutexLock lock(&shard.mutex);
    auto found = shard.distributions.find(name);
    if (found == shard.distributions.end())
        found = shard.distributions.emplace(name, Distribution()).first;
    Distribution &distribution = found->second;
    distribution.values(static_cast<double>(value.count()));
    for (std::size_t i = 0; i < BucketBounds.size(); ++i)
        distribution.cumulativeCounts[i] += value.count() <= BucketBounds[i] ? 1 : 0;
}

std::string Metrics::json() const
{
    json::object counters;
    json::object latencies;
    for (std::size_t i = 0; i < ShardCount; ++i) {
        const Shard &shard = m_shards[i];
        MutexLock lock(&shard.mutex);
        for (const auto &counter : shard.counters)
            counters[counter.first] = counter.second;
        for (const auto &entry : shard.distributions) {
            const Accumulator &values = entry.second.values;
            const auto quantiles = acc::extended_p_square(values);
            latencies[entry.first]
                = json::object{{"count", acc::count(values)}, {"meanMs", acc::mean(values)},
                               {"p50Ms", quantiles[0]},       {"p90Ms", quantiles[1]},
                               {"p99Ms", quantiles[2]},       {"maxMs", acc::max(values)}};
        }
    }
    return json::serialize(
        json::object{{"counters", std::move(counters)}, {"latencies", std::move(latencies)}});
}

std::string Metrics::text() const
{
    std::string text;
    for (std::size_t i = 0; i < ShardCount; ++i) {
        const Shard &shard = m_shards[i];
        MutexLock lock(&shard.mutex);
        for (const auto &counter : shard.counters) {
            const std::string name = prometheusName(counter.first) + "_total";
            text += "# TYPE " + name + " counter\n";
            text += name + " " + std::to_string(counter.second) + "\n";
        }
        for (const auto &entry : shard.distributions)
            appendHistogram(prometheusName(entry.first) + "_ms", entry.second, &text);
    }
    return text;
}

Metrics::Shard &Metrics::shardFor(std::string_view name) const
{
    return m_shards[hash64(name) % ShardCount];
}

} // namespace cicadagap
