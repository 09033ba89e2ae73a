#include "process/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace cicadagap {

namespace asio = boost::asio;

struct EventLoop::Impl
{
    explicit Impl(int threads)
        : threadCount(threads)
        , context(threads)
        , workGuard(asio::make_work_guard(context))
        , stopSignals(context)
        , reloadSignals(context)
    {
    }

    int threadCount;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    asio::signal_set stopSignals;
    asio::signal_set reloadSignals;

    static void waitForSignal(asio::signal_set *set, const std::function<void()> &function)
    {
        set->async_wait([set, function](const boost::system::error_code &error, int) {
            if (error)
                return;
            function();
            waitForSignal(set, function);
        });
    }
};

namespace {

using SharedTimer = std::shared_ptr<asio::steady_timer>;

// Runs `function` after `period`, and again one period after each run has ended.
void startRepeatingTimer(const SharedTimer &timer, Millis period,
                         const std::function<void()> &function)
{
    timer->expires_after(std::chrono::milliseconds(period.count()));
    timer->async_wait([timer, period, function](const boost::system::error_code &error) {
        if (error)
            return;
        function();
        startRepeatingTimer(timer, period, function);
    });
}

} // namespace

EventLoop::EventLoop(Options options)
    : m_impl(std::make_unique<Impl>(options.threads))
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    std::vector<std::thread> threads;
    for (int i = 1; i < m_impl->threadCount; ++i)
        threads.emplace_back([this] { m_impl->context.run(); });
    m_impl->context.run();
    for (std::thread &thread : threads)
        thread.join();
}

void EventLoop::stop()
{
    m_impl->context.stop();
}

void EventLoop::post(std::function<void()> function)
{
    asio::post(m_impl->context, std::move(function));
}

void EventLoop::after(Millis delay, std::function<void()> function)
{
    auto timer = std::make_shared<asio::steady_timer>(m_impl->context);
    timer->expires_after(std::chrono::milliseconds(delay.count()));
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code &e) {
        if (!e)
            function();
    });
}

void EventLoop::every(Millis period, std::function<void()> function)
{
    startRepeatingTimer(std::make_shared<asio::steady_timer>(m_impl->context), period, function);
}

void EventLoop::onStopSignal(std::function<void()> function)
{
    m_impl->stopSignals.add(SIGTERM);
    m_impl->stopSignals.add(SIGINT);
    Impl::waitForSignal(&m_impl->stopSignals, function);
}

void EventLoop::onReloadSignal(std::function<void()> function)
{
    m_impl->reloadSignals.add(SIGHUP);
    Impl::waitForSignal(&m_impl->reloadSignals, function);
}

boost::asio::io_context *EventLoop::context()
{
    return &m_impl->context;
}

} // namespace cicadagap
