// cicadagap-standin-target: one instance of a database group, for tests and the demo. Not for
// production.
#include "process/log.h"
#include "targetserver.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace cicadagap;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;

cxxopts::Options commandLine()
{
    cxxopts::Options options("cicadagap-standin-target",
                             "A stand-in for one instance of a database group.\n"
                             "Example: cicadagap-standin-target --name t1 --listen 127.0.0.1:7001 "
                             "--member t2=127.0.0.1:7002 --member t3=127.0.0.1:7003");
    auto add = options.add_options();
    add("name", "Name of the instance", cxxopts::value<std::string>());
    add("listen", "IP:PORT to listen on", cxxopts::value<std::string>());
    add("member", "NAME=IP:PORT of another instance; repeat",
        cxxopts::value<std::vector<std::string>>());
    add("slots", "Statements that run at the same time", cxxopts::value<int>()->default_value("3"));
    add("connections", "Connections that it accepts", cxxopts::value<int>()->default_value("20"));
    add("service-ms", "Time that a statement takes", cxxopts::value<int>()->default_value("1"));
    add("connect-ms", "Time that a new connection takes",
        cxxopts::value<int>()->default_value("10"));
    add("replication-delay-ms", "One-way delay of replication",
        cxxopts::value<int>()->default_value("0"));
    add("data", "File that keeps the log across restarts",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "Print this text");
    return options;
}

bool addMember(const std::string &text, TargetServer::Options *options, Reason *reason)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        reason->set("\"" + text + "\" is not NAME=IP:PORT");
        return false;
    }
    const auto endpoint = parseEndpoint(text.substr(equals + 1), reason);
    if (!endpoint)
        return false;
    options->members[text.substr(0, equals)] = *endpoint;
    return true;
}

int run(const cxxopts::ParseResult &arguments)
{
    Reason reason;
    TargetServer::Options options;
    options.name = arguments["name"].as<std::string>();
    const auto listen = parseEndpoint(arguments["listen"].as<std::string>(), &reason);
    if (!listen) {
        std::cerr << "--listen: " << reason.text() << '\n';
        return ExitUsage;
    }
    options.listen = *listen;
    if (arguments.count("member")) {
        for (const std::string &member : arguments["member"].as<std::vector<std::string>>()) {
            if (!addMember(member, &options, &reason)) {
                std::cerr << "--member: " << reason.text() << '\n';
                return ExitUsage;
            }
        }
    }
    options.slots = arguments["slots"].as<int>();
    options.connections = arguments["connections"].as<int>();
    options.service = Millis(arguments["service-ms"].as<int>());
    options.connect = Millis(arguments["connect-ms"].as<int>());
    options.replicationDelay = Millis(arguments["replication-delay-ms"].as<int>());
    options.dataFile = arguments["data"].as<std::string>();
    startLog({.program = "cicadagap-standin-target", .host = options.name});
    EventLoop loop({.threads = 1});
    TargetServer server(&loop, options);
    if (!server.start(&reason)) {
        std::cerr << reason.text() << '\n';
        return ExitFailed;
    }
    loop.onStopSignal([&loop] { loop.stop(); });
    logEvent(LogLevel::Info, "target.started", {{"listen", server.endpoint().text()}});
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = commandLine();
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
