// Calls between the system's own processes. They are HTTP/2 streams (of nghttp2), many at a time on
// one persistent connection for each pair of processes. The bodies are not interpreted here; wire.h
// encodes and decodes them.
//
//     auto client = PeerClient::create(&loop, endpoint);
//     client->call({.path = "/execute", .body = text}, Millis(500),
//                  [](PeerReply reply) { ... });
#pragma once

#include "base/verdict.h"
#include "connection/http.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cicadagap {

// Longer bodies are refused, as they would have to be held in memory as a whole. That does not
// affect other calls on the connection.
struct PeerLimits
{
    std::size_t maxBodyBytes = 16UL * 1024 * 1024;
};

struct PeerRequest
{
    std::string path;
    std::string body;
};

// The result of a call. `verdict` is Ran if and only if `body` is the complete response body.
struct PeerReply
{
    Verdict verdict = Verdict::NotRun;
    std::string body;
    Millis transferTime; // From the first byte of the body to the last one.
};

// Sends the response to a call. Must be called exactly once, from any thread.
using PeerRespond = std::function<void(std::string body)>;
using PeerHandler = std::function<void(const PeerRequest &, PeerRespond)>;

// The client side. Connects on the first call and again after a failure. Thread-safe.
class PeerClient
{
public:
    // `loop` must outlive the client.
    static std::shared_ptr<PeerClient> create(EventLoop *loop, const Endpoint &endpoint,
                                              PeerLimits limits = {});
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    virtual ~PeerClient() = default;

    // Sends `request`. `done` runs exactly once, on the event loop. The verdict of a call that
    // never left this host, or whose body is too long, is NotRun. That of a call without a complete
    // response within `timeout`, or whose response is too long, is MayHaveRun. While calls are in
    // progress, the server is pinged, so that a server that stops responding is detected within
    // about a second, however long the calls' timeouts are.
    virtual void call(PeerRequest request, Millis timeout, std::function<void(PeerReply)> done) = 0;
    // As call(), for a response that can be long: `firstByte` is the time up to its first byte, and
    // after that it is judged by its progress. The check of the progress may be late by
    // `firstByte`.
    virtual void callForTransfer(PeerRequest request, Millis firstByte,
                                 const TransferLimits &limits, std::function<void(PeerReply)> done)
        = 0;
    // Closes the connection. Calls in progress end with MayHaveRun.
    virtual void close() = 0;

protected:
    PeerClient() = default;
};

// The server side. Stops accepting connections when it is destroyed.
class PeerServer
{
public:
    // Starts to listen on `endpoint`; port 0 selects a free port. Returns null and sets `reason` if
    // the address can't be bound. `loop` must outlive the server.
    static std::unique_ptr<PeerServer> listen(EventLoop *loop, const Endpoint &endpoint,
                                              PeerHandler handler, Reason *reason,
                                              PeerLimits limits = {});
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    virtual ~PeerServer() = default;

    // The endpoint on which the server listens, with the actual port.
    virtual Endpoint endpoint() const = 0;
    // The number of calls that were received and not answered yet.
    virtual int activeCalls() const = 0;

protected:
    PeerServer() = default;
};

} // namespace cicadagap
