// Measures the processor time of decision code and codecs, from which follows how many requests one
// core can decide in a second.
//
//     build/decisions --benchmark_min_time=0.2
#include "connection/gateway.h"
#include "connection/wire.h"
#include "process/groupmonitor.h"
#include "request/requestflow.h"
#include "request/sessiontoken.h"

#include <benchmark/benchmark.h>

using namespace cicadagap;

namespace {

Gateway::Options gatewayOptions()
{
    Gateway::Options options{.instance = "t1"};
    options.queue.classes = {{"top", true, 1}, {"default", false, 1}};
    return options;
}

InstanceReport primaryReport(std::uint64_t term, std::uint64_t index)
{
    InstanceReport report{.name = "t1", .primary = true, .term = term, .last = {term, index}};
    report.replicas
        = {{"t2", term, {term, index}, Millis(1)}, {"t3", term, {term, index}, Millis(1)}};
    return report;
}

// A write in the gateway of a primary, from its arrival to its acknowledgement.
void gatewayWrite(benchmark::State &state)
{
    Gateway gateway(gatewayOptions());
    const Millis now(1000);
    for (const GatewayAction &action : gateway.setRole(now, 1, true, false)) {
        if (const auto *open = std::get_if<OpenConnection>(&action))
            gateway.onOpened(now, open->connection);
    }
    std::uint64_t index = 0;
    for (auto _ : state) {
        ++index;
        GatewayRequest request{
            .id = index, .write = true, .operations = "[]", .deadline = Millis(2000)};
        for (const GatewayAction &action : gateway.submit(now, std::move(request))) {
            if (const auto *call = std::get_if<TargetCall>(&action))
                gateway.onAnswer(now, call->connection, {.position = {1, index}});
        }
        benchmark::DoNotOptimize(gateway.onStatus(now, now, primaryReport(1, index)));
    }
}
BENCHMARK(gatewayWrite);

// A read on its entry host (the host that received it from the caller), from its arrival to the
// answer.
void entryRequest(benchmark::State &state)
{
    GroupView view{.primary = "t1", .term = 1};
    for (const std::string number : {"1", "2", "3"})
        view.instances.push_back({"t" + number, "d" + number, false, {"h" + number}});
    RouteHistory history;
    RetryBudget budget(10, 100);
    for (auto _ : state) {
        RequestFlow flow({.token = Position{1, 5}, .deadline = Millis(1000)}, "d2", 0);
        flow.start(Millis(0), view, history);
        benchmark::DoNotOptimize(
            flow.onReply(Millis(1), view, {.verdict = Verdict::Ran}, &budget, &history));
    }
}
BENCHMARK(entryRequest);

// A tick of a group's monitor, and the answer to one of its probes.
void watchTickAndProbe(benchmark::State &state)
{
    GroupMonitor monitor({.group = "g",
                          .dataCentre = "d2",
                          .instances = {{"t1", "d1"}, {"t2", "d2"}, {"t3", "d3"}},
                          .monitorDataCentres = 3});
    const std::string body = encodeReport(primaryReport(1, 5));
    std::int64_t now = 0;
    for (auto _ : state) {
        now += 1000;
        benchmark::DoNotOptimize(monitor.onTick(Millis(now)));
        benchmark::DoNotOptimize(
            monitor.onProbed(Millis(now), "t1", false, decodeReport(body, nullptr)));
    }
}
BENCHMARK(watchTickAndProbe);

// Encodes and decodes a request that an entry host forwards.
void codecWork(benchmark::State &state)
{
    ForwardedRequest forwarded{
        .team = "valle", .group = "tensile", .instance = "t1", .traceId = "cali-1-1-1"};
    forwarded.request.operations = R"([{"op":"get","table":"pulls","key":"bar-7"}])";
    for (auto _ : state)
        benchmark::DoNotOptimize(
            decodeForwardedRequest(encodeForwardedRequest(forwarded), nullptr));
}
BENCHMARK(codecWork);

// Signs and verifies a session token.
void sessionToken(benchmark::State &state)
{
    SessionToken token;
    token.advance("tensile", {3, 17});
    const std::vector<std::string> keys{"key"};
    for (auto _ : state)
        benchmark::DoNotOptimize(SessionToken::decode(token.encode(keys), keys, nullptr));
}
BENCHMARK(sessionToken);

} // namespace

BENCHMARK_MAIN();
