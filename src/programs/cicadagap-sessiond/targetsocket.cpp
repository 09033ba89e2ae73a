#include "targetsocket.h"

#include "process/log.h"
#include "socketoptions.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace cicadagap {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// After this time without an acknowledgement the instance's connection fails.
constexpr Millis SilenceLimit(2000);

} // namespace

TargetSocket::TargetSocket(asio::io_context *context, const SessionCodec *codec, Handlers handlers)
    : m_socket(*context)
    , m_codec(codec)
    , m_handlers(std::move(handlers))
    , m_answerCollector(codec)
    , m_lines(codec->maxLineBytes())
{
}

void TargetSocket::open(const RegisteredInstance &instance, const std::string &tenant)
{
    error_code error;
    const auto address = asio::ip::make_address(instance.endpoint.address, error);
    if (error) {
        logEvent(LogLevel::Warning, "instance.address-unreadable",
                 {{"instance", instance.id}, {"address", instance.endpoint.address}});
        failLater();
        return;
    }
    Reason reason;
    if (!m_codec->writeHello(instance, tenant, &m_output, &reason)) {
        logEvent(LogLevel::Warning, "instance.hello-impossible",
                 {{"instance", instance.id}, {"group", instance.group}, {"reason", reason.text()}});
        failLater();
        return;
    }
    m_socket.async_connect(tcp::endpoint(address, instance.endpoint.port),
                           [self = shared_from_this()](const error_code &failure) {
                               if (self->m_closed)
                                   return;
                               if (failure) {
                                   self->fail();
                                   return;
                               }
                               // An instance that accepts the connection and then closes it
                               // has no connection left; one that does not run refuses it.
                               self->m_noConnectionLeft = true;
                               setSocketOptions(&self->m_socket, SilenceLimit);
                               self->write();
                               self->read();
                           });
}

void TargetSocket::send(const std::vector<Statement> &statements)
{
    for (const Statement &statement : statements) {
        Reason reason;
        if (!m_codec->writeStatement(statement, &m_output, &reason)) {
            // What follows depends on it, so nothing more is sent.
            logEvent(LogLevel::Error, "instance.statement-impossible",
                     {{"request", statement.id}, {"reason", reason.text()}});
            failLater();
            break;
        }
        m_awaitedKinds.push_back(statement.kind);
    }
    write();
}

void TargetSocket::close()
{
    if (m_closed)
        return;
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
}

void TargetSocket::read()
{
    m_socket.async_read_some(
        asio::buffer(m_input),
        [self = shared_from_this()](const error_code &error, std::size_t length) {
            if (self->m_closed)
                return;
            if (error) {
                self->fail();
                return;
            }
            self->m_lines.append({self->m_input.data(), length});
            self->handleInput();
            if (!self->m_closed)
                self->read();
        });
}

void TargetSocket::handleInput()
{
    while (!m_closed) {
        const std::optional<std::string_view> line = m_lines.next();
        if (!line)
            break;
        Reason reason;
        std::optional<TargetMessage> message = m_codec->parseTarget(*line, &reason);
        if (!message) {
            logEvent(LogLevel::Warning, "instance.line-unreadable", {{"reason", reason.text()}});
            fail();
            return;
        }
        if (!m_open) {
            handleOpening(*message);
            continue;
        }
        const StatementKind kind
            = m_awaitedKinds.empty() ? StatementKind::Unknown : m_awaitedKinds.front();
        if (const auto answer = m_answerCollector.add(std::move(*message), kind)) {
            if (!m_awaitedKinds.empty())
                m_awaitedKinds.pop_front();
            m_handlers.answered(*answer);
        }
    }
    if (!m_closed && m_lines.isTooLong()) {
        logEvent(LogLevel::Warning, "instance.line-unreadable", {{"reason", "too long"}});
        fail();
    }
}

void TargetSocket::handleOpening(const TargetMessage &message)
{
    if (message.kind == TargetMessage::Kind::Ready) {
        m_open = true;
        m_handlers.opened();
        return;
    }
    m_noConnectionLeft = message.cause != Cause::WrongInstance;
    fail();
}

void TargetSocket::write()
{
    if (!m_beingWritten.empty() || m_output.empty() || m_closed)
        return;
    m_beingWritten = std::exchange(m_output, {});
    asio::async_write(m_socket, asio::buffer(m_beingWritten),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          if (self->m_closed)
                              return;
                          self->m_beingWritten.clear();
                          if (error)
                              self->fail();
                          else
                              self->write();
                      });
}

// Reports the failure from the event loop, outside of the call that caused it.
void TargetSocket::failLater()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(); });
}

void TargetSocket::fail()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    const bool wasOpen = m_open;
    close();
    if (wasOpen)
        m_handlers.closed();
    else
        m_handlers.openFailed(m_noConnectionLeft);
}

} // namespace cicadagap
