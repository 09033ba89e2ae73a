// A client's persistent HTTP/1.1 connection to one server. It is opened on the first call and again
// after a failure, and carries one call at a time.
//
//     HttpChannel channel(&loop, endpoint);
//     channel.call({.target = "/status"}, Millis(500), [](auto response, auto failure) { ... });
#pragma once

#include "connection/http.h"

#include <deque>
#include <memory>

namespace cicadagap {

// Not thread-safe: must be used on an event loop with a single thread. Must outlive its calls.
class HttpChannel
{
public:
    // A connection that was idle for longer than `maxIdle` is replaced, as something in between may
    // have dropped it without a word.
    HttpChannel(EventLoop *loop, Endpoint endpoint, Millis maxIdle = Millis(5000));

    // Changes the server for later connections. The current connection is closed before the next
    // call that starts after this.
    void setEndpoint(const Endpoint &endpoint);
    // Whether the next call is sent on a connection that is open already.
    bool isOpen() const;
    // Queues a call. It waits for the calls before it; `timeout` then covers connecting too.
    void call(HttpRequest request, Millis timeout, CallDone done);
    // As call(), within other limits than a time for the whole.
    void callWithin(HttpRequest request, CallLimits limits, CallDone done);

private:
    struct Call
    {
        HttpRequest request;
        CallLimits limits;
        CallDone done;
    };

    void startNext();
    void send(Millis connectTime);
    void finish(std::optional<HttpResponse> response, const CallFailure &failure);

    EventLoop *m_loop;
    Endpoint m_endpoint;
    Millis m_maxIdle;
    SteadyClock m_clock;
    Millis m_idleSince; // While not `m_busy`.
    std::shared_ptr<HttpConnection> m_connection;
    std::deque<Call> m_calls; // While `m_busy`, the first one is in progress.
    bool m_busy = false;
    bool m_endpointChanged = false; // Whether the connection goes to an earlier endpoint.
};

} // namespace cicadagap
