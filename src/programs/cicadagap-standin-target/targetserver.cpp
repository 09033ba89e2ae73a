#include "targetserver.h"

#include "connection/wire.h"
#include "standin_core/targetcodec.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

// An idle primary sends replication messages without entries, so that it gets answers from its
// replicas.
constexpr Millis HeartbeatInterval(50);
constexpr Millis ReplicateTimeout(1000);

HttpResponse refuse(Cause cause)
{
    return {.status = 409, .body = encodeExecuteAnswer({.cause = cause})};
}

} // namespace

TargetServer::TargetServer(EventLoop *loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_instance({.name = m_options.name})
{
    for (const auto &member : m_options.members)
        m_peers[member.first].endpoint = member.second;
}

bool TargetServer::start(Reason *reason)
{
    if (!load(reason))
        return false;
    const auto handler
        = [this](const HttpRequest &request, const Respond &respond) { handle(request, respond); };
    m_server = HttpServer::listen(m_loop, m_options.listen, handler, reason);
    if (!m_server)
        return false;
    m_server->onClosed([this](std::uint64_t connection) { onClosed(connection); });
    m_loop->every(m_options.replicationInterval, [this] {
        for (const auto &peer : m_peers)
            replicateTo(peer.first);
    });
    return true;
}

void TargetServer::handle(const HttpRequest &request, const Respond &respond)
{
    if (targetPath(request.target) == "/control") {
        respond(control(request.body));
        return;
    }
    // Requests from a peer that is cut off, or on a silent connection, are never answered; only the
    // caller's timeout can detect that.
    if (isCut(request) || m_silentConnections.contains(request.connection))
        return;
    if (m_answerDelay.count() == 0) {
        route(request, respond);
        return;
    }
    m_loop->after(m_answerDelay, [this, request, respond] { route(request, respond); });
}

void TargetServer::route(const HttpRequest &request, const Respond &respond)
{
    const std::string_view path = targetPath(request.target);
    if (path == "/connect")
        admit(request.connection, respond);
    else if (path == "/ping")
        respond({.body = encodeExecuteAnswer({.position = m_instance.last()})});
    else if (path == "/status")
        respond({.body = statusText()});
    else if (path == "/follow")
        respond({.body = follow(request.body)});
    else if (path == "/promote")
        respond({.body = promote(request.body)});
    else if (path == "/replicate")
        respond({.body = replicate(request.body)});
    else if (path == "/rows")
        respond(rows(request.target));
    else
        enqueueStatement(request, respond);
}

void TargetServer::admit(std::uint64_t connection, const Respond &respond)
{
    if (m_leaving || static_cast<int>(m_admittedConnections.size()) >= m_options.connections) {
        respond({.status = 503, .body = encodeExecuteAnswer({.cause = Cause::Overloaded})});
        return;
    }
    m_admittedConnections.insert(connection);
    m_loop->after(m_options.connect, [respond] { respond({.body = "{}"}); });
}

void TargetServer::enqueueStatement(const HttpRequest &request, const Respond &respond)
{
    if (!m_admittedConnections.contains(request.connection)) {
        respond(refuse(Cause::Invalid));
        return;
    }
    m_queue.emplace_back([this, request, respond] {
        m_loop->after(m_options.service, [this, request, respond] {
            --m_runningStatements;
            finishStatement(request, respond);
            runQueue();
        });
    });
    runQueue();
}

void TargetServer::runQueue()
{
    while (m_runningStatements < m_options.slots && !m_queue.empty()) {
        const std::function<void()> statement = std::move(m_queue.front());
        m_queue.pop_front();
        ++m_runningStatements;
        statement();
    }
}

void TargetServer::finishStatement(const HttpRequest &request, const Respond &respond)
{
    bool wrote = false;
    const ExecuteAnswer answer = runStatement(request, &wrote);
    persist();
    if (wrote && m_loseAnswers > 0) {
        --m_loseAnswers;
        return;
    }
    const int status = answer.cause == Cause::None ? 200 : 409;
    respond({.status = status, .body = encodeExecuteAnswer(answer)});
}

ExecuteAnswer TargetServer::runStatement(const HttpRequest &request, bool *wrote)
{
    const std::string_view path = targetPath(request.target);
    const auto decoded = decodeExecute(request.body, nullptr);
    if (!decoded)
        return {.cause = Cause::Invalid, .position = m_instance.last()};
    const Position before = m_instance.last();
    ExecuteAnswer answer{.cause = Cause::Invalid};
    if (path == "/execute") {
        // Statements still run while the instance is leaving, so that open transactions can end.
        answer = m_instance.execute(request.connection, *decoded);
    } else if (path == "/begin") {
        if (m_leaving)
            answer = {.cause = Cause::Leaving, .position = before};
        else
            answer = m_instance.begin(request.connection, decoded->term);
    } else if (path == "/commit") {
        answer = m_instance.commit(request.connection, decoded->operations);
    } else if (path == "/rollback") {
        answer = m_instance.rollback(request.connection);
    }
    *wrote = m_instance.last() != before;
    return answer;
}

std::string TargetServer::statusText() const
{
    const TargetInstanceStatus status = m_instance.status();
    InstanceReport report;
    report.name = status.name;
    report.primary = status.primary;
    report.leaving = m_leaving;
    report.term = status.term;
    report.following = status.following;
    report.last = status.last;
    for (const ReplicaReport &replica : status.replicas)
        report.replicas.push_back(
            {replica.name, replica.term, replica.last, m_clock.now() - replica.lastContactAt});
    return encodeReport(report);
}

std::string TargetServer::follow(const std::string &body)
{
    const auto object = parseObject(body, nullptr);
    FollowAnswer answer{false, m_instance.term(), m_instance.last()};
    if (object) {
        const std::string primary = textMember(*object, "primary");
        const auto term = static_cast<std::uint64_t>(numberMember(*object, "term"));
        answer = m_instance.follow(term, primary.empty() ? std::nullopt : std::optional(primary));
        persist();
    }
    return json::serialize(json::object{{"accepted", answer.accepted},
                                        {"term", answer.term},
                                        {"last", encodePosition(answer.last)}});
}

std::string TargetServer::promote(const std::string &body)
{
    const auto object = parseObject(body, nullptr);
    std::vector<std::string> members{m_options.name};
    for (const auto &member : m_options.members)
        members.push_back(member.first);
    const auto term = object ? static_cast<std::uint64_t>(numberMember(*object, "term")) : 0;
    const bool accepted = object && m_instance.promote(term, members);
    persist();
    return json::serialize(json::object{{"accepted", accepted}});
}

HttpResponse TargetServer::control(const std::string &body)
{
    Reason reason;
    const auto object = parseObject(body, &reason);
    if (!object)
        return {.status = 400, .body = json::serialize(json::object{{"error", reason.text()}})};
    const auto setMillis = [&object](std::string_view key, Millis *value) {
        *value = Millis(numberMember(*object, key, value->count()));
    };
    setMillis("serviceMs", &m_options.service);
    setMillis("connectMs", &m_options.connect);
    setMillis("replicationDelayMs", &m_options.replicationDelay);
    setMillis("memberDelayMs", &m_memberDelay);
    if (object->contains("slowMember"))
        m_slowMember = textMember(*object, "slowMember");
    setMillis("answerDelayMs", &m_answerDelay);
    m_loseAnswers = static_cast<int>(numberMember(*object, "loseAnswers", m_loseAnswers));
    if (object->contains("leaving"))
        m_leaving = flagMember(*object, "leaving");
    if (flagMember(*object, "silence"))
        m_silentConnections = m_admittedConnections;
    if (const json::value *names = object->if_contains("cutFrom"); names && names->is_array()) {
        m_cutFrom.clear();
        for (const json::value &name : names->get_array()) {
            if (name.is_string())
                m_cutFrom.insert(name.get_string().c_str());
        }
    }
    return {.body = "{}"};
}

HttpResponse TargetServer::rows(const std::string &target) const
{
    json::object rows;
    for (const auto &row : m_instance.rows(queryValue(target, "table").value_or(""))) {
        json::array values;
        for (const std::string &value : row.second)
            values.emplace_back(value);
        rows[row.first] = std::move(values);
    }
    return {.body = json::serialize(json::object{{"rows", std::move(rows)},
                                                 {"mixed", m_instance.interleavedTransactions()}})};
}

std::string TargetServer::replicate(const std::string &body)
{
    const auto request = decodeReplicate(body, nullptr);
    ReplicateAnswer answer{false, m_instance.term(), m_instance.last(), 1};
    if (request)
        answer = m_instance.onReplicate(*request);
    persist();
    return encodeReplicateAnswer(answer);
}

void TargetServer::replicateTo(const std::string &member)
{
    Peer &peer = m_peers.at(member);
    const Millis now = m_clock.now();
    const bool heartbeatDue = now - peer.lastSentAt >= HeartbeatInterval;
    const bool hasNewEntries = peer.sentLength != m_instance.log().size();
    if (peer.inFlight || (!hasNewEntries && !heartbeatDue) || m_cutFrom.contains(member))
        return;
    const auto request = m_instance.replicationFor(member);
    if (!request)
        return;
    peer.inFlight = true;
    peer.lastSentAt = now;
    peer.sentLength = request->previous.index + request->entries.size();
    const Millis delay = member == m_slowMember ? m_memberDelay : m_options.replicationDelay;
    if (delay.count() == 0) {
        sendReplication(member, *request);
        return;
    }
    m_loop->after(delay, [this, member, request = *request] { sendReplication(member, request); });
}

void TargetServer::sendReplication(const std::string &member, const ReplicateRequest &request)
{
    Peer &peer = m_peers.at(member);
    if (!peer.connection) {
        HttpConnection::open(
            m_loop, peer.endpoint, ReplicateTimeout,
            [this, member, request](const std::shared_ptr<HttpConnection> &opened, const Reason &) {
                Peer &target = m_peers.at(member);
                target.connection = opened;
                if (opened)
                    sendReplication(member, request);
                else
                    target.inFlight = false;
            });
        return;
    }
    const HttpRequest call{.method = "POST",
                           .target = "/replicate",
                           .headers = {{"x-from", m_options.name}},
                           .body = encodeReplicate(request)};
    peer.connection->call(
        call, ReplicateTimeout,
        [this, member](const std::optional<HttpResponse> &response, const CallFailure &) {
            Peer &target = m_peers.at(member);
            target.inFlight = false;
            if (!response) {
                target.connection = nullptr;
                return;
            }
            const auto answer = decodeReplicateAnswer(response->body, nullptr);
            if (answer && !m_cutFrom.contains(member))
                m_instance.onReplicateAnswer(member, *answer, m_clock.now());
            if (answer && !answer->accepted)
                target.sentLength = 0;
        });
}

void TargetServer::onClosed(std::uint64_t connection)
{
    m_admittedConnections.erase(connection);
    m_silentConnections.erase(connection);
    m_instance.onClosed(connection);
}

bool TargetServer::isCut(const HttpRequest &request) const
{
    const auto from = request.headers.find("x-from");
    return from != request.headers.end() && m_cutFrom.contains(from->second);
}

bool TargetServer::load(Reason *reason)
{
    if (m_options.dataFile.empty())
        return true;
    std::ifstream input(m_options.dataFile);
    std::string line;
    std::uint64_t term = 0;
    std::vector<LogEntry> log;
    while (std::getline(input, line)) {
        const auto object = parseObject(line, nullptr);
        if (!object)
            break; // A kill may have left the last line incomplete.
        if (object->contains("length"))
            log.resize(static_cast<std::size_t>(numberMember(*object, "length")));
        if (const json::value *entry = object->if_contains("entry")) {
            if (auto decoded = decodeEntry(*entry))
                log.push_back(std::move(*decoded));
        }
        term = std::max(term, static_cast<std::uint64_t>(numberMember(*object, "term")));
    }
    m_persistedTerm = term;
    m_persistedLog = log;
    m_instance.restore(term, std::move(log));
    m_data.open(m_options.dataFile, std::ios::app);
    if (!m_data)
        setReason(reason, "cannot write " + m_options.dataFile);
    return static_cast<bool>(m_data);
}

void TargetServer::persist()
{
    if (m_options.dataFile.empty())
        return;
    const std::vector<LogEntry> &log = m_instance.log();
    const auto firstDifference
        = std::mismatch(m_persistedLog.begin(), m_persistedLog.end(), log.begin(), log.end()).first;
    const auto unchangedLength = static_cast<std::size_t>(firstDifference - m_persistedLog.begin());
    const std::uint64_t term = m_instance.term();
    if (term != m_persistedTerm || unchangedLength < m_persistedLog.size())
        m_data << json::serialize(json::object{{"term", term}, {"length", unchangedLength}})
               << '\n';
    for (std::size_t i = unchangedLength; i < log.size(); ++i)
        m_data << json::serialize(json::object{{"entry", encodeEntry(log[i])}, {"term", term}})
               << '\n';
    m_data.flush();
    m_persistedTerm = term;
    m_persistedLog = log;
}

} // namespace cicadagap
