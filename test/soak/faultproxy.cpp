#include "faultproxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cicadagap {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis PauseCheckInterval(20); // Between two checks whether paused data may be forwarded.

} // namespace

struct FaultProxy::Impl
{
    explicit Impl(asio::io_context *context)
        : acceptor(*context)
    {
    }

    tcp::acceptor acceptor;
};

// One connection through the proxy.
class FaultProxy::ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(tcp::socket client, FaultProxy *proxy)
        : m_client(std::move(client))
        , m_server(m_client.get_executor())
        , m_proxy(proxy)
    {
    }

    void start(const Endpoint &server)
    {
        const tcp::endpoint endpoint(asio::ip::make_address(server.address), server.port);
        m_server.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->close();
                return;
            }
            self->readNext(&self->m_client, &self->m_server, &self->m_toServer,
                           &Faults::pauseToServer);
            self->readNext(&self->m_server, &self->m_client, &self->m_toClient,
                           &Faults::pauseToClient);
        });
    }

    void close()
    {
        if (std::exchange(m_closed, true))
            return;
        error_code ignored;
        m_client.set_option(asio::socket_base::linger(true, 0), ignored);
        m_server.set_option(asio::socket_base::linger(true, 0), ignored);
        m_client.close(ignored);
        m_server.close(ignored);
        m_proxy->m_connections.erase(shared_from_this());
    }

    void silence() { m_silent = true; }
    Millis lastDataAt() const { return m_lastDataAt; }

private:
    using Buffer = std::array<char, 8192>;
    using PauseFlag = bool Faults::*;

    void readNext(tcp::socket *from, tcp::socket *to, Buffer *buffer, PauseFlag pause)
    {
        from->async_read_some(
            asio::buffer(*buffer),
            [=, self = shared_from_this()](const error_code &error, std::size_t length) {
                if (error) {
                    self->close();
                    return;
                }
                self->m_lastDataAt = self->m_proxy->m_clock.now();
                self->forward(from, to, buffer, length, pause, self->m_proxy->m_faults.delay);
            });
    }

    void forward(tcp::socket *from, tcp::socket *to, Buffer *buffer, std::size_t length,
                 PauseFlag pause, Millis delay)
    {
        const bool paused = m_silent || m_proxy->m_faults.*pause;
        if (paused || delay > Millis(0)) {
            m_proxy->m_loop->after(
                paused ? PauseCheckInterval : delay, [=, self = shared_from_this()] {
                    if (!self->m_closed)
                        self->forward(from, to, buffer, length, pause, Millis(0));
                });
            return;
        }
        asio::async_write(*to, asio::buffer(buffer->data(), length),
                          [=, self = shared_from_this()](const error_code &error, std::size_t) {
                              if (error)
                                  self->close();
                              else
                                  self->readNext(from, to, buffer, pause);
                          });
    }

    tcp::socket m_client;
    tcp::socket m_server;
    FaultProxy *m_proxy;
    Buffer m_toServer{};
    Buffer m_toClient{};
    Millis m_lastDataAt;
    bool m_silent = false;
    bool m_closed = false;
};

FaultProxy::FaultProxy(EventLoop *loop, Endpoint server)
    : m_loop(loop)
    , m_server(std::move(server))
    , m_impl(std::make_unique<Impl>(loop->context()))
{
}

FaultProxy::~FaultProxy() = default;

bool FaultProxy::start(Reason *reason)
{
    error_code error;
    tcp::acceptor &acceptor = m_impl->acceptor;
    const tcp::endpoint anyPort(asio::ip::make_address(m_server.address), 0);
    acceptor.open(anyPort.protocol(), error);
    if (!error)
        acceptor.bind(anyPort, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error) {
        setReason(reason, "a proxy cannot listen: " + error.message());
        return false;
    }
    m_endpoint = {.address = m_server.address, .port = acceptor.local_endpoint().port()};
    accept();
    return true;
}

void FaultProxy::accept()
{
    m_impl->acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error)
            return;
        const auto connection = std::make_shared<ProxiedConnection>(std::move(socket), this);
        m_connections.insert(connection);
        if (m_faults.resetNew)
            connection->close();
        else
            connection->start(m_server);
        accept();
    });
}

void FaultProxy::resetAll()
{
    for (const std::shared_ptr<ProxiedConnection> &connection : std::set(m_connections))
        connection->close();
}

void FaultProxy::silenceIdle(Millis idleTime)
{
    for (const std::shared_ptr<ProxiedConnection> &connection : m_connections) {
        if (m_clock.now() - connection->lastDataAt() >= idleTime)
            connection->silence();
    }
}

} // namespace cicadagap
