// A TCP proxy on loopback between two processes of the soak test, which injects network faults: it
// delays, pauses, silences and resets connections.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "base/reason.h"
#include "process/eventloop.h"

#include <memory>
#include <set>

namespace cicadagap {

// Runs on a single-threaded event loop and is not thread-safe.
class FaultProxy
{
public:
    struct Faults
    {
        Millis delay;               // Added to all data, in each direction.
        bool pauseToServer = false; // Data is kept back until this is false again.
        bool pauseToClient = false;
        bool resetNew = false; // New connections are reset.
    };

    FaultProxy(EventLoop *loop, Endpoint server);
    ~FaultProxy();

    // Listens on the server's address, at any free port.
    bool start(Reason *reason);
    Endpoint endpoint() const { return m_endpoint; }
    Faults &faults() { return m_faults; }
    // Resets all connections that are open now.
    void resetAll();
    // Connections that are open now transfer no more data, but stay open; new ones work.
    void silenceOpen() { silenceIdle(Millis(0)); }
    // The same, only for connections without data for at least this time.
    void silenceIdle(Millis idleTime);

private:
    class ProxiedConnection;
    struct Impl;

    void accept();

    EventLoop *m_loop;
    SteadyClock m_clock;
    Endpoint m_server;
    Endpoint m_endpoint;
    Faults m_faults;
    std::unique_ptr<Impl> m_impl;
    std::set<std::shared_ptr<ProxiedConnection>> m_connections;
};

} // namespace cicadagap
