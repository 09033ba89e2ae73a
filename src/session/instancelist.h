// The registered instances as one host knows them: which of them leave, and until when those may be
// given new work.
//
// An instance that is about to stop announces it, and serves on for a fixed time after the platform
// has accepted its notice. The platform does not tell when that was, and a host sees its list of
// instances only from time to time. What a host does know is when it last saw the instance without
// a notice, so it counts the time from there: it never counts longer than the instance does.
//
// When the platform's store comes back from an older copy of itself, the list may for a while show
// instances as they were before. Such a list is not settled: it adds to what the host knows, but
// takes nothing back, and proves neither that an instance is ready nor that it is gone.
#pragma once

#include "base/millis.h"
#include "session/registry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe. Instants are of one clock of this process.
class InstanceList
{
public:
    struct Options
    {
        // An instance that is no longer registered counts as leaving after the first period, and is
        // removed after the second. One that had announced that it leaves has ended, and is removed
        // after the third.
        Millis leavingAfterMissing = Millis(2500);
        Millis removedAfterMissing = Millis(5000);
        Millis removedAfterLeaving = Millis(500);
        // An instance may get new work for this long after the platform accepted its notice.
        Millis drainTime = Millis(7000);
        // So long an ended instance is remembered, which a list that is not settled may show again.
        Millis endedMemory = Millis(60'000);
        // Taken off drainTime: for a list of instances on its way to this host, and a statement on
        // its way to the instance.
        Millis drainMargin = Millis(500);
    };

    // An instance that was found to be leaving.
    struct Departure
    {
        std::string id;
        std::string group;
        bool announced = false; // Otherwise it is no longer registered.
        // When it was last seen without a notice; nothing if this host never saw it so.
        std::optional<Millis> lastReady;
        Millis newWorkUntil; // See InstanceList::newWorkUntil().
    };

    explicit InstanceList(Options options)
        : m_options(options)
    {
    }

    // Takes over the whole list of registered instances, as the platform had it at `readAt`.
    // `settled` is false while the store may lack what instances wrote. Returns the instances that
    // have turned out to be leaving since the last call.
    std::vector<Departure> update(Millis now, const std::vector<RegisteredInstance> &registered,
                                  Millis readAt, bool settled = true);

    // Changes Options::drainTime. An instance that leaves already may keep to the earlier one, so
    // that its time is only shortened.
    void setDrainTime(Millis drainTime);

    const std::map<std::string, RegisteredInstance> &instances() const { return m_instances; }
    // Null if the instance is unknown.
    const RegisteredInstance *find(const std::string &id) const;
    // For each instance that leaves, until when statements and transactions may be started there.
    // If this host never saw it ready, its time may have been over before.
    const std::map<std::string, Millis> &newWorkUntil() const { return m_newWorkUntil; }
    // When the platform had the newest settled list.
    Millis readAt() const { return m_readAt; }

private:
    // Until when an instance that was last ready at `lastReady` may get new work.
    Millis newWorkEnd(Millis lastReady) const;
    // An instance that is no longer registered.
    struct Missing
    {
        Millis since;
        bool announced = false; // It had announced that it leaves.
    };

    // An instance that announced that it leaves, and is no longer registered.
    struct Ended
    {
        std::int64_t incarnation = 0;
        Millis at;
    };

    void addEntry(const RegisteredInstance &entry, Millis readAt, bool settled);
    void trackMissing(Millis now, const std::set<std::string> &listed);
    void removeEnded(Millis now);
    std::vector<Departure> newDepartures(Millis now, const std::set<std::string> &listed);

    Options m_options;
    std::map<std::string, RegisteredInstance> m_instances;
    std::map<std::string, Missing> m_missing;
    std::map<std::string, Ended> m_ended;
    std::map<std::string, Millis> m_lastReady;    // When each was last seen without a notice.
    std::map<std::string, Millis> m_newWorkUntil; // Of those that leave.
    Millis m_readAt = Millis(0);
};

} // namespace cicadagap
