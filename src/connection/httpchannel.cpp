#include "connection/httpchannel.h"

#include <utility>

namespace cicadagap {

HttpChannel::HttpChannel(EventLoop *loop, Endpoint endpoint)
    : m_loop(loop)
    , m_endpoint(std::move(endpoint))
{
}

void HttpChannel::setEndpoint(const Endpoint &endpoint)
{
    m_endpointChanged = m_endpointChanged || (m_connection && endpoint != m_endpoint);
    m_endpoint = endpoint;
}

void HttpChannel::call(HttpRequest request, Millis timeout, CallDone done)
{
    callWithin(std::move(request), {.timeout = timeout}, std::move(done));
}

void HttpChannel::callWithin(HttpRequest request, CallLimits limits, CallDone done)
{
    m_calls.push_back(
        {.request = std::move(request), .limits = std::move(limits), .done = std::move(done)});
    startNext();
}

void HttpChannel::startNext()
{
    if (m_busy || m_calls.empty())
        return;
    m_busy = true;
    if (m_connection && std::exchange(m_endpointChanged, false)) {
        m_connection->close();
        m_connection.reset();
    }
    if (m_connection) {
        send();
        return;
    }
    HttpConnection::open(m_loop, m_endpoint, m_calls.front().limits.timeout,
                         [this](std::shared_ptr<HttpConnection> connection, const Reason &reason) {
                             if (!connection) {
                                 finish(std::nullopt, {.sent = false, .text = reason.text()});
                                 return;
                             }
                             m_connection = std::move(connection);
                             send();
                         });
}

void HttpChannel::send()
{
    const Call &call = m_calls.front();
    m_connection->callWithin(
        call.request, call.limits,
        [this](std::optional<HttpResponse> response, const CallFailure &failure) {
            finish(std::move(response), failure);
        });
}

void HttpChannel::finish(std::optional<HttpResponse> response, const CallFailure &failure)
{
    const auto connectionHeader
        = response ? response->headers.find("connection") : HttpHeaders::iterator();
    const bool closes = !response
        || (connectionHeader != response->headers.end() && connectionHeader->second == "close");
    if (closes && m_connection) {
        m_connection->close();
        m_connection.reset();
    }
    const CallDone done = std::move(m_calls.front().done);
    m_calls.pop_front();
    m_busy = false;
    done(std::move(response), failure);
    startNext();
}

} // namespace cicadagap
