#include "connection/targetclient.h"

#include "base/mutex.h"
#include "connection/http.h"
#include "connection/wire.h"

#include <boost/json/serialize.hpp>

#include <map>
#include <utility>

namespace cicadagap {

namespace {

const char *pathOf(TargetCallKind kind)
{
    switch (kind) {
    case TargetCallKind::Begin:
        return "/begin";
    case TargetCallKind::Commit:
        return "/commit";
    case TargetCallKind::Rollback:
        return "/rollback";
    case TargetCallKind::Ping:
        return "/ping";
    case TargetCallKind::Execute:
    case TargetCallKind::ReadLedger:
        return "/execute";
    }
    return "/execute";
}

HttpRequest post(const std::string &from, const std::string &path, std::string body)
{
    return {
        .method = "POST", .target = path, .headers = {{"x-from", from}}, .body = std::move(body)};
}

class HttpTargetConnection : public TargetConnection
{
public:
    HttpTargetConnection(std::shared_ptr<HttpConnection> connection, std::string from)
        : m_connection(std::move(connection))
        , m_from(std::move(from))
    {
    }

    void call(const TargetCall &call, Millis ledgerRetention, Done done) override
    {
        const std::string body = encodeTargetCall(call, timeOfDay() + ledgerRetention);
        m_connection->call(
            post(m_from, pathOf(call.kind), body), call.timeout,
            [call, done = std::move(done)](const std::optional<HttpResponse> &response,
                                           const CallFailure &failure) {
                if (!response) {
                    done(std::nullopt, failure.sent);
                    return;
                }
                done(decodeTargetAnswer(call, response->body, nullptr), true);
            });
    }

    void close() override { m_connection->close(); }

private:
    std::shared_ptr<HttpConnection> m_connection;
    std::string m_from;
};

class HttpTargetClientImpl : public TargetClient,
                             public std::enable_shared_from_this<HttpTargetClientImpl>
{
public:
    HttpTargetClientImpl(EventLoop *loop, std::string from)
        : m_loop(loop)
        , m_from(std::move(from))
    {
    }

    void open(const Endpoint &endpoint, Millis timeout,
              std::function<void(std::shared_ptr<TargetConnection>)> opened) override
    {
        HttpConnection::open(
            m_loop, endpoint, timeout,
            [from = m_from, timeout, opened = std::move(opened)](
                const std::shared_ptr<HttpConnection> &connection, const Reason &) {
                if (!connection) {
                    opened(nullptr);
                    return;
                }
                connection->call(
                    post(from, "/connect", ""), timeout,
                    [from, connection, opened](const std::optional<HttpResponse> &response,
                                               const CallFailure &) {
                        const bool admitted = response && response->status == 200;
                        if (!admitted)
                            connection->close();
                        opened(admitted ? std::make_shared<HttpTargetConnection>(connection, from)
                                        : nullptr);
                    });
            });
    }

    void status(const Endpoint &endpoint, bool newConnection, Millis timeout,
                std::function<void(const std::optional<InstanceReport> &)> done) override
    {
        const HttpRequest request{.target = "/status", .headers = {{"x-from", m_from}}};
        const auto finish = [done = std::move(done)](const std::optional<HttpResponse> &response,
                                                     const CallFailure &) {
            const bool ok = response && response->status == 200;
            done(ok ? decodeReport(response->body, nullptr) : std::nullopt);
        };
        const std::shared_ptr<HttpConnection> idle
            = newConnection ? nullptr : takeIdleConnection(endpoint);
        if (idle) {
            callAndReturnConnection(endpoint, idle, request, timeout, finish);
            return;
        }
        HttpConnection::open(m_loop, endpoint, timeout,
                             [self = shared_from_this(), endpoint, request, timeout, finish](
                                 const std::shared_ptr<HttpConnection> &opened, const Reason &) {
                                 if (opened)
                                     self->callAndReturnConnection(endpoint, opened, request,
                                                                   timeout, finish);
                                 else
                                     finish(std::nullopt, {});
                             });
    }

    void follow(const Endpoint &endpoint, std::uint64_t term, const std::string &primary,
                Millis timeout,
                std::function<void(const std::optional<FollowReply> &)> done) override
    {
        boost::json::object body{{"term", term}};
        if (!primary.empty())
            body["primary"] = primary;
        callOnce(m_loop, endpoint, post(m_from, "/follow", boost::json::serialize(body)), timeout,
                 [done = std::move(done)](const std::optional<HttpResponse> &response,
                                          const CallFailure &) {
                     const auto object
                         = response ? parseObject(response->body, nullptr) : std::nullopt;
                     if (!object || response->status != 200) {
                         done(std::nullopt);
                         return;
                     }
                     FollowReply answer;
                     answer.accepted = flagMember(*object, "accepted");
                     answer.term = static_cast<std::uint64_t>(numberMember(*object, "term"));
                     answer.last = decodePosition(*object, "last");
                     done(answer);
                 });
    }

    void promote(const Endpoint &endpoint, std::uint64_t term, Millis timeout,
                 std::function<void(const std::optional<bool> &)> done) override
    {
        const boost::json::object body{{"term", term}};
        callOnce(m_loop, endpoint, post(m_from, "/promote", boost::json::serialize(body)), timeout,
                 [done = std::move(done)](const std::optional<HttpResponse> &response,
                                          const CallFailure &) {
                     const auto object
                         = response ? parseObject(response->body, nullptr) : std::nullopt;
                     if (!object || response->status != 200)
                         done(std::nullopt);
                     else
                         done(flagMember(*object, "accepted"));
                 });
    }

private:
    using Finish = std::function<void(const std::optional<HttpResponse> &, const CallFailure &)>;

    std::shared_ptr<HttpConnection> takeIdleConnection(const Endpoint &endpoint)
    {
        MutexLock lock(&m_mutex);
        const auto found = m_idleConnections.find(endpoint);
        if (found == m_idleConnections.end())
            return nullptr;
        auto connection = std::move(found->second);
        m_idleConnections.erase(found);
        return connection;
    }

    void callAndReturnConnection(const Endpoint &endpoint,
                                 const std::shared_ptr<HttpConnection> &connection,
                                 const HttpRequest &request, Millis timeout, const Finish &finish)
    {
        connection->call(
            request, timeout,
            [self = shared_from_this(), endpoint, connection,
             finish](const std::optional<HttpResponse> &response, const CallFailure &failure) {
                if (response)
                    self->returnConnection(endpoint, connection);
                finish(response, failure);
            });
    }

    void returnConnection(const Endpoint &endpoint,
                          const std::shared_ptr<HttpConnection> &connection)
    {
        MutexLock lock(&m_mutex);
        std::shared_ptr<HttpConnection> &idle = m_idleConnections[endpoint];
        if (idle)
            connection->close();
        else
            idle = connection;
    }

    EventLoop *m_loop;
    std::string m_from;
    Mutex m_mutex;
    // The persistent connections for status calls that are idle, at most one to each instance.
    std::map<Endpoint, std::shared_ptr<HttpConnection>>
        m_idleConnections CICADAGAP_GUARDED_BY(m_mutex);
};

} // namespace

std::shared_ptr<TargetClient> HttpTargetClient::create(EventLoop *loop, const std::string &from)
{
    return std::make_shared<HttpTargetClientImpl>(loop, from);
}

} // namespace cicadagap
