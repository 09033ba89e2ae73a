// A connection to a database instance: opens it, sends statements and collects their answers.
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

// Not thread-safe; runs on the event loop, and keeps itself alive while operations are in progress.
// After close() no handler is called any more.
class TargetSocket : public std::enable_shared_from_this<TargetSocket>
{
public:
    struct Handlers
    {
        std::function<void()> opened;
        // `noConnectionLeft`: the instance runs, but accepts no more connections.
        std::function<void(bool noConnectionLeft)> openFailed;
        std::function<void(const StatementAnswer &)> answered; // In the order of the statements.
        std::function<void()> closed; // An open connection failed or was closed by the instance.
    };

    TargetSocket(boost::asio::io_context *context, const SessionCodec *codec, Handlers handlers);

    // The instance is told the tenant's name, or that of the system if `tenant` is empty.
    void open(const RegisteredInstance &instance, const std::string &tenant);
    void send(const std::vector<Statement> &statements);
    void close();

private:
    void read();
    void handleInput();
    void handleOpening(const TargetMessage &message);
    void write();
    void fail();
    void failLater();

    boost::asio::ip::tcp::socket m_socket;
    const SessionCodec *m_codec;
    Handlers m_handlers;
    AnswerCollector m_answerCollector;
    LineBuffer m_lines;
    std::array<char, 4096> m_input{};
    std::string m_output;
    std::string m_beingWritten;
    std::deque<StatementKind> m_awaitedKinds; // Of the statements that have no answer yet.
    bool m_open = false;
    bool m_closed = false;
    bool m_noConnectionLeft = false; // Why opening fails; see Handlers::openFailed.
};

} // namespace cicadagap
