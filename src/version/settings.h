// One version of a team's settings, and the settings of one process.
//
// Values of these types are immutable once read: a change of settings is a new version. Reading and
// checking is in version/settingsreader.h.
#pragma once

#include "base/millis.h"
#include "base/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

enum class StatementKind {
    Read,
    Write,
};

inline constexpr NameTable<StatementKind, 2> StatementKindNames{{{
    {StatementKind::Read, "read"},
    {StatementKind::Write, "write"},
}}};

enum class Priority {
    Top,      // Before everything else, save what has waited too long.
    Weighted, // Shares what the top classes leave, by weight.
};

inline constexpr NameTable<Priority, 2> PriorityNames{{{
    {Priority::Top, "top"},
    {Priority::Weighted, "weighted"},
}}};

struct InstanceSettings
{
    std::string address; // "IP:PORT"
    std::string dataCentre;
};

// A database group.
struct GroupSettings
{
    std::map<std::string, InstanceSettings> instances;
    int slots = 3;        // Statements that an instance executes at a time.
    int connections = 20; // Connections that an instance accepts.
};

// A declared kind of statement.
struct StatementSettings
{
    StatementKind kind = StatementKind::Read;
    std::string priorityClass = "default";
    std::optional<Millis> maxAge; // A read that accepts data of this age.
    bool neverRepeat = false;     // A write that needs a request id and runs at most once.
};

struct ClassSettings
{
    Priority priority = Priority::Weighted;
    int weight = 1;
    int reservedSlots = 0; // Slots an instance keeps free for this class. Top classes only.
};

// A promise on one class, measured by the burn report.
struct Objective
{
    Millis latency = Millis(1000); // An answer within this time is good.
    double goodPercent = 99.9;     // Share of good answers promised.
};

struct LimitSettings
{
    int queueLength = 200;       // For each class, group instance and gateway.
    Millis aging = Millis(2000); // Waiting this long moves work ahead of its class.
    int retryPercent = 10;       // Retries as a share of first attempts.
};

struct TimeoutSettings
{
    Millis statement = Millis(2000); // From arrival to answer, unless the caller asks for less.
    Millis attempt = Millis(1000);   // An attempt that may be repeated is repeated after this time.
    Millis connect = Millis(500);
    Millis transactionIdle = Millis(5000);
    Millis replicaWait = Millis(20); // A read waits this long for a replica to catch up.
    Millis probe = Millis(700); // An instance that answers no probe within this time looks failed.
    Millis ledgerRetention = Millis(86'400'000); // How long outcomes of request ids are kept.
};

// Everything one team declares.
struct TeamSettings
{
    std::string team;
    std::map<std::string, GroupSettings> groups;
    std::map<std::string, StatementSettings> statements;
    std::map<std::string, ClassSettings> classes;
    std::map<std::string, Objective> objectives; // By class.
    LimitSettings limits;
    TimeoutSettings timeouts;
    std::vector<std::string> tokenKeys; // The first signs; all verify.
};

// What one host's processes need to start.
struct HostSettings
{
    std::string host;
    std::string dataCentre;
    std::string callerAddress;      // HTTP for callers and operators.
    std::string peerAddress;        // Streams from other cicadagapd processes and the own steward.
    std::string stewardAddress;     // Streams from other stewards.
    std::string platformAddress;    // The platform's service.
    std::vector<std::string> seeds; // Steward addresses to ask while the platform is down.
    int threads = 2;
    std::string logLevel = "info";
};

// The class that statements belong to unless they name another.
inline constexpr const char *DefaultClass = "default";

} // namespace cicadagap
