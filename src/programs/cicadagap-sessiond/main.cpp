// cicadagap-sessiond: the session server, which serves callers' sessions on one host.
#include "base/joined.h"
#include "bootfile.h"
#include "process/log.h"
#include "sessionserver.h"
#include "storeclient.h"
#include "wirecodec.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

using namespace cicadagap;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;

// The boot file is read again at this interval, and when SIGHUP asks for it.
constexpr Millis ReloadInterval(5000);

// Logs and counts an event about fields of the boot file, if there are any.
void reportFields(std::string_view event, const std::vector<std::string> &fields,
                  SessionServer *server)
{
    if (fields.empty())
        return;
    logEvent(LogLevel::Warning, event, {{"fields", joined(fields, ", ")}});
    server->metrics()->add(event);
}

// The boot file of a process that runs.
struct BootFile
{
    std::string path;
    BootSettings atStart;
    BootSettings current; // The last one that could be read.
};

// Reads the boot file and applies the settings that may change while the process runs: the
// platform's endpoints and the bounds. The others take effect with a restart of the process, which
// fails while the file is refused: the metric gives warning of that.
void reload(BootFile *file, StoreClient *platform, SessionServer *server)
{
    Reason reason;
    const std::optional<BootSettings> boot = loadBootFile(file->path, &reason);
    if (!boot) {
        logEvent(LogLevel::Error, "settings.refused", {{"reason", reason.text()}});
        server->metrics()->add("settings.refused");
        return;
    }
    if (*boot == file->current)
        return;
    file->current = *boot;
    platform->setAddresses(*boot);
    server->setBounds({.gracePeriod = boot->gracePeriod,
                       .configurationBound = boot->configurationBound,
                       .instanceDrainTime = boot->instanceDrainTime});
    logEvent(LogLevel::Info, "settings.reloaded",
             {{"store", boot->storeEndpoint.text()},
              {"graceMs", boot->gracePeriod.count()},
              {"drainMs", boot->instanceDrainTime.count()},
              {"configurationMs", boot->configurationBound.count()}});
    reportFields("settings.defaulted", boot->defaulted, server);
    reportFields("settings.restart-needed", fieldsThatNeedARestart(file->atStart, *boot), server);
}

int run(const std::string &file, bool checkOnly)
{
    Reason reason;
    const std::optional<BootSettings> boot = loadBootFile(file, &reason);
    if (!boot) {
        std::cerr << file << ": " << reason.text() << '\n';
        return ExitUsage;
    }
    if (checkOnly) {
        std::cout << file << ": valid; host " << boot->host << " in " << boot->dataCentre << '\n';
        for (const std::string &field : boot->defaulted)
            std::cout << file << ": " << field << " has no usable value; a default is used\n";
        return 0;
    }
    startLog({.program = "cicadagap-sessiond", .host = boot->host, .toStandardOutput = true});
    EventLoop loop({.threads = 1});
    const WireCodec codec;
    StoreClient platform(&loop, *boot);
    SessionServer server(&loop,
                         {.host = boot->host,
                          .dataCentre = boot->dataCentre,
                          .callerEndpoint = boot->callerEndpoint,
                          .readinessEndpoint = boot->readinessEndpoint,
                          .peerEndpoint = boot->peerEndpoint,
                          .weight = boot->weight,
                          .gracePeriod = boot->gracePeriod,
                          .configurationBound = boot->configurationBound,
                          .instanceDrainTime = boot->instanceDrainTime,
                          .fencedPromotions = boot->fencedPromotions},
                         &codec, &platform);
    if (!server.start(&reason)) {
        std::cerr << reason.text() << '\n';
        return ExitFailed;
    }
    loop.onStopSignal([&server] { server.stop(); });
    reportFields("settings.defaulted", boot->defaulted, &server);
    BootFile bootFile{.path = file, .atStart = *boot, .current = *boot};
    const auto reloadNow = [&] { reload(&bootFile, &platform, &server); };
    loop.onReloadSignal([reloadNow] {
        logEvent(LogLevel::Info, "settings.reload-requested", {});
        reloadNow();
    });
    loop.every(ReloadInterval, reloadNow);
    logEvent(LogLevel::Info, "server.started", {{"listen", boot->callerEndpoint.text()}});
    loop.run();
    logEvent(LogLevel::Info, "server.stopped", {});
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options(
            "cicadagap-sessiond",
            "Serves callers' sessions on one host.\n"
            "Exit codes: 0 stopped, 1 cannot start, 2 wrong usage or settings.");
        auto add = options.add_options();
        add("settings",
            std::string("The host's settings file; otherwise the one that the variable ")
                + BootFileVariable + " names",
            cxxopts::value<std::string>());
        add("check", "Check the settings file and exit");
        add("help", "Print this text");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        const char *environmentPath = std::getenv(BootFileVariable);
        if (!arguments.count("settings") && !environmentPath) {
            std::cerr << "no settings file: give --settings or set " << BootFileVariable << '\n';
            return ExitUsage;
        }
        const std::string file = arguments.count("settings")
            ? arguments["settings"].as<std::string>()
            : std::string(environmentPath);
        const int code = run(file, arguments.count("check") > 0);
        // Exits without joining the log library's worker threads: they have nothing left to do, and
        // joining them can take long.
        std::cout.flush();
        std::_Exit(code);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; try --help\n";
        return ExitUsage;
    }
}
