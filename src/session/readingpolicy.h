// Decides which hosts of a data centre read the platform's store themselves, and when they repeat a
// reading that failed. Load pattern: a version of the configuration that takes seconds on a narrow
// link. If all hosts begin to read it because the platform reader is not done yet, all links are
// full; if they repeat together what failed together, they stay so.
#pragma once

#include "base/hash.h"
#include "base/millis.h"
#include "session/platformcache.h"

#include <optional>

namespace cicadagap {

// How old the data of the platform reader may be. A reader with older data is taken to be cut off
// from the platform.
struct ReaderAgeLimits
{
    Millis configuration;
    Millis instances;
    // A changed configuration has to be in force within this time. While the reader receives a
    // newer one, its configuration may be older by so much.
    Millis configurationBound;
};

// Whether the followers of the reader need not read the configuration themselves.
bool hasRecentConfiguration(const PlatformUpdate &update, const ReaderAgeLimits &limits);
// The same for the lists of instances and hosts.
bool hasRecentLists(const PlatformUpdate &update, const ReaderAgeLimits &limits);

// Whether a transfer that has been arriving for so long is taken to fill this host's link, so that
// answers of instances wait behind it. Ends at the bound, so that an instance that failed meanwhile
// is noticed.
bool mayFillLink(std::optional<Millis> readingTime, const ReaderAgeLimits &limits);

// The time until a reading is repeated that has failed so many times in a row. The platform reader
// repeats it soon, and passes on what it gets. The other hosts double the delay and draw it from
// its upper half, so that they neither burden a store that refuses all of them nor meet there.
Millis readingRetryDelay(Millis first, int failures, bool isReader, Random *random);

} // namespace cicadagap
