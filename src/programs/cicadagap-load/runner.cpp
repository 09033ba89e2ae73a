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
constexpr Millis SettleDelay(100);
constexpr const char *Table = "load";

std::string operationsText(const char *kind, const std::string &key, const std::string &value)
{
    return json::serialize(
        json::array{json::object{{"op", kind}, {"table", Table}, {"key", key}, {"value", value}}});
}

Verdict verdictIn(const std::optional<HttpResponse> &response)
{
    const auto body = response ? parseObject(response->body, nullptr) : std::nullopt;
    if (!body)
        return Verdict::MayHaveRun;
    return VerdictNames.value(textMember(*body, "verdict")).value_or(Verdict::MayHaveRun);
}

} // namespace

Runner::Runner(EventLoop *loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
{
}

void Runner::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_startedAt = m_clock.now();
    m_running = m_options.sessions;
    for (int i = 0; i < m_options.sessions; ++i) {
        auto session = std::make_shared<Session>();
        session->key = "s" + std::to_string(m_options.seed) + "-" + std::to_string(i);
        session->group = static_cast<std::size_t>(i) % m_options.workload.groups.size();
        session->random = Random(m_options.seed * 1000 + static_cast<std::uint64_t>(i));
        const Millis delay = m_options.ramp * i / m_options.sessions;
        m_loop->after(delay, [self = shared_from_this(), session] { self->next(session); });
    }
}

std::vector<Observation> Runner::takeObservations()
{
    MutexLock lock(&m_mutex);
    return std::exchange(m_observations, {});
}

std::vector<WrittenValue> Runner::takeWritten()
{
    MutexLock lock(&m_mutex);
    return std::exchange(m_written, {});
}

void Runner::next(const SessionPtr &session)
{
    if (m_clock.now() - m_startedAt >= m_options.duration) {
        for (const auto &connection : session->connections)
            connection.second->close();
        if (--m_running == 0)
            m_done();
        return;
    }
    const Millis mean = m_options.think.value_or(m_options.workload.think);
    const auto range = static_cast<std::uint64_t>(2 * mean.count() + 1);
    const Millis think(static_cast<std::int64_t>(session->random.below(range)));
    m_loop->after(think, [self = shared_from_this(), session] { self->operate(session); });
}

void Runner::operate(const SessionPtr &session)
{
    const std::size_t index = pickOperation(session.get());
    const Operation &operation = m_options.workload.operations[index];
    const std::string value
        = "v" + std::to_string(m_options.seed) + "-" + std::to_string(++m_lastValue);
    json::object body{{"statement", operation.statement}};
    if (operation.marked)
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

void Runner::send(const SessionPtr &session, const std::string &verb, const std::string &body,
                  const Answered &answered)
{
    // Sessions roam: each request goes to any host.
    const Endpoint entry = m_options.entries[session->random.below(m_options.entries.size())];
    HttpRequest request{.method = "POST"};
    request.target = "/v1/teams/" + m_options.workload.team + "/groups/"
        + m_options.workload.groups[session->group] + "/" + verb;
    request.body = body;
    if (!session->token.empty())
        request.headers["cicadagap-session"] = session->token;
    const auto kept = session->connections.find(entry);
    if (kept != session->connections.end()) {
        callOn(session, entry, kept->second, request, answered);
        return;
    }
    HttpConnection::open(
        m_loop, entry, ConnectTimeout,
        [self = shared_from_this(), session, entry, request,
         answered](const std::shared_ptr<HttpConnection> &opened, const Reason &) {
            if (!opened) {
                // Nothing was sent; the balancer would have turned elsewhere.
                answered(HttpResponse{.status = 503, .body = R"({"verdict":"not-run"})"});
                return;
            }
            session->connections[entry] = opened;
            self->callOn(session, entry, opened, request, answered);
        });
}

void Runner::callOn(const SessionPtr &session, const Endpoint &entry,
                    const std::shared_ptr<HttpConnection> &connection, const HttpRequest &request,
                    const Answered &answered)
{
    connection->call(
        request, CallTimeout,
        [self = shared_from_this(), session, entry,
         answered](const std::optional<HttpResponse> &response, const CallFailure &failure) {
            if (!response) {
                session->connections.erase(entry);
                if (failure.sent) {
                    ++self->m_cut;
                    answered(std::nullopt);
                } else {
                    answered(HttpResponse{.status = 503, .body = R"({"verdict":"not-run"})"});
                }
                return;
            }
            const auto closing = response->headers.find("connection");
            if (closing != response->headers.end() && closing->second == "close")
                session->connections.erase(entry);
            const auto token = response->headers.find("cicadagap-session");
            if (token != response->headers.end())
                session->token = token->second;
            answered(response);
        });
}

void Runner::onAnswer(const SessionPtr &session, std::size_t operation, const std::string &value,
                      Millis startedAt, const std::optional<HttpResponse> &response)
{
    Observation seen;
    seen.operation = operation;
    seen.group = session->group;
    seen.startedAt = startedAt - m_startedAt;
    seen.took = m_clock.now() - startedAt;
    seen.verdict = verdictIn(response);
    const Operation &kind = m_options.workload.operations[operation];
    const auto body = response ? parseObject(response->body, nullptr) : std::nullopt;
    if (body && seen.verdict == Verdict::Ran) {
        seen.replica = flagMember(*body, "replica");
        // Reads without a stated age must see the session's own writes.
        const bool ownReads
            = !kind.write && kind.className == m_options.workload.operations[0].className;
        if (ownReads && body->contains("results"))
            seen.stale = missesOwnWrites(*session, json::serialize(body->at("results")));
    }
    {
        MutexLock lock(&m_mutex);
        m_observations.push_back(seen);
    }
    if (!kind.write)
        next(session);
    else if (seen.verdict == Verdict::MayHaveRun)
        settle(session, value, 0);
    else
        finishWrite(session, value, seen.verdict);
}

void Runner::settle(const SessionPtr &session, const std::string &value, int attempt)
{
    if (attempt >= m_options.retries) {
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
             self->m_loop->after(SettleDelay, [self, session, value, attempt] {
                 self->settle(session, value, attempt + 1);
             });
         });
}

void Runner::finishWrite(const SessionPtr &session, const std::string &value, Verdict verdict)
{
    if (verdict == Verdict::Ran)
        session->acknowledged.insert(value);
    {
        MutexLock lock(&m_mutex);
        m_written.push_back(
            {m_options.workload.groups[session->group], session->key, value, verdict});
    }
    next(session);
}

bool Runner::missesOwnWrites(const Session &session, const std::string &results) const
{
    for (const std::string &value : session.acknowledged) {
        if (results.find("\"" + value + "\"") == std::string::npos)
            return true;
    }
    return false;
}

std::size_t Runner::pickOperation(Session *session) const
{
    int total = 0;
    for (const Operation &operation : m_options.workload.operations)
        total += operation.weight;
    auto at = static_cast<int>(session->random.below(static_cast<std::uint64_t>(total)));
    for (std::size_t i = 0; i < m_options.workload.operations.size(); ++i) {
        at -= m_options.workload.operations[i].weight;
        if (at < 0)
            return i;
    }
    return 0;
}

} // namespace cicadagap
