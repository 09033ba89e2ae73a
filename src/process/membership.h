// Which hosts of the system are alive, from three sources: the platform's host list (lags behind),
// direct probes of two neighbours in the own data centre, and other hosts' word.
//
// A host that fails its probes is declared dead only after a second host failed to reach it too. A
// host that hears itself declared dead or leaving without being so publishes a higher incarnation.
// (Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group
// membership", 2002.) Records spread by Gossip.
//
// Pure and not thread-safe.
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

enum class HostState {
    Alive,
    Leaving, // Finishes its work and takes no more.
    Dead,
};

inline constexpr NameTable<HostState, 3> HostStateNames{{{
    {HostState::Alive, "alive"},
    {HostState::Leaving, "leaving"},
    {HostState::Dead, "dead"},
}}};

// One host of the system. Addresses are "IP:PORT".
struct HostInfo
{
    std::string name;
    std::string dataCentre;
    std::string callerAddress;     // HTTP for callers and operators.
    std::string peerAddress;       // Streams between cicadagapd processes.
    std::string stewardAddress;    // Streams between stewards.
    std::uint64_t incarnation = 0; // Higher for each start of the host; milliseconds since 1970.
    HostState state = HostState::Alive;

    bool operator==(const HostInfo &) const = default;
};

// "host/<name>" records. The version orders incarnations first, then states.
std::string hostKey(const std::string &name);
std::uint64_t hostVersion(const HostInfo &host);

// Asks the driver to call a neighbour, directly or through `via`.
struct ProbeRequest
{
    std::string target;
    std::string via; // Empty: directly.
};

class Membership
{
public:
    struct Options
    {
        HostInfo self;
        Millis probeInterval = Millis(500);
        int failuresBeforeSecondOpinion = 3;
        int neighbours = 2;
        Millis forgetDeadAfter = Millis(600'000);
    };

    Membership(Options options, std::uint64_t seed);

    // Learns a host from any source. Returns the host's record if this host must publish it: a
    // refutation of its own death.
    std::optional<HostInfo> onHost(Millis now, const HostInfo &host);
    // The platform's list. Hosts it names are learnt; those it reports as leaving are marked so.
    // Returns what has to be published.
    std::vector<HostInfo> onPlatformList(Millis now, const std::vector<HostInfo> &listed);
    // The outcome of a probe. If it went through another host that did not answer itself, nothing
    // is known and this is not called. Returns the host to publish as dead, if the failure settles
    // it.
    std::optional<HostInfo> onProbe(Millis now, const ProbeRequest &probe, bool reached);
    // The probes to make now.
    std::vector<ProbeRequest> onTick(Millis now);
    // Marks this host as leaving; returns its record to publish.
    HostInfo leave();

    // Known hosts that are not dead, in name order.
    std::vector<HostInfo> hosts() const;
    // Names of the alive hosts in `dataCentre`, in name order. Leaving hosts are left out.
    std::vector<std::string> aliveIn(const std::string &dataCentre) const;
    // How many hosts are known, dead ones and this one included.
    std::size_t size() const { return m_hosts.size() + 1; }
    const HostInfo *find(const std::string &name) const;
    const HostInfo &self() const { return m_options.self; }
    // Names dropped since the last call: dead for so long that their records can go.
    std::vector<std::string> takeRemoved();

private:
    struct Entry
    {
        HostInfo host;
        int failures = 0;
        Millis deadSince;
    };

    std::vector<std::string> neighbours() const;
    // Whether some data centre has a single host, which no neighbour of its own can probe.
    bool hasLoneHost() const;
    std::string secondOpinion(const std::string &target);

    Options m_options;
    Random m_random;
    std::map<std::string, Entry> m_hosts; // Without this host.
    Millis m_nextProbe;
    std::vector<std::string> m_forgotten;
};

} // namespace cicadagap
