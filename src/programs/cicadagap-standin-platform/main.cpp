// cicadagap-standin-platform: a stand-in for the platform's services, for tests and the demo. Not
// for production.
#include "platformserver.h"
#include "process/log.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

using namespace cicadagap;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;

int run(const cxxopts::ParseResult &arguments)
{
    Reason reason;
    PlatformServer::Options options;
    const auto listen = parseEndpoint(arguments["listen"].as<std::string>(), &reason);
    if (!listen) {
        std::cerr << "--listen: " << reason.text() << '\n';
        return ExitUsage;
    }
    options.listen = *listen;
    options.lag = Millis(arguments["lag-ms"].as<int>());
    if (arguments.count("hosts")) {
        std::ifstream file(arguments["hosts"].as<std::string>());
        options.hosts.assign(std::istreambuf_iterator<char>(file), {});
    }
    startLog({.program = "cicadagap-standin-platform", .host = "platform"});
    EventLoop loop({.threads = 1});
    PlatformServer server(&loop, options);
    if (!server.start(&reason)) {
        std::cerr << reason.text() << '\n';
        return ExitFailed;
    }
    loop.onStopSignal([&loop] { loop.stop(); });
    logEvent(LogLevel::Info, "platform.started", {{"listen", server.endpoint().text()}});
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("cicadagap-standin-platform",
                                 "A stand-in for the platform's table service, object store and "
                                 "host list.");
        auto add = options.add_options();
        add("listen", "IP:PORT to listen on", cxxopts::value<std::string>());
        add("hosts", "File with the first host list", cxxopts::value<std::string>());
        add("lag-ms", "How far the host list lags behind",
            cxxopts::value<int>()->default_value("1000"));
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
