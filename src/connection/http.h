// HTTP/1.1 for callers, targets, the platform and operators, on Boost.Beast.
//
//     auto server = HttpServer::listen(&loop, *parseEndpoint("127.0.0.1:0", nullptr),
//                                      [](const HttpRequest &request, Respond respond) {
//                                          respond({.body = "hello"});
//                                      }, &reason);
//     HttpConnection::open(&loop, endpoint, Millis(500), [](auto connection, auto reason) { ... });
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "base/reason.h"
#include "process/eventloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

using HttpHeaders = std::map<std::string, std::string>; // Names in lower case.

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; // Path and query as sent.
    HttpHeaders headers;
    std::string body;
    std::uint64_t connection = 0; // Identifies the server-side connection; unique in a server.
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool close = false; // Tells the client to open a new connection for its next request.
};

// The path of a request target, without its query.
std::string_view targetPath(std::string_view target);
// The decoded value of a query parameter, or nothing.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);
// Percent-encodes everything but unreserved characters.
std::string percentEncode(std::string_view text);

// Answers one request. Call exactly once, from any thread.
using Respond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, Respond)>;

// Serves requests. Requests on one connection are handled one at a time, in order.
class HttpServer
{
public:
    // Listens at once. Returns nothing and sets `reason` if the address cannot be bound.
    static std::unique_ptr<HttpServer> listen(EventLoop *loop, const Endpoint &endpoint,
                                              HttpHandler handler, Reason *reason);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    virtual ~HttpServer() = default;

    // The bound endpoint, with the real port.
    virtual Endpoint endpoint() const = 0;
    // Runs `function` with the identity of each connection that closes. Set before run().
    virtual void onClosed(std::function<void(std::uint64_t)> function) = 0;
    // Graceful shutdown: refuses new connections, closes each one after its next answer, and those
    // that stay idle after five seconds.
    virtual void stopAccepting() = 0;
    // Requests that were received and are not answered yet.
    virtual int activeRequests() const = 0;
    // Open connections.
    virtual int connections() const = 0;

protected:
    HttpServer() = default;
};

// Why a call failed, and whether any byte of it may have reached the other side.
struct CallFailure
{
    bool sent = false;
    bool timeout = false;
    std::string text;
};

using CallDone = std::function<void(std::optional<HttpResponse>, const CallFailure &)>;

// A client connection with at most one call in progress. Any failure closes it for good.
class HttpConnection
{
public:
    using Opened = std::function<void(std::shared_ptr<HttpConnection>, const Reason &)>;

    // Opens a fresh connection within `timeout`.
    static void open(EventLoop *loop, const Endpoint &endpoint, Millis timeout, Opened opened);
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    virtual ~HttpConnection() = default;

    // Sends `request` and waits for the whole response. A partial response is a failure.
    virtual void call(const HttpRequest &request, Millis timeout, CallDone done) = 0;
    // Closes the connection; a call in progress fails.
    virtual void close() = 0;

protected:
    HttpConnection() = default;
};

// Opens a fresh connection, makes one call and closes it. `timeout` covers both steps.
void callOnce(EventLoop *loop, const Endpoint &endpoint, const HttpRequest &request, Millis timeout,
              CallDone done);

} // namespace cicadagap
