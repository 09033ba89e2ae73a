// A version of the operators' configuration: which databases there are, what their readers accept,
// and which group serves them. Immutable once built.
#pragma once

#include "base/millis.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadagap {

// What a read of a database must see.
enum class Consistency {
    Strong,           // Every acknowledged commit.
    BoundedStaleness, // Every commit acknowledged longer than `maxAge` ago.
    ReadYourWrites,   // As BoundedStaleness, and every commit of the same session.
};

struct DatabaseRoute
{
    std::string database;
    std::string group;
    Consistency consistency = Consistency::Strong;
    Millis maxAge;           // Not for Consistency::Primary.
    Millis statementTimeout; // Of a single statement at an instance.
    Millis latencyObjective; // Of a whole operation.
    int priority = 0;        // 0 goes first.
};

struct GroupSettings
{
    std::string name;
    int maxConnections = 0; // That one instance accepts from all hosts together.
    int syncReplicas = 0;   // Replicas that hold a commit before it is acknowledged.
};

struct RoutingTable
{
    std::uint64_t version = 0; // 0: none known yet.
    std::map<std::string, DatabaseRoute, std::less<>> databases;
    std::map<std::string, GroupSettings, std::less<>> groups;
    Millis transactionIdle = Millis(3000); // An idle transaction may be ended after this long.
};

} // namespace cicadagap
