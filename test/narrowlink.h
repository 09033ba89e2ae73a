// A TCP proxy on the loopback interface whose way back to the client is as slow as a narrow link.
#pragma once

#include "base/endpoint.h"
#include "process/eventloop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace cicadagap {

// For tests on an event loop with one thread, which must outlive it. Passes on what clients send at
// once, and the answers at the rate, each connection for itself.
class NarrowLink
{
public:
    NarrowLink(EventLoop *loop, const Endpoint &server, std::size_t bytesPerSecond)
        : m_state(std::make_shared<State>(loop, server, bytesPerSecond))
    {
        accept(m_state);
    }
    NarrowLink(const NarrowLink &) = delete;
    NarrowLink &operator=(const NarrowLink &) = delete;
    ~NarrowLink() { m_state->acceptor.close(); }

    // Where clients connect.
    Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = m_state->acceptor.local_endpoint().port()};
    }
    // Passes on nothing more once this many bytes of an answer have passed.
    void stopAfter(std::size_t bytes) { m_state->stopAfter = bytes; }
    // Passes on nothing that clients send on connections that are open now, or on any.
    void stopOpen() { m_state->stopped = m_state->connections; }
    void stopAll() { m_state->stopped = std::numeric_limits<int>::max(); }

private:
    using tcp = boost::asio::ip::tcp;
    using Error = boost::system::error_code;

    struct State
    {
        State(EventLoop *loop, const Endpoint &endpoint, std::size_t rate)
            : context(loop->context())
            , acceptor(*context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
            , server(boost::asio::ip::make_address(endpoint.address), endpoint.port)
            , bytesPerSecond(rate)
        {
        }

        boost::asio::io_context *context;
        tcp::acceptor acceptor;
        tcp::endpoint server;
        std::size_t bytesPerSecond;
        std::size_t stopAfter = std::numeric_limits<std::size_t>::max();
        int connections = 0; // So many were accepted,
        int stopped = 0;     // and the first ones of them pass on nothing more.
    };

    // One connection: what is read from either side goes to the other one.
    struct Connection
    {
        explicit Connection(std::shared_ptr<State> link, tcp::socket accepted)
            : state(std::move(link))
            , client(std::move(accepted))
            , server(*state->context)
            , timer(*state->context)
            , number(++state->connections)
        {
        }

        std::shared_ptr<State> state;
        tcp::socket client;
        tcp::socket server;
        boost::asio::steady_timer timer;
        std::array<char, 4096> up{};
        std::array<char, 4096> down{};
        std::size_t passed = 0;
        int number; // In the order of their acceptance.
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    static void accept(const std::shared_ptr<State> &state)
    {
        state->acceptor.async_accept([state](const Error &error, tcp::socket socket) {
            if (error)
                return;
            auto connection = std::make_shared<Connection>(state, std::move(socket));
            connection->server.async_connect(state->server, [connection](const Error &failure) {
                if (failure)
                    return;
                passUp(connection);
                passDown(connection);
            });
            accept(state);
        });
    }

    static void passUp(const ConnectionPointer &connection)
    {
        connection->client.async_read_some(
            boost::asio::buffer(connection->up),
            [connection](const Error &error, std::size_t count) {
                Error failure = error;
                if (!failure && connection->number <= connection->state->stopped)
                    return;
                if (!failure)
                    boost::asio::write(connection->server,
                                       boost::asio::buffer(connection->up.data(), count), failure);
                if (failure)
                    close(connection);
                else
                    passUp(connection);
            });
    }

    static void passDown(const ConnectionPointer &connection)
    {
        connection->server.async_read_some(
            boost::asio::buffer(connection->down),
            [connection](const Error &error, std::size_t count) {
                Error failure = error;
                if (!failure)
                    boost::asio::write(connection->client,
                                       boost::asio::buffer(connection->down.data(), count),
                                       failure);
                if (failure) {
                    close(connection);
                    return;
                }
                connection->passed += count;
                if (connection->passed >= connection->state->stopAfter)
                    return;
                const std::size_t micros = count * 1'000'000 / connection->state->bytesPerSecond;
                connection->timer.expires_after(std::chrono::microseconds(micros));
                connection->timer.async_wait([connection](const Error &) { passDown(connection); });
            });
    }

    static void close(const ConnectionPointer &connection)
    {
        Error ignored;
        connection->client.close(ignored);
        connection->server.close(ignored);
    }

    std::shared_ptr<State> m_state;
};

} // namespace cicadagap
