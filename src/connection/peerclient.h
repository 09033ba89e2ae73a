// Calls between the system's own processes: HTTP/2 streams of nghttp2, many at a time on one long
// connection a pair. Bodies are opaque here; connection/messages.h gives them meaning.
//
//     auto link = PeerClient::create(&loop, endpoint);
//     link->call({.path = "/execute", .body = text}, Millis(500), [](PeerReply reply) { ... });
#pragma once

#include "base/verdict.h"
#include "connection/http.h"

#include <functional>
#include <memory>
#include <string>

namespace cicadagap {

struct PeerRequest
{
    std::string path;
    std::string body;
};

// The result of a call. `verdict` is Ran if and only if `body` is the whole answer.
struct PeerReply
{
    Verdict verdict = Verdict::NotRun;
    std::string body;
};

using PeerRespond = std::function<void(std::string body)>;
using PeerHandler = std::function<void(const PeerRequest &, PeerRespond)>;

// The sending side. Thread-safe. Connects on the first call and again after a failure.
class PeerClient
{
public:
    static std::shared_ptr<PeerClient> create(EventLoop *loop, const Endpoint &endpoint);
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    virtual ~PeerClient() = default;

    // Sends `request`; `done` runs exactly once. A call that never left this host is NotRun; a call
    // without a whole answer within `timeout` is MayHaveRun. While calls wait, a silent other side
    // is found out within about a second, however long their timeouts are.
    virtual void call(PeerRequest request, Millis timeout, std::function<void(PeerReply)> done) = 0;
    // Closes the connection. Calls in progress end as MayHaveRun.
    virtual void close() = 0;

protected:
    PeerClient() = default;
};

// The receiving side.
class PeerServer
{
public:
    static std::unique_ptr<PeerServer> listen(EventLoop *loop, const Endpoint &endpoint,
                                              PeerHandler handler, Reason *reason);
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    virtual ~PeerServer() = default;

    virtual Endpoint endpoint() const = 0;
    // Calls that were received and are not answered yet.
    virtual int activeCalls() const = 0;

protected:
    PeerServer() = default;
};

} // namespace cicadagap
