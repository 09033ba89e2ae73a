// The interface to the platform that a deployment runs on. It stores the operators' configuration
// and the registered instances and hosts, keeps a row for each group's promotion lease, and
// promotes instances. Abstract, so that support for another platform is one more class.
#pragma once

#include "base/millis.h"
#include "base/verdict.h"
#include "session/hostdirectory.h"
#include "session/primarychange.h"
#include "session/registry.h"
#include "session/routing.h"
#include "session/storeposition.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// The row of a group's promotion lease (the right to replace the group's primary), as stored. A row
// that does not exist has version 0 and no text.
struct LeaseRecord
{
    std::string text;  // See parseLease().
    StorePosition row; // The row's version, in the epoch in which the store answered.
    Millis storeNow;   // The time on the store's clock when it answered.
};

// When an epoch of the store was first seen, as the hosts recorded it.
struct EpochRecord
{
    std::optional<Millis> seenAt; // On the store's clock; nothing if no host has recorded it.
    Millis storeNow;              // The time on the store's clock when it answered.
    std::uint64_t epoch = 0;      // In which it answered.
};

using ConfigurationReading = StoreReading<RoutingTable>;
using InstanceReading = StoreReading<std::vector<RegisteredInstance>>;
using HostReading = StoreReading<std::vector<HostRecord>>;

// A client of the platform. Each call returns at once, and its callback runs exactly once, on the
// event loop. A missing result means that the platform did not answer or refused; the
// implementation logs why.
class PlatformClient
{
public:
    PlatformClient() = default;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    virtual ~PlatformClient() = default;

    // Reads the newest configuration. If `wait` is not zero, the platform answers as soon as there
    // is a newer one than the last one returned, or with the last one again when `wait` is over.
    virtual void configuration(Millis wait,
                               std::function<void(std::optional<ConfigurationReading>)> done)
        = 0;
    // For how long an answer to configuration() has been arriving; nothing if none is. It makes
    // progress: otherwise the call is given up.
    virtual std::optional<Millis> configurationTransferTime() const { return std::nullopt; }
    // Lists the registered instances.
    virtual void instances(std::function<void(std::optional<InstanceReading>)> done) = 0;
    // Lists the records of the system's hosts, this host's own among them.
    virtual void hosts(std::function<void(std::optional<HostReading>)> done) = 0;
    // Writes or renews this host's own record.
    virtual void registerHost(const HostRecord &record, std::function<void(Verdict)> done) = 0;
    // Reads the row of the group's promotion lease.
    virtual void readLease(const std::string &group,
                           std::function<void(std::optional<LeaseRecord>)> done)
        = 0;
    // Replaces the row of the lease if it still has the version that was read, and no host has
    // recorded a later epoch than that of the reading: versions are given out again in each epoch.
    // The verdict is NotRun otherwise. It is MayHaveRun if the platform did not answer, or wrote
    // the row in a later epoch, in which the conditions say nothing.
    virtual void writeLease(const std::string &group, const std::string &text, StorePosition row,
                            std::function<void(Verdict)> done)
        = 0;
    // Reads when the epoch was first seen.
    virtual void readEpoch(std::uint64_t epoch,
                           std::function<void(std::optional<EpochRecord>)> done)
        = 0;
    // Records when the epoch was first seen, unless a host already has.
    virtual void recordEpoch(std::uint64_t epoch, Millis seenAt, std::function<void(Verdict)> done)
        = 0;
    // Requests the promotion of an instance to primary of its group, under a lease's fencing token.
    virtual void promote(const std::string &group, const std::string &instance,
                         std::uint64_t fencingToken, std::function<void(PromotionResult)> done)
        = 0;
};

} // namespace cicadagap
