#include "runner.h"

#include "connection/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr Millis CallTimeout(12'000);
constexpr Millis ConnectTimeout(2000);
constexpr Millis OutcomeQueryDelay(100);
constexpr const char *TableName = "load";

std::string operationsText(const char *kind, const std::string &key, const std::string &value)
{
    return json::serialize(json::array{
        json::object{{"op", kind}, {"table", TableName}, {"key", key}, {"value", value}}});
}

Verdict verdictIn(const std::optional<HttpResponse> &response)
{
    const auto body = response ? parseObject(response->body, nullptr) : std::nullopt;
    if (!body)
        return Verdict::MayHaveRun;
    return VerdictNames.value(textMember(*body, "verdict")).value_or(Verdict::MayHaveRun);
}

} // namespace

WorkloadRunner::WorkloadRunner(EventLoop *loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
{
}

void WorkloadRunner::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_startedAt = m_clock.now();
    m_runningSessions = m_options.sessions;
    for (int i = 0; i < m_options.sessions; ++i) {
        auto session = std::make_shared<Session>();
        session->key = "s" + std::to_string(m_options.seed) + "-" + std::to_string(i);
        session->group = static_cast<std::size_t>(i) % m_options.workload.groups.size();
        session->random = Random(m_options.seed * 1000 + static_cast<std::uint64_t>(i));
        const Millis delay = m_options.ramp * i / m_options.sessions;
        m_loop->after(delay, [self = shared_from_this(), session] { self->scheduleNext(session); });
    }
}

std::vector<Observation> WorkloadRunner::takeObservations()
{
    MutexLock lock(&m_mutex);
    return std::exchange(m_observations, {});
}

std::vector<WriteRecord> WorkloadRunner::takeWrites()
{
    MutexLock lock(&m_mutex);
    return std::exchange(m_writes, {});
}

void WorkloadRunner::scheduleNext(const SessionPtr &session)
{
    if (m_clock.now() - m_startedAt >= m_options.duration) {
        for (const auto &connection : session->connections)
            connection.second->close();
        if (--m_runningSessions == 0)
            m_done();
        return;
    }
    const Millis mean = m_options.thinkTime.value_or(m_options.workload.thinkTime);
    const auto range = static_cast<std::uint64_t>(2 * mean.count() + 1);
    const Millis thinkTime(static_cast<std::int64_t>(session->random.below(range)));
    m_loop->after(thinkTime,
                  [self = shared_from_this(), session] { self->sendOperation(session); });
}

void WorkloadRunner::sendOperation(const SessionPtr &session)
{
    const std::size_t index = pickOperation(session.get());
    const WorkloadOperation &operation = m_options.workload.operations[index];
    const std::string value
        = "v" + std::to_string(m_options.seed) + "-" + std::to_string(++m_lastValue);
    json::object body{{"statement", operation.statement}};
    if (operation.hasRequestId)
        body["requestId"] = value;
    std::string text = json::serialize(body);
    text.pop_back();
    const char *kind = operation.write ? "append" : "get";
    text += ",\"ops\":" + operationsText(kind, session->key, operation.write ? value : "") + "}";
    const Millis startedAt = m_clock.now();
    send(session, "execute", text,
         [self = shared_from_this(), session, index, value,
          startedAt](const std::optional<HttpResponse> &response) {
             self->onAnswer(session, index, value, startedAt, response);
         });
}

void WorkloadRunner::send(const SessionPtr &session, const std::string &verb,
                          const std::string &body, const AnswerHandler &onAnswered)
{
    // Sessions are not bound to a host: each request goes to any of them.
    const Endpoint entry = m_options.entries[session->random.below(m_options.entries.size())];
    HttpRequest request{.method = "POST"};
    request.target = "/v1/teams/" + m_options.workload.team + "/groups/"
        + m_options.workload.groups[session->group] + "/" + verb;
    request.body = body;
    if (!session->token.empty())
        request.headers["cicadagap-session"] = session->token;
    const auto open = session->connections.find(entry);
    if (open != session->connections.end()) {
        callOn(session, entry, open->second, request, onAnswered);
        return;
    }
    HttpConnection::open(
        m_loop, entry, ConnectTimeout,
        [self = shared_from_this(), session, entry, request,
         onAnswered](const std::shared_ptr<HttpConnection> &connection, const Reason &) {
            if (!connection) {
                // Nothing was sent. A load balancer would have chosen another host.
                onAnswered(HttpResponse{.status = 503, .body = R"({"verdict":"not-run"})"});
                return;
            }
            session->connections[entry] = connection;
            self->callOn(session, entry, connection, request, onAnswered);
        });
}

void WorkloadRunner::callOn(const SessionPtr &session, const Endpoint &entry,
                            const std::shared_ptr<HttpConnection> &connection,
                            const HttpRequest &request, const AnswerHandler &onAnswered)
{
    connection->call(
        request, CallTimeout,
        [self = shared_from_this(), session, entry,
         onAnswered](const std::optional<HttpResponse> &response, const CallFailure &failure) {
            if (!response) {
                session->connections.erase(entry);
                if (failure.sent) {
                    ++self->m_cutAnswers;
                    onAnswered(std::nullopt);
                } else {
                    onAnswered(HttpResponse{.status = 503, .body = R"({"verdict":"not-run"})"});
                }
                return;
            }
            const auto connectionHeader = response->headers.find("connection");
            if (connectionHeader != response->headers.end() && connectionHeader->second == "close")
                session->connections.erase(entry);
            const auto token = response->headers.find("cicadagap-session");
            if (token != response->headers.end())
                session->token = token->second;
            onAnswered(response);
        });
}

void WorkloadRunner::onAnswer(const SessionPtr &session, std::size_t operation,
                              const std::string &value, Millis startedAt,
                              const std::optional<HttpResponse> &response)
{
    Observation observation;
    observation.operation = operation;
    observation.group = session->group;
    observation.startedAt = startedAt - m_startedAt;
    observation.latency = m_clock.now() - startedAt;
    observation.verdict = verdictIn(response);
    const WorkloadOperation &kind = m_options.workload.operations[operation];
    const auto body = response ? parseObject(response->body, nullptr) : std::nullopt;
    if (body && observation.verdict == Verdict::Ran) {
        observation.replica = flagMember(*body, "replica");
        // Reads whose statement has no maximum age must see the session's own writes.
        const bool ownReads
            = !kind.write && kind.className == m_options.workload.operations[0].className;
        if (ownReads && body->contains("results"))
            observation.stale = missesOwnWrites(*session, json::serialize(body->at("results")));
    }
    {
        MutexLock lock(&m_mutex);
        m_observations.push_back(observation);
    }
    if (!kind.write)
        scheduleNext(session);
    else if (observation.verdict == Verdict::MayHaveRun)
        resolveOutcome(session, value, 0);
    else
        finishWrite(session, value, observation.verdict);
}

void WorkloadRunner::resolveOutcome(const SessionPtr &session, const std::string &value,
                                    int attempt)
{
    if (attempt >= m_options.maxOutcomeQueries) {
        finishWrite(session, value, Verdict::MayHaveRun);
        return;
    }
    const std::string body = json::serialize(json::object{{"requestId", value}});
    send(session, "outcome", body,
         [self = shared_from_this(), session, value,
          attempt](const std::optional<HttpResponse> &response) {
             const auto answer = response ? parseObject(response->body, nullptr) : std::nullopt;
             const Verdict verdict = verdictIn(response);
             const bool cancelled
                 = answer && textMember(*answer, "cause") == CauseNames.name(Cause::Cancelled);
             if (verdict == Verdict::Ran || cancelled) {
                 self->finishWrite(session, value, verdict);
                 return;
             }
             self->m_loop->after(OutcomeQueryDelay, [self, session, value, attempt] {
                 self->resolveOutcome(session, value, attempt + 1);
             });
         });
}

void WorkloadRunner::finishWrite(const SessionPtr &session, const std::string &value,
                                 Verdict verdict)
{
    if (verdict == Verdict::Ran)
        session->acknowledged.insert(value);
    {
        MutexLock lock(&m_mutex);
        m_writes.push_back(
            {m_options.workload.groups[session->group], session->key, value, verdict});
    }
    scheduleNext(session);
}

bool WorkloadRunner::missesOwnWrites(const Session &session, const std::string &results) const
{
    for (const std::string &value : session.acknowledged) {
        if (results.find("\"" + value + "\"") == std::string::npos)
            return true;
    }
    return false;
}

std::size_t WorkloadRunner::pickOperation(Session *session) const
{
    int total = 0;
    for (const WorkloadOperation &operation : m_options.workload.operations)
        total += operation.weight;
    auto remaining = static_cast<int>(session->random.below(static_cast<std::uint64_t>(total)));
    for (std::size_t i = 0; i < m_options.workload.operations.size(); ++i) {
        remaining -= m_options.workload.operations[i].weight;
        if (remaining < 0)
            return i;
    }
    return 0;
}

} // namespace cicadagap
