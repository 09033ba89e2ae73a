// A caller's connection: cuts its bytes into messages and writes answers back.
#pragma once

#include "session/sessioncodec.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace cicadagap {

// Not thread-safe. After close() none of the handlers runs any more.
class CallerSocket : public std::enable_shared_from_this<CallerSocket>
{
public:
    struct Handlers
    {
        std::function<void(CallerMessage)> message;
        std::function<void()> closed;
    };

    CallerSocket(boost::asio::ip::tcp::socket socket, const SessionCodec *codec);

    void start(Handlers handlers);
    void answer(const StatementAnswer &answer);
    void welcome();
    // Tells the caller why, then closes.
    void refuse(Cause cause);
    // Closes once everything was written.
    void close();

private:
    void read();
    void handleInput();
    void write();
    void end();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    const SessionCodec *m_codec;
    Handlers m_handlers;
    LineBuffer m_lines;
    std::array<char, 2048> m_input{};
    std::string m_output;
    std::string m_writing;
    bool m_closing = false; // Closes after the last write.
    bool m_closed = false;
};

} // namespace cicadagap
