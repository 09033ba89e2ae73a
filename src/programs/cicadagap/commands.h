// The commands of the operators' command line. Each prints its result to the standard output and
// problems to the standard error, and returns the exit code of the program.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

enum ExitCode {
    ExitDone = 0,
    ExitFailed = 1,  // A process or file that is needed could not be reached, or time ran out.
    ExitUsage = 2,   // Wrong usage or invalid settings.
    ExitRefused = 3, // Refused: a concurrent change came first, or the request did not run.
    ExitUnknown = 4, // Unknown: the change or the request may have taken effect.
};

// Checks a settings file. Needs no running system.
int checkFile(const std::string &file);

struct ApplyOptions
{
    std::string file;
    Endpoint platform;
    // The version of the team's settings that the change is based on, if it must be the current
    // one.
    std::optional<std::uint64_t> expected;
};
// Writes a settings file to the platform, from where the hosts put it into force. Refuses if the
// team's settings were changed concurrently or are not at the expected version.
int applyFile(const ApplyOptions &options);

struct WaitOptions
{
    Endpoint entry; // The caller address of any host.
    std::string team;
    std::uint64_t version = 0;
    Millis timeout = Millis(12'000);
};
// Waits until each live host has that version or a later one in force.
int waitForVersion(const WaitOptions &options);

// Prints a team's settings as stored on the platform.
int showSettings(const Endpoint &platform, const std::string &team);
// Prints the status page of a host: the hosts, primaries and gateways that it knows, and the age of
// its settings.
int showStatus(const Endpoint &entry);

struct OutcomeOptions
{
    Endpoint entry;
    std::string team;
    std::string group;
    std::string requestId;
};
// Prints whether the request with this id ran. If it has not, its id is cancelled, so that it can
// never run.
int showOutcome(const OutcomeOptions &options);

struct BurnOptions
{
    Endpoint entry;
    bool json = false;
    std::string svg; // The file for an SVG picture; empty for none.
};
// Prints the burn rates of all priority classes, over all live hosts together.
int showBurn(const BurnOptions &options);

// Prints from log files ("-" is the standard input) how a request was handled and why.
int explain(const std::string &requestId, const std::vector<std::string> &files);

// Replaces the host list of the platform's stand-in by one made from host settings files.
int registerHosts(const Endpoint &platform, const std::vector<std::string> &files);

// Prints a reference of all settings as Markdown.
int printReference();

} // namespace cicadagap
