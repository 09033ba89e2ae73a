#include "session/instancechoice.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cicadagap {

namespace {

// Assumed round trip to an instance that has not answered yet, in the same data centre and in
// another one.
constexpr Millis LocalRoundTrip(2);
constexpr Millis RemoteRoundTrip(25);
// Expected wait for an instance that has no connection left for this host.
constexpr Millis NoConnectionCost(400);
// A report loses half of its weight in this time.
constexpr double ReportHalfLifeMs = 500;
// Differences of cost that are no reason to prefer an instance. Round trips are measured in whole
// milliseconds.
constexpr double NearlyEqualMs = 1;
// The part of the expected waits by which they may be wrong.
constexpr double WaitUncertainty = 0.5;

double toMs(Millis time)
{
    return static_cast<double>(time.count());
}

double reportWeight(const ReportedWait &report)
{
    return std::exp2(-toMs(std::max(Millis(0), report.age)) / ReportHalfLifeMs);
}

// What is believed of an old report: the mean of the reports on the candidates.
double meanReportedMs(const std::vector<InstanceCandidate> &candidates)
{
    double sum = 0;
    double weights = 0;
    for (const InstanceCandidate &candidate : candidates) {
        if (!candidate.report)
            continue;
        const double weight = reportWeight(*candidate.report);
        sum += weight * toMs(candidate.report->wait);
        weights += weight;
    }
    return weights > 0 ? sum / weights : 0;
}

double waitMs(const InstanceCandidate &candidate, double meanMs)
{
    if (!candidate.report)
        return toMs(candidate.ownWait);
    const double weight = reportWeight(*candidate.report);
    return weight * toMs(candidate.report->wait) + (1 - weight) * meanMs
        + toMs(candidate.sentSince);
}

double networkMs(const InstanceCandidate &candidate)
{
    if (candidate.roundTrip > Millis(0))
        return toMs(candidate.roundTrip);
    return toMs(candidate.sameDataCentre ? LocalRoundTrip : RemoteRoundTrip);
}

} // namespace

InstanceChoice::InstanceChoice(std::string_view host)
    : m_random(hash64(host))
{
}

std::vector<double> InstanceChoice::probabilities(const std::vector<InstanceCandidate> &candidates)
{
    const double meanMs = meanReportedMs(candidates);
    std::vector<double> waits;
    std::vector<double> costs;
    for (const InstanceCandidate &candidate : candidates) {
        waits.push_back(waitMs(candidate, meanMs));
        costs.push_back(networkMs(candidate) + waits.back()
                        + (candidate.noConnection ? toMs(NoConnectionCost) : 0));
    }
    const bool allAside = std::all_of(candidates.begin(), candidates.end(),
                                      [](const auto &candidate) { return candidate.share <= 0; });
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if ((allAside || candidates[index].share > 0) && (!best || costs[index] < costs[*best]))
            best = index;
    }
    std::vector<double> weights(candidates.size(), 0);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double scale = NearlyEqualMs + WaitUncertainty * (waits[index] + waits[*best]) / 2;
        const double share = allAside ? 1 : std::clamp(candidates[index].share, 0.0, 1.0);
        if (share > 0)
            weights[index] = share * std::exp(-(costs[index] - costs[*best]) / scale);
    }
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (double &weight : weights)
        weight /= sum;
    return weights;
}

std::optional<std::size_t> InstanceChoice::choose(const std::vector<InstanceCandidate> &candidates)
{
    if (candidates.empty())
        return std::nullopt;
    constexpr std::uint64_t Steps = std::uint64_t(1) << 32;
    double left = static_cast<double>(m_random.below(Steps)) / static_cast<double>(Steps);
    const std::vector<double> chances = probabilities(candidates);
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < chances.size(); ++index) {
        if (chances[index] <= 0)
            continue;
        chosen = index;
        left -= chances[index];
        if (left < 0)
            break;
    }
    return chosen;
}

} // namespace cicadagap
