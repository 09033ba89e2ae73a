// Which hosts of a data centre have stopped, as its platform reader sees it.
//
// Each host of a data centre regularly asks the platform reader for updates (see platformcache.h),
// so the reader notices at no cost when one has stopped. The store then needs no frequent renewal
// of every host's record: its load grows with the number of hosts that start and stop, not with the
// number of hosts.
//
// A host that was only silent, or cut off from the reader, keeps serving: it loses the roles of
// gateway and platform reader, and takes part again as soon as it renews its record.
//
// Expected load: the hosts of one data centre, each asking every one or two seconds; all of them at
// once after a loss of power.
#pragma once

#include "base/millis.h"
#include "session/hostdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// The requests that a platform reader got from the hosts of its data centre.
//
// Performs no I/O and reads no clock. Not thread-safe.
class HostLiveness
{
public:
    struct Options
    {
        // A host that has not asked for longer counts as stopped. Longer than a host stays away
        // from a reader that failed once.
        Millis silence = Millis(25'000);
        // A longer time between two calls of takeSilent() means that this process was suspended,
        // or was not the reader meanwhile: the hosts had no one to ask.
        Millis checkLimit = Millis(4000);
    };

    HostLiveness()
        : HostLiveness(Options{})
    {
    }
    explicit HostLiveness(Options options)
        : m_options(options)
    {
    }

    // The host asked for updates.
    void onRequest(Millis now, const std::string &host);
    // The hosts among `expected` that have stopped: they neither asked nor renewed their records.
    // Each is reported once in Options::silence, and again if its record comes back as it was:
    // when the store is restored from an older copy. To be called regularly while this host is the
    // platform reader.
    std::vector<HostRecord> takeSilent(Millis now, const std::vector<HostRecord> &expected);

private:
    struct Follower
    {
        Millis lastSign; // Of life, or when the host was first expected to ask.
        std::uint64_t heartbeat = 0;
    };

    // A host that was reported.
    struct Reported
    {
        std::uint64_t heartbeat = 0;
        bool withdrawn = false; // Its record was seen to be gone.
    };

    bool cameBack(const HostRecord &record);

    Options m_options;
    std::map<std::string, Reported> m_reported;
    std::optional<Millis> m_lastCheck;
    std::map<std::string, Follower> m_followers;
};

} // namespace cicadagap
