// Golden tests of whole sessions: the answers that callers get, in order, in simulated time. Run
// with UPDATE_GOLDEN=1 to write the golden files anew, and review the difference.
#include "clustersimulation.h"
#include "standin_core/platformtable.h"
#include "version/settingschange.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace cicadagap {

namespace {

// A session that writes each request and its answer to the trace of the simulation.
class Session
{
public:
    explicit Session(ClusterSimulation *simulation)
        : m_simulation(simulation)
    {
    }

    GatewayReply write(const std::string &host, const std::string &value,
                       const std::string &id = {})
    {
        TestRequest request;
        request.flow.write = true;
        request.flow.requestId = id;
        request.operations = appendOperation("bar", value);
        return send(host, "write " + value + (id.empty() ? "" : " as " + id), request);
    }

    GatewayReply read(const std::string &host, std::optional<Millis> maxAge = {})
    {
        TestRequest request;
        request.flow.maxAge = maxAge;
        request.operations = readOperation("bar");
        return send(host,
                    maxAge ? "read up to " + std::to_string(maxAge->count()) + " ms old" : "read",
                    request);
    }

    GatewayReply outcome(const std::string &host, const std::string &id)
    {
        TestRequest request;
        request.flow.kind = RequestKind::OutcomeQuery;
        request.flow.write = true;
        request.flow.requestId = id;
        return send(host, "outcome of " + id, request);
    }

    GatewayReply inTransaction(const std::string &host, RequestKind kind,
                               const std::string &value = {})
    {
        TestRequest request;
        request.flow.kind = kind;
        request.flow.write = true;
        if (!value.empty())
            request.operations = appendOperation("bar", value);
        if (kind != RequestKind::Begin) {
            request.transaction = m_transaction;
            request.flow.transactionHost = m_transaction.substr(0, m_transaction.find('~'));
            request.flow.transactionInstance = m_transaction.substr(m_transaction.find('~') + 1, 2);
        }
        GatewayReply reply = send(
            host, std::string(RequestKindNames.name(kind)) + (value.empty() ? "" : " " + value),
            request);
        if (kind == RequestKind::Begin)
            m_transaction = reply.transaction;
        return reply;
    }

private:
    GatewayReply send(const std::string &host, const std::string &what, TestRequest request)
    {
        request.flow.deadline = m_simulation->now() + Millis(3000);
        request.flow.token = m_token;
        GatewayReply reply = m_simulation->requestAndWait(host, request);
        if (reply.verdict == Verdict::Ran && request.flow.write
            && request.flow.kind != RequestKind::Begin)
            m_token = std::max(m_token.value_or(Position{}), reply.position);
        std::string line
            = host + ": " + what + ": " + std::string(VerdictNames.name(reply.verdict));
        if (reply.cause != Cause::None)
            line += " (" + std::string(CauseNames.name(reply.cause)) + ")";
        if (reply.duplicate)
            line += " (duplicate)";
        if (!request.flow.write) {
            line += ":";
            for (const std::string &value : valuesIn(reply.results))
                line += " " + value;
        }
        m_simulation->note(line);
        return reply;
    }

    ClusterSimulation *m_simulation;
    std::optional<Position> m_token;
    std::string m_transaction;
};

void roam(ClusterSimulation *simulation)
{
    Session session(simulation);
    session.write("h1", "first");
    session.read("h2");
    session.write("h3", "second");
    session.read("h1");
    session.read("h2", Millis(5000));
    session.inTransaction("h1", RequestKind::Begin);
    session.inTransaction("h2", RequestKind::TransactionStatement, "third");
    session.inTransaction("h3", RequestKind::Commit);
    session.read("h3");
    session.inTransaction("h2", RequestKind::Commit);
}

void primaryFails(ClusterSimulation *simulation)
{
    Session session(simulation);
    session.write("h1", "first");
    const std::string old = simulation->primary();
    // The primary executes the write and is killed before any replica has received it.
    simulation->delayReplication(old, Millis(200));
    simulation->after(Millis(60), [simulation, old] { simulation->killInstance(old); });
    session.write("h2", "second", "pull-2");
    session.read("h3");
    simulation->restartInstance(old);
    simulation->run(Millis(3000));
    session.read("h1");
    session.outcome("h2", "pull-2");
    simulation->note("rows on " + old + ": "
                     + std::to_string(simulation->instance(old).values("rows", "bar").size()));
}

void duplicateId(ClusterSimulation *simulation)
{
    Session session(simulation);
    session.write("h1", "first", "pull-1");
    session.write("h3", "first", "pull-1");
    simulation->loseAnswers(simulation->primary(), 1);
    session.write("h2", "second", "pull-2");
    session.outcome("h1", "pull-2");
    session.outcome("h1", "pull-3");
    session.write("h2", "third", "pull-3");
    session.read("h2");
}

void refused(ClusterSimulation *simulation)
{
    Session session(simulation);
    session.write("h1", "first");
    simulation->isolate("d" + simulation->primary().substr(1));
    const std::string host = "h" + simulation->primary().substr(1);
    // The isolated primary executes the write, but no majority acknowledges it.
    session.write(host, "second");
    session.read(host, Millis(100));
    simulation->heal();
    simulation->run(Millis(3000));
    session.read(host);
}

void drain(ClusterSimulation *simulation)
{
    Session session(simulation);
    session.write("h1", "first");
    session.inTransaction("h2", RequestKind::Begin);
    Gateway *gateway
        = simulation->gateway("h" + simulation->primary().substr(1), simulation->primary());
    gateway->drain();
    simulation->note("the primary's gateway drains");
    session.inTransaction("h2", RequestKind::TransactionStatement, "second");
    session.write("h3", "third");
    session.inTransaction("h3", RequestKind::Commit);
    simulation->note(gateway->idle() ? "the gateway is idle" : "the gateway is busy");
    session.read("h1");
}

void leaving(ClusterSimulation *simulation)
{
    Session session(simulation);
    session.write("h1", "first");
    simulation->setLeaving(simulation->primary(), true);
    simulation->note(simulation->primary() + " is leaving");
    simulation->run(Millis(3000));
    session.write("h1", "second");
    session.read("h2");
}

void settingsRace(ClusterSimulation *simulation)
{
    PlatformTable table;
    const auto apply = [&table](SettingsChange *change) {
        const auto row = table.row("settings/valle");
        const auto head = table.row("settings-head");
        return change->onRows(row ? row->version : 0, head ? head->version : 0, 0);
    };
    const auto write = [&table](const SettingsChange &change) {
        return table.transact(
            {{"settings/valle", change.teamVersion()}, {"settings-head", change.headVersion()}},
            {{"settings/valle", change.options().body}, {"settings-head", "1"}});
    };
    const auto noteResult = [simulation](const std::string &who, const ChangeAction &action) {
        const bool done = action.step == ChangeStep::Done;
        simulation->note(who + ": "
                         + (done                                     ? "done"
                                : action.step == ChangeStep::Refused ? "refused"
                                                                     : "reads again")
                         + ", version " + std::to_string(action.version));
    };
    SettingsChange first({.team = "valle", .body = "one", .change = "a"});
    SettingsChange second({.team = "valle", .body = "two", .change = "b"});
    apply(&first);
    apply(&second);
    noteResult("first", first.onTransacted(write(first) ? Verdict::Ran : Verdict::NotRun));
    noteResult("second", second.onTransacted(write(second) ? Verdict::Ran : Verdict::NotRun));
    noteResult("second", apply(&second));
    simulation->note("in the table: " + table.row("settings/valle")->value);
}

struct GoldenCase
{
    std::string name;
    void (*run)(ClusterSimulation *);
};

std::ostream &operator<<(std::ostream &out, const GoldenCase &c)
{
    return out << c.name;
}

} // namespace

class GoldenSessions : public testing::TestWithParam<GoldenCase>
{
};

TEST_P(GoldenSessions, MatchTheGoldenFile)
{
    ClusterSimulation simulation({.seed = 11});
    simulation.start();
    GetParam().run(&simulation);
    std::string transcript;
    for (const std::string &line : simulation.trace())
        transcript += line + "\n";
    const std::string path = SOURCE_ROOT "/test/golden/" + GetParam().name + ".txt";
    if (std::getenv("UPDATE_GOLDEN"))
        std::ofstream(path) << transcript;
    std::ifstream file(path);
    const std::string expected(std::istreambuf_iterator<char>(file), {});
    EXPECT_EQ(transcript, expected);
}

INSTANTIATE_TEST_SUITE_P(All, GoldenSessions,
                         testing::Values(GoldenCase{"roam", roam},
                                         GoldenCase{"primary-fails", primaryFails},
                                         GoldenCase{"duplicate-id", duplicateId},
                                         GoldenCase{"refused", refused}, GoldenCase{"drain", drain},
                                         GoldenCase{"leaving", leaving},
                                         GoldenCase{"settings-race", settingsRace}),
                         [](const auto &info) {
                             std::string name = info.param.name;
                             std::erase(name, '-');
                             return name;
                         });

} // namespace cicadagap
