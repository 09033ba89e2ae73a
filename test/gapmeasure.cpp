#include "gapmeasure.h"

#include <algorithm>

namespace cicadagap {

const std::vector<GapFailure> GapFailures{
    {"none", [](TestWorld *, const std::string &) {}},
    {"kill-primary", [](TestWorld *world, const std::string &n) { world->killInstance("t" + n); },
     1},
    {"freeze-primary", [](TestWorld *world, const std::string &n) { world->freeze("t" + n); }, 1},
    {"isolate-data-centre", [](TestWorld *world, const std::string &n) { world->isolate("d" + n); },
     1},
    {"kill-gateway-host", [](TestWorld *world, const std::string &n) { world->killHost("h" + n); }},
    {"freeze-gateway-host", [](TestWorld *world, const std::string &n) { world->freeze("h" + n); }},
    {"kill-primary-and-host",
     [](TestWorld *world, const std::string &n) {
         world->killInstance("t" + n);
         world->killHost("h" + n);
     },
     1},
    {"cut-one-link",
     [](TestWorld *world, const std::string &n) { world->cut("d" + n, n == "1" ? "d2" : "d1"); }},
};

namespace {

constexpr Millis Pause(20);        // Between a caller's writes.
constexpr Millis Observed(15'000); // After the failure.
constexpr int Callers = 6;

// Writes in a loop through a host that stays reachable; remembers the longest gap.
class Writer
{
public:
    Writer(TestWorld *world, Millis *lastLanded, Millis *longest, int number)
        : m_world(world)
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
        request.flow.deadline = m_world->now() + Millis(8000);
        request.operations
            = appendOperation("k" + std::to_string(m_number), request.flow.requestId);
        std::string host = "h" + std::to_string(m_count % 3 + 1);
        if (host == m_avoid)
            host = "h" + std::to_string((m_count + 1) % 3 + 1);
        m_world->request(host, request, [this](const WorkReply &reply) {
            if (reply.verdict == Verdict::Ran) {
                *m_longest = std::max(*m_longest, m_world->now() - *m_lastLanded);
                *m_lastLanded = m_world->now();
            }
            m_world->after(Pause, [this] { write(); });
        });
    }

    TestWorld *m_world;
    Millis *m_lastLanded;
    Millis *m_longest;
    int m_number;
    int m_count = 0;
    std::string m_avoid;
};

} // namespace

Gap measureGap(const GapFailure &failure, std::uint64_t seed)
{
    TestWorld world({.seed = seed});
    world.start();
    Millis lastLanded = world.now();
    Millis longest;
    std::vector<std::unique_ptr<Writer>> writers;
    writers.reserve(Callers);
    for (int i = 0; i < Callers; ++i)
        writers.push_back(std::make_unique<Writer>(&world, &lastLanded, &longest, i));
    world.run(Millis(1000 + static_cast<std::int64_t>(seed * 37 % 500)));
    const int before = world.changes();
    const std::string number = world.primary().substr(1);
    // The balancer sends callers elsewhere once a host is gone.
    if (failure.name.find("host") != std::string_view::npos
        || failure.name.find("isolate") != std::string_view::npos) {
        for (const auto &writer : writers)
            writer->avoid("h" + number);
    }
    longest = Millis();
    failure.apply(&world, number);
    world.run(Observed);
    longest = std::max(longest, world.now() - lastLanded);
    return {longest, world.changes() - before};
}

} // namespace cicadagap
