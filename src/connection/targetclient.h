// How the system reaches a group's instances. The interface is abstract, so that another driver
// (for a particular database's own protocol) is one more class; HttpTargetClient speaks JSON over
// HTTP.
//
//     auto link = HttpTargetClient::create(&loop, "cali-1");
//     link->open(endpoint, Millis(500), [](std::shared_ptr<TargetConnection> connection) { ... });
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

// A connection that holds one of the instance's scarce places. One call at a time.
class TargetConnection
{
public:
    // No answer means that the connection is broken; `sent` tells whether the call may have
    // arrived.
    using Done = std::function<void(const std::optional<TargetAnswer> &answer, bool sent)>;

    TargetConnection() = default;
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;
    virtual ~TargetConnection() = default;

    virtual void call(const TargetCall &call, Millis ledgerRetention, Done done) = 0;
    virtual void close() = 0;
};

// An instance's answer to the order to adopt a term.
struct FollowReply
{
    bool accepted = false;
    std::uint64_t term = 0;
    Position last;
};

// Thread-safe. Callbacks run on the event loop, never inside the call.
class TargetClient
{
public:
    TargetClient() = default;
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;
    virtual ~TargetClient() = default;

    // Opens a connection within `timeout`; null if that fails or the instance refuses it.
    virtual void open(const Endpoint &endpoint, Millis timeout,
                      std::function<void(std::shared_ptr<TargetConnection>)> opened)
        = 0;
    // Fetches the status, on a kept connection or a fresh one.
    virtual void status(const Endpoint &endpoint, bool newConnection, Millis timeout,
                        std::function<void(const std::optional<InstanceReport> &)> done)
        = 0;
    // Orders the instance to adopt `term`, following `primary` at `primaryAddress`, or nobody if
    // `primary` is empty.
    virtual void follow(const Endpoint &endpoint, std::uint64_t term, const std::string &primary,
                        Millis timeout,
                        std::function<void(const std::optional<FollowReply> &)> done)
        = 0;
    // Orders the instance to be primary of `term`.
    virtual void promote(const Endpoint &endpoint, std::uint64_t term, Millis timeout,
                         std::function<void(const std::optional<bool> &accepted)> done)
        = 0;
};

class HttpTargetClient
{
public:
    // `from` names this host to the instances.
    static std::shared_ptr<TargetClient> create(EventLoop *loop, const std::string &from);
};

} // namespace cicadagap
