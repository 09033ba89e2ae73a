// An HTTP/1.1 server and client on Boost.Beast, for the traffic with callers, operators, targets
// and the platform.
//
//     auto server = HttpServer::listen(&loop, *parseEndpoint("127.0.0.1:0", nullptr),
//                                      [](const HttpRequest &request, Respond respond) {
//                                          respond({.body = "hello"});
//                                      }, &reason);
//     HttpConnection::open(&loop, endpoint, Millis(500),
//                          [](auto connection, auto reason) { ... });
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "base/reason.h"
#include "connection/transferprogress.h"
#include "process/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadagap {

using HttpHeaders = std::map<std::string, std::string>; // Names in lower case.

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; // The path and the query, still percent-encoded.
    HttpHeaders headers;
    std::string body;
    std::uint64_t connection = 0; // On a server: the id of the connection, unique in the server.
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool close = false; // On a server: closes the connection after this response.
};

// Returns the path of a request target, without the query.
std::string_view targetPath(std::string_view target);
// Returns the percent-decoded names between the slashes of the path, without the empty ones, or
// nothing if one of them is not UTF-8 in valid escapes.
std::optional<std::vector<std::string>> pathNames(std::string_view target);
// Returns the percent-decoded value of a query parameter, or nothing if there is none or it has an
// invalid escape.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);
// Percent-encodes all characters except the unreserved ones.
std::string percentEncode(std::string_view text);
// Returns the text of which percentEncode() made `text`, or nothing if an escape is invalid.
std::optional<std::string> percentDecode(std::string_view text);

// Sends the response to a request. Must be called exactly once, from any thread. In place of a
// response whose headers its receiver would read as others, status 500 is sent.
using Respond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, Respond)>;

// An HTTP server. The requests of one connection are handled one at a time, in order. Destroying
// the server starts the same graceful shutdown as stopAccepting().
class HttpServer
{
public:
    // Starts to listen on `endpoint`; port 0 selects a free port. Returns null and sets `reason` if
    // the address can't be bound. `loop` must outlive the server.
    static std::unique_ptr<HttpServer> listen(EventLoop *loop, const Endpoint &endpoint,
                                              HttpHandler handler, Reason *reason);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    virtual ~HttpServer() = default;

    // The endpoint on which the server listens, with the actual port.
    virtual Endpoint endpoint() const = 0;
    // Sets a function that is called with the id of each connection that closes. Must be called
    // before the event loop runs.
    virtual void onClosed(std::function<void(std::uint64_t)> function) = 0;
    // Starts a graceful shutdown: refuses new connections and closes each open one after its next
    // response, or after five seconds if it stays idle.
    virtual void stopAccepting() = 0;
    // The number of requests that were received and not answered yet.
    virtual int activeRequests() const = 0;
    // The number of open connections.
    virtual int connections() const = 0;

protected:
    HttpServer() = default;
};

// Why a call failed.
struct CallFailure
{
    bool sent = false;    // Whether any byte of the request may have reached the server.
    bool timeout = false; // Whether the timeout expired.
    std::string text;     // The error, for a person.
};

// How long a call may take.
struct CallLimits
{
    Millis timeout; // For the whole call; with `transfer`, up to the first byte of the response.
    // For a response whose length is not bounded otherwise. Its bytes include the headers.
    std::optional<TransferLimits> transfer;
    // With `transfer`: called with the number of bytes that were received so far.
    std::function<void(std::size_t)> onBytes;
};

// Receives the response, or nothing and the failure.
using CallDone = std::function<void(std::optional<HttpResponse>, const CallFailure &)>;

// A client's connection with at most one call in progress. After a failure the connection is closed
// and can't be used again.
class HttpConnection
{
public:
    // Receives the connection, or null and the reason.
    using Opened = std::function<void(std::shared_ptr<HttpConnection>, const Reason &)>;

    // Opens a new connection within `timeout`. `loop` must outlive the connection.
    static void open(EventLoop *loop, const Endpoint &endpoint, Millis timeout, Opened opened);
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    virtual ~HttpConnection() = default;

    // Sends `request` and receives the whole response within `timeout`; a partial response is a
    // failure. A request that its receiver would read as another one, because of a line end in a
    // header for example, is not sent: the call fails. `done` runs exactly once, on the event loop,
    // never inside call().
    void call(const HttpRequest &request, Millis timeout, CallDone done)
    {
        callWithin(request, {.timeout = timeout}, std::move(done));
    }
    // As call(), within other limits than a time for the whole.
    virtual void callWithin(const HttpRequest &request, CallLimits limits, CallDone done) = 0;
    // Closes the connection. A call in progress fails.
    virtual void close() = 0;

protected:
    HttpConnection() = default;
};

// Opens a new connection, makes one call and closes the connection. `timeout` covers connecting and
// the call.
void callOnce(EventLoop *loop, const Endpoint &endpoint, const HttpRequest &request, Millis timeout,
              CallDone done);

} // namespace cicadagap
