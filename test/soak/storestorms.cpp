#include "storestorms.h"

#include "session/hostdirectory.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cicadagap {

namespace {

// The store's history on the customer's platform, and the schedule of a round within it.
constexpr Millis HistoryTime(20'000);
constexpr Millis FirstRound(2000); // Hosts have started by then.
constexpr Millis OutageTime(6600);
constexpr Millis StormAfterOutage(26'000); // Later than what the history holds, and in touch.
constexpr Millis CutTime(5900);
constexpr Millis RoundTime(31'000);
constexpr std::uint64_t RoundsPerCalmOne = 3; // One in so many rounds has no outage, on average.
constexpr Millis SilenceBeforeStorm(10'000);
constexpr Millis IdleSilenceBeforeStorm(50);
constexpr Millis FirstIdleStorm(12'000); // The hosts are in touch by then.
constexpr Millis LeastIdleTime(5000);    // Of connections that something in between may drop.
constexpr int ChangesInStorm = 8;
constexpr Millis ChangeInterval(330);
// A host that does not begin to wait within this time is cut off anyway.
constexpr Millis LongestWaitForMoment(1500);
constexpr std::size_t HostsInStorm = 2;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

} // namespace

StoreStorms::StoreStorms(EventLoop *loop, StandinDeployment *deployment, ConfigurationCheck *check,
                         std::vector<Host> hosts, Options options,
                         std::function<void(const std::string &)> report)
    : m_loop(loop)
    , m_deployment(deployment)
    , m_check(check)
    , m_hosts(std::move(hosts))
    , m_options(options)
    , m_report(std::move(report))
    , m_random(hash64("storms", options.seed))
{
}

Millis StoreStorms::leastDuration(StormSchedule schedule)
{
    switch (schedule) {
    case StormSchedule::None:
        return Millis(0);
    case StormSchedule::Drawn:
        return FirstRound * 3; // The last one may begin two thirds of the time after the first.
    case StormSchedule::Rounds:
        return FirstRound + StormAfterOutage + CutTime;
    case StormSchedule::Idle:
        return FirstIdleStorm + CutTime;
    }
    return Millis(0);
}

void StoreStorms::start()
{
    m_deployment->storeServer().setOnWaiting(
        [this](const std::string &client) { onWaiting(client); });
    if (m_options.schedule == StormSchedule::Rounds)
        startRounds();
    else if (m_options.schedule == StormSchedule::Drawn)
        startDrawn();
    else if (m_options.schedule == StormSchedule::Idle)
        startIdle();
}

void StoreStorms::changeConfiguration()
{
    m_deployment->changeConfiguration();
    m_check->onAcknowledged(now(), m_deployment->configurationVersion(), m_label);
}

void StoreStorms::startRounds()
{
    m_deployment->storeServer().setHistoryTime(HistoryTime);
    for (Millis begin = FirstRound; begin + StormAfterOutage + CutTime <= m_options.duration;
         begin = begin + RoundTime) {
        const bool hasOutage = m_random.below(RoundsPerCalmOne) != 0;
        if (hasOutage)
            m_loop->after(begin, [this] { takeDown(OutageTime); });
        const Millis stormAt = begin + StormAfterOutage;
        const std::uint64_t silence = m_random.below(3);
        if (silence == 0)
            m_loop->after(stormAt - SilenceBeforeStorm, [this] { silenceConnections(); });
        else if (silence == 1)
            m_loop->after(stormAt - IdleSilenceBeforeStorm, [this] { silenceIdleConnections(); });
        m_loop->after(stormAt, [this] { storm(CutTime, ChangesInStorm); });
    }
}

void StoreStorms::startDrawn()
{
    constexpr std::uint64_t LongestCutMs = 6000;
    const auto span = static_cast<std::uint64_t>(m_options.duration.count());
    m_deployment->storeServer().setHistoryTime(
        Millis(2000 + static_cast<std::int64_t>(m_random.below(18'000))));
    const std::uint64_t count = 1 + m_random.below(1 + span / 5000);
    for (std::uint64_t i = 0; i < count; ++i) {
        const Millis when(2000 + static_cast<std::int64_t>(m_random.below(span * 2 / 3)));
        const Millis length(200 + static_cast<std::int64_t>(m_random.below(LongestCutMs)));
        const int changes = 1 + static_cast<int>(m_random.below(ChangesInStorm));
        m_loop->after(when, [this, length, changes] { storm(length, changes); });
        const Millis silenceAt(2000 + static_cast<std::int64_t>(m_random.below(span * 2 / 3)));
        const std::uint64_t silence = m_random.below(3);
        if (silence == 0)
            m_loop->after(silenceAt, [this] { silenceConnections(); });
        else if (silence == 1)
            m_loop->after(when, [this] { silenceIdleConnections(); });
    }
}

void StoreStorms::startIdle()
{
    m_loop->after(FirstIdleStorm, [this] {
        silenceIdleConnections();
        storm(CutTime, ChangesInStorm);
    });
}

void StoreStorms::takeDown(Millis length)
{
    m_report("store-down " + std::to_string(length.count()));
    m_check->disruptAll(now(), now() + length);
    m_deployment->storeServer().faults().down = true;
    m_loop->after(length, [this] { m_deployment->storeServer().faults().down = false; });
}

// Open connections to the store transfer nothing more; new ones work.
void StoreStorms::silenceConnections()
{
    m_report("store-connections-silent");
    for (const Host &host : m_hosts)
        host.store->silenceOpen();
    m_check->disruptAll(now(), now());
}

// Something in between forgets the connections that were idle for long. That is no disruption:
// their hosts reach the store by new ones.
void StoreStorms::silenceIdleConnections()
{
    m_report("store-idle-connections-silent");
    for (const Host &host : m_hosts)
        host.store->silenceIdle(LeastIdleTime);
}

// Cuts hosts off and changes the configuration at regular intervals.
void StoreStorms::storm(Millis length, int changes)
{
    const auto refusal = static_cast<Refusal>(m_random.below(RefusalNames.rows.size()));
    const bool atMoment = m_random.below(2) == 0;
    const std::vector<std::size_t> chosen = chooseHosts();
    m_label = std::string(RefusalNames.name(refusal)) + (atMoment ? " as the wait begins" : "");
    std::string text = "storm " + std::to_string(length.count()) + ", " + m_label + ":";
    for (const std::size_t host : chosen) {
        text += " " + m_hosts[host].name;
        if (atMoment)
            cutOnWaiting(host, refusal, length);
        else
            cut(host, refusal, length);
    }
    m_report(text);
    for (int i = 0; i < changes; ++i)
        m_loop->after(ChangeInterval * i, [this] { changeConfiguration(); });
}

// Platform readers, or, in half of the storms of the other schedules, any hosts.
std::vector<std::size_t> StoreStorms::chooseHosts()
{
    std::vector<std::size_t> candidates;
    if (m_options.schedule == StormSchedule::Idle || m_random.below(2) == 0) {
        candidates = platformReaders();
    } else {
        candidates.resize(m_hosts.size());
        std::iota(candidates.begin(), candidates.end(), std::size_t(0));
    }
    std::vector<std::size_t> chosen;
    while (!candidates.empty() && chosen.size() < HostsInStorm) {
        const auto index = static_cast<std::ptrdiff_t>(m_random.below(candidates.size()));
        chosen.push_back(candidates[static_cast<std::size_t>(index)]);
        candidates.erase(candidates.begin() + index);
    }
    return chosen;
}

// The hosts that read the store for their data centre if all hosts live.
std::vector<std::size_t> StoreStorms::platformReaders() const
{
    std::vector<HostRecord> records;
    for (const Host &host : m_hosts)
        records.push_back({.host = host.name, .dataCentre = host.dataCentre});
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        HostDirectory directory({.self = m_hosts[i].name});
        directory.setRecords(Millis(0), records);
        if (directory.platformReader(Millis(0)) == m_hosts[i].name)
            readers.push_back(i);
    }
    return readers;
}

void StoreStorms::cut(std::size_t host, Refusal refusal, Millis length)
{
    const Host &target = m_hosts[host];
    StoreServer &store = m_deployment->storeServer();
    m_check->disrupt(host, now(), now() + length);
    switch (refusal) {
    case Refusal::Unavailable:
    case Refusal::TooMany:
        store.turnAway(target.name,
                       refusal == Refusal::TooMany ? StatusTooMany : StatusUnavailable);
        break;
    case Refusal::Reset:
        target.store->faults().resetNew = true;
        target.store->resetAll();
        break;
    case Refusal::Silent:
        target.store->faults().pauseToServer = true;
        target.store->faults().pauseToClient = true;
        break;
    }
    m_loop->after(length, [this, host] {
        m_deployment->storeServer().allow(m_hosts[host].name);
        m_hosts[host].store->faults() = {};
    });
}

// Cuts the host off as soon as it has begun to wait for changes.
void StoreStorms::cutOnWaiting(std::size_t host, Refusal refusal, Millis length)
{
    m_check->disrupt(host, now(), now() + length);
    m_pendingCuts[host] = {.refusal = refusal, .until = now() + length};
    m_loop->after(LongestWaitForMoment, [this, host] { onWaiting(m_hosts[host].name); });
}

void StoreStorms::onWaiting(const std::string &client)
{
    const auto host = std::find_if(m_hosts.begin(), m_hosts.end(),
                                   [&client](const Host &entry) { return entry.name == client; });
    const auto pending = m_pendingCuts.find(static_cast<std::size_t>(host - m_hosts.begin()));
    if (host == m_hosts.end() || pending == m_pendingCuts.end())
        return;
    const PendingCut cutNow = pending->second;
    const std::size_t index = pending->first;
    m_pendingCuts.erase(pending);
    if (cutNow.until > now())
        cut(index, cutNow.refusal, cutNow.until - now());
}

} // namespace cicadagap
