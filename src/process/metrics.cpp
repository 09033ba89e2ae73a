#include "process/metrics.h"

#include "base/hash.h"
#include "base/mutex.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
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

using Distribution = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

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
    if (found == shard.distributions.end()) {
        Distribution distribution(acc::extended_p_square_probabilities = Quantiles);
        found = shard.distributions.emplace(name, std::move(distribution)).first;
    }
    found->second(static_cast<double>(value.count()));
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
            const auto quantiles = acc::extended_p_square(entry.second);
            latencies[entry.first] = json::object{{"count", acc::count(entry.second)},
                                                  {"meanMs", acc::mean(entry.second)},
                                                  {"p50Ms", quantiles[0]},
                                                  {"p90Ms", quantiles[1]},
                                                  {"p99Ms", quantiles[2]},
                                                  {"maxMs", acc::max(entry.second)}};
        }
    }
    return json::serialize(
        json::object{{"counters", std::move(counters)}, {"latencies", std::move(latencies)}});
}

Metrics::Shard &Metrics::shardFor(std::string_view name) const
{
    return m_shards[hash64(name) % ShardCount];
}

} // namespace cicadagap
