// cicadagap: the operators' command line.
#include "commands.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace cicadagap;

namespace {

constexpr const char *Help = R"(cicadagap: operate a cicadagap system

Commands
  check FILE                 check a team's settings; needs no running system
  apply FILE                 put a team's settings into force (compare-and-set)
  wait                       wait until a version is in force on every live host
  show                       print a team's settings as the platform has them
  status                     print a host's status: hosts, primaries, gateways
  outcome                    print whether a request id ran; if not, cancel the id
  burn                       print the error budget burn rates by team and priority class
  explain ID FILE...         print how a request was handled, from log files ("-": standard input)
  register FILE...           set the host list of the platform's stand-in
  reference                  print a reference of all settings

Examples
  cicadagap check valle.json
  cicadagap apply valle.json --platform 127.0.0.1:9000 --expect 3
  cicadagap wait --team valle --version 4 --entry 127.0.0.1:8001
  cicadagap outcome --team valle --group tensile --request-id pull-77 --entry 127.0.0.1:8001
  cicadagap burn --entry 127.0.0.1:8001 --svg burn.svg
  cicadagap explain 5c0e7a21d94b36f8 host1.log host2.log

Exit codes
  0 done   1 something did not answer   2 wrong usage or settings
  3 refused, nothing was changed or run   4 unknown, it may have taken effect
)";

cxxopts::Options commandLine()
{
    cxxopts::Options options("cicadagap");
    auto add = options.add_options();
    add("command", "", cxxopts::value<std::string>());
    add("files", "", cxxopts::value<std::vector<std::string>>());
    add("platform", "", cxxopts::value<std::string>()->default_value("127.0.0.1:9000"));
    add("entry", "", cxxopts::value<std::string>()->default_value("127.0.0.1:8001"));
    add("team", "", cxxopts::value<std::string>());
    add("group", "", cxxopts::value<std::string>());
    add("request-id", "", cxxopts::value<std::string>());
    add("version", "", cxxopts::value<std::uint64_t>());
    add("expect", "", cxxopts::value<std::uint64_t>());
    add("timeout-ms", "", cxxopts::value<int>()->default_value("12000"));
    add("json", "");
    add("svg", "", cxxopts::value<std::string>()->default_value(""));
    add("help", "");
    options.parse_positional({"command", "files"});
    return options;
}

Endpoint endpointOption(const cxxopts::ParseResult &arguments, const std::string &name)
{
    Reason reason;
    const auto endpoint = parseEndpoint(arguments[name].as<std::string>(), &reason);
    if (!endpoint)
        throw cxxopts::exceptions::exception("--" + name + ": " + reason.text());
    return *endpoint;
}

std::vector<std::string> files(const cxxopts::ParseResult &arguments)
{
    if (!arguments.count("files"))
        throw cxxopts::exceptions::exception("expected a file");
    return arguments["files"].as<std::vector<std::string>>();
}

int apply(const cxxopts::ParseResult &arguments)
{
    ApplyOptions options{.file = files(arguments).front(),
                         .platform = endpointOption(arguments, "platform")};
    if (arguments.count("expect"))
        options.expected = arguments["expect"].as<std::uint64_t>();
    return applyFile(options);
}

int run(const std::string &command, const cxxopts::ParseResult &arguments)
{
    const auto text = [&arguments](const char *name) { return arguments[name].as<std::string>(); };
    if (command == "check")
        return checkFile(files(arguments).front());
    if (command == "apply")
        return apply(arguments);
    if (command == "wait")
        return waitForVersion({.entry = endpointOption(arguments, "entry"),
                               .team = text("team"),
                               .version = arguments["version"].as<std::uint64_t>(),
                               .timeout = Millis(arguments["timeout-ms"].as<int>())});
    if (command == "show")
        return showSettings(endpointOption(arguments, "platform"), text("team"));
    if (command == "status")
        return showStatus(endpointOption(arguments, "entry"));
    if (command == "outcome")
        return showOutcome({.entry = endpointOption(arguments, "entry"),
                            .team = text("team"),
                            .group = text("group"),
                            .requestId = text("request-id")});
    if (command == "burn")
        return showBurn({.entry = endpointOption(arguments, "entry"),
                         .json = arguments.count("json") > 0,
                         .svg = text("svg")});
    if (command == "explain") {
        std::vector<std::string> logs = files(arguments);
        const std::string requestId = logs.front();
        logs.erase(logs.begin());
        if (logs.empty())
            throw cxxopts::exceptions::exception("expected an id and log files");
        return explain(requestId, logs);
    }
    if (command == "register")
        return registerHosts(endpointOption(arguments, "platform"), files(arguments));
    if (command == "reference")
        return printReference();
    std::cerr << "unknown command \"" << command << "\"; try --help\n";
    return ExitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = commandLine();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") || !arguments.count("command")) {
            std::cout << Help;
            return arguments.count("help") ? ExitDone : ExitUsage;
        }
        return run(arguments["command"].as<std::string>(), arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; try --help\n";
        return ExitUsage;
    }
}
