#include "connection/http.h"

#include "base/utf8.h"
#include "process/log.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <utility>

namespace cicadagap {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
// The kernel closes a connection whose data stays unacknowledged by the other host for this long.
constexpr int UserTimeoutMs = 10'000;
constexpr int StatusInternalError = 500;
constexpr int HexBase = 16;
// During a graceful shutdown an idle connection stays open for this long, because a request may be
// on its way. The response to that request tells the client to close the connection.
constexpr Millis IdleGracePeriod(5000);

void setSocketOptions(tcp::socket *socket)
{
    error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket->set_option(UserTimeout(UserTimeoutMs), ignored);
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower;
}

template <typename Message> HttpHeaders headersOf(const Message &message)
{
    HttpHeaders headers;
    for (const auto &field : message.base())
        headers[lowerCase(field.name_string())] = std::string(field.value());
    return headers;
}

// The longest header value that Beast stores.
constexpr std::size_t MaxHeaderBytes = 65'533;

// Whether the byte can be part of a method or of a header's name (RFC 9110, section 5.6.2).
bool isTokenByte(char byte)
{
    constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(byte))
        || Punctuation.find(byte) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && text.size() <= MaxHeaderBytes
        && std::all_of(text.begin(), text.end(), isTokenByte);
}

// Whether a receiver reads the same value: it removes blanks at either end, and no control
// character is allowed.
bool isHeaderValue(std::string_view text)
{
    constexpr unsigned char Delete = 0x7F;
    const auto isBlank = [](char byte) { return byte == ' ' || byte == '\t'; };
    if (text.size() > MaxHeaderBytes)
        return false;
    if (!text.empty() && (isBlank(text.front()) || isBlank(text.back())))
        return false;
    return std::all_of(text.begin(), text.end(), [](char byte) {
        const auto code = static_cast<unsigned char>(byte);
        return byte == '\t' || (code >= ' ' && code != Delete);
    });
}

// Whether the text is a path and a query in visible ASCII characters.
bool isRequestTarget(std::string_view text)
{
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](char byte) {
               return byte > ' ' && byte <= '~';
           });
}

// Why the headers would be read as others than these; empty if they can be sent.
std::string headerProblem(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        if (!isToken(name))
            return "a header's name is not a token";
        if (!isHeaderValue(value))
            return "the value of the header " + name + " cannot be sent";
    }
    return {};
}

// Why the request would be read as another one; empty if it can be sent.
std::string requestProblem(const HttpRequest &request)
{
    if (!isToken(request.method))
        return "the method is not a token";
    if (!isRequestTarget(request.target))
        return "the target is not a path and a query in visible ASCII characters";
    return headerProblem(request.headers);
}

class HttpServerImpl;

// The server's side of one connection. Everything runs on the connection's strand.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(tcp::socket socket, std::shared_ptr<HttpServerImpl> server, std::uint64_t id);
    ~ServerSession();
    ServerSession(const ServerSession &) = delete;
    ServerSession &operator=(const ServerSession &) = delete;

    void start();
    void closeWhenIdle();

private:
    void read();
    void onRead(const error_code &error);
    void write(HttpResponse response);
    void close();

    beast::tcp_stream m_stream;
    asio::steady_timer m_idleTimer;
    beast::flat_buffer m_buffer;
    std::unique_ptr<http::request_parser<http::string_body>> m_parser;
    std::shared_ptr<HttpServerImpl> m_server;
    std::uint64_t m_id;
    bool m_handling = false;
    bool m_closing = false;
};

class HttpServerImpl : public HttpServer, public std::enable_shared_from_this<HttpServerImpl>
{
public:
    HttpServerImpl(EventLoop *loop, HttpHandler handler)
        : m_loop(loop)
        , m_acceptor(asio::make_strand(*loop->context()))
        , m_handler(std::move(handler))
    {
    }

    bool bind(const Endpoint &endpoint, Reason *reason)
    {
        error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        const tcp::endpoint local(address, endpoint.port);
        if (!error)
            m_acceptor.open(local.protocol(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(local, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            setReason(reason, "cannot listen on " + endpoint.text() + ": " + error.message());
            return false;
        }
        m_endpoint = {endpoint.address, m_acceptor.local_endpoint().port()};
        return true;
    }

    void accept()
    {
        m_acceptor.async_accept(
            asio::make_strand(*m_loop->context()),
            [self = shared_from_this()](const error_code &error, tcp::socket socket) {
                if (!self->m_acceptor.is_open())
                    return;
                if (!error)
                    self->startSession(std::move(socket));
                self->accept();
            });
    }

    Endpoint endpoint() const override { return m_endpoint; }
    void onClosed(std::function<void(std::uint64_t)> function) override
    {
        m_onClosed = std::move(function);
    }
    void stopAccepting() override
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->m_acceptor.close(ignored);
            for (const auto &session : self->m_sessions) {
                if (auto live = session.second.lock())
                    live->closeWhenIdle();
            }
        });
    }
    int activeRequests() const override { return m_activeRequests; }
    int connections() const override { return m_openConnections; }

    void handle(const HttpRequest &request, Respond respond)
    {
        m_handler(request, std::move(respond));
    }
    void requestStarted() { ++m_activeRequests; }
    void requestFinished() { --m_activeRequests; }
    void sessionClosed(std::uint64_t id)
    {
        --m_openConnections;
        if (m_onClosed)
            m_onClosed(id);
        asio::post(m_acceptor.get_executor(),
                   [self = shared_from_this(), id] { self->m_sessions.erase(id); });
    }

private:
    void startSession(tcp::socket socket)
    {
        setSocketOptions(&socket);
        const std::uint64_t id = ++m_lastSessionId;
        auto session = std::make_shared<ServerSession>(std::move(socket), shared_from_this(), id);
        m_sessions[id] = session;
        ++m_openConnections;
        session->start();
    }

    EventLoop *m_loop;
    tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    Endpoint m_endpoint;
    std::function<void(std::uint64_t)> m_onClosed;
    std::map<std::uint64_t, std::weak_ptr<ServerSession>>
        m_sessions; // Used on the acceptor's strand only.
    std::uint64_t m_lastSessionId = 0;
    std::atomic<int> m_activeRequests = 0;
    std::atomic<int> m_openConnections = 0;
};

// The server as its owner holds it: shuts the shared implementation down when it is destroyed.
class ServerHandle : public HttpServer
{
public:
    explicit ServerHandle(std::shared_ptr<HttpServerImpl> impl)
        : m_impl(std::move(impl))
    {
    }
    ~ServerHandle() override { m_impl->stopAccepting(); }
    ServerHandle(const ServerHandle &) = delete;
    ServerHandle &operator=(const ServerHandle &) = delete;

    Endpoint endpoint() const override { return m_impl->endpoint(); }
    void onClosed(std::function<void(std::uint64_t)> function) override
    {
        m_impl->onClosed(std::move(function));
    }
    void stopAccepting() override { m_impl->stopAccepting(); }
    int activeRequests() const override { return m_impl->activeRequests(); }
    int connections() const override { return m_impl->connections(); }

private:
    std::shared_ptr<HttpServerImpl> m_impl;
};

ServerSession::ServerSession(tcp::socket socket, std::shared_ptr<HttpServerImpl> server,
                             std::uint64_t id)
    : m_stream(std::move(socket))
    , m_idleTimer(m_stream.get_executor())
    , m_server(std::move(server))
    , m_id(id)
{
}

ServerSession::~ServerSession()
{
    m_server->sessionClosed(m_id);
}

void ServerSession::start()
{
    asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] { self->read(); });
}

void ServerSession::closeWhenIdle()
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        self->m_closing = true;
        self->m_idleTimer.expires_after(std::chrono::milliseconds(IdleGracePeriod.count()));
        self->m_idleTimer.async_wait([self](const error_code &) {
            if (!self->m_handling && self->m_buffer.size() == 0)
                self->close();
        });
    });
}

void ServerSession::read()
{
    m_parser = std::make_unique<http::request_parser<http::string_body>>();
    m_parser->body_limit(MaxBodyBytes);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code &error, std::size_t) { self->onRead(error); });
}

void ServerSession::onRead(const error_code &error)
{
    if (error) {
        close();
        return;
    }
    auto &message = m_parser->get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = headersOf(message);
    request.body = std::move(message.body());
    request.connection = m_id;
    m_closing = m_closing || !message.keep_alive();
    m_handling = true;
    m_server->requestStarted();
    m_server->handle(request, [self = shared_from_this()](HttpResponse response) {
        asio::post(self->m_stream.get_executor(), [self, response = std::move(response)]() mutable {
            self->write(std::move(response));
        });
    });
}

void ServerSession::write(HttpResponse response)
{
    const std::string problem = headerProblem(response.headers);
    if (!problem.empty()) {
        logEvent(LogLevel::Error, "http.response-invalid", {{"reason", problem}});
        response = {.status = StatusInternalError, .close = response.close};
    }
    m_closing = m_closing || response.close;
    auto message = std::make_shared<http::response<http::string_body>>();
    message->version(11);
    message->result(static_cast<unsigned>(response.status));
    message->set(http::field::content_type, "application/json");
    for (const auto &header : response.headers)
        message->set(header.first, header.second);
    message->body() = std::move(response.body);
    message->keep_alive(!m_closing);
    message->prepare_payload();
    http::async_write(m_stream, *message,
                      [self = shared_from_this(), message](const error_code &error, std::size_t) {
                          self->m_server->requestFinished();
                          self->m_handling = false;
                          if (error || self->m_closing)
                              self->close();
                          else
                              self->read();
                      });
}

void ServerSession::close()
{
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
}

class HttpConnectionImpl : public HttpConnection,
                           public std::enable_shared_from_this<HttpConnectionImpl>
{
public:
    HttpConnectionImpl(EventLoop *loop, Endpoint endpoint)
        : m_stream(asio::make_strand(*loop->context()))
        , m_endpoint(std::move(endpoint))
    {
    }

    void connect(Millis timeout, Opened opened)
    {
        error_code error;
        const auto address = asio::ip::make_address(m_endpoint.address, error);
        if (error) {
            Reason reason;
            reason.set(m_endpoint.address + " is not an IP address");
            opened(nullptr, reason);
            return;
        }
        m_stream.expires_after(std::chrono::milliseconds(timeout.count()));
        m_stream.async_connect(
            tcp::endpoint(address, m_endpoint.port),
            [self = shared_from_this(), opened = std::move(opened)](const error_code &e) {
                Reason reason;
                if (e) {
                    reason.set("cannot connect to " + self->m_endpoint.text() + ": " + e.message());
                    opened(nullptr, reason);
                    return;
                }
                setSocketOptions(&self->m_stream.socket());
                opened(self, reason);
            });
    }

    void callWithin(const HttpRequest &request, CallLimits limits, CallDone done) override
    {
        const std::string problem = requestProblem(request);
        if (!problem.empty()) {
            refuse(problem, std::move(done));
            return;
        }
        auto message = std::make_shared<http::request<http::string_body>>();
        message->version(11);
        message->method_string(request.method);
        message->target(request.target);
        message->set(http::field::host, m_endpoint.text());
        message->set(http::field::content_type, "application/json");
        for (const auto &header : request.headers)
            message->set(header.first, header.second);
        message->body() = request.body;
        message->keep_alive(true);
        message->prepare_payload();
        // Posted, so that `done` never runs inside this function.
        asio::post(m_stream.get_executor(),
                   [self = shared_from_this(), message, limits = std::move(limits),
                    done = std::move(done)]() mutable {
                       self->write(message, std::move(limits), std::move(done));
                   });
    }

    void close() override
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->m_stream.socket().close(ignored);
        });
    }

private:
    using Message = std::shared_ptr<http::request<http::string_body>>;
    using Parser = http::response_parser<http::string_body>;

    // A response that is received piece by piece.
    struct Transfer
    {
        Transfer(CallLimits callLimits, Millis startedAt, CallDone callDone)
            : limits(std::move(callLimits))
            , progress(*limits.transfer, startedAt, limits.timeout)
            , done(std::move(callDone))
        {
        }

        CallLimits limits;
        TransferProgress progress;
        Parser parser;
        CallDone done;
    };

    // Reports that nothing was sent. Posted, so that `done` never runs inside call().
    void refuse(const std::string &problem, CallDone done)
    {
        asio::post(m_stream.get_executor(),
                   [self = shared_from_this(), problem, done = std::move(done)] {
                       error_code ignored;
                       self->m_stream.socket().close(ignored);
                       done(std::nullopt, {.sent = false, .text = problem});
                   });
    }

    void write(const Message &message, CallLimits limits, CallDone done)
    {
        if (!m_stream.socket().is_open()) {
            done(std::nullopt, {.sent = false, .text = "the connection is closed"});
            return;
        }
        const Millis startedAt = m_clock.now();
        m_stream.expires_after(std::chrono::milliseconds(limits.timeout.count()));
        http::async_write(
            m_stream, *message,
            [self = shared_from_this(), message, limits = std::move(limits), startedAt,
             done = std::move(done)](const error_code &error, std::size_t) mutable {
                if (error)
                    self->fail(error, done);
                else if (limits.transfer)
                    self->startTransfer(std::move(limits), startedAt, std::move(done));
                else
                    self->read(std::move(done));
            });
    }

    void startTransfer(CallLimits limits, Millis startedAt, CallDone done)
    {
        auto transfer = std::make_shared<Transfer>(std::move(limits), startedAt, std::move(done));
        transfer->parser.body_limit(transfer->limits.transfer->maxBytes);
        transfer->parser.eager(true);
        readSome(transfer);
    }

    void readSome(const std::shared_ptr<Transfer> &transfer)
    {
        const Millis left = std::max(Millis(1), transfer->progress.deadline() - m_clock.now());
        m_stream.expires_after(std::chrono::milliseconds(left.count()));
        http::async_read_some(
            m_stream, m_buffer, transfer->parser,
            [self = shared_from_this(), transfer](const error_code &error, std::size_t count) {
                if (error) {
                    self->fail(error, transfer->done);
                    return;
                }
                transfer->progress.onBytes(self->m_clock.now(), count);
                if (transfer->limits.onBytes)
                    transfer->limits.onBytes(transfer->progress.bytes());
                if (transfer->progress.hasFailed())
                    self->fail(beast::error::timeout, transfer->done);
                else if (transfer->parser.is_done())
                    self->finish(&transfer->parser.get(), transfer->done);
                else
                    self->readSome(transfer);
            });
    }

    void read(CallDone done)
    {
        auto parser = std::make_shared<Parser>();
        parser->body_limit(MaxBodyBytes);
        http::async_read(m_stream, m_buffer, *parser,
                         [self = shared_from_this(), parser,
                          done = std::move(done)](const error_code &error, std::size_t) {
                             if (error) {
                                 self->fail(error, done);
                                 return;
                             }
                             self->finish(&parser->get(), done);
                         });
    }

    void finish(http::response<http::string_body> *message, const CallDone &done)
    {
        m_stream.expires_never();
        HttpResponse response;
        response.status = static_cast<int>(message->result_int());
        response.headers = headersOf(*message);
        response.body = std::move(message->body());
        if (!message->keep_alive()) {
            error_code ignored;
            m_stream.socket().close(ignored);
        }
        done(std::move(response), {});
    }

    void fail(const error_code &error, const CallDone &done)
    {
        error_code ignored;
        m_stream.socket().close(ignored);
        const bool timeout = error == beast::error::timeout;
        done(std::nullopt, {.sent = true, .timeout = timeout, .text = error.message()});
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    Endpoint m_endpoint;
    SteadyClock m_clock;
};

} // namespace

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::vector<std::string>> pathNames(std::string_view target)
{
    std::string_view path = targetPath(target);
    std::vector<std::string> names;
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        std::optional<std::string> name = percentDecode(path.substr(0, end));
        if (!name || !isUtf8(*name))
            return std::nullopt;
        if (!name->empty())
            names.push_back(std::move(*name));
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return names;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    constexpr std::size_t EscapeLength = 3;
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded.push_back(text.front());
            text.remove_prefix(1);
            continue;
        }
        const std::string_view digits = text.substr(1, EscapeLength - 1);
        unsigned char byte = 0;
        const auto parsed
            = std::from_chars(digits.data(), digits.data() + digits.size(), byte, HexBase);
        const bool isEscape = digits.size() == EscapeLength - 1 && parsed.ec == std::errc()
            && parsed.ptr == digits.data() + digits.size();
        if (!isEscape)
            return std::nullopt;
        decoded.push_back(static_cast<char>(byte));
        text.remove_prefix(EscapeLength);
    }
    return decoded;
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    std::size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string_view pair = target.substr(start + 1, end - start - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percentDecode(pair.substr(equals + 1));
        }
        start = end;
    }
    return std::nullopt;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view Unreserved = "-_.~";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || Unreserved.find(c) != std::string_view::npos) {
            encoded.push_back(c);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(Digits[byte >> 4U]);
        encoded.push_back(Digits[byte & 15U]);
    }
    return encoded;
}

std::unique_ptr<HttpServer> HttpServer::listen(EventLoop *loop, const Endpoint &endpoint,
                                               HttpHandler handler, Reason *reason)
{
    auto impl = std::make_shared<HttpServerImpl>(loop, std::move(handler));
    if (!impl->bind(endpoint, reason))
        return nullptr;
    impl->accept();
    return std::make_unique<ServerHandle>(impl);
}

void HttpConnection::open(EventLoop *loop, const Endpoint &endpoint, Millis timeout, Opened opened)
{
    std::make_shared<HttpConnectionImpl>(loop, endpoint)->connect(timeout, std::move(opened));
}

void callOnce(EventLoop *loop, const Endpoint &endpoint, const HttpRequest &request, Millis timeout,
              CallDone done)
{
    const SteadyClock clock;
    const Millis deadline = clock.now() + timeout;
    HttpConnection::open(loop, endpoint, timeout,
                         [request, deadline, done = std::move(done)](
                             const std::shared_ptr<HttpConnection> &opened, const Reason &reason) {
                             if (!opened) {
                                 done(std::nullopt, {.sent = false, .text = reason.text()});
                                 return;
                             }
                             const Millis left
                                 = std::max(Millis(1), deadline - SteadyClock().now());
                             opened->call(request, left,
                                          [opened, done](std::optional<HttpResponse> response,
                                                         const CallFailure &failure) {
                                              opened->close();
                                              done(std::move(response), failure);
                                          });
                         });
}

} // namespace cicadagap
