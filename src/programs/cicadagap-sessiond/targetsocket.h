// A connection to an instance: opens it, sends statements and collects whole answers.
#pragma once

#include "session/sessioncodec.h"
#include "session/targetpool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadagap {

// Not thread-safe. After close() none of the handlers runs any more.
class TargetSocket : public std::enable_shared_from_this<TargetSocket>
{
public:
    struct Handlers
    {
        std::function<void()> opened;
        std::function<void(bool full)> openFailed;
        std::function<void(const StatementAnswer &)> answered;
        std::function<void()> closed;
    };

    TargetSocket(boost::asio::io_context *context, const SessionCodec *codec, Handlers handlers);

    void open(const RegisteredInstance &instance);
    void send(const std::vector<Statement> &statements);
    void close();

private:
    void read();
    void handleInput();
    void handleOpening(const TargetMessage &message);
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    const SessionCodec *m_codec;
    Handlers m_handlers;
    AnswerCollector m_collector;
    LineBuffer m_lines;
    std::array<char, 4096> m_input{};
    std::string m_output;
    std::string m_writing;
    std::deque<StatementKind> m_sent;
    bool m_open = false;
    bool m_closed = false;
    bool m_full = false; // The instance has no connection left.
};

} // namespace cicadagap
