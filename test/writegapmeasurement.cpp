#include "writegapmeasurement.h"

#include <algorithm>

namespace cicadagap {

const std::vector<WriteGapFault> WriteGapFaults{
    {"none", [](ClusterSimulation *, const std::string &) {}},
    {"kill-primary",
     [](ClusterSimulation *simulation, const std::string &n) { simulation->killInstance("t" + n); },
     1},
    {"freeze-primary",
     [](ClusterSimulation *simulation, const std::string &n) { simulation->freeze("t" + n); }, 1},
    {"isolate-data-centre",
     [](ClusterSimulation *simulation, const std::string &n) { simulation->isolate("d" + n); }, 1},
    {"kill-gateway-host",
     [](ClusterSimulation *simulation, const std::string &n) { simulation->killHost("h" + n); }},
    {"freeze-gateway-host",
     [](ClusterSimulation *simulation, const std::string &n) { simulation->freeze("h" + n); }},
    {"kill-primary-and-host",
     [](ClusterSimulation *simulation, const std::string &n) {
         simulation->killInstance("t" + n);
         simulation->killHost("h" + n);
     },
     1},
    {"cut-one-link",
     [](ClusterSimulation *simulation, const std::string &n) {
         simulation->cut("d" + n, n == "1" ? "d2" : "d1");
     }},
};

namespace {

constexpr Millis Pause(20);        // Between a caller's writes.
constexpr Millis Observed(15'000); // After the failure.
constexpr int Callers = 6;

// Writes in a loop through a host that stays reachable; remembers the longest gap.
class Writer
{
public:
    Writer(ClusterSimulation *simulation, Millis *lastLanded, Millis *longest, int number)
        : m_simulation(simulation)
        , m_lastLanded(lastLanded)
        , m_longest(longest)
        , m_number(number)
    {
        write();
    }

    void avoid(const std::string &host) { m_avoid = host; }

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
        if (host == m_avoid)
            host = "h" + std::to_string((m_count + 1) % 3 + 1);
        m_simulation->request(host, request, [this](const GatewayReply &reply) {
            if (reply.verdict == Verdict::Ran) {
                *m_longest = std::max(*m_longest, m_simulation->now() - *m_lastLanded);
                *m_lastLanded = m_simulation->now();
            }
            m_simulation->after(Pause, [this] { write(); });
        });
    }

    ClusterSimulation *m_simulation;
    Millis *m_lastLanded;
    Millis *m_longest;
    int m_number;
    int m_count = 0;
    std::string m_avoid;
};

} // namespace

WriteGapResult measureWriteGap(const WriteGapFault &failure, std::uint64_t seed)
{
    ClusterSimulation simulation({.seed = seed});
    simulation.start();
    Millis lastLanded = simulation.now();
    Millis longest;
    std::vector<std::unique_ptr<Writer>> writers;
    writers.reserve(Callers);
    for (int i = 0; i < Callers; ++i)
        writers.push_back(std::make_unique<Writer>(&simulation, &lastLanded, &longest, i));
    simulation.run(Millis(1000 + static_cast<std::int64_t>(seed * 37 % 500)));
    const int before = simulation.changes();
    const std::string number = simulation.primary().substr(1);
    // The balancer sends callers elsewhere once a host is gone.
    if (failure.name.find("host") != std::string_view::npos
        || failure.name.find("isolate") != std::string_view::npos) {
        for (const auto &writer : writers)
            writer->avoid("h" + number);
    }
    longest = Millis();
    failure.apply(&simulation, number);
    simulation.run(Observed);
    longest = std::max(longest, simulation.now() - lastLanded);
    return {longest, simulation.changes() - before};
}

} // namespace cicadagap
