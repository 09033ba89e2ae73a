// cicadagap-load: runs a customer's workload against a running system and checks the answers that
// callers get.
#include "connection/blockinghttpclient.h"
#include "connection/wire.h"
#include "report.h"
#include "runner.h"

#include <boost/json/array.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <future>
#include <iostream>
#include <thread>

using namespace cicadagap;

namespace {

constexpr int ExitDone = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr int ExitViolated = 3;
constexpr std::size_t InstancesPerGroup = 3;

cxxopts::Options commandLine()
{
    cxxopts::Options options(
        "cicadagap-load",
        "Runs a customer's workload against a running system, prints a report as JSON and compares "
        "the answers with the rows of the stand-in targets.\n"
        "Exit codes: 0 clean, 1 cannot run, 2 wrong usage, 3 a write was lost or duplicated or ran "
        "although answered \"not run\", a read was stale, or transactions were interleaved.\n"
        "Example: cicadagap-load --workload cooperativa --entry 127.0.0.1:8001,127.0.0.1:8002 "
        "--target 127.0.0.1:7001,... --seconds 20 --svg run.svg");
    auto add = options.add_options();
    add("workload", "cooperativa or ashgrove",
        cxxopts::value<std::string>()->default_value("cooperativa"));
    add("entry", "Caller addresses of the hosts", cxxopts::value<std::vector<std::string>>());
    add("target", "Addresses of the stand-in targets, three for each group in order",
        cxxopts::value<std::vector<std::string>>());
    add("sessions", "Number of concurrent sessions", cxxopts::value<int>()->default_value("20"));
    add("seconds", "Duration of the run", cxxopts::value<double>()->default_value("10"));
    add("ramp-s", "Sessions start evenly over this time; latencies and rates count from its end",
        cxxopts::value<double>()->default_value("0"));
    add("think-ms", "Mean think time of a session between requests", cxxopts::value<int>());
    add("threads", "Number of threads", cxxopts::value<int>()->default_value("2"));
    add("seed", "Seed; runs with different seeds write different rows",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("svg", "File for an SVG picture", cxxopts::value<std::string>()->default_value(""));
    add("print-settings", "Print the workload's team settings for these targets and exit");
    add("help", "Print this text");
    return options;
}

std::vector<Endpoint> endpointsOption(const cxxopts::ParseResult &arguments,
                                      const std::string &name)
{
    std::vector<Endpoint> result;
    if (!arguments.count(name))
        throw cxxopts::exceptions::exception("--" + name + " is missing");
    for (const std::string &text : arguments[name].as<std::vector<std::string>>()) {
        Reason reason;
        const auto endpoint = parseEndpoint(text, &reason);
        if (!endpoint)
            throw cxxopts::exceptions::exception("--" + name + ": " + reason.text());
        result.push_back(*endpoint);
    }
    return result;
}

// Returns the primary among the instances of a group: the one of the highest term, if several
// report that they are primary.
std::optional<Endpoint> findPrimary(BlockingHttpClient *client,
                                    const std::vector<Endpoint> &instances)
{
    std::optional<Endpoint> primary;
    std::uint64_t term = 0;
    for (const Endpoint &instance : instances) {
        const auto response = client->call(instance, {.target = "/status"}, nullptr, Millis(1000));
        const auto report = response ? decodeReport(response->body, nullptr) : std::nullopt;
        if (report && report->primary && report->term >= term) {
            term = report->term;
            primary = instance;
        }
    }
    return primary;
}

// Counts the rows on the primaries. Returns false if a group has no primary that answers.
bool countRows(BlockingHttpClient *client, const Workload &workload,
               const std::vector<Endpoint> &targets, RowCounts *rows, std::size_t *interleaved)
{
    for (std::size_t g = 0; g < workload.groups.size(); ++g) {
        const auto begin = targets.begin() + static_cast<std::ptrdiff_t>(g * InstancesPerGroup);
        const std::vector<Endpoint> instances(begin, begin + InstancesPerGroup);
        const auto primary = findPrimary(client, instances);
        const auto response = primary
            ? client->call(*primary, {.target = "/rows?table=load"}, nullptr, Millis(20'000))
            : std::nullopt;
        const auto page = response ? parseObject(response->body, nullptr) : std::nullopt;
        if (!page || !page->contains("rows"))
            return false;
        for (const auto &row : page->at("rows").as_object()) {
            for (const auto &value : row.value().as_array())
                ++(*rows)[workload.groups[g]]
                         [std::string(row.key()) + "/" + value.as_string().c_str()];
        }
        *interleaved += static_cast<std::size_t>(numberMember(*page, "mixed"));
    }
    return true;
}

int runWorkload(const Workload &workload, const cxxopts::ParseResult &arguments)
{
    const std::vector<Endpoint> targets = endpointsOption(arguments, "target");
    if (targets.size() != workload.groups.size() * InstancesPerGroup)
        throw cxxopts::exceptions::exception("--target: expected three for each group");
    WorkloadRunner::Options options;
    options.workload = workload;
    options.entries = endpointsOption(arguments, "entry");
    options.sessions = arguments["sessions"].as<int>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.duration = Millis(static_cast<std::int64_t>(arguments["seconds"].as<double>() * 1000));
    options.ramp = Millis(static_cast<std::int64_t>(arguments["ramp-s"].as<double>() * 1000));
    if (arguments.count("think-ms"))
        options.thinkTime = Millis(arguments["think-ms"].as<int>());
    EventLoop loop({.threads = arguments["threads"].as<int>()});
    const auto runner = std::make_shared<WorkloadRunner>(&loop, options);
    const SteadyClock clock;
    const Millis startedAt = clock.now();
    runner->start([&loop] { loop.stop(); });
    loop.run();
    const Millis duration = clock.now() - startedAt;
    std::vector<Observation> observations = runner->takeObservations();
    std::erase_if(observations, [&options](const Observation &observation) {
        return observation.startedAt < options.ramp;
    });
    RowCounts rows;
    std::size_t interleaved = 0;
    BlockingHttpClient client;
    if (!countRows(&client, workload, targets, &rows, &interleaved)) {
        std::cerr
            << "cannot compare the rows of the targets: a group has no primary that answers\n";
        return ExitFailed;
    }
    LoadReport report
        = makeReport(workload, duration - options.ramp, observations, runner->takeWrites(), rows);
    report.interleaved = interleaved;
    report.cutAnswers = static_cast<std::size_t>(runner->cutAnswers());
    std::cout << reportJson(report) << '\n';
    const std::string svg = arguments["svg"].as<std::string>();
    if (!svg.empty())
        std::ofstream(svg) << reportSvg(report, workload, observations);
    return report.clean() ? ExitDone : ExitViolated;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = commandLine();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return ExitDone;
        }
        const auto workload = workloadNamed(arguments["workload"].as<std::string>());
        if (!workload)
            throw cxxopts::exceptions::exception("--workload: expected cooperativa or ashgrove");
        if (arguments.count("print-settings")) {
            std::cout << settingsFor(*workload, arguments["target"].as<std::vector<std::string>>());
            return ExitDone;
        }
        return runWorkload(*workload, arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; try --help\n";
        return ExitUsage;
    }
}
