#include "connection/httpchannel.h"

#include <algorithm>
#include <utility>

namespace cicadagap {

HttpChannel::HttpChannel(EventLoop *loop, Endpoint endpoint, Millis maxIdle)
    : m_loop(loop)
    , m_endpoint(std::move(endpoint))
    , m_maxIdle(maxIdle)
{
}

void HttpChannel::setEndpoint(const Endpoint &endpoint)
{
    m_endpointChanged = m_endpointChanged || (m_connection && endpoint != m_endpoint);
    m_endpoint = endpoint;
}

bool HttpChannel::isOpen() const
{
    if (!m_connection || m_endpointChanged)
        return false;
    return m_busy || m_clock.now() - m_idleSince <= m_maxIdle;
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
    const bool usable = isOpen();
    m_busy = true;
    m_endpointChanged = false;
    if (m_connection && !usable) {
        m_connection->close();
        m_connection.reset();
    }
    if (m_connection) {
        send(Millis(0));
        return;
    }
    HttpConnection::open(m_loop, m_endpoint, m_calls.front().limits.timeout,
                         [this, startedAt = m_clock.now()](
                             std::shared_ptr<HttpConnection> connection, const Reason &reason) {
                             if (!connection) {
                                 finish(std::nullopt, {.sent = false, .text = reason.text()});
                                 return;
                             }
                             m_connection = std::move(connection);
                             send(m_clock.now() - startedAt);
                         });
}

void HttpChannel::send(Millis connectTime)
{
    const Call &call = m_calls.front();
    CallLimits limits = call.limits;
    limits.timeout = std::max(Millis(1), limits.timeout - connectTime);
    m_connection->callWithin(
        call.request, limits,
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
    m_idleSince = m_clock.now();
    done(std::move(response), failure);
    startNext();
}

} // namespace cicadagap
