// A caller of the soak test: opens one session at a time on some host, and sends the statements
// that a GuaranteeChecker draws.
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

// Runs on a single-threaded event loop and is not thread-safe. Must live as long as the loop, and
// the checker must outlive it.
class SoakCaller
{
public:
    class Session;

    struct Options
    {
        std::string database;
        std::string key = "soak";
        std::uint64_t seed = 1;
        Millis answerTimeout = Millis(8000); // After it the caller abandons its session.
    };

    // `number` is the caller's number in the checker; `chooseHost` returns the endpoint for the
    // next session.
    SoakCaller(EventLoop *loop, Options options, GuaranteeChecker *checker, std::size_t number,
               std::function<Endpoint()> chooseHost);

    void start() { connect(); }
    // Ends the session as soon as the last statement is answered and no transaction is open.
    void stop() { m_stopping = true; }
    // Whether the caller has ended after stop().
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

// Opens a session for the database and closes it again. `done` receives whether it was accepted, or
// nothing if the connection failed before.
void probeDatabase(EventLoop *loop, const Endpoint &host, const std::string &database,
                   std::function<void(std::optional<bool>)> done);

} // namespace cicadagap
