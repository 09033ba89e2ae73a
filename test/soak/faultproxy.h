// A loopback proxy between two of the soak's parties that delays, holds back, silences and resets
// what passes through it.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "base/reason.h"
#include "process/eventloop.h"

#include <memory>
#include <set>

namespace cicadagap {

// Everything runs on a single-threaded event loop.
class FaultProxy
{
public:
    struct Faults
    {
        Millis delay;              // Of everything, each way.
        bool holdToServer = false; // Nothing passes towards the server for now.
        bool holdToClient = false;
    };

    FaultProxy(EventLoop *loop, Endpoint server);
    ~FaultProxy();

    // Listens on the server's address.
    bool start(Reason *reason);
    Endpoint endpoint() const { return m_endpoint; }
    Faults &faults() { return m_faults; }
    void resetAll();
    // Connections that are open now carry nothing any more, and are not closed; new ones work.
    void silenceOpen();

private:
    class Link;
    struct Impl;

    void accept();

    EventLoop *m_loop;
    Endpoint m_server;
    Endpoint m_endpoint;
    Faults m_faults;
    std::unique_ptr<Impl> m_impl;
    std::set<std::shared_ptr<Link>> m_links;
};

} // namespace cicadagap
