// The operators' commands. Each returns the program's exit code and prints what it did.
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
    ExitFailed = 1,  // Something did not answer.
    ExitUsage = 2,   // Wrong usage or settings.
    ExitRefused = 3, // Refused: another change was first, or the request did not run.
    ExitUnknown = 4, // Unknown: the change or the request may have taken effect.
};

// Checks a settings file without any running system.
int checkFile(const std::string &file);

struct ApplyOptions
{
    std::string file;
    Endpoint platform;
    std::optional<std::uint64_t> expected;
};
// Puts a settings file into force, unless somebody changed the team's settings meanwhile.
int applyFile(const ApplyOptions &options);

struct WaitOptions
{
    Endpoint entry; // Any host's callers address.
    std::string team;
    std::uint64_t version = 0;
    Millis timeout = Millis(12'000);
};
// Waits until each live host has at least that version in force.
int waitForVersion(const WaitOptions &options);

// Prints the settings in the platform's table.
int showSettings(const Endpoint &platform, const std::string &team);
// Prints what a host knows: hosts, primaries, gateways, the age of its settings.
int showStatus(const Endpoint &entry);

struct OutcomeOptions
{
    Endpoint entry;
    std::string team;
    std::string group;
    std::string requestId;
};
// Tells what became of a request id; one that has not run is cancelled for good.
int showOutcome(const OutcomeOptions &options);

struct BurnOptions
{
    Endpoint entry;
    bool json = false;
    std::string svg; // File for a picture; empty: none.
};
// The service-level burn of all hosts together.
int showBurn(const BurnOptions &options);

// Tells from log files ("-": standard input) what became of a request and why.
int explain(const std::string &requestId, const std::vector<std::string> &files);

// Replaces the platform's host list with one made from host settings files.
int registerHosts(const Endpoint &platform, const std::vector<std::string> &files);

// Prints the reference of all settings as Markdown.
int printReference();

} // namespace cicadagap
