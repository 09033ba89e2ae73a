// The instances that registered themselves, as the platform lists them.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadagap {

struct RegisteredInstance
{
    std::string id;
    std::string group;
    Endpoint endpoint;
    std::string dataCentre;
    int slots = 1; // Statements that run at a time.
    bool leaving = false;
    bool registeredAsPrimary = false;
    std::int64_t incarnation = 0; // Time of its start; a restarted instance may have lost its log.

    bool operator==(const RegisteredInstance &) const = default;
};

} // namespace cicadagap
