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

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

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

struct Counter
{
    std::string textName; // In the text format.
    std::int64_t value = 0;
};

struct Distribution
{
    std::string textName;
    Accumulator values = Accumulator(acc::extended_p_square_probabilities = Quantiles);
    // For each bound, the number of values at or below it.
    std::array<std::int64_t, BucketBounds.size()> cumulativeCounts{};
};

// Takes what comes after MaxSeries.
constexpr std::string_view OtherName = "other";
constexpr std::string_view CounterEnding = "_total";
constexpr std::string_view DistributionEnding = "_ms";
constexpr std::size_t MaxNameBytes = 200;
// Of a name that cannot be reported as it is.
constexpr std::size_t KeptNameBytes = 64;

// Whether the text format permits the character in a name.
bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'
        || c == ':';
}

std::string replaceOthers(std::string_view name)
{
    std::string text(name);
    std::replace_if(
        text.begin(), text.end(), [](char c) { return !isNameCharacter(c); }, '_');
    return text;
}

bool isReportable(std::string_view name)
{
    const auto isPrintable = [](char c) { return c >= ' ' && c <= '~'; };
    return name.size() <= MaxNameBytes && std::all_of(name.begin(), name.end(), isPrintable);
}

// The name under which a metric is kept and reported. A digest tells names that cannot be reported
// as they are from each other.
// `storage` holds it if it is another one than `name`.
std::string_view reportedName(std::string_view name, std::string *storage)
{
    if (isReportable(name))
        return name;
    *storage = replaceOthers(name.substr(0, KeptNameBytes)) + "_" + hash64Digits(name);
    return *storage;
}

// Appends the histogram and the quantiles of a distribution to `text`.
void appendHistogram(const Distribution &distribution, std::string *text)
{
    const std::string &name = distribution.textName;
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

// Gives each series a name of its own in the Prometheus text format, which permits fewer characters
// than the names of metrics have.
class Metrics::TextNames
{
public:
    // Returns nothing if there are MaxSeries names. Names of OtherName do not count.
    std::optional<std::string> allot(std::string_view name, std::string_view ending)
    {
        const std::string start = "cicadagap_" + replaceOthers(name);
        std::string text = start + std::string(ending);
        MutexLock lock(&m_mutex);
        if (name != OtherName && m_names.size() >= MaxSeries)
            return std::nullopt;
        for (std::uint64_t seed = 0; !m_names.insert(text).second; ++seed)
            text = start + "_" + hash64Digits(name, seed) + std::string(ending);
        return text;
    }

private:
    Mutex m_mutex;
    std::set<std::string> m_names CICADAGAP_GUARDED_BY(m_mutex);
};

struct Metrics::Shard
{
    mutable Mutex mutex;
    std::map<std::string, Counter, std::less<>> counters CICADAGAP_GUARDED_BY(mutex);
    std::map<std::string, Distribution, std::less<>> distributions CICADAGAP_GUARDED_BY(mutex);
};

Metrics::Metrics()
    : m_shards(std::make_unique<Shard[]>(ShardCount))
    , m_textNames(std::make_unique<TextNames>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::int64_t count)
{
    std::string storage;
    if (!tryAdd(reportedName(name, &storage), count))
        tryAdd(OtherName, count);
}

void Metrics::observe(std::string_view name, Millis value)
{
    std::string storage;
    if (!tryObserve(reportedName(name, &storage), value))
        tryObserve(OtherName, value);
}

// Returns false if the counter is new and there is no room for it.
bool Metrics::tryAdd(std::string_view name, std::int64_t count)
{
    Shard &shard = shardFor(name);
    MutexLock lock(&shard.mutex);
    auto found = shard.counters.find(name);
    if (found == shard.counters.end()) {
        std::optional<std::string> textName = m_textNames->allot(name, CounterEnding);
        if (!textName)
            return false;
        found = shard.counters.emplace(name, Counter{.textName = std::move(*textName)}).first;
    }
    found->second.value += count;
    return true;
}

// Returns false if the distribution is new and there is no room for it.
bool Metrics::tryObserve(std::string_view name, Millis value)
{
    Shard &shard = shardFor(name);
    MutexLock lock(&shard.mutex);
    auto found = shard.distributions.find(name);
    if (found == shard.distributions.end()) {
        std::optional<std::string> textName = m_textNames->allot(name, DistributionEnding);
        if (!textName)
            return false;
        found = shard.distributions.emplace(name, Distribution{.textName = std::move(*textName)})
                    .first;
    }
    Distribution &distribution = found->second;
    distribution.values(static_cast<double>(value.count()));
    for (std::size_t i = 0; i < BucketBounds.size(); ++i)
        distribution.cumulativeCounts[i] += value.count() <= BucketBounds[i] ? 1 : 0;
    return true;
}

std::string Metrics::json() const
{
    json::object counters;
    json::object latencies;
    for (std::size_t i = 0; i < ShardCount; ++i) {
        const Shard &shard = m_shards[i];
        MutexLock lock(&shard.mutex);
        for (const auto &counter : shard.counters)
            counters[counter.first] = counter.second.value;
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
            const std::string &name = counter.second.textName;
            text += "# TYPE " + name + " counter\n";
            text += name + " " + std::to_string(counter.second.value) + "\n";
        }
        for (const auto &entry : shard.distributions)
            appendHistogram(entry.second, &text);
    }
    return text;
}

Metrics::Shard &Metrics::shardFor(std::string_view name) const
{
    return m_shards[hash64(name) % ShardCount];
}

} // namespace cicadagap
