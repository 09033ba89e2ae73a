// A caller's connection: parses the bytes it receives into messages and writes answers.
#pragma once

#include "session/sessioncodec.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace cicadagap {

// Not thread-safe; runs on the event loop, and keeps itself alive while operations are in progress.
// After close() or refuse() no handler is called any more.
class CallerSocket : public std::enable_shared_from_this<CallerSocket>
{
public:
    struct Handlers
    {
        std::function<void(CallerMessage)> message;
        // The connection failed, the caller closed it, or the caller sent an invalid line.
        std::function<void()> closed;
    };

    CallerSocket(boost::asio::ip::tcp::socket socket, const SessionCodec *codec);

    void start(Handlers handlers);
    void answer(const StatementAnswer &answer);
    // Tells the caller that its session is open.
    void welcome();
    // Sends the cause as a refusal, then closes.
    void refuse(Cause cause);
    // Closes the connection as soon as all output is written.
    void close();

private:
    void read();
    void handleInput();
    void refuseInput(const std::string &reason);
    void write();
    void closeSocket();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    const SessionCodec *m_codec;
    Handlers m_handlers;
    LineBuffer m_lines;
    std::array<char, 2048> m_input{};
    std::string m_output;
    std::string m_beingWritten;     // Must not change while a write is in progress.
    bool m_closeAfterWrite = false; // close() was called.
    bool m_closed = false;
};

} // namespace cicadagap
