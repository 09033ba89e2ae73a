// Measures what the control plane costs as the system grows, for docs/CAPACITY.md: its state,
// messages, bytes and processor time, with the state machines of many hosts in one process. Prints
// one JSON line for each measurement.
//
//     build/capacity
#include "connection/gateway.h"
#include "connection/wire.h"
#include "process/gossip.h"
#include "process/groupmonitor.h"
#include "process/membership.h"
#include "process/promotion.h"
#include "version/settingsreader.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

using namespace cicadagap;

namespace {

// The HTTP/2 frames and TCP/IP headers around a small message and its answer, computed from their
// formats: two segments with 40 bytes of headers each way, two frame headers of 9 bytes, and about
// 40 bytes of compressed HTTP headers.
constexpr double CallOverheadBytes = 240;
// The same for an HTTP/1.1 status call on an open connection: request line and headers, response
// headers, and segments.
constexpr double ProbeOverheadBytes = 330;
constexpr std::size_t SettingsBytes = 2048; // The size of a team's settings.

double heapMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / (1024.0 * 1024.0);
}

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec) / 1e6;
}

// Distributes hosts over 12 data centres.
std::string hostName(std::size_t i)
{
    return "dc" + std::to_string(i % 12) + "-" + std::to_string(i / 12);
}

// Hosts that exchange records by gossip, in steps of 20 ms of simulated time. A message arrives in
// the step after the one in which it was sent.
class GossipSimulation
{
public:
    explicit GossipSimulation(std::size_t hosts)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < hosts; ++i)
            names.push_back(hostName(i));
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts.push_back(std::make_unique<Host>());
            m_index[names[i]] = i;
            m_hosts[i]->gossip = std::make_unique<Gossip>(Gossip::Options{.self = names[i]},
                                                          &m_hosts[i]->store, i + 1);
            m_hosts[i]->gossip->setPeers(names);
        }
    }

    void publish(const Record &record) { m_hosts[0]->gossip->publish(record); }

    // Runs for `duration`. Returns the time after which all hosts had `version` or a later one of
    // the record `key`, or std::nullopt if they did not or `key` is empty.
    std::optional<Millis> run(Millis duration, const std::string &key, std::uint64_t version)
    {
        const Millis start = m_now;
        std::optional<Millis> reachedAllAfter;
        while (m_now - start < duration) {
            m_now = m_now + Millis(20);
            auto arrivingMessages = std::exchange(m_messagesInFlight, {});
            for (const auto &[from, send] : arrivingMessages) {
                std::vector<Record> changed;
                Host &host = *m_hosts[m_index.at(send.to)];
                queue(send.to, host.gossip->onMessage(from, send.message, &changed));
            }
            for (std::size_t i = 0; i < m_hosts.size(); ++i)
                queue(hostName(i), m_hosts[i]->gossip->onTick(m_now));
            if (!reachedAllAfter && !key.empty() && allHostsHave(key, version))
                reachedAllAfter = m_now - start;
        }
        return reachedAllAfter;
    }

    // These return the bytes and messages sent since the last call.
    double takeBytes() { return std::exchange(m_bytes, 0.0); }
    double takeMessages() { return std::exchange(m_messages, 0.0); }

private:
    struct Host
    {
        RecordStore store;
        std::unique_ptr<Gossip> gossip;
    };

    void queue(const std::string &from, const std::vector<GossipSend> &sends)
    {
        for (const GossipSend &send : sends) {
            m_bytes
                += static_cast<double>(encodeGossip(from, send.message).size()) + CallOverheadBytes;
            m_messages += 1;
            m_messagesInFlight.emplace_back(from, send);
        }
    }

    bool allHostsHave(const std::string &key, std::uint64_t version) const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &host) {
            const Record *record = host->store.find(key);
            return record && record->version >= version;
        });
    }

    Millis m_now = Millis(1000);
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::size_t> m_index;
    std::vector<std::pair<std::string, GossipSend>> m_messagesInFlight;
    double m_bytes = 0;
    double m_messages = 0;
};

void measureGossip(std::size_t hosts)
{
    GossipSimulation simulation(hosts);
    const auto count = static_cast<double>(hosts);
    simulation.run(Millis(2000), "", 0);
    simulation.takeBytes();
    simulation.takeMessages();
    const double cpuBefore = cpuSeconds();
    simulation.run(Millis(10'000), "", 0);
    const double idleBytes = simulation.takeBytes() / count / 10;
    const double idleMessages = simulation.takeMessages() / count / 10;
    const double idleCpuSeconds = (cpuSeconds() - cpuBefore) / count / 10;
    simulation.publish({"settings/team", 1, std::string(SettingsBytes, 'x')});
    const auto reachedAllAfter = simulation.run(Millis(6000), "settings/team", 1);
    const double changeBytes = simulation.takeBytes() / count - idleBytes * 6;
    std::cout << "{\"measure\":\"gossip\",\"hosts\":" << hosts
              << ",\"idleBytesPerHostSecond\":" << idleBytes
              << ",\"idleMessagesPerHostSecond\":" << idleMessages
              << ",\"idleCpuMicrosPerHostSecond\":" << idleCpuSeconds * 1e6
              << ",\"bytesPerHostForA2KBChange\":" << changeBytes
              << ",\"reachedAllAfterMs\":" << (reachedAllAfter ? reachedAllAfter->count() : -1)
              << "}\n";
}

void measureRecords(std::size_t groups, std::size_t hosts)
{
    const double before = heapMegabytes();
    RecordStore store;
    for (std::size_t i = 0; i < groups; ++i)
        store.merge({primaryKey("team" + std::to_string(i / 8), "group" + std::to_string(i)), 7,
                     encodePrimary("instance" + std::to_string(i))});
    for (std::size_t i = 0; i < hosts; ++i) {
        const HostInfo host{.name = hostName(i),
                            .dataCentre = "dc1",
                            .callerAddress = "10.0.0.1:8001",
                            .peerAddress = "10.0.0.1:8101",
                            .stewardAddress = "10.0.0.1:8201",
                            .incarnation = 1};
        store.merge({hostKey(host.name), hostVersion(host), encodeHost(host)});
    }
    std::cout << "{\"measure\":\"records\",\"groups\":" << groups << ",\"hosts\":" << hosts
              << ",\"megabytes\":" << heapMegabytes() - before << "}\n";
}

// One steward that monitors `groups` groups for a minute, with every probe answered.
void measureGroupMonitors(std::size_t groups)
{
    const double before = heapMegabytes();
    std::vector<std::unique_ptr<GroupMonitor>> monitors;
    const Millis interval = probeIntervalFor(groups);
    for (std::size_t i = 0; i < groups; ++i)
        monitors.push_back(std::make_unique<GroupMonitor>(
            GroupMonitor::Options{.group = "g" + std::to_string(i),
                                  .dataCentre = "d2",
                                  .instances = {{"t1", "d1"}, {"t2", "d2"}, {"t3", "d3"}},
                                  .monitorDataCentres = 3,
                                  .probeInterval = interval,
                                  .replicaInterval = replicaIntervalFor(groups)}));
    InstanceReport primary{.name = "t1", .primary = true, .term = 1, .last = {1, 1'000'000}};
    primary.replicas = {{"t2", 1, {1, 1'000'000}, Millis(1)}, {"t3", 1, {1, 1'000'000}, Millis(1)}};
    const InstanceReport replica{
        .name = "t2", .term = 1, .following = "t1", .last = {1, 1'000'000}};
    const std::string primaryText = encodeReport(primary);
    const std::string replicaText = encodeReport(replica);
    const double cpuBefore = cpuSeconds();
    double probes = 0;
    double bytes = 0;
    constexpr int Seconds = 60;
    for (int ms = 0; ms < Seconds * 1000; ms += 20) {
        for (const auto &monitor : monitors) {
            for (const MonitorAction &action : monitor->onTick(Millis(ms))) {
                if (action.step != MonitorStep::Probe)
                    continue;
                const std::string &text = action.instance == "t1" ? primaryText : replicaText;
                probes += 1;
                bytes += static_cast<double>(text.size()) + ProbeOverheadBytes;
                monitor->onProbed(Millis(ms), action.instance, action.newConnection,
                                  decodeReport(text, nullptr));
            }
        }
    }
    std::cout << "{\"measure\":\"watch\",\"groups\":" << groups
              << ",\"probeIntervalMs\":" << interval.count()
              << ",\"probesPerSecond\":" << probes / Seconds
              << ",\"bytesPerSecond\":" << bytes / Seconds
              << ",\"cpuMicrosPerSecond\":" << (cpuSeconds() - cpuBefore) * 1e6 / Seconds
              << ",\"megabytes\":" << heapMegabytes() - before << "}\n";
}

// The settings of teams with eight groups each: the size of the text that hosts exchange, and the
// memory and time that the parsed settings take.
void measureSettings(std::size_t teams)
{
    std::string groups;
    for (int g = 0; g < 8; ++g) {
        std::string instances;
        for (int i = 0; i < 3; ++i)
            instances += (i == 0 ? "" : ",") + std::string("\"t") + std::to_string(g * 3 + i)
                + R"(":{"address":"10.0.0.1:)" + std::to_string(7000 + g * 3 + i)
                + R"(","dataCentre":"dc1"})";
        groups += (g == 0 ? "" : ",") + std::string("\"g") + std::to_string(g)
            + R"(":{"instances":{)" + instances + "}}";
    }
    const std::string text = R"({"team":"t","groups":{)" + groups
        + R"(},"statements":{"r":{"kind":"read"},"w":{"kind":"write"}},"tokenKeys":["k"]})";
    const double before = heapMegabytes();
    const double cpuBefore = cpuSeconds();
    std::vector<TeamSettings> parsed;
    parsed.reserve(teams);
    for (std::size_t i = 0; i < teams; ++i) {
        Problems problems;
        parsed.push_back(*readTeamSettings(text, "f", &problems));
    }
    std::cout << "{\"measure\":\"settings\",\"teams\":" << teams << ",\"textBytes\":" << text.size()
              << ",\"megabytesAsRead\":" << heapMegabytes() - before << ",\"cpuMicrosToRead\":"
              << (cpuSeconds() - cpuBefore) * 1e6 / static_cast<double>(teams) << "}\n";
}

// What each change of a host costs a steward: finding out which groups it monitors now.
void measureAssignment(std::size_t hosts, std::size_t groups)
{
    std::vector<std::string> localHosts;
    for (std::size_t i = 0; i < hosts / 12; ++i)
        localHosts.push_back(hostName(i * 12));
    const double cpuBefore = cpuSeconds();
    std::size_t assigned = 0;
    // A quarter of the groups have an instance in this data centre (3 of 12).
    for (std::size_t i = 0; i < groups / 4; ++i)
        assigned += rendezvousTop("team/g" + std::to_string(i), localHosts, 1).front()
                == localHosts.front()
            ? 1
            : 0;
    std::cout << "{\"measure\":\"assignment\",\"hosts\":" << hosts << ",\"groups\":" << groups
              << ",\"mine\":" << assigned << ",\"cpuMillis\":" << (cpuSeconds() - cpuBefore) * 1e3
              << "}\n";
}

void measureMembership(std::size_t hosts)
{
    const double before = heapMegabytes();
    Membership membership({.self = {.name = hostName(0), .dataCentre = "dc0"}}, 1);
    for (std::size_t i = 1; i < hosts; ++i)
        membership.onHost(Millis(0),
                          {.name = hostName(i),
                           .dataCentre = "dc" + std::to_string(i % 12),
                           .callerAddress = "10.0.0.1:8001",
                           .peerAddress = "10.0.0.1:8101",
                           .stewardAddress = "10.0.0.1:8201",
                           .incarnation = 1});
    const double memory = heapMegabytes() - before;
    const double cpuBefore = cpuSeconds();
    double probes = 0;
    constexpr int Seconds = 60;
    for (int ms = 0; ms < Seconds * 1000; ms += 20) {
        for (const ProbeRequest &probe : membership.onTick(Millis(ms))) {
            probes += 1;
            membership.onProbe(Millis(ms), probe, true);
        }
    }
    std::cout << "{\"measure\":\"membership\",\"hosts\":" << hosts
              << ",\"probesPerSecond\":" << probes / Seconds
              << ",\"bytesPerSecond\":" << probes / Seconds * (CallOverheadBytes + 40)
              << ",\"cpuMicrosPerSecond\":" << (cpuSeconds() - cpuBefore) * 1e6 / Seconds
              << ",\"megabytes\":" << memory << "}\n";
}

void measureGateways(std::size_t count)
{
    const double before = heapMegabytes();
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (std::size_t i = 0; i < count; ++i) {
        Gateway::Options options{.instance = "t" + std::to_string(i)};
        options.queue.classes = {{"top", true, 1}, {"a", false, 3}, {"b", false, 1}};
        gateways.push_back(std::make_unique<Gateway>(options));
        gateways.back()->setRole(Millis(0), 1, true, false);
    }
    const double memory = heapMegabytes() - before;
    const double cpuBefore = cpuSeconds();
    constexpr int Seconds = 20;
    for (int ms = 0; ms < Seconds * 1000; ms += 10) {
        for (const auto &gateway : gateways)
            gateway->onTick(Millis(ms));
    }
    std::cout << "{\"measure\":\"gateways\",\"count\":" << count << ",\"megabytes\":" << memory
              << ",\"idleTickMicrosPerSecond\":" << (cpuSeconds() - cpuBefore) * 1e6 / Seconds
              << "}\n";
}

} // namespace

int main()
{
    for (const std::size_t hosts : {10U, 100U, 1000U, 3900U})
        measureGossip(hosts);
    for (const std::size_t groups : {1000U, 10'000U, 43'000U})
        measureRecords(groups, groups / 11);
    for (const std::size_t teams : {100U, 1000U, 5375U})
        measureSettings(teams);
    for (const std::size_t groups : {3U, 33U, 330U})
        measureGroupMonitors(groups);
    for (const std::size_t hosts : {120U, 1200U, 3900U})
        measureAssignment(hosts, hosts * 11);
    for (const std::size_t hosts : {10U, 100U, 1000U, 3900U})
        measureMembership(hosts);
    for (const std::size_t count : {10U, 66U, 660U})
        measureGateways(count);
    return 0;
}
