// Tests of the log lines about requests: they lead from a caller's request to what an instance was
// sent, hold no text of callers' statements, and are limited in number.
#include "session/requestlog.h"

#include "base/hash.h"
#include "sessionoutputs.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace cicadagap {
namespace {

constexpr const char *GatewayName = "h1";

struct LogLine
{
    std::string text;
    boost::json::object fields;
};

// Keeps the lines of a RequestLog.
class LineLog
{
public:
    // The lines of an event, in order.
    std::vector<boost::json::object> ofEvent(std::string_view event) const
    {
        std::vector<boost::json::object> found;
        for (const LogLine &line : lines) {
            if (line.fields.at("event").as_string() == event)
                found.push_back(line.fields);
        }
        return found;
    }
    // The number of a counter, as the metrics report it.
    std::int64_t counter(std::string_view name) const
    {
        const auto counters = boost::json::parse(metrics.json()).at("counters").as_object();
        return counters.contains(name) ? counters.at(name).to_number<std::int64_t>() : 0;
    }

    std::vector<LogLine> lines;
    Metrics metrics;
    RequestLog log{
        &metrics, [this](LogLevel level, std::string_view event, std::span<const LogField> fields) {
            const std::string text = logLine(level, event, fields);
            lines.push_back({text, boost::json::parse(text).as_object()});
        }};
};

// A host with its log. Instances run everything that it sends them.
class LoggedHost : public NullOutput
{
public:
    struct Sent
    {
        ConnectionId connection = 0;
        Statement statement;
    };

    LoggedHost(const std::string &host, const std::string &dataCentre)
        : engine({.host = host, .dataCentre = dataCentre}, this)
        , m_origin(host + "/1")
    {
        RoutingTable routing{.version = 1};
        routing.groups["g"] = {.name = "g", .maxConnections = 1, .syncReplicas = 1};
        routing.databases["db"] = {.database = "db",
                                   .group = "g",
                                   .consistency = Consistency::Strong,
                                   .statementTimeout = Millis(5000),
                                   .latencyObjective = Millis(400)};
        engine.onHosts(
            now, {{.host = GatewayName, .dataCentre = "d"}, {.host = "h", .dataCentre = "e"}});
        engine.onConfiguration(now, routing);
        engine.onInstances(now,
                           {{.id = "i",
                             .group = "g",
                             .dataCentre = "d",
                             .slots = 4,
                             .registeredAsPrimary = true}});
    }

    void openTarget(ConnectionId connection, const RegisteredInstance &,
                    const std::string &) override
    {
        opening.push_back(connection);
    }
    void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements) override
    {
        for (const Statement &statement : statements)
            unanswered.push_back({connection, statement});
    }
    void relayToGateway(ConnectionId, const std::string &gateway, RelayBatch batch) override
    {
        EXPECT_EQ(gateway, GatewayName);
        batch.origin = m_origin;
        relayed.push_back(std::move(batch));
    }
    void answerCaller(SessionId, const StatementAnswer &answer) override
    {
        answers.push_back(answer);
    }
    void logRequest(const RequestEvent &event) override { log.log.onRequest(now, event); }
    void logNewName(const NewPreparedName &prepared) override { log.log.onNewName(now, prepared); }
    void logRelayedStatement(const RelayedStatementEvent &event) override
    {
        log.log.onRelayedStatement(now, event);
    }

    // Lets the instances accept the connections and run the statements that are under way. Returns
    // whether there were any.
    bool deliver()
    {
        if (opening.empty() && unanswered.empty())
            return false;
        now = now + Millis(1);
        for (const ConnectionId connection : std::exchange(opening, {}))
            engine.onTargetOpened(now, connection);
        for (const Sent &entry : std::exchange(unanswered, {})) {
            sent.push_back(entry);
            engine.onTargetAnswer(now, entry.connection, run(entry.statement));
        }
        return true;
    }

    LineLog log;
    Millis now = Millis(1000);
    std::vector<ConnectionId> opening;
    std::deque<Sent> unanswered;
    std::vector<Sent> sent;
    std::vector<RelayBatch> relayed;
    std::vector<StatementAnswer> answers;
    Cause nextCause = Cause::None; // Of the answer to the next Execute.
    SessionEngine engine;

private:
    StatementAnswer run(const Statement &statement)
    {
        if (statement.kind == StatementKind::Begin)
            m_phase = SessionPhase::Transaction;
        if (statement.kind == StatementKind::Rollback || statement.kind == StatementKind::Commit)
            m_phase = SessionPhase::Idle;
        StatementAnswer answer{.signature = "s", .phase = m_phase, .position = Position{1, 1}};
        if (statement.kind == StatementKind::Execute)
            answer.cause = std::exchange(nextCause, Cause::None);
        return answer;
    }

    std::string m_origin;
    SessionPhase m_phase = SessionPhase::Idle;
};

// How statements reach the instance.
enum class Path {
    Direct,
    Relayed,
};

struct PathCase
{
    std::string name;
    Path path = Path::Direct;
    bool writes = false;
};

std::ostream &operator<<(std::ostream &out, const PathCase &pathCase)
{
    return out << pathCase.name;
}

class RequestPath : public testing::TestWithParam<PathCase>
{
protected:
    LoggedHost &callersHost() { return GetParam().path == Path::Direct ? gateway : origin; }

    void prepare(SessionId session, const std::string &shape)
    {
        send(session,
             {.id = "p",
              .kind = StatementKind::Prepare,
              .name = "s1",
              .argument = shape,
              .preparesWrite = GetParam().writes});
    }
    void execute(SessionId session, const std::string &id, const std::string &parameters)
    {
        send(session,
             {.id = id,
              .kind = StatementKind::Execute,
              .text = "EXECUTE s1 " + parameters,
              .name = "s1",
              .argument = parameters});
    }
    void send(SessionId session, Statement statement)
    {
        LoggedHost &host = callersHost();
        if (statement.kind == StatementKind::Prepare) {
            ASSERT_EQ(host.engine.onConnect(host.now, session, "db"), Cause::None);
        }
        host.engine.onStatement(host.now, session, std::move(statement));
        deliver();
    }
    void deliver()
    {
        for (bool delivered = true; delivered;) {
            delivered = gateway.deliver();
            for (RelayBatch &batch : std::exchange(origin.relayed, {})) {
                delivered = true;
                const ConnectionId channel = batch.channel;
                gateway.engine.onRelayBatch(
                    gateway.now, std::move(batch), [&, channel](RelayReply reply) {
                        origin.engine.onRelayReply(origin.now, channel, GatewayName, reply);
                    });
            }
        }
    }

    // What the logs say that the instance was sent for the request.
    struct Found
    {
        ConnectionId connection = 0;
        std::string name;
        std::string kind;
        std::string shapeDigest;
        std::int64_t shapeBytes = 0;
    };

    std::optional<Found> follow(const std::string &request)
    {
        std::optional<boost::json::object> line
            = lineOf(callersHost(), "request.answered", "request", boost::json::string(request));
        if (!line)
            return std::nullopt;
        if (line->contains("channel")) {
            EXPECT_EQ(line->at("gateway").as_string(), GatewayName);
            const auto channel = line->at("channel");
            line = lineOf(gateway, "statement.relayed", "channel", channel);
            if (!line || line->at("origin").as_string() != "h/1"
                || line->at("request").as_string() != request)
                return std::nullopt;
        }
        for (const boost::json::object &prepared : gateway.log.ofEvent("statement.prepared")) {
            if (prepared.at("connection") != line->at("connection")
                || prepared.at("name") != line->at("name"))
                continue;
            EXPECT_EQ(prepared.at("instance").as_string(), "i");
            return Found{.connection = prepared.at("connection").to_number<ConnectionId>(),
                         .name = prepared.at("name").as_string().c_str(),
                         .kind = prepared.at("kind").as_string().c_str(),
                         .shapeDigest = prepared.at("shapeDigest").as_string().c_str(),
                         .shapeBytes = prepared.at("shapeBytes").to_number<std::int64_t>()};
        }
        return std::nullopt;
    }

    LoggedHost gateway{GatewayName, "d"};
    LoggedHost origin{"h", "e"};

private:
    static std::optional<boost::json::object> lineOf(const LoggedHost &host, std::string_view event,
                                                     std::string_view field,
                                                     const boost::json::value &value)
    {
        for (const boost::json::object &line : host.log.ofEvent(event)) {
            if (line.at(field) == value)
                return line;
        }
        return std::nullopt;
    }
};

// Guards against this failure: a statement ran wrongly, and no log told on which connection and
// under which name the instance was sent it.
TEST_P(RequestPath, LeadsToWhatTheInstanceWasSent)
{
    const std::vector<std::string> shapes{"q16", "q16 READ lw", "", " \xff\r"};
    for (SessionId session = 0; session < shapes.size(); ++session)
        prepare(session, shapes[session]);
    for (const std::string round : {"a", "b"}) {
        for (SessionId session = 0; session < shapes.size(); ++session) {
            const std::string id = round + std::to_string(session);
            execute(session, id, "item");
            const std::optional<Found> found = follow(id);
            ASSERT_TRUE(found) << id;
            EXPECT_EQ(found->shapeDigest, hash64Digits(shapes[session]));
            EXPECT_EQ(found->shapeBytes, static_cast<std::int64_t>(shapes[session].size()));
            EXPECT_EQ(found->kind, GetParam().writes ? "write" : "read");
            const auto executed = std::find_if(
                gateway.sent.begin(), gateway.sent.end(),
                [&](const LoggedHost::Sent &entry) { return entry.statement.id == id; });
            ASSERT_NE(executed, gateway.sent.end());
            EXPECT_EQ(executed->connection, found->connection);
            EXPECT_EQ(executed->statement.name, found->name);
        }
    }
    EXPECT_EQ(gateway.log.counter("statements.prepared"), static_cast<int>(shapes.size()));
    EXPECT_EQ(gateway.log.counter("statements.deallocated"), 0);
}

// Guards against this failure: a log gives away what callers store. A plain word is the shape whose
// name on a channel contains it, for gateways of earlier versions.
TEST_P(RequestPath, HoldsNoTextOfShapesAndParameters)
{
    prepare(1, "secretword");
    prepare(2, "a secret shape");
    execute(1, "e1", "secretitem secretdata");
    gateway.nextCause = Cause::Overloaded;
    execute(2, "e2", "secretitem secretdata");
    gateway.nextCause = Cause::Failed;
    execute(2, "e3", "secretitem secretdata");
    ASSERT_TRUE(follow("e1"));
    for (const LoggedHost *host : {&gateway, &origin}) {
        for (const LogLine &line : host->log.lines)
            EXPECT_EQ(line.text.find("secret"), std::string::npos) << line.text;
    }
}

// Guards against this failure: the line about an attempt that failed did not say which connection
// the attempt had used.
TEST_P(RequestPath, NamesTheConnectionOfAnAttemptThatFailed)
{
    prepare(1, "q16");
    gateway.nextCause = Cause::Overloaded;
    execute(1, "e1", "item");
    const auto retried = callersHost().log.ofEvent("request.retried");
    ASSERT_EQ(retried.size(), 1U);
    const bool direct = GetParam().path == Path::Direct;
    EXPECT_GT(retried[0].at(direct ? "connection" : "channel").to_number<ConnectionId>(), 0U);
    EXPECT_EQ(retried[0].at("gateway").as_string(), direct ? "" : GatewayName);
    EXPECT_EQ(retried[0].at("name").as_string().empty(), !direct);
}

// Guards against this failure: names that were removed at an instance could not be told from names
// that it still holds.
TEST_P(RequestPath, CountsTheNamesThatAreRemoved)
{
    const std::size_t kept = PreparedNames::Options().maxNames;
    for (SessionId session = 0; session < kept + 7; ++session) {
        prepare(session, "shape " + std::to_string(session));
        execute(session, std::to_string(session), "item");
    }
    EXPECT_EQ(gateway.log.counter("statements.prepared"), static_cast<int>(kept + 7));
    EXPECT_EQ(gateway.log.counter("statements.deallocated"), 7);
}

INSTANTIATE_TEST_SUITE_P(Paths, RequestPath,
                         testing::Values(PathCase{"directRead", Path::Direct, false},
                                         PathCase{"directWrite", Path::Direct, true},
                                         PathCase{"relayedRead", Path::Relayed, false},
                                         PathCase{"relayedWrite", Path::Relayed, true}),
                         [](const auto &info) { return info.param.name; });

// A kind of line that callers can cause any number of times in a second.
struct FloodCase
{
    std::string name;
    std::size_t lines = 0; // That are written in a second.
    void (*log)(RequestLog *log, Millis now) = nullptr;
};

std::ostream &operator<<(std::ostream &out, const FloodCase &flood)
{
    return out << flood.name;
}

class RequestFlood : public testing::TestWithParam<FloodCase>
{
};

void logFailure(RequestLog *log, Millis now)
{
    log->onRequest(now, {.event = "request.failed", .cause = Cause::Timeout});
}

void logAnswer(RequestLog *log, Millis now)
{
    log->onRequest(now, {.event = "request.answered"});
}

void logName(RequestLog *log, Millis now)
{
    log->onNewName(now, {.connection = 1, .instance = "i", .name = "p1", .shape = "q"});
}

void logRelayed(RequestLog *log, Millis now)
{
    log->onRelayedStatement(now, {.request = "r", .origin = "h/1", .channel = 1});
}

// Guards against this failure: a caller that prepares or executes without end floods the log, or
// keeps the lines of failures out of it.
TEST_P(RequestFlood, IsLimitedAndCounted)
{
    constexpr int Events = 10'000;
    constexpr Millis Second(1000);
    LineLog lines;
    for (int i = 0; i < Events; ++i)
        GetParam().log(&lines.log, Second);
    ASSERT_EQ(lines.lines.size(), GetParam().lines);
    EXPECT_EQ(lines.counter("log.dropped"), Events - static_cast<int>(GetParam().lines));
    const bool hasRoom = GetParam().lines < RequestLog::LinesPerSecond;
    logFailure(&lines.log, Second);
    EXPECT_EQ(lines.ofEvent("request.failed").size(), hasRoom ? 1U : GetParam().lines);
    lines.lines.clear();
    GetParam().log(&lines.log, Second + Millis(1000));
    ASSERT_EQ(lines.lines.size(), 2U);
    ASSERT_EQ(lines.lines[0].fields.at("event").as_string(), "log.dropped");
    EXPECT_EQ(lines.lines[0].fields.at("lines").to_number<std::size_t>(),
              Events - GetParam().lines + (hasRoom ? 0 : 1));
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, RequestFlood,
    testing::Values(FloodCase{"failures", RequestLog::LinesPerSecond, logFailure},
                    FloodCase{"answers", RequestLog::AnswerLinesPerSecond, logAnswer},
                    FloodCase{"newNames", RequestLog::NameLinesPerSecond, logName},
                    FloodCase{"relayedStatements", RequestLog::AnswerLinesPerSecond, logRelayed}),
    [](const auto &info) { return info.param.name; });

// Guards against this failure: the digest in a log cannot be compared with the one that other
// programs or other versions compute for the same shape.
TEST(RequestLog, HasTheDigestThatOtherProgramsCompute)
{
    EXPECT_EQ(hash64Digits(""), "ef46db3751d8e999");
    EXPECT_EQ(hash64Digits("abc"), "44bc2cf5ad770999");
}

// Guards against this failure: under load, answers named connections and names that no other line
// explained.
TEST(RequestLog, KeepsRoomForNewNamesBesideManyAnswers)
{
    LineLog lines;
    for (int i = 0; i < 10'000; ++i)
        logAnswer(&lines.log, Millis(1000));
    logName(&lines.log, Millis(1000));
    EXPECT_EQ(lines.ofEvent("statement.prepared").size(), 1U);
}

} // namespace
} // namespace cicadagap
