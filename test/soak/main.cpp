// cicadagap-soak: runs the soak test with one seed and reports the result as a JSON line.
#include "process/log.h"
#include "soak.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <iostream>

using namespace cicadagap;

namespace {

constexpr int ExitViolated = 1;
constexpr int ExitUsage = 2;

boost::json::array textList(const std::vector<std::string> &texts)
{
    boost::json::array list;
    for (const std::string &text : texts)
        list.emplace_back(text);
    return list;
}

int times(const SoakReport &report, BrokenRule rule)
{
    const auto found = report.broken.find(rule);
    return found == report.broken.end() ? 0 : found->second;
}

boost::json::object delays(const SoakReport &report)
{
    boost::json::object object;
    for (const auto &[during, delay] : report.configurationDelays)
        object[during] = delay.count();
    return object;
}

void print(const SoakOptions &options, const SoakReport &report)
{
    std::cout << boost::json::serialize(
        boost::json::object{{"seed", options.seed},
                            {"pinned", times(report, BrokenRule::Pinned)},
                            {"unasked", times(report, BrokenRule::Unasked)},
                            {"violations", textList(report.violations)},
                            {"answered", report.answered},
                            {"refused", report.refused},
                            {"uncertain", report.uncertain},
                            {"replicaReads", report.replicaReads},
                            {"promotions", report.promotions},
                            {"configurations", report.configurations},
                            {"configurationAnswersJudged", report.configurationAnswersJudged},
                            {"configurationDelaysMs", delays(report)},
                            {"longestWriteGapMs", report.longestWriteGap.count()},
                            {"faults", textList(report.faults)}})
              << std::endl;
}

int run(const cxxopts::ParseResult &arguments)
{
    const std::optional<StormSchedule> storms
        = StormScheduleNames.value(arguments["storms"].as<std::string>());
    if (!storms) {
        std::cerr << "--storms is off, drawn, rounds or idle\n";
        return ExitUsage;
    }
    const Millis duration(arguments["seconds"].as<std::int64_t>() * 1000);
    if (duration < StoreStorms::leastDuration(*storms)) {
        std::cerr << "no storm happens within --seconds\n";
        return ExitUsage;
    }
    SoakOptions options{.hosts = arguments["hosts"].as<int>(),
                        .groups = arguments["groups"].as<int>(),
                        .callers = arguments["callers"].as<int>(),
                        .tenants = arguments["tenants"].as<int>(),
                        .connections = arguments["connections"].as<int>(),
                        .fencedPromotions = arguments["fencing"].as<std::string>() != "off",
                        .restores = arguments["restores"].as<std::string>() == "on",
                        .refusals = arguments["refusals"].as<std::string>() == "on",
                        .storms = *storms,
                        .duration = duration,
                        .address = arguments["address"].as<std::string>(),
                        .program = arguments["program"].as<std::string>(),
                        .work = arguments["work"].as<std::string>()};
    options.seed = arguments["seed"].as<std::uint64_t>();
    startLog({.program = "cicadagap-soak", .host = "soak", .level = LogLevel::Error});
    SoakReport report;
    Reason reason;
    Soak soak(options);
    if (!soak.run(&report, &reason)) {
        std::cerr << reason.text() << '\n';
        return ExitUsage;
    }
    print(options, report);
    return report.violations.empty() ? 0 : ExitViolated;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options(
            "cicadagap-soak",
            "Runs the soak test with one seed on real processes.\n"
            "Exit codes: 0 every guarantee held, 1 one was violated, 2 not started.");
        auto add = options.add_options();
        add("seed", "Seed of the faults and callers",
            cxxopts::value<std::uint64_t>()->default_value("1"));
        add("seconds", "Duration of the faults",
            cxxopts::value<std::int64_t>()->default_value("15"));
        add("hosts", "Number of session servers", cxxopts::value<int>()->default_value("4"));
        add("groups", "Number of database groups of three instances",
            cxxopts::value<int>()->default_value("2"));
        add("callers", "Number of callers, each with one session at a time",
            cxxopts::value<int>()->default_value("36"));
        add("tenants", "Number of tenants whose keys callers show; 0 if they need none",
            cxxopts::value<int>()->default_value("0"));
        add("connections", "Connections that an instance accepts",
            cxxopts::value<int>()->default_value("22"));
        add("fencing", "Whether the platform checks fencing tokens: on or off",
            cxxopts::value<std::string>()->default_value("on"));
        add("restores", "Whether the store also comes back from older copies of itself: on or off",
            cxxopts::value<std::string>()->default_value("off"));
        add("refusals",
            "Whether instances refuse statements that restore sessions' state: on or off",
            cxxopts::value<std::string>()->default_value("off"));
        add("storms",
            "Whether the store turns hosts away while the configuration changes quickly: off, "
            "drawn "
            "(besides the other faults), or in their place: rounds (after outages of the store) "
            "or idle (beside idle connections that were forgotten)",
            cxxopts::value<std::string>()->default_value("off"));
        add("program", "Path of the session server",
            cxxopts::value<std::string>()->default_value("build/cicadagap-sessiond"));
        add("address", "Loopback address of all listeners",
            cxxopts::value<std::string>()->default_value("127.0.0.1"));
        add("work", "Directory for boot files and logs",
            cxxopts::value<std::string>()->default_value("/tmp"));
        add("help", "Print this text");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; try --help\n";
        return ExitUsage;
    }
}
