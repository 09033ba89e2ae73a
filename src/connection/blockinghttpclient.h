// Blocking HTTP calls for command-line programs, which have nothing else to do meanwhile.
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

// Owns an event loop on a thread of its own. Not thread-safe.
class BlockingHttpClient
{
public:
    BlockingHttpClient();
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient &) = delete;
    BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

    // One call on a fresh connection.
    std::optional<HttpResponse> call(const Endpoint &endpoint, const HttpRequest &request,
                                     Reason *reason, Millis timeout = Millis(5000));
    // The same call to many endpoints at once; results in the same order.
    std::vector<std::optional<HttpResponse>> callAll(const std::vector<Endpoint> &endpoints,
                                                     const HttpRequest &request,
                                                     Millis timeout = Millis(5000));
    EventLoop *loop() { return &m_loop; }

private:
    EventLoop m_loop;
    std::thread m_thread;
};

} // namespace cicadagap
