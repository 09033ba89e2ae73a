// The instances of all groups, as they registered themselves with the platform.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// One instance: a process that holds a copy of its group's data and runs statements.
struct RegisteredInstance
{
    std::string id;
    std::string group;
    Endpoint endpoint;
    std::string dataCentre;
    int slots = 1;                    // The number of statements that it runs at a time.
    bool leaving = false;             // It takes no new work and will stop.
    bool registeredAsPrimary = false; // A hint only; it may have lost the role since.
    // The time of its process's start. It differs after a restart, in which the instance may have
    // lost its log.
    std::int64_t incarnation = 0;

    bool operator==(const RegisteredInstance &) const = default;
};

// What a host knows of the instances of some groups.
struct ListedInstances
{
    std::vector<RegisteredInstance> instances;
    // Until when each of those that leave certainly runs.
    std::map<std::string, Millis> runsUntil;
    Millis readAt = Millis(0); // When the platform had this list, on this process's clock.

    // The instance's entry in runsUntil; nothing if it does not leave.
    std::optional<Millis> endOf(const std::string &id) const
    {
        const auto found = runsUntil.find(id);
        return found == runsUntil.end() ? std::nullopt : std::optional<Millis>(found->second);
    }
};

} // namespace cicadagap
