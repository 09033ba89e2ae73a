// What a session host needs of the platform: the operators' configuration, the registered
// instances, a row for each duty, and the order to promote. Abstract, so that another platform is
// one more class.
#pragma once

#include "base/millis.h"
#include "base/verdict.h"
#include "session/hostdirectory.h"
#include "session/primarychange.h"
#include "session/registry.h"
#include "session/routing.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// A duty's row. An absent row has version 0 and no text.
struct LeaseRecord
{
    std::string text;
    std::uint64_t version = 0;
    Millis storeNow; // The store's clock when it answered.
};

// All callbacks run on the event loop, exactly once. A missing result means that the platform did
// not answer or refused; the implementation logs why.
class PlatformClient
{
public:
    PlatformClient() = default;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    virtual ~PlatformClient() = default;

    // The newest configuration. With `wait`, only once it is newer than the last one returned, or
    // the time is over: then it is the last one again.
    virtual void configuration(Millis wait, std::function<void(std::optional<RoutingTable>)> done)
        = 0;
    virtual void instances(std::function<void(std::optional<std::vector<RegisteredInstance>>)> done)
        = 0;
    // The system's hosts, and this host's own record among them.
    virtual void hosts(std::function<void(std::optional<std::vector<HostRecord>>)> done) = 0;
    virtual void registerHost(const HostRecord &record, std::function<void(Verdict)> done) = 0;
    virtual void readLease(const std::string &group,
                           std::function<void(std::optional<LeaseRecord>)> done)
        = 0;
    // Replaces the row if it still has `version`. NotRun if it has not; MayHaveRun without answer.
    virtual void writeLease(const std::string &group, const std::string &text,
                            std::uint64_t version, std::function<void(Verdict)> done)
        = 0;
    virtual void promote(const std::string &group, const std::string &instance,
                         std::uint64_t fencingToken, std::function<void(PromotionResult)> done)
        = 0;
};

} // namespace cicadagap
