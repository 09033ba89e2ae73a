#include "connection/peerclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cicadagap {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t ReadBufferBytes = 64UL * 1024;
constexpr std::uint32_t MaxStreams = 10'000;
constexpr std::int32_t WindowBytes = 16 * 1024 * 1024;
constexpr Millis ConnectTimeout(1000);
// While calls are in progress, the server is pinged at this interval. The connection is closed if
// nothing was received from the server for the silence limit.
constexpr Millis PingInterval(250);
constexpr Millis SilenceLimit(1000);

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    nghttp2_nv field{};
    // nghttp2 copies both texts and doesn't modify them; its interface merely lacks the const.
    field.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    field.value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    field.namelen = name.size();
    field.valuelen = value.size();
    return field;
}

// The state of one stream: the message that is received and the one that is sent.
struct Stream
{
    std::string path;
    std::string received;
    std::string outgoing;
    std::size_t sent = 0; // How many bytes of `outgoing` were passed to nghttp2.
    bool tooLong = false; // The received message exceeds the limit; it is dropped.
    bool failed = false;  // Whether the response's status is not 200. Client side only.
    std::function<void(PeerReply)> done;       // Client side only.
    std::shared_ptr<asio::steady_timer> timer; // Client side only.
    std::optional<TransferProgress> progress;  // Client side only, of a long response.
    std::optional<Millis> firstByteAt;         // Client side only.
};

// The part that client and server have in common: an nghttp2 session on a socket. Everything runs
// on the socket's strand.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, PeerLimits limits)
        : m_socket(std::move(socket))
        , m_limits(limits)
    {
    }
    virtual ~Session() { nghttp2_session_del(m_session); }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

protected:
    // A complete message was received on the stream.
    virtual void onMessage(std::int32_t id, Stream *stream) = 0;
    // The message on the stream exceeds the limit, and the rest of it will be dropped. Returns the
    // error code to close the stream with.
    virtual std::uint32_t onTooLong(Stream *stream) = 0;
    // The stream was closed, whether or not its message is complete.
    virtual void onStreamClosed(std::int32_t id, Stream *stream, std::uint32_t errorCode) = 0;
    // The connection was closed.
    virtual void onClosed() = 0;
    // Some bytes of the stream's message were received.
    virtual void onStreamBytes(std::int32_t, Stream *, std::size_t) { }
    // Some bytes were received.
    virtual void onBytesReceived() { }

    void startSession(bool server)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &Session::onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Session::onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Session::onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Session::onClose);
        if (server)
            nghttp2_session_server_new(&m_session, callbacks, this);
        else
            nghttp2_session_client_new(&m_session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        const std::array<nghttp2_settings_entry, 2> settings{
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}}};
        nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
        nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, WindowBytes);
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_open = true;
        read();
        flush();
    }

    // Writes what nghttp2 has to send, unless a write is in progress.
    void flush()
    {
        if (m_writing || !m_open)
            return;
        m_output.clear();
        while (m_output.size() < ReadBufferBytes) {
            const std::uint8_t *data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(m_session, &data);
            if (length <= 0)
                break;
            m_output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
        }
        if (m_output.empty())
            return;
        m_writing = true;
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              self->m_writing = false;
                              if (error)
                                  self->shutDown();
                              else
                                  self->flush();
                          });
    }

    void shutDown()
    {
        if (!m_open)
            return;
        m_open = false;
        error_code ignored;
        m_socket.close(ignored);
        onClosed();
    }

    nghttp2_data_provider dataProvider(Stream *stream)
    {
        nghttp2_data_provider provider{};
        provider.source.ptr = stream;
        provider.read_callback = &Session::readOutgoing;
        return provider;
    }

    bool isOpen() const { return m_open; }
    tcp::socket &socket() { return m_socket; }
    nghttp2_session *session() { return m_session; }
    std::map<std::int32_t, std::unique_ptr<Stream>> &streams() { return m_streams; }

private:
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_input),
            [self = shared_from_this()](const error_code &error, std::size_t length) {
                if (error || !self->m_open) {
                    self->shutDown();
                    return;
                }
                self->onBytesReceived();
                const auto *data = reinterpret_cast<const std::uint8_t *>(self->m_input.data());
                if (nghttp2_session_mem_recv(self->m_session, data, length) < 0) {
                    self->shutDown();
                    return;
                }
                self->flush();
                self->read();
            });
    }

    Stream *stream(std::int32_t id)
    {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second.get();
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                        std::uint8_t, void *user)
    {
        auto *self = static_cast<Session *>(user);
        const std::string_view nameText(reinterpret_cast<const char *>(name), nameLength);
        const std::string valueText(reinterpret_cast<const char *>(value), valueLength);
        auto &entry = self->m_streams[frame->hd.stream_id];
        if (!entry)
            entry = std::make_unique<Stream>();
        if (nameText == ":path")
            entry->path = valueText;
        if (nameText == ":status")
            entry->failed = valueText != "200";
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data,
                      std::size_t length, void *user)
    {
        auto *self = static_cast<Session *>(user);
        Stream *stream = self->stream(id);
        if (!stream || stream->tooLong)
            return 0;
        self->onStreamBytes(id, stream, length);
        if (length <= self->m_limits.maxBodyBytes - stream->received.size()) {
            stream->received.append(reinterpret_cast<const char *>(data), length);
            return 0;
        }
        stream->tooLong = true;
        stream->received = {};
        nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, id, self->onTooLong(stream));
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto *self = static_cast<Session *>(user);
        const bool carriesMessage
            = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            return 0;
        Stream *stream = self->stream(frame->hd.stream_id);
        if (stream && !stream->tooLong)
            self->onMessage(frame->hd.stream_id, stream);
        return 0;
    }

    static int onClose(nghttp2_session *, std::int32_t id, std::uint32_t errorCode, void *user)
    {
        auto *self = static_cast<Session *>(user);
        const auto found = self->m_streams.find(id);
        if (found == self->m_streams.end())
            return 0;
        const std::unique_ptr<Stream> stream = std::move(found->second);
        self->m_streams.erase(found);
        self->onStreamClosed(id, stream.get(), errorCode);
        return 0;
    }

    static ssize_t readOutgoing(nghttp2_session *, std::int32_t, std::uint8_t *buffer,
                                std::size_t length, std::uint32_t *flags,
                                nghttp2_data_source *source, void *)
    {
        auto *stream = static_cast<Stream *>(source->ptr);
        const std::size_t count = std::min(length, stream->outgoing.size() - stream->sent);
        std::copy_n(stream->outgoing.data() + stream->sent, count, buffer);
        stream->sent += count;
        if (stream->sent == stream->outgoing.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }

    tcp::socket m_socket;
    PeerLimits m_limits;
    nghttp2_session *m_session = nullptr;
    std::map<std::int32_t, std::unique_ptr<Stream>> m_streams;
    std::array<char, ReadBufferBytes> m_input{};
    std::string m_output;
    bool m_writing = false;
    bool m_open = false;
};

// The server's side of one connection.
class ServerSession : public Session
{
public:
    ServerSession(tcp::socket socket, PeerLimits limits, PeerHandler handler,
                  std::shared_ptr<std::atomic<int>> activeCalls)
        : Session(std::move(socket), limits)
        , m_handler(std::move(handler))
        , m_activeCalls(std::move(activeCalls))
    {
    }

    void start()
    {
        asio::dispatch(socket().get_executor(),
                       [self = shared_from_this(), this] { startSession(true); });
    }

protected:
    void onMessage(std::int32_t id, Stream *stream) override
    {
        ++*m_activeCalls;
        const PeerRequest request{stream->path, std::move(stream->received)};
        auto self = std::static_pointer_cast<ServerSession>(shared_from_this());
        m_handler(request, [self, id](std::string body) {
            asio::post(self->socket().get_executor(), [self, id, body = std::move(body)]() mutable {
                self->respond(id, std::move(body));
            });
        });
    }
    // Tells the client that the call was not processed.
    std::uint32_t onTooLong(Stream *) override { return NGHTTP2_REFUSED_STREAM; }
    void onStreamClosed(std::int32_t, Stream *, std::uint32_t) override { }
    void onClosed() override { }

private:
    void respond(std::int32_t id, std::string body)
    {
        --*m_activeCalls;
        const auto found = streams().find(id);
        if (!isOpen() || found == streams().end())
            return;
        found->second->outgoing = std::move(body);
        const nghttp2_nv status = headerField(":status", "200");
        const nghttp2_data_provider provider = dataProvider(found->second.get());
        nghttp2_submit_response(session(), id, &status, 1, &provider);
        flush();
    }

    PeerHandler m_handler;
    std::shared_ptr<std::atomic<int>> m_activeCalls;
};

class PeerServerImpl : public PeerServer
{
public:
    PeerServerImpl(EventLoop *loop, PeerHandler handler, PeerLimits limits)
        : m_acceptor(std::make_shared<tcp::acceptor>(asio::make_strand(*loop->context())))
        , m_loop(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_activeCalls(std::make_shared<std::atomic<int>>(0))
    {
    }
    ~PeerServerImpl() override
    {
        asio::post(m_acceptor->get_executor(), [acceptor = m_acceptor] {
            error_code ignored;
            acceptor->close(ignored);
        });
    }
    PeerServerImpl(const PeerServerImpl &) = delete;
    PeerServerImpl &operator=(const PeerServerImpl &) = delete;

    bool bind(const Endpoint &endpoint, Reason *reason)
    {
        error_code error;
        const tcp::endpoint local(asio::ip::make_address(endpoint.address, error), endpoint.port);
        if (!error)
            m_acceptor->open(local.protocol(), error);
        if (!error)
            m_acceptor->set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor->bind(local, error);
        if (!error)
            m_acceptor->listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            setReason(reason, "cannot listen on " + endpoint.text() + ": " + error.message());
            return false;
        }
        m_endpoint = {endpoint.address, m_acceptor->local_endpoint().port()};
        accept(m_loop, m_acceptor, m_limits, m_handler, m_activeCalls);
        return true;
    }

    Endpoint endpoint() const override { return m_endpoint; }
    int activeCalls() const override { return *m_activeCalls; }

private:
    static void accept(EventLoop *loop, const std::shared_ptr<tcp::acceptor> &acceptor,
                       PeerLimits limits, const PeerHandler &handler,
                       const std::shared_ptr<std::atomic<int>> &activeCalls)
    {
        acceptor->async_accept(asio::make_strand(*loop->context()),
                               [loop, acceptor, limits, handler,
                                activeCalls](const error_code &error, tcp::socket socket) {
                                   if (!acceptor->is_open())
                                       return;
                                   if (!error)
                                       std::make_shared<ServerSession>(std::move(socket), limits,
                                                                       handler, activeCalls)
                                           ->start();
                                   accept(loop, acceptor, limits, handler, activeCalls);
                               });
    }

    std::shared_ptr<tcp::acceptor> m_acceptor;
    EventLoop *m_loop;
    PeerLimits m_limits;
    PeerHandler m_handler;
    std::shared_ptr<std::atomic<int>> m_activeCalls;
    Endpoint m_endpoint;
};

// A call before it is submitted on a stream.
struct PendingCall
{
    PeerRequest request;
    Millis deadline; // For the response, or for its first byte if it has limits of its own.
    std::optional<TransferLimits> transfer;
    std::function<void(PeerReply)> done;
};

// The client's side of one connection.
class ClientSession : public Session
{
public:
    ClientSession(tcp::socket socket, PeerLimits limits)
        : Session(std::move(socket), limits)
        , m_pingTimer(this->socket().get_executor())
    {
    }

    void start() { startSession(false); }
    bool isUsable() const { return isOpen(); }

    void submit(PendingCall call, Millis now)
    {
        auto stream = std::make_unique<Stream>();
        stream->outgoing = std::move(call.request.body);
        stream->done = std::move(call.done);
        if (call.transfer)
            stream->progress.emplace(*call.transfer, now, call.deadline - now);
        const std::array<nghttp2_nv, 4> headers{
            {headerField(":method", "POST"), headerField(":scheme", "http"),
             headerField(":authority", "peer"), headerField(":path", call.request.path)}};
        const nghttp2_data_provider provider = dataProvider(stream.get());
        const std::int32_t id = nghttp2_submit_request(session(), nullptr, headers.data(),
                                                       headers.size(), &provider, nullptr);
        if (id < 0) {
            stream->done({Verdict::NotRun, {}});
            shutDown();
            return;
        }
        startTimer(id, stream.get(), call.deadline - now);
        streams()[id] = std::move(stream);
        flush();
        if (!m_pinging) {
            m_lastReceivedAt = now;
            checkSilence();
        }
    }

    void abort() { shutDown(); }

protected:
    void onMessage(std::int32_t, Stream *stream) override
    {
        if (!stream->failed)
            finish(stream,
                   {Verdict::Ran, std::move(stream->received),
                    m_clock.now() - stream->firstByteAt.value_or(m_clock.now())});
    }
    void onStreamBytes(std::int32_t id, Stream *stream, std::size_t count) override
    {
        const Millis now = m_clock.now();
        if (!stream->firstByteAt)
            stream->firstByteAt = now;
        if (!stream->progress)
            return;
        stream->progress->onBytes(now, count);
        if (stream->progress->hasFailed())
            giveUp(id, stream);
    }
    std::uint32_t onTooLong(Stream *stream) override
    {
        finish(stream, {Verdict::MayHaveRun, {}});
        return NGHTTP2_CANCEL;
    }
    void onStreamClosed(std::int32_t, Stream *stream, std::uint32_t errorCode) override
    {
        const bool refused = errorCode == NGHTTP2_REFUSED_STREAM;
        finish(stream, {refused ? Verdict::NotRun : Verdict::MayHaveRun, {}});
    }
    void onClosed() override
    {
        for (const auto &entry : streams())
            finish(entry.second.get(), {Verdict::MayHaveRun, {}});
    }

    void onBytesReceived() override { m_lastReceivedAt = m_clock.now(); }

private:
    // While calls are in progress: closes the connection if the server has been silent for too
    // long, otherwise pings it and checks again after the interval.
    void checkSilence()
    {
        m_pinging = isOpen() && !streams().empty();
        if (!m_pinging)
            return;
        if (m_clock.now() - m_lastReceivedAt >= SilenceLimit) {
            shutDown();
            return;
        }
        nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
        flush();
        m_pingTimer.expires_after(std::chrono::milliseconds(PingInterval.count()));
        m_pingTimer.async_wait([self = std::static_pointer_cast<ClientSession>(shared_from_this())](
                                   const error_code &error) {
            if (!error)
                self->checkSilence();
        });
    }

    // Completes the call of the stream, unless it is complete already.
    static void finish(Stream *stream, PeerReply reply)
    {
        if (stream->timer)
            stream->timer->cancel();
        if (!stream->done)
            return;
        const auto done = std::exchange(stream->done, nullptr);
        done(std::move(reply));
    }

    void startTimer(std::int32_t id, Stream *stream, Millis delay)
    {
        stream->timer = std::make_shared<asio::steady_timer>(socket().get_executor());
        stream->timer->expires_after(std::chrono::milliseconds(delay.count()));
        std::weak_ptr<Session> weak = shared_from_this();
        stream->timer->async_wait([weak, this, id](const error_code &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            const auto found = streams().find(id);
            if (found == streams().end())
                return;
            Stream *stream = found->second.get();
            const Millis now = m_clock.now();
            if (stream->progress && now < stream->progress->deadline())
                startTimer(id, stream, stream->progress->deadline() - now);
            else
                giveUp(id, stream);
            flush();
        });
    }

    void giveUp(std::int32_t id, Stream *stream)
    {
        finish(stream, {Verdict::MayHaveRun, {}});
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    }

    SteadyClock m_clock;
    asio::steady_timer m_pingTimer;
    Millis m_lastReceivedAt;
    bool m_pinging = false;
};

class PeerClientImpl : public PeerClient, public std::enable_shared_from_this<PeerClientImpl>
{
public:
    PeerClientImpl(EventLoop *loop, Endpoint endpoint, PeerLimits limits)
        : m_strand(asio::make_strand(*loop->context()))
        , m_endpoint(std::move(endpoint))
        , m_limits(limits)
    {
    }

    void call(PeerRequest request, Millis timeout, std::function<void(PeerReply)> done) override
    {
        start({std::move(request), m_clock.now() + timeout, std::nullopt, std::move(done)});
    }

    void callForTransfer(PeerRequest request, Millis firstByte, const TransferLimits &limits,
                         std::function<void(PeerReply)> done) override
    {
        start({std::move(request), m_clock.now() + firstByte, limits, std::move(done)});
    }

    void close() override
    {
        asio::post(m_strand, [self = shared_from_this()] {
            if (self->m_session)
                self->m_session->abort();
        });
    }

private:
    void start(PendingCall pending)
    {
        asio::post(m_strand, [self = shared_from_this(), pending = std::move(pending)]() mutable {
            self->send(std::move(pending));
        });
    }

    void send(PendingCall pending)
    {
        if (pending.request.body.size() > m_limits.maxBodyBytes) {
            pending.done({Verdict::NotRun, {}});
            return;
        }
        if (m_session && m_session->isUsable()) {
            m_session->submit(std::move(pending), m_clock.now());
            return;
        }
        m_waitingForConnection.push_back(std::move(pending));
        if (!m_connecting)
            connect();
    }

    void connect()
    {
        m_connecting = true;
        error_code error;
        const auto address = asio::ip::make_address(m_endpoint.address, error);
        auto socket = std::make_shared<tcp::socket>(m_strand);
        auto timer = std::make_shared<asio::steady_timer>(m_strand);
        timer->expires_after(std::chrono::milliseconds(ConnectTimeout.count()));
        timer->async_wait([socket](const error_code &e) {
            error_code ignored;
            if (!e)
                socket->close(ignored);
        });
        socket->async_connect(tcp::endpoint(address, m_endpoint.port),
                              [self = shared_from_this(), socket, timer](const error_code &e) {
                                  timer->cancel();
                                  self->onConnected(std::move(*socket), e);
                              });
    }

    void onConnected(tcp::socket socket, const error_code &error)
    {
        m_connecting = false;
        auto waiting = std::exchange(m_waitingForConnection, {});
        if (error) {
            for (const PendingCall &pending : waiting)
                pending.done({Verdict::NotRun, {}});
            return;
        }
        m_session = std::make_shared<ClientSession>(std::move(socket), m_limits);
        m_session->start();
        for (PendingCall &pending : waiting) {
            if (m_clock.now() < pending.deadline)
                m_session->submit(std::move(pending), m_clock.now());
            else
                pending.done({Verdict::NotRun, {}});
        }
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    Endpoint m_endpoint;
    PeerLimits m_limits;
    SteadyClock m_clock;
    std::shared_ptr<ClientSession> m_session;
    std::vector<PendingCall> m_waitingForConnection;
    bool m_connecting = false;
};

} // namespace

std::shared_ptr<PeerClient> PeerClient::create(EventLoop *loop, const Endpoint &endpoint,
                                               PeerLimits limits)
{
    return std::make_shared<PeerClientImpl>(loop, endpoint, limits);
}

std::unique_ptr<PeerServer> PeerServer::listen(EventLoop *loop, const Endpoint &endpoint,
                                               PeerHandler handler, Reason *reason,
                                               PeerLimits limits)
{
    auto server = std::make_unique<PeerServerImpl>(loop, std::move(handler), limits);
    if (!server->bind(endpoint, reason))
        return nullptr;
    return server;
}

} // namespace cicadagap
