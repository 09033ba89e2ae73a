// A client's kept HTTP/1.1 connection to one server: opened on the first call, again after a
// failure, one call at a time.
//
//     HttpChannel channel(&loop, endpoint);
//     channel.call({.target = "/status"}, Millis(500), [](auto response, auto failure) { ... });
#pragma once

#include "connection/http.h"

#include <deque>
#include <memory>

namespace cicadagap {

// Not thread-safe; use on a single-threaded loop, and outlive its calls.
class HttpChannel
{
public:
    HttpChannel(EventLoop *loop, Endpoint endpoint);

    // Later connections go there; the present one is closed when its call has ended.
    void setEndpoint(const Endpoint &endpoint);
    // Calls wait for those before them; `timeout` starts when the call is sent.
    void call(HttpRequest request, Millis timeout, CallDone done);

private:
    struct Call
    {
        HttpRequest request;
        Millis timeout;
        CallDone done;
    };

    void startNext();
    void send();
    void finish(std::optional<HttpResponse> response, const CallFailure &failure);

    EventLoop *m_loop;
    Endpoint m_endpoint;
    std::shared_ptr<HttpConnection> m_connection;
    std::deque<Call> m_calls; // The first one is in progress.
    bool m_busy = false;
    bool m_moved = false; // The connection leads to an earlier endpoint.
};

} // namespace cicadagap
