#include "writegapmeasurement.h"

#include <algorithm>

namespace cicadagap {

const std::vector<WriteGapFault> WriteGapFaults{
    {"none", [](ClusterSimulation *, const std::string &) {}},
    {"kill-primary",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->killInstance("t" + number);
     },
     1},
    {"freeze-primary",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->freeze("t" + number);
     },
     1},
    {"isolate-data-centre",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->isolate("d" + number);
     },
     1},
    {"kill-gateway-host",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->killHost("h" + number);
     }},
    {"freeze-gateway-host",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->freeze("h" + number);
     }},
    {"kill-primary-and-host",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->killInstance("t" + number);
         simulation->killHost("h" + number);
     },
     1},
    {"cut-one-link",
     [](ClusterSimulation *simulation, const std::string &number) {
         simulation->cut("d" + number, number == "1" ? "d2" : "d1");
     }},
};

namespace {

constexpr Millis WritePause(20);          // Between two writes of one caller.
constexpr Millis ObservationTime(15'000); // After the fault.
constexpr int WriterCount = 6;

// A caller that writes in a loop, through hosts in turn except the one to avoid, and records the
// longest write gap.
class Writer
{
public:
    Writer(ClusterSimulation *simulation, Millis *lastAcknowledged, Millis *longest, int number)
        : m_simulation(simulation)
        , m_lastAcknowledged(lastAcknowledged)
        , m_longest(longest)
        , m_number(number)
    {
        write();
    }

    void avoidHost(const std::string &host) { m_avoidedHost = host; }

private:
    void write()
    {
        TestRequest request;
        request.flow.write = true;
        request.flow.requestId = std::to_string(m_number) + "-" + std::to_string(++m_count);
        request.flow.deadline = m_simulation->now() + Millis(8000);
        request.operations
            = appendOperation("k" + std::to_string(m_number), request.flow.requestId);
        std::string host = "h" + std::to_string(m_count % 3 + 1);
        if (host == m_avoidedHost)
            host = "h" + std::to_string((m_count + 1) % 3 + 1);
        m_simulation->request(host, request, [this](const GatewayReply &reply) {
            if (reply.verdict == Verdict::Ran) {
                *m_longest = std::max(*m_longest, m_simulation->now() - *m_lastAcknowledged);
                *m_lastAcknowledged = m_simulation->now();
            }
            m_simulation->after(WritePause, [this] { write(); });
        });
    }

    ClusterSimulation *m_simulation;
    Millis *m_lastAcknowledged;
    Millis *m_longest;
    int m_number;
    int m_count = 0;
    std::string m_avoidedHost;
};

} // namespace

WriteGapResult measureWriteGap(const WriteGapFault &fault, std::uint64_t seed)
{
    ClusterSimulation simulation({.seed = seed});
    simulation.start();
    Millis lastAcknowledged = simulation.now();
    Millis longest;
    std::vector<std::unique_ptr<Writer>> writers;
    writers.reserve(WriterCount);
    for (int i = 0; i < WriterCount; ++i)
        writers.push_back(std::make_unique<Writer>(&simulation, &lastAcknowledged, &longest, i));
    simulation.run(Millis(1000 + static_cast<std::int64_t>(seed * 37 % 500)));
    const int changesBefore = simulation.changes();
    const std::string number = simulation.primary().substr(1);
    // The load balancer sends callers to other hosts once a host cannot be reached.
    if (fault.name.find("host") != std::string_view::npos
        || fault.name.find("isolate") != std::string_view::npos) {
        for (const auto &writer : writers)
            writer->avoidHost("h" + number);
    }
    longest = Millis();
    fault.apply(&simulation, number);
    simulation.run(ObservationTime);
    longest = std::max(longest, simulation.now() - lastAcknowledged);
    return {longest, simulation.changes() - changesBefore};
}

} // namespace cicadagap
