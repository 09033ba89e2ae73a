// A client of the instances of database groups. TargetClient is an interface, so that the protocol
// of another database needs only one more implementation; HttpTargetClient is the one for JSON over
// HTTP.
//
//     auto client = HttpTargetClient::create(&loop, "cali-1");
//     client->open(endpoint, Millis(500),
//                  [](std::shared_ptr<TargetConnection> connection) { ... });
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "connection/gateway.h"
#include "process/eventloop.h"
#include "process/groupmonitor.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cicadagap {

// A connection for statements, of which an instance accepts only a limited number. It carries one
// call at a time.
class TargetConnection
{
public:
    // Receives the answer. Nothing means that the connection failed and can't be used again; `sent`
    // then tells whether the call may have reached the instance.
    using Done = std::function<void(const std::optional<TargetAnswer> &answer, bool sent)>;

    TargetConnection() = default;
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;
    virtual ~TargetConnection() = default;

    // Makes a call. A ledger row that it writes expires after `ledgerRetention`.
    virtual void call(const TargetCall &call, Millis ledgerRetention, Done done) = 0;
    virtual void close() = 0;
};

// An instance's reply to the command to adopt a term (TargetClient::follow).
struct FollowReply
{
    bool accepted = false;  // Whether the instance adopted the term.
    std::uint64_t term = 0; // The instance's term after the command.
    Position last;          // The last entry of its log.
};

// Every call runs its callback exactly once, on the event loop, never inside the call. An empty
// result means that there was no valid reply within `timeout`. Thread-safe.
class TargetClient
{
public:
    TargetClient() = default;
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;
    virtual ~TargetClient() = default;

    // Opens a connection for statements. Null if that fails or the instance refuses it.
    virtual void open(const Endpoint &endpoint, Millis timeout,
                      std::function<void(std::shared_ptr<TargetConnection>)> opened)
        = 0;
    // Fetches the instance's status, on a persistent connection, or on a new one if
    // `newConnection`. A new one proves that the instance can be reached now.
    virtual void status(const Endpoint &endpoint, bool newConnection, Millis timeout,
                        std::function<void(const std::optional<InstanceReport> &)> done)
        = 0;
    // Commands the instance to adopt `term` and follow `primary`. An empty `primary` seals the
    // instance: it adopts the higher term, follows no one, and so accepts nothing more from the
    // primary of a lower term.
    virtual void follow(const Endpoint &endpoint, std::uint64_t term, const std::string &primary,
                        Millis timeout,
                        std::function<void(const std::optional<FollowReply> &)> done)
        = 0;
    // Commands the instance to become primary of `term`.
    virtual void promote(const Endpoint &endpoint, std::uint64_t term, Millis timeout,
                         std::function<void(const std::optional<bool> &accepted)> done)
        = 0;
};

// The implementation for instances that speak JSON over HTTP.
class HttpTargetClient
{
public:
    // `from` is the name of this host, sent to the instances with each request. `loop` must outlive
    // the client.
    static std::shared_ptr<TargetClient> create(EventLoop *loop, const std::string &from);
};

} // namespace cicadagap
