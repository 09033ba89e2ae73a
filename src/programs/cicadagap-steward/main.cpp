// cicadagap-steward, the control plane of one host: it distributes settings, tracks which hosts are
// alive, and replaces primaries that fail.
#include "process/log.h"
#include "steward.h"
#include "version/settingsfile.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace cicadagap;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;
constexpr Millis LeavingNoticeTime(300); // For the other hosts to receive that this one is leaving.

int run(const std::string &file)
{
    const auto settings = loadHostSettings(file);
    if (!settings)
        return ExitUsage;
    startLog({.program = "cicadagap-steward",
              .host = settings->host,
              .level = *LogLevelNames.value(settings->logLevel)});
    EventLoop loop({.threads = 1});
    Steward steward(&loop, *settings);
    Reason reason;
    if (!steward.start(&reason)) {
        std::cerr << reason.text() << '\n';
        return ExitFailed;
    }
    loop.onStopSignal([&loop, &steward] {
        steward.leave();
        loop.after(LeavingNoticeTime, [&loop] { loop.stop(); });
    });
    logEvent(LogLevel::Info, "steward.started", {{"listen", steward.endpoint().text()}});
    loop.run();
    logEvent(LogLevel::Info, "steward.stopped", {});
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options(
            "cicadagap-steward",
            "The control plane of one host: distributes settings, tracks hosts "
            "and primaries, and replaces primaries that fail.\n"
            "Exit codes: 0 stopped, 1 cannot start, 2 invalid usage or settings.");
        auto add = options.add_options();
        add("settings", "The host's settings file", cxxopts::value<std::string>());
        add("help", "Print this text");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; try --help\n";
        return ExitUsage;
    }
}
