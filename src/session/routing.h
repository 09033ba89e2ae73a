// The routing table: one version of the operators' configuration. It says which databases exist,
// which group of instances serves each of them, how recent the data must be that its readers get,
// and which tenants may use them. Immutable once built.
#pragma once

#include "base/millis.h"
#include "base/reason.h"
#include "session/tenant.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadagap {

// Which commits a read of a database must see. Hosts send the values to each other by number.
enum class Consistency {
    Strong,           // Every acknowledged commit.
    BoundedStaleness, // Every commit acknowledged longer than `maxAge` ago.
    ReadYourWrites,   // As BoundedStaleness, and every commit of the same session.
};

// How the statements for one database are run.
struct DatabaseRoute
{
    std::string database;
    std::string group; // The group of instances that serves it.
    Consistency consistency = Consistency::Strong;
    Millis maxAge;           // The age that read data may have; unused with Consistency::Strong.
    Millis statementTimeout; // For a single statement on an instance.
    Millis latencyObjective; // For a whole operation, from the statement's arrival to its answer.
    int priority = 0;        // 0 goes first.
    bool isPublic = false;   // Callers need no key, also where there are tenants.

    bool operator==(const DatabaseRoute &) const = default;
};

// A group: instances that replicate one log, of which one is primary.
struct GroupSettings
{
    std::string name;
    int maxConnections = 0; // Connections that one instance accepts from all hosts together.
    int syncReplicas = 0;   // Replicas that must hold a commit before it is acknowledged.

    bool operator==(const GroupSettings &) const = default;
};

// All databases and groups. Versions grow with each change.
struct RoutingTable
{
    std::uint64_t version = 0; // 0 if none is known yet.
    std::map<std::string, DatabaseRoute, std::less<>> databases;
    std::map<std::string, GroupSettings, std::less<>> groups;
    Millis transactionIdle = Millis(3000); // An idle transaction may be ended after this long.
    // Callers need a key of one of the tenants, except for public databases. If not, callers' keys
    // mean nothing.
    bool requiresKeys = false;
    std::map<std::string, Tenant, std::less<>> tenants;
    std::map<ApiKey, std::string> keyHolders; // The name of the tenant of each key.

    // Adds a tenant with its keys. Adds nothing and returns false, with a reason, if there is a
    // tenant of that name or one that holds one of the keys.
    bool addTenant(Tenant tenant, Reason *reason);
    // The tenant that holds the key; null if none does.
    const Tenant *tenantOf(const ApiKey &key) const;
};

} // namespace cicadagap
