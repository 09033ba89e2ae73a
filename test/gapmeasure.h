// Measures the write gap: how long writes cannot land after a failure, in virtual time with the
// Cooperativa's latencies (1 ms inside a data centre, 12 ms between regions).
#pragma once

#include "testworld.h"

#include <string_view>

namespace cicadagap {

struct GapFailure
{
    std::string_view name;
    void (*apply)(TestWorld *world, const std::string &number); // Of the primary and its host.
    int changes = 0; // Of primary, that it should bring about.
};

struct Gap
{
    Millis length;
    int changes = 0; // Of primary, after the first.
};

extern const std::vector<GapFailure> GapFailures;

// Applies the failure once while callers write and observes for 15 s.
Gap measureGap(const GapFailure &failure, std::uint64_t seed);

} // namespace cicadagap
