// Which replicas lag too far behind for a read.
//
// Expected load: replicas that fall seconds behind for a while, and reads that accept data of
// about a second. Without a memory each read finds out anew: the replica refuses it, and it goes
// elsewhere. A host sends an instance few reads, so the instance's gateways, which see the reads of
// all hosts, remember too, and refuse them in its place.
#pragma once

#include "base/millis.h"

#include <map>
#include <set>
#include <string>

namespace cicadagap {

// What the answers of instances tell about their lag. Performs no I/O and reads no clock. Not
// thread-safe.
//
//     ReplicaLag lag({});
//     lag.onBehind(now, "i1", Millis(1500));
//     if (!lag.isBehind(now, "i1", maxAge))
//         read("i1");
class ReplicaLag
{
public:
    struct Options
    {
        // An instance that refused a read is believed to lag for this long; for twice as long, up
        // to `longestMemory`, if the first read after that is refused too.
        Millis firstMemory = Millis(250);
        Millis longestMemory = Millis(1000);
    };

    explicit ReplicaLag(Options options)
        : m_options(options)
    {
    }

    // The instance refused a read because it lacks what was committed `maxAge` ago. Returns whether
    // it was not known to lag.
    bool onBehind(Millis now, const std::string &instance, Millis maxAge);
    // The instance served such a read. Returns whether it was known to lag so far.
    bool onServed(const std::string &instance, Millis maxAge);
    // Whether the instance would probably refuse a read that accepts data of this age.
    bool isBehind(Millis now, const std::string &instance, Millis maxAge) const;
    // Forgets all other instances.
    void keepOnly(const std::set<std::string> &instances);

private:
    struct Lag
    {
        Millis atLeast;
        Millis until; // Not believed any more from then on.
        Millis memory;
    };

    Options m_options;
    std::map<std::string, Lag> m_lags; // By instance.
};

} // namespace cicadagap
