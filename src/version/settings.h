// The settings of a team (a customer) and of a host.
//
// A value of these types does not change once it has been read: a change of a team's settings
// creates a new version. version/settingsreader.h reads and validates them; version/schema.cpp
// lists all keys.
#pragma once

#include "base/millis.h"
#include "base/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Whether a statement changes rows.
enum class StatementKind {
    Read,
    Write,
};

inline constexpr NameTable<StatementKind, 2> StatementKindNames{{{
    {StatementKind::Read, "read"},
    {StatementKind::Write, "write"},
}}};

// The priority of a class of statements at an instance.
enum class Priority {
    Top,      // Goes before everything else, except statements that have waited too long.
    Weighted, // Shares the capacity that the top classes leave, in proportion to its weight.
};

inline constexpr NameTable<Priority, 2> PriorityNames{{{
    {Priority::Top, "top"},
    {Priority::Weighted, "weighted"},
}}};

// One instance of a database group.
struct InstanceSettings
{
    std::string address; // "IP:PORT"
    std::string dataCentre;
};

// A database group: one primary and its replicas.
struct GroupSettings
{
    std::map<std::string, InstanceSettings> instances;
    int slots = 3;        // Statements that an instance executes concurrently.
    int connections = 20; // Connections that an instance accepts at most.
};

// A statement that the team declared under a name.
struct StatementSettings
{
    StatementKind kind = StatementKind::Read;
    std::string priorityClass = "default";
    std::optional<Millis> maxAge; // For reads: accepts data up to this age.
    bool neverRepeat = false;     // For writes: requires a request id and runs at most once.
};

// A priority class of statements.
struct ClassSettings
{
    Priority priority = Priority::Weighted;
    int weight = 1; // Of weighted classes.
    // Slots that an instance keeps free for this class. Only top classes may reserve slots.
    int reservedSlots = 0;
};

// The service-level objective of one priority class. The burn rate report measures against it.
struct Objective
{
    Millis latency = Millis(1000); // An answer within this time is good.
    double goodPercent = 99.9;     // Percentage of good answers that is guaranteed.
};

// Limits under load.
struct LimitSettings
{
    int queueLength = 200;       // Waiting statements for each class, instance and gateway.
    Millis aging = Millis(2000); // A statement that waited this long goes ahead of its class.
    int retryPercent = 10;       // Retries as a percentage of first attempts.
};

// Timeouts and other durations.
struct TimeoutSettings
{
    Millis statement = Millis(2000); // From arrival to answer, unless the caller requests less.
    Millis attempt = Millis(1000);   // An attempt that may be repeated is repeated after this time.
    Millis connect = Millis(500);    // For opening a connection to an instance.
    Millis transactionIdle = Millis(5000); // An idle transaction is rolled back after this time.
    Millis replicaWait = Millis(20);       // How long a read waits for a replica to catch up.
    Millis probe = Millis(700); // A probe that is not answered within this time has failed.
    Millis ledgerRetention = Millis(86'400'000); // How long the outcome of a request id is kept.
};

// Everything that one team declares.
struct TeamSettings
{
    std::string team;
    std::map<std::string, GroupSettings> groups;
    std::map<std::string, StatementSettings> statements;
    std::map<std::string, ClassSettings> classes;
    std::map<std::string, Objective> objectives; // By class.
    LimitSettings limits;
    TimeoutSettings timeouts;
    // Keys of the session tokens. The first one signs; all of them verify.
    std::vector<std::string> tokenKeys;
};

// What the processes of one host need to start. Addresses have the form "IP:PORT".
struct HostSettings
{
    std::string host;
    std::string dataCentre;
    std::string callerAddress; // Serves HTTP to callers and operators.
    // For streams from other daemons (cicadagapd) and from the steward of this host.
    std::string peerAddress;
    std::string stewardAddress;     // For streams from other stewards.
    std::string platformAddress;    // Where the platform's service listens.
    std::vector<std::string> seeds; // Steward addresses to ask while the platform is down.
    int threads = 2;
    std::string logLevel = "info";
};

// The priority class of statements that specify none.
inline constexpr const char *DefaultClass = "default";

} // namespace cicadagap
