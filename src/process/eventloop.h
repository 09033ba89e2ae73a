// The event loop of a process.
//
//     EventLoop loop({.threads = 4});
//     loop.every(Millis(100), [] { tick(); });
//     loop.onStopSignal([&loop] { loop.stop(); });
//     loop.run();
#pragma once

#include "base/millis.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace cicadagap {

// Runs posted functions, timers and signal handlers on a pool of threads. It hides Boost.Asio, so
// that only the files that own sockets need to include it.
//
// Thread-safe unless stated otherwise. Functions may run on any of the loop's threads,
// concurrently.
class EventLoop
{
public:
    struct Options
    {
        int threads = 1; // Including the one that calls run().
    };

    explicit EventLoop(Options options);
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    // Runs the loop until stop() is called. Call it once, from the main thread.
    void run();
    // Makes run() return. Functions that have not started yet are dropped.
    void stop();
    // Runs `function` as soon as a thread is free.
    void post(std::function<void()> function);
    // Runs `function` once, `delay` from now.
    void after(Millis delay, std::function<void()> function);
    // Runs `function` repeatedly, for the first time after `period`. Each period begins when the
    // previous run has ended.
    void every(Millis period, std::function<void()> function);
    // Runs `function` on each SIGTERM or SIGINT. Call it at most once.
    void onStopSignal(std::function<void()> function);
    // Runs `function` on each SIGHUP. Call it at most once.
    void onReloadSignal(std::function<void()> function);
    // The underlying context, for the files that own sockets. The loop remains its owner.
    boost::asio::io_context *context();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cicadagap
