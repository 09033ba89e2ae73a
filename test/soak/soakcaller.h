// A caller of the soak: one session at a time on some host, statements drawn by a GuaranteeChecker.
#pragma once

#include "base/endpoint.h"
#include "base/hash.h"
#include "base/millis.h"
#include "guaranteechecker.h"
#include "process/eventloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cicadagap {

// Everything runs on a single-threaded event loop. Lives as long as the loop.
class SoakCaller
{
public:
    class Session;

    struct Options
    {
        std::string database;
        std::uint64_t seed = 1;
        Millis patience = Millis(8000); // For an answer, before it gives the session up.
    };

    // `chooseHost` gives the address for the next session.
    SoakCaller(EventLoop *loop, Options options, GuaranteeChecker *checker, std::size_t number,
               std::function<Endpoint()> chooseHost);

    void start() { connect(); }
    // Sends nothing more once its last statement is answered.
    void stop() { m_stopping = true; }
    bool stopped() const { return m_stopped; }

private:
    void connect();
    void sendNext();
    void onAnswer(const StatementAnswer &answer);
    bool isCurrent(const std::weak_ptr<Session> &session) const;
    void onLost();

    EventLoop *m_loop;
    Options m_options;
    GuaranteeChecker *m_checker;
    std::size_t m_number;
    std::function<Endpoint()> m_chooseHost;
    Random m_random;
    SteadyClock m_clock;
    std::shared_ptr<Session> m_session;
    bool m_stopping = false;
    bool m_stopped = false;
};

// Opens a session for the database and closes it again; `done` learns whether it was accepted, or
// nothing if that remained unknown.
void probeDatabase(EventLoop *loop, const Endpoint &host, const std::string &database,
                   std::function<void(std::optional<bool>)> done);

} // namespace cicadagap
