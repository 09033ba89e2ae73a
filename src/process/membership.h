// The hosts of the system and which of them are alive.
#pragma once

#include "base/hash.h"
#include "base/millis.h"
#include "base/names.h"
#include "process/recordstore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// The order of the values matters: of two states of one incarnation, the later one is newer.
enum class HostState {
    Alive,
    Leaving, // Announced that it takes no new work; it finishes its requests and then stops.
    Dead,    // Declared dead because it could not be reached (see Membership).
};

inline constexpr NameTable<HostState, 3> HostStateNames{{{
    {HostState::Alive, "alive"},
    {HostState::Leaving, "leaving"},
    {HostState::Dead, "dead"},
}}};

// One host of the system. Addresses have the form "IP:PORT".
struct HostInfo
{
    std::string name;
    std::string dataCentre;
    std::string callerAddress;     // Serves HTTP to callers and operators.
    std::string peerAddress;       // For the streams between cicadagapd processes.
    std::string stewardAddress;    // For the streams between stewards.
    std::uint64_t incarnation = 0; // Rises with each start; milliseconds since 1970.
    HostState state = HostState::Alive;

    bool operator==(const HostInfo &) const = default;
};

// The key of the record of a host, "host/<name>".
std::string hostKey(const std::string &name);
// The version of that record, ordered by incarnation first, then by state.
std::uint64_t hostVersion(const HostInfo &host);

// A probe that the caller has to carry out: find out whether the host `target` answers, either
// directly or by requesting the host `via` to try.
struct ProbeRequest
{
    std::string target;
    std::string via; // Empty for a direct probe.
};

// Tracks which hosts are alive, from three sources: the platform's host list, which lags behind,
// direct probes of the neighbours, and reports from other hosts. The neighbours are the next two
// hosts in the ring of the hosts of this data centre, in name order.
//
// A host that fails its probes is declared dead only after a second host also failed to reach it,
// unless no other host is available to try. A host that receives a report that it is dead or
// leaving, although it is not, refutes it with a higher incarnation. See Das, Gupta and Motivala,
// "SWIM: scalable weakly-consistent infection-style process group membership protocol", 2002.
// Gossip spreads the records of the hosts.
//
// A deterministic state machine: it performs no I/O and reads no clock. Not thread-safe.
class Membership
{
public:
    struct Options
    {
        HostInfo self; // This host.
        Millis probeInterval = Millis(500);
        // Consecutive failed direct probes, after which probes go through a second host.
        int failuresBeforeSecondOpinion = 3;
        int neighbours = 2; // Hosts that this host probes.
        Millis removeDeadAfter = Millis(600'000);
    };

    // `seed` determines the random choice of the hosts that give a second opinion.
    Membership(Options options, std::uint64_t seed);

    // Handles a report about a host, from any source. If it reports this host with a higher version
    // than its own, for example as dead, returns a refutation, which has to be published.
    std::optional<HostInfo> onHost(Millis now, const HostInfo &host);
    // Handles the platform's host list: adds the hosts that were unknown, and marks those that the
    // list reports as leaving. Returns the hosts whose records have to be published.
    std::vector<HostInfo> onPlatformList(Millis now, const std::vector<HostInfo> &listed);
    // Handles the outcome of a probe. Do not call it if the probe went through another host and
    // that host did not answer, because then nothing is known. Returns the host if it is now
    // regarded as dead, which has to be published.
    std::optional<HostInfo> onProbe(Millis now, const ProbeRequest &probe, bool reached);
    // Returns the probes to make now.
    std::vector<ProbeRequest> onTick(Millis now);
    // Marks this host as leaving. Returns its description, which has to be published.
    HostInfo leave();

    // The known hosts that are not dead, this one included, in name order.
    std::vector<HostInfo> hosts() const;
    // The names of the hosts in `dataCentre` that are alive, in name order. Leaving hosts are
    // excluded.
    std::vector<std::string> aliveIn(const std::string &dataCentre) const;
    // The number of known hosts, including dead ones and this one.
    std::size_t size() const { return m_hosts.size() + 1; }
    // The host with that name, dead or alive, or null. Valid until the next non-const call.
    const HostInfo *find(const std::string &name) const;
    const HostInfo &self() const { return m_options.self; }
    // Returns the names of the hosts that were removed since the last call, because they were dead
    // for `removeDeadAfter`. Their records can be removed too.
    std::vector<std::string> takeRemoved();

private:
    struct Entry
    {
        HostInfo host;
        int failures = 0; // Consecutive failed probes by this host.
        Millis deadSince;
    };

    // The hosts that this host probes.
    std::vector<std::string> neighbours() const;
    // Whether some data centre has a single host, which no host of the same data centre can probe.
    bool hasLoneHost() const;
    // A random reachable host that can probe `target`, or an empty name if there is none.
    std::string chooseSecondOpinion(const std::string &target);

    Options m_options;
    Random m_random;
    std::map<std::string, Entry> m_hosts; // All known hosts except this one.
    Millis m_nextProbe;
    std::vector<std::string> m_removed; // Since the last call of takeRemoved().
};

} // namespace cicadagap
