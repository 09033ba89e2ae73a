// The process's event loop: a pool of threads that run posted functions and timers.
//
// It hides Boost.Asio from the drivers, so that only the files that own sockets include it.
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

// Thread-safe unless said otherwise. Functions run on any of the loop's threads, concurrently.
class EventLoop
{
public:
    struct Options
    {
        int threads = 1;
    };

    explicit EventLoop(Options options);
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    // Runs until stop(). Call once, from the main thread.
    void run();
    // Makes run() return; functions that have not started are dropped.
    void stop();
    // Runs `function` soon.
    void post(std::function<void()> function);
    // Runs `function` once, `delay` from now.
    void after(Millis delay, std::function<void()> function);
    // Runs `function` every `period`. A run that takes longer than the period delays the next.
    void every(Millis period, std::function<void()> function);
    // Runs `function` on each SIGTERM or SIGINT. Call at most once.
    void onStopSignal(std::function<void()> function);
    // Runs `function` on each SIGHUP. Call at most once.
    void onReloadSignal(std::function<void()> function);
    // The underlying context, for the files that own sockets.
    boost::asio::io_context *context();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cicadagap
