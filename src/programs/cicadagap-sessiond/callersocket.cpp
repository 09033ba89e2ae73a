#include "callersocket.h"

#include "process/log.h"
#include "socketoptions.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace cicadagap {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// After this time without an acknowledgement the caller's connection fails.
constexpr Millis SilenceLimit(8000);

} // namespace

CallerSocket::CallerSocket(tcp::socket socket, const SessionCodec *codec)
    : m_socket(std::move(socket))
    , m_codec(codec)
    , m_lines(codec->maxLineBytes())
{
}

void CallerSocket::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    setSocketOptions(&m_socket, SilenceLimit);
    read();
}

void CallerSocket::answer(const StatementAnswer &answer)
{
    m_codec->writeAnswer(answer, &m_output);
    write();
}

void CallerSocket::welcome()
{
    m_codec->writeWelcome(&m_output);
    write();
}

void CallerSocket::refuse(Cause cause)
{
    m_codec->writeRefusal(cause, &m_output);
    close();
}

void CallerSocket::close()
{
    m_closeAfterWrite = true;
    write();
    if (m_beingWritten.empty())
        closeSocket();
}

void CallerSocket::read()
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
            if (!self->m_closeAfterWrite) {
                self->m_lines.append({self->m_input.data(), length});
                self->handleInput();
            }
            if (!self->m_closed)
                self->read();
        });
}

void CallerSocket::handleInput()
{
    while (!m_closed && !m_closeAfterWrite) {
        const std::optional<std::string_view> line = m_lines.next();
        if (!line)
            break;
        Reason reason;
        std::optional<CallerMessage> message = m_codec->parseCaller(*line, &reason);
        if (!message) {
            refuseInput(reason.text());
            return;
        }
        m_handlers.message(std::move(*message));
    }
    if (!m_closed && !m_closeAfterWrite && m_lines.isTooLong())
        refuseInput("longer than " + std::to_string(m_codec->maxLineBytes()) + " bytes");
}

// Ends the session of a caller whose line cannot be read.
void CallerSocket::refuseInput(const std::string &reason)
{
    logEvent(LogLevel::Warning, "caller.line-unreadable", {{"reason", reason}});
    m_codec->writeRefusal(Cause::Invalid, &m_output);
    close();
    m_handlers.closed();
}

void CallerSocket::write()
{
    if (!m_beingWritten.empty() || m_output.empty() || m_closed)
        return;
    m_beingWritten = std::exchange(m_output, {});
    asio::async_write(m_socket, asio::buffer(m_beingWritten),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          if (self->m_closed)
                              return;
                          self->m_beingWritten.clear();
                          if (error) {
                              self->fail();
                              return;
                          }
                          self->write();
                          if (self->m_closeAfterWrite && self->m_beingWritten.empty())
                              self->closeSocket();
                      });
}

void CallerSocket::closeSocket()
{
    if (m_closed)
        return;
    m_closed = true;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

void CallerSocket::fail()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    const bool closeRequested = m_closeAfterWrite;
    closeSocket();
    if (!closeRequested && m_handlers.closed)
        m_handlers.closed();
}

} // namespace cicadagap
