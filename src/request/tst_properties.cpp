// Property tests of the request path: invariants that must hold under random schedules of faults,
// in simulated time. Each case draws a seed and a schedule; RapidCheck shrinks and prints a failing
// one.
#include "clustersimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

namespace cicadagap {

namespace {

enum class FaultKind {
    KillInstance,
    FreezeInstance,
    KillHost,
    FreezeHost,
    CutLink,
    IsolateDataCentre,
    LoseAnswers,
    SlowReplication,
    SilenceConnections,
};

constexpr NameTable<FaultKind, 9> FaultKindNames{{{
    {FaultKind::KillInstance, "kill-instance"},
    {FaultKind::FreezeInstance, "freeze-instance"},
    {FaultKind::KillHost, "kill-host"},
    {FaultKind::FreezeHost, "freeze-host"},
    {FaultKind::CutLink, "cut-link"},
    {FaultKind::IsolateDataCentre, "isolate-data-centre"},
    {FaultKind::LoseAnswers, "lose-answers"},
    {FaultKind::SlowReplication, "slow-replication"},
    {FaultKind::SilenceConnections, "silence-connections"},
}}};

struct Fault
{
    FaultKind kind = FaultKind::KillInstance;
    int target = 1; // The number of the instance, host or data centre: 1 to 3.
    int atMs = 0;   // Since the start.
    int lastsMs = 1000;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << FaultKindNames.name(fault.kind) << ' ' << fault.target << " at " << fault.atMs
               << " for " << fault.lastsMs;
}

constexpr Millis FaultsEnd(12'000); // Every fault is over by then.
constexpr Millis RecoveryTime(15'000);
constexpr Millis RequestTimeout(3000);
constexpr int Sessions = 5;

// Schedules one fault and its end.
void schedule(ClusterSimulation *simulation, const Fault &fault)
{
    const std::string number = std::to_string(fault.target);
    const std::string instance = "t" + number;
    const std::string host = "h" + number;
    const std::string otherDataCentre = "d" + std::to_string(fault.target % 3 + 1);
    simulation->after(Millis(fault.atMs), [=] {
        switch (fault.kind) {
        case FaultKind::KillInstance:
            simulation->killInstance(instance);
            break;
        case FaultKind::FreezeInstance:
            simulation->freeze(instance);
            break;
        case FaultKind::KillHost:
            simulation->killHost(host);
            break;
        case FaultKind::FreezeHost:
            simulation->freeze(host);
            break;
        case FaultKind::CutLink:
            simulation->cut("d" + number, otherDataCentre);
            break;
        case FaultKind::IsolateDataCentre:
            simulation->isolate("d" + number);
            break;
        case FaultKind::LoseAnswers:
            simulation->loseAnswers(instance, 3);
            break;
        case FaultKind::SlowReplication:
            simulation->delayReplication(instance, Millis(400));
            break;
        case FaultKind::SilenceConnections:
            simulation->silence(instance);
            break;
        }
    });
    const Millis end = std::min(Millis(fault.atMs + fault.lastsMs), FaultsEnd);
    simulation->after(end, [=] {
        switch (fault.kind) {
        case FaultKind::KillInstance:
            simulation->restartInstance(instance);
            break;
        case FaultKind::FreezeInstance:
            simulation->thaw(instance);
            break;
        case FaultKind::KillHost:
            simulation->restartHost(host);
            break;
        case FaultKind::FreezeHost:
            simulation->thaw(host);
            break;
        case FaultKind::CutLink:
        case FaultKind::IsolateDataCentre:
            simulation->heal();
            break;
        case FaultKind::SlowReplication:
            simulation->delayReplication(instance, Millis(0));
            break;
        case FaultKind::LoseAnswers:
        case FaultKind::SilenceConnections:
            break;
        }
    });
}

// Callers that write, read their own writes and use transactions, each time on any host.
class Callers
{
public:
    Callers(ClusterSimulation *simulation, std::uint64_t seed)
        : m_simulation(simulation)
        , m_random(seed)
    {
        for (int i = 0; i < Sessions; ++i)
            next(i);
    }

    void stop() { m_stopped = true; }

    // Compares the answers that callers got with the rows of the final primary. Returns the first
    // violation, or an empty text.
    std::string check(const std::map<std::string, std::vector<std::string>> &rows) const
    {
        std::map<std::string, int> counts;
        for (const auto &row : rows) {
            for (const std::string &value : row.second)
                ++counts[row.first + "/" + value];
        }
        for (const auto &write : m_writes) {
            const int count = counts.contains(write.first) ? counts.at(write.first) : 0;
            const bool allowed = write.second == Verdict::Ran ? count == 1
                : write.second == Verdict::NotRun             ? count == 0
                                                              : count <= 1;
            if (!allowed)
                return write.first + " was answered \""
                    + std::string(VerdictNames.name(write.second)) + "\" and is there "
                    + std::to_string(count) + " times";
        }
        for (const std::string &transaction : m_transactions) {
            if (counts.contains(transaction + "-a/x") != counts.contains(transaction + "-b/x"))
                return "transaction " + transaction + " is there in part";
        }
        return {};
    }

    int acknowledged() const { return m_acknowledged; }
    int staleReads() const { return m_staleReads; }
    Millis lastAcknowledged() const { return m_lastAcknowledged; }
    Millis longestGap() const { return m_longestGap; }

private:
    std::string randomHost() { return "h" + std::to_string(m_random.below(3) + 1); }

    FlowRequest base(int session) const
    {
        FlowRequest request;
        request.deadline = m_simulation->now() + RequestTimeout;
        request.token = m_tokens[static_cast<std::size_t>(session)];
        return request;
    }

    void next(int session)
    {
        if (m_stopped)
            return;
        m_simulation->after(Millis(static_cast<std::int64_t>(5 + m_random.below(40))),
                            [this, session] {
                                const std::uint64_t choice = m_random.below(10);
                                if (choice < 4)
                                    write(session);
                                else if (choice < 8)
                                    read(session);
                                else
                                    transaction(session);
                            });
    }

    void write(int session)
    {
        const std::string key = "s" + std::to_string(session);
        const std::string value = "v" + std::to_string(++m_lastValue);
        TestRequest request;
        request.flow = base(session);
        request.flow.write = true;
        // Half of the writes have a request id: they must not run twice, and "may have run" can be
        // resolved under the id.
        if (m_random.below(2) == 0)
            request.flow.requestId = value;
        request.operations = appendOperation(key, value);
        m_simulation->request(
            randomHost(), request, [this, session, key, value, request](const GatewayReply &reply) {
                const bool hasRequestId = !request.flow.requestId.empty();
                if (reply.verdict == Verdict::MayHaveRun && hasRequestId && !m_stopped) {
                    m_writes[key + "/" + value] = Verdict::MayHaveRun;
                    resolveOutcome(session, key, value);
                    return;
                }
                finishWrite(session, key, value, reply);
            });
    }

    // Queries the outcome of a write until the answer is definite.
    void resolveOutcome(int session, const std::string &key, const std::string &value)
    {
        TestRequest request;
        request.flow = base(session);
        request.flow.kind = RequestKind::OutcomeQuery;
        request.flow.write = true;
        request.flow.requestId = value;
        m_simulation->request(randomHost(), request, [=, this](const GatewayReply &reply) {
            const bool definite = reply.verdict == Verdict::Ran || reply.cause == Cause::Cancelled;
            if (definite)
                finishWrite(session, key, value, reply);
            else if (!m_stopped)
                m_simulation->after(Millis(100),
                                    [=, this] { resolveOutcome(session, key, value); });
        });
    }

    void finishWrite(int session, const std::string &key, const std::string &value,
                     const GatewayReply &reply)
    {
        m_writes[key + "/" + value] = reply.verdict;
        if (reply.verdict == Verdict::Ran) {
            auto &token = m_tokens[static_cast<std::size_t>(session)];
            token = std::max(token.value_or(Position{}), reply.position);
            m_acknowledgedValues[key].insert(value);
            ++m_acknowledged;
            m_longestGap = std::max(m_longestGap, m_simulation->now() - m_lastAcknowledged);
            m_lastAcknowledged = m_simulation->now();
        }
        next(session);
    }

    void read(int session)
    {
        const std::string key = "s" + std::to_string(session);
        TestRequest request;
        request.flow = base(session);
        request.operations = readOperation(key);
        const std::set<std::string> expected = m_acknowledgedValues[key];
        m_simulation->request(
            randomHost(), request, [this, session, expected](const GatewayReply &reply) {
                if (reply.verdict == Verdict::Ran) {
                    const auto values = valuesIn(reply.results);
                    const std::set<std::string> seen(values.begin(), values.end());
                    const bool all
                        = std::includes(seen.begin(), seen.end(), expected.begin(), expected.end());
                    m_staleReads += all ? 0 : 1;
                }
                next(session);
            });
    }

    void transaction(int session)
    {
        TestRequest request;
        request.flow = base(session);
        request.flow.kind = RequestKind::Begin;
        request.flow.write = true;
        m_simulation->request(randomHost(), request, [this, session](const GatewayReply &reply) {
            if (reply.verdict != Verdict::Ran) {
                next(session);
                return;
            }
            const std::string name = "x" + std::to_string(++m_lastValue);
            m_transactions.insert(name);
            continueTransaction(session, reply.transaction, name, 0);
        });
    }

    void continueTransaction(int session, const std::string &id, const std::string &name, int step)
    {
        TestRequest request;
        request.flow = base(session);
        request.flow.write = true;
        request.flow.transactionHost = id.substr(0, id.find('~'));
        request.flow.transactionInstance = id.substr(id.find('~') + 1, 2);
        request.transaction = id;
        if (step < 2) {
            request.flow.kind = RequestKind::TransactionStatement;
            request.operations = appendOperation(name + (step == 0 ? "-a" : "-b"), "x");
        } else {
            request.flow.kind = RequestKind::Commit;
            request.flow.requestId = name;
        }
        m_simulation->request(randomHost(), request, [=, this](const GatewayReply &reply) {
            if (step < 2 && reply.verdict == Verdict::Ran) {
                continueTransaction(session, id, name, step + 1);
                return;
            }
            if (step == 2) {
                m_writes[name + "-a/x"] = reply.verdict;
                m_writes[name + "-b/x"] = reply.verdict;
            }
            next(session);
        });
    }

    ClusterSimulation *m_simulation;
    Random m_random;
    bool m_stopped = false;
    int m_lastValue = 0;
    int m_acknowledged = 0;
    int m_staleReads = 0;
    Millis m_lastAcknowledged;
    Millis m_longestGap;
    std::array<std::optional<Position>, Sessions> m_tokens;
    std::map<std::string, Verdict> m_writes; // The answers, by "<key>/<value>".
    std::map<std::string, std::set<std::string>> m_acknowledgedValues;
    std::set<std::string> m_transactions;
};

rc::Gen<Fault> anyFault()
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
                     rc::gen::map(rc::gen::inRange(0, 9),
                                  [](int i) { return FaultKindNames.rows.at(i).first; })),
        rc::gen::set(&Fault::target, rc::gen::inRange(1, 4)),
        rc::gen::set(&Fault::atMs, rc::gen::inRange(0, 9000)),
        rc::gen::set(&Fault::lastsMs, rc::gen::inRange(50, 5000)));
}

// Runs one schedule. Returns the invariant that was violated, or an empty text.
std::string violation(std::uint64_t seed, const std::vector<Fault> &faults)
{
    ClusterSimulation simulation({.seed = seed});
    simulation.start();
    for (const Fault &fault : faults)
        schedule(&simulation, fault);
    Callers callers(&simulation, seed + 1);
    simulation.run(FaultsEnd + RecoveryTime);
    callers.stop();
    simulation.run(RequestTimeout * 3);
    const std::string primary = simulation.primary();
    if (primary.empty())
        return "there is no primary";
    if (callers.staleReads() > 0)
        return "a session did not read its own writes";
    if (callers.lastAcknowledged() < FaultsEnd + RecoveryTime / 2)
        return "writes did not land again after the faults";
    for (const std::string name : {"t1", "t2", "t3"}) {
        if (simulation.instance(name).interleavedTransactions() > 0)
            return "two transactions were mixed on one connection of " + name;
    }
    return callers.check(simulation.instance(primary).rows("rows"));
}

} // namespace

TEST(Properties, HoldUnderRandomFaults)
{
    const bool ok = rc::check("nothing is lost, doubled, stale or mixed", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::container<std::vector<Fault>>(anyFault());
        RC_PRE(faults.size() <= 8U);
        const std::string violated = violation(seed, faults);
        RC_LOG() << violated << '\n';
        RC_ASSERT(violated.empty());
    });
    EXPECT_TRUE(ok);
}

// Each pair of fault kinds together, on the same and on different instances, hosts or data centres.
class FaultPairs : public testing::TestWithParam<std::tuple<int, int, int>>
{
};

TEST_P(FaultPairs, ViolateNoInvariant)
{
    const auto [first, second, secondTarget] = GetParam();
    const std::vector<Fault> faults{
        {FaultKindNames.rows.at(first).first, 1, 500, 3000},
        {FaultKindNames.rows.at(second).first, secondTarget, 700, 3500}};
    const auto number = static_cast<std::uint64_t>(first);
    const std::uint64_t seed = number * 100 + static_cast<std::uint64_t>(second) * 10
        + static_cast<std::uint64_t>(secondTarget);
    EXPECT_EQ(violation(seed, faults), "");
}

INSTANTIATE_TEST_SUITE_P(AllKinds, FaultPairs,
                         testing::Combine(testing::Range(0, 9), testing::Range(0, 9),
                                          testing::Range(1, 3)));

} // namespace cicadagap
