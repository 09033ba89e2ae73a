// Turns some hosts away from the platform's store while the configuration changes quickly, at times
// after an outage of the store and after the end of its history.
#pragma once

#include "base/hash.h"
#include "base/names.h"
#include "configurationcheck.h"
#include "faultproxy.h"
#include "standindeployment.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadagap {

// How the store turns a host away: by a status, by resetting its connections, or by silence.
enum class Refusal {
    Unavailable, // 503.
    TooMany,     // 429.
    Reset,
    Silent,
};

inline constexpr NameTable<Refusal, 4> RefusalNames{{{
    {Refusal::Unavailable, "503"},
    {Refusal::TooMany, "429"},
    {Refusal::Reset, "reset"},
    {Refusal::Silent, "silent"},
}}};

enum class StormSchedule {
    None,
    Drawn,  // Times, lengths, hosts and refusals by the seed.
    Rounds, // The outage, a pause longer than the history, then the storm; again and again.
    // Platform readers are turned away while the connections of the others, which are idle, are
    // forgotten by something in between.
    Idle,
};

inline constexpr NameTable<StormSchedule, 4> StormScheduleNames{{{
    {StormSchedule::None, "off"},
    {StormSchedule::Drawn, "drawn"},
    {StormSchedule::Rounds, "rounds"},
    {StormSchedule::Idle, "idle"},
}}};

// Must live as long as the event loop runs, and not longer than what it is given.
class StoreStorms
{
public:
    struct Host
    {
        std::string name;
        std::string dataCentre;
        FaultProxy *store = nullptr; // Through which it reaches the store.
    };

    struct Options
    {
        StormSchedule schedule = StormSchedule::None;
        std::uint64_t seed = 1;
        Millis duration; // All storms begin within it, the rounds' ones end within it.
    };

    // `report` is told of each fault.
    StoreStorms(EventLoop *loop, StandinDeployment *deployment, ConfigurationCheck *check,
                std::vector<Host> hosts, Options options,
                std::function<void(const std::string &)> report);

    // What `duration` has to be at least, for a storm to happen.
    static Millis leastDuration(StormSchedule schedule);

    void start();
    // What happens now, for the check's delays.
    const std::string &label() const { return m_label; }
    // Writes a new version of the configuration.
    void changeConfiguration();

private:
    void startRounds();
    void startDrawn();
    void startIdle();
    void takeDown(Millis length);
    void silenceConnections();
    void silenceIdleConnections();
    void storm(Millis length, int changes);
    std::vector<std::size_t> chooseHosts();
    std::vector<std::size_t> platformReaders() const;
    void cut(std::size_t host, Refusal refusal, Millis length);
    void cutOnWaiting(std::size_t host, Refusal refusal, Millis length);
    void onWaiting(const std::string &client);
    Millis now() const { return m_clock.now(); }

    struct PendingCut
    {
        Refusal refusal = Refusal::Silent;
        Millis until;
    };

    EventLoop *m_loop;
    StandinDeployment *m_deployment;
    ConfigurationCheck *m_check;
    std::vector<Host> m_hosts;
    Options m_options;
    std::function<void(const std::string &)> m_report;
    Random m_random;
    SteadyClock m_clock;
    std::string m_label = "calm";
    std::map<std::size_t, PendingCut> m_pendingCuts; // By host, until it begins to wait.
};

} // namespace cicadagap
