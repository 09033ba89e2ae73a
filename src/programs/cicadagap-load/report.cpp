#include "report.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace cicadagap {

namespace json = boost::json;

namespace {

Millis quantile(const std::vector<Millis> &sorted, double q)
{
    if (sorted.empty())
        return Millis();
    const auto index = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

double share(std::size_t part, std::size_t all)
{
    return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

void addLatencies(const Workload &workload, const std::vector<Observation> &observations,
                  LoadReport *report)
{
    std::map<std::string, std::vector<Millis>> latencies;
    for (const Observation &observation : observations) {
        const std::string &name = workload.operations[observation.operation].className;
        ClassReport &row = report->classes[name];
        ++row.count;
        row.ran += observation.verdict == Verdict::Ran ? 1 : 0;
        row.notRun += observation.verdict == Verdict::NotRun ? 1 : 0;
        row.mayHaveRun += observation.verdict == Verdict::MayHaveRun ? 1 : 0;
        if (observation.verdict == Verdict::Ran)
            latencies[name].push_back(observation.latency);
    }
    for (auto &entry : latencies) {
        std::sort(entry.second.begin(), entry.second.end());
        ClassReport &row = report->classes[entry.first];
        row.p50 = quantile(entry.second, 0.5);
        row.p99 = quantile(entry.second, 0.99);
        row.max = entry.second.back();
    }
}

void addReplicaShares(const Workload &workload, const std::vector<Observation> &observations,
                      LoadReport *report)
{
    std::size_t boundedAgeReads = 0;
    std::size_t boundedAgeReplicaReads = 0;
    std::size_t ownReads = 0;
    std::size_t ownReplicaReads = 0;
    const std::string &ownClass = workload.operations.front().className;
    for (const Observation &observation : observations) {
        const WorkloadOperation &operation = workload.operations[observation.operation];
        report->stale += observation.stale ? 1 : 0;
        if (operation.write || observation.verdict != Verdict::Ran)
            continue;
        const bool readsOwnWrites = operation.className == ownClass;
        (readsOwnWrites ? ownReads : boundedAgeReads) += 1;
        if (observation.replica)
            (readsOwnWrites ? ownReplicaReads : boundedAgeReplicaReads) += 1;
    }
    report->replicaShareBoundedAge = share(boundedAgeReplicaReads, boundedAgeReads);
    report->replicaShareOwnWrites = share(ownReplicaReads, ownReads);
}

void addWriteGap(const Workload &workload, const std::vector<Observation> &observations,
                 LoadReport *report)
{
    std::map<std::size_t, std::vector<Millis>> endsByGroup;
    for (const Observation &observation : observations) {
        if (workload.operations[observation.operation].write && observation.verdict == Verdict::Ran)
            endsByGroup[observation.group].push_back(observation.startedAt + observation.latency);
    }
    for (auto &entry : endsByGroup) {
        std::sort(entry.second.begin(), entry.second.end());
        Millis last = entry.second.front();
        for (const Millis end : entry.second) {
            report->writeGap = std::max(report->writeGap, end - last);
            last = end;
        }
    }
}

void compareRows(const std::vector<WriteRecord> &writes, const RowCounts &rows, LoadReport *report)
{
    for (const WriteRecord &write : writes) {
        int count = 0;
        if (const auto group = rows.find(write.group); group != rows.end()) {
            const auto row = group->second.find(write.key + "/" + write.value);
            count = row == group->second.end() ? 0 : row->second;
        }
        report->acknowledgedWrites += write.verdict == Verdict::Ran ? 1 : 0;
        report->lost += write.verdict == Verdict::Ran && count == 0 ? 1 : 0;
        report->duplicated += count > 1 ? 1 : 0;
        report->falseNotRun += write.verdict == Verdict::NotRun && count > 0 ? 1 : 0;
        report->unresolved += write.verdict == Verdict::MayHaveRun ? 1 : 0;
    }
}

} // namespace

LoadReport makeReport(const Workload &workload, Millis duration,
                      const std::vector<Observation> &observations,
                      const std::vector<WriteRecord> &writes, const RowCounts &rows)
{
    LoadReport report;
    report.workload = workload.name;
    report.duration = duration;
    addLatencies(workload, observations, &report);
    addReplicaShares(workload, observations, &report);
    addWriteGap(workload, observations, &report);
    compareRows(writes, rows, &report);
    std::size_t ran = 0;
    for (const auto &row : report.classes)
        ran += row.second.ran;
    report.answersPerSecond = static_cast<double>(ran) * 1000.0
        / static_cast<double>(std::max<std::int64_t>(1, duration.count()));
    return report;
}

std::string reportJson(const LoadReport &report)
{
    json::object classes;
    for (const auto &entry : report.classes) {
        const ClassReport &row = entry.second;
        classes[entry.first] = json::object{
            {"count", row.count},           {"ran", row.ran},           {"notRun", row.notRun},
            {"mayHaveRun", row.mayHaveRun}, {"p50Ms", row.p50.count()}, {"p99Ms", row.p99.count()},
            {"maxMs", row.max.count()}};
    }
    return json::serialize(
        json::object{{"workload", report.workload},
                     {"durationMs", report.duration.count()},
                     {"answersPerSecond", std::lround(report.answersPerSecond)},
                     {"classes", std::move(classes)},
                     {"replicaPercentBounded", std::lround(report.replicaShareBoundedAge * 100)},
                     {"replicaPercentOwn", std::lround(report.replicaShareOwnWrites * 100)},
                     {"writeGapMs", report.writeGap.count()},
                     {"acknowledgedWrites", report.acknowledgedWrites},
                     {"lost", report.lost},
                     {"doubled", report.duplicated},
                     {"falseNotRun", report.falseNotRun},
                     {"unsettled", report.unresolved},
                     {"stale", report.stale},
                     {"mixed", report.interleaved},
                     {"cut", report.cutAnswers}});
}

std::string reportSvg(const LoadReport &report, const Workload &workload,
                      const std::vector<Observation> &observations)
{
    constexpr double Width = 900;
    constexpr double Height = 360;
    constexpr double Left = 60;
    constexpr double Top = 40;
    constexpr double MaxLogLatency = 4; // The common logarithm of 10 s in milliseconds.
    const std::vector<std::string> colours{"#b03030", "#2f6f9f", "#3a7d44", "#8a6d3b"};
    std::map<std::string, std::string> colourByClass;
    for (const auto &row : report.classes)
        colourByClass[row.first] = colours[colourByClass.size() % colours.size()];
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width + 200 << "' height='"
        << Height + 90 << "' font-family='sans-serif' font-size='13'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n<text x='" << Left
        << "' y='22' font-size='16'>" << report.workload << ": latency of each answer; write gap "
        << report.writeGap.count() << " ms; lost " << report.lost << ", duplicated "
        << report.duplicated << "</text>\n";
    const auto yForLatency = [](double ms) {
        return Top + Height - std::log10(std::max(ms, 1.0)) / MaxLogLatency * Height;
    };
    for (const int ms : {1, 10, 100, 1000, 10000}) {
        svg << "<line x1='" << Left << "' x2='" << Left + Width << "' y1='" << yForLatency(ms)
            << "' y2='" << yForLatency(ms) << "' stroke='#dddddd'/><text x='4' y='"
            << yForLatency(ms) + 4 << "'>" << ms << " ms</text>\n";
    }
    const double span = static_cast<double>(std::max<std::int64_t>(1, report.duration.count()));
    for (const Observation &observation : observations) {
        const double x = Left + static_cast<double>(observation.startedAt.count()) / span * Width;
        const bool ran = observation.verdict == Verdict::Ran;
        const std::string &name = workload.operations[observation.operation].className;
        svg << "<circle cx='" << x << "' cy='"
            << yForLatency(static_cast<double>(observation.latency.count())) << "' r='"
            << (ran ? 1.5 : 3.5) << "' fill='" << (ran ? colourByClass[name] : "#000000")
            << "' fill-opacity='0.6'/>\n";
    }
    double y = Top;
    for (const auto &entry : report.classes) {
        svg << "<text x='" << Left + Width + 12 << "' y='" << y << "' fill='"
            << colourByClass[entry.first] << "'>" << entry.first << ": p50 "
            << entry.second.p50.count() << ", p99 " << entry.second.p99.count() << " ms</text>\n";
        y += 20;
    }
    svg << "<text x='" << Left + Width + 12 << "' y='" << y
        << "'>black: not run, or may have run</text>\n"
        << "<text x='" << Left << "' y='" << Top + Height + 30 << "'>0 s</text><text x='"
        << Left + Width - 30 << "' y='" << Top + Height + 30 << "'>" << span / 1000
        << " s</text>\n</svg>\n";
    return svg.str();
}

} // namespace cicadagap
