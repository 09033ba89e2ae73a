// When a host writes its own record into the platform's store: at its start, at a fixed interval,
// and after the store came back from an older copy of itself, which may lack the record.
//
// Load pattern: all hosts learn of a restore at about the same time, and write again within a fixed
// time, each at its own moment.
#pragma once

#include "base/millis.h"
#include "session/hostdirectory.h"

#include <cstdint>
#include <string>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe.
class HostRegistration
{
public:
    struct Options
    {
        Millis interval = HostRenewalInterval;
        Millis spread = Millis(4000); // After a restore, until all hosts have written again.
    };

    // `host` is this host's name.
    HostRegistration(const std::string &host, Options options);

    // The store is known to be in this epoch.
    void onEpoch(Millis now, std::uint64_t epoch);
    // Whether the record has to be written now. The next time is then after the interval.
    bool takeDue(Millis now);

private:
    Options m_options;
    Millis m_delay; // This host's part of the spread.
    Millis m_nextAt;
    std::uint64_t m_epoch = 0; // 0: not known.
};

} // namespace cicadagap
