#include "tap.h"

#include "session/sessioncodec.h"
#include "wiretext.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace review {

using namespace cicadagap;
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct Tap::Impl
{
    EventLoop *loop;
    Endpoint server;
    std::function<void(const std::string &)> onStatement;
    tcp::acceptor acceptor;
};

// One connection of a host, and the one to the instance that belongs to it.
class Tap::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(tcp::socket host, Impl *impl)
        : m_host(std::move(host))
        , m_instance(*impl->loop->context())
        , m_impl(impl)
    {
    }

    void start()
    {
        error_code ignored;
        m_host.set_option(tcp::no_delay(true), ignored);
        const tcp::endpoint endpoint(asio::ip::make_address(m_impl->server.address),
                                     m_impl->server.port);
        m_instance.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->close();
                return;
            }
            error_code failed;
            self->m_instance.set_option(tcp::no_delay(true), failed);
            self->pump(&self->m_host, &self->m_instance, &self->m_fromHost, true);
            self->pump(&self->m_instance, &self->m_host, &self->m_fromInstance, false);
        });
    }

private:
    using Buffer = std::array<char, 16384>;

    void pump(tcp::socket *from, tcp::socket *to, Buffer *buffer, bool toInstance)
    {
        from->async_read_some(
            asio::buffer(*buffer),
            [self = shared_from_this(), from, to, buffer, toInstance](const error_code &error,
                                                                      std::size_t length) {
                if (error) {
                    self->close();
                    return;
                }
                if (toInstance)
                    self->note({buffer->data(), length});
                asio::async_write(
                    *to, asio::buffer(buffer->data(), length),
                    [self, from, to, buffer, toInstance](const error_code &failed, std::size_t) {
                        if (failed)
                            self->close();
                        else
                            self->pump(from, to, buffer, toInstance);
                    });
            });
    }

    void note(std::string_view bytes)
    {
        m_lines.append(bytes);
        while (const std::optional<std::string_view> line = m_lines.next()) {
            std::string_view rest = *line;
            if (takeWord(&rest) == "QUERY")
                m_impl->onStatement(std::string(takeWord(&rest)));
        }
    }

    void close()
    {
        error_code ignored;
        m_host.close(ignored);
        m_instance.close(ignored);
    }

    tcp::socket m_host;
    tcp::socket m_instance;
    Impl *m_impl;
    LineBuffer m_lines;
    Buffer m_fromHost{};
    Buffer m_fromInstance{};
};

Tap::Tap(EventLoop *loop, Endpoint server, std::function<void(const std::string &)> onStatement)
    : m_impl(
        new Impl{loop, std::move(server), std::move(onStatement), tcp::acceptor(*loop->context())})
{
}

Tap::~Tap() = default;

Endpoint Tap::start()
{
    const tcp::endpoint any(asio::ip::make_address(m_impl->server.address), 0);
    m_impl->acceptor.open(any.protocol());
    m_impl->acceptor.bind(any);
    m_impl->acceptor.listen();
    accept();
    return {.address = m_impl->server.address, .port = m_impl->acceptor.local_endpoint().port()};
}

void Tap::accept()
{
    m_impl->acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error)
            return;
        std::make_shared<Link>(std::move(socket), m_impl.get())->start();
        accept();
    });
}

} // namespace review
