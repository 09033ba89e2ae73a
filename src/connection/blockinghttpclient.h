// A synchronous HTTP client for command-line programs.
//
//     BlockingHttpClient client;
//     std::optional<HttpResponse> response = client.call(endpoint, {.target = "/v1/status"},
//     &reason);
#pragma once

#include "connection/http.h"
#include "connection/tablestore.h"
#include "process/eventloop.h"

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cicadagap {

// Runs an event loop, which it owns, on a thread of its own. Its functions are not thread-safe.
class BlockingHttpClient
{
public:
    BlockingHttpClient();
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient &) = delete;
    BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

    // Makes one call on a new connection and waits for the response. On failure returns nothing and
    // sets `reason`.
    std::optional<HttpResponse> call(const Endpoint &endpoint, const HttpRequest &request,
                                     Reason *reason, Millis timeout = Millis(5000));
    // Makes the same call to all endpoints in parallel. The responses are in the order of the
    // endpoints; nothing stands for a call that failed.
    std::vector<std::optional<HttpResponse>> callAll(const std::vector<Endpoint> &endpoints,
                                                     const HttpRequest &request,
                                                     Millis timeout = Millis(5000));
    // The client's event loop, for other asynchronous calls.
    EventLoop *loop() { return &m_loop; }

private:
    EventLoop m_loop;
    std::thread m_thread;
};

} // namespace cicadagap
