// Checks on real processes that a new version of the configuration is in force in time, and that no
// process goes back to an older one. Each version has a database of its own, which the next version
// removes; a probe asks a host for a session with the database of one version.
#pragma once

#include "base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

// Performs no I/O and reads no clock. Not thread-safe.
class ConfigurationCheck
{
public:
    struct Options
    {
        std::size_t hosts = 1;
        // A version has to be in force within this time after it was acknowledged, at the hosts
        // that are in touch: those that were not disrupted for the stable time.
        Millis bound = Millis(3000);
        Millis stableTime = Millis(5000);
    };

    struct Probe
    {
        std::size_t host = 0;
        int incarnation = 0; // Of the host's process.
        std::uint64_t version = 0;
        Millis sentAt;
        std::uint64_t servedBefore = 0; // servedVersion() when it was sent.
    };

    explicit ConfigurationCheck(Options options);

    // Versions are acknowledged in ascending order. `during` says what happens at that time, for
    // longestDelays().
    void onAcknowledged(Millis now, std::uint64_t version, const std::string &during);
    // The host, or its path to the store, is disrupted from now on until `until`, and never shorter
    // than said before.
    void disrupt(std::size_t host, Millis now, Millis until);
    void disruptAll(Millis now, Millis until);
    // Judges the answer to a probe. Returns the violation if there is one.
    std::optional<std::string> onAnswer(Millis now, const Probe &probe, bool accepted);

    // The highest version whose database the process accepted; 0 if there is none.
    std::uint64_t servedVersion(std::size_t host, int incarnation) const;
    // The longest time from an acknowledgement until the version, or a later one, was in force at a
    // host that was in touch all the while; by what happened at the acknowledgement.
    const std::map<std::string, Millis> &longestDelays() const { return m_longestDelays; }
    // How many answers could have been violations.
    int judged() const { return m_judged; }

private:
    struct Version
    {
        std::uint64_t number = 0;
        Millis acknowledgedAt;
        std::string during;
    };

    struct Disruption
    {
        Millis from;
        Millis until;
    };

    struct Host
    {
        std::vector<Disruption> disruptions;
        std::uint64_t served = 0;
        int incarnation = 0;
        std::size_t inForce = 0; // So many versions were seen to be in force.
    };

    const Version *following(std::uint64_t version) const;
    const Version *shownByAnswer(const Probe &probe, bool accepted) const;
    // Whether the host was in touch from `from` to `to`.
    bool isInTouch(std::size_t host, Millis from, Millis to) const;
    void noteAccepted(Millis now, const Probe &probe);
    void noteInForce(Millis now, std::size_t host, std::uint64_t version);

    Options m_options;
    std::vector<Version> m_versions;
    std::vector<Host> m_hosts;
    std::map<std::string, Millis> m_longestDelays;
    int m_judged = 0;
};

} // namespace cicadagap
