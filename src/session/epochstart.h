// Since when an epoch of the platform's store lasts (see storeposition.h). The store itself does
// not say, so the first host that sees an epoch records the instant, on the store's clock, in a row
// of the store. Hosts that start later learn from it that the epoch is not a new one.
//
// Load pattern: one row an epoch; read by the hosts that read the platform for others, when they
// start and when an epoch begins.
#pragma once

#include "session/platformclient.h"

#include <functional>
#include <optional>

namespace cicadagap {

struct EpochStart
{
    Millis seenAt; // The epoch had begun by then. On the store's clock, as `storeNow`.
    Millis storeNow;
};

// Reads when the epoch was first seen, and records it if no host has. The callback runs once; it
// gets nothing if the store did not answer, or answered in another epoch. The client must outlive
// the call.
void findEpochStart(PlatformClient *platform, std::uint64_t epoch,
                    std::function<void(std::optional<EpochStart>)> done);

} // namespace cicadagap
