#include "soakcaller.h"

#include "session/sessioncodec.h"
#include "wirecodec.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cicadagap {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

const WireCodec codec;
constexpr std::string_view LineEnd = "\r\n";

} // namespace

// A connection to a host. After close() no handler is called.
class SoakCaller::Session : public std::enable_shared_from_this<Session>
{
public:
    struct Handlers
    {
        std::function<void(bool accepted)> opened;
        std::function<void(const StatementAnswer &)> answered;
        std::function<void()> lost;
    };

    Session(EventLoop *loop, Handlers handlers)
        : m_socket(*loop->context())
        , m_handlers(std::move(handlers))
        , m_answerCollector(&codec)
    {
    }

    void open(const Endpoint &host, const std::string &database, const std::string &key = "soak")
    {
        m_output = "CONNECT " + database + " " + key + std::string(LineEnd);
        const tcp::endpoint endpoint(asio::ip::make_address(host.address), host.port);
        m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->fail();
                return;
            }
            self->write();
            self->read();
        });
    }

    void setHandlers(Handlers handlers) { m_handlers = std::move(handlers); }

    // Composes the line without the session servers' code, which is under test.
    void send(const Statement &statement)
    {
        m_sentKind = statement.kind;
        m_output += "QUERY " + statement.id + " " + statement.text + std::string(LineEnd);
        write();
    }

    void close()
    {
        m_handlers = {};
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    void write()
    {
        if (!m_beingWritten.empty() || m_output.empty())
            return;
        m_beingWritten = std::exchange(m_output, {});
        asio::async_write(m_socket, asio::buffer(m_beingWritten),
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              self->m_beingWritten.clear();
                              if (error)
                                  self->fail();
                              else
                                  self->write();
                          });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_input),
            [self = shared_from_this()](const error_code &error, std::size_t length) {
                if (error) {
                    self->fail();
                    return;
                }
                self->m_lines.append({self->m_input.data(), length});
                while (const std::optional<std::string_view> line = self->m_lines.next())
                    self->handleLine(*line);
                self->read();
            });
    }

    void handleLine(std::string_view line)
    {
        std::optional<TargetMessage> message = codec.parseTarget(line, nullptr);
        if (!message) {
            fail();
            return;
        }
        if (!m_open) {
            m_open = message->kind == TargetMessage::Kind::Ready;
            // The handler may close the session, which destroys the handlers; hence the copy.
            const std::function<void(bool)> opened = m_handlers.opened;
            if (opened)
                opened(m_open);
            return;
        }
        const std::optional<StatementAnswer> answer
            = m_answerCollector.add(std::move(*message), m_sentKind);
        const std::function<void(const StatementAnswer &)> answered = m_handlers.answered;
        if (answer && answered)
            answered(*answer);
    }

    void fail()
    {
        const std::function<void()> lost = std::exchange(m_handlers, {}).lost;
        error_code ignored;
        m_socket.close(ignored);
        if (lost)
            lost();
    }

    tcp::socket m_socket;
    Handlers m_handlers;
    AnswerCollector m_answerCollector;
    LineBuffer m_lines;
    std::array<char, 4096> m_input{};
    std::string m_output;
    std::string m_beingWritten;
    StatementKind m_sentKind = StatementKind::Unknown;
    bool m_open = false;
};

SoakCaller::SoakCaller(EventLoop *loop, Options options, GuaranteeChecker *checker,
                       std::size_t number, std::function<Endpoint()> chooseHost)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_checker(checker)
    , m_number(number)
    , m_chooseHost(std::move(chooseHost))
    , m_random(m_options.seed)
{
}

void SoakCaller::connect()
{
    if (m_stopping) {
        m_stopped = true;
        return;
    }
    m_checker->startSession(m_number);
    m_session = std::make_shared<Session>(
        m_loop,
        Session::Handlers{.opened =
                              [this](bool accepted) {
                                  if (accepted)
                                      sendNext();
                                  else
                                      onLost();
                              },
                          .answered = [this](const StatementAnswer &answer) { onAnswer(answer); },
                          .lost = [this] { onLost(); }});
    m_session->open(m_chooseHost(), m_options.database, m_options.key);
}

void SoakCaller::sendNext()
{
    if (m_stopping && m_checker->phase(m_number) == SessionPhase::Idle) {
        m_session->close();
        m_stopped = true;
        return;
    }
    const Statement statement = m_checker->nextStatement(m_number, m_clock.now());
    m_session->send(statement);
    m_loop->after(m_options.answerTimeout,
                  [this, session = std::weak_ptr(m_session), id = statement.id] {
                      if (!isCurrent(session) || !m_checker->awaits(m_number, id))
                          return;
                      onLost();
                  });
}

// Whether the session for which a timer was started is still the caller's session.
bool SoakCaller::isCurrent(const std::weak_ptr<Session> &session) const
{
    return m_session && session.lock() == m_session;
}

void SoakCaller::onAnswer(const StatementAnswer &answer)
{
    m_checker->onAnswer(m_number, answer, m_clock.now());
    constexpr std::uint64_t MaxThinkTime = 60; // Milliseconds.
    m_loop->after(Millis(1 + std::int64_t(m_random.below(MaxThinkTime))),
                  [this, session = std::weak_ptr(m_session)] {
                      if (isCurrent(session))
                          sendNext();
                  });
}

void SoakCaller::onLost()
{
    constexpr std::uint64_t MaxReconnectDelay = 300; // Milliseconds.
    // Closing the session first prevents a second onLost() when the host closes a refused session.
    m_session->close();
    m_session.reset();
    m_checker->startSession(m_number);
    m_loop->after(Millis(50 + std::int64_t(m_random.below(MaxReconnectDelay))),
                  [this] { connect(); });
}

void probeDatabase(EventLoop *loop, const Endpoint &host, const std::string &database,
                   std::function<void(std::optional<bool>)> done)
{
    const auto session
        = std::make_shared<SoakCaller::Session>(loop, SoakCaller::Session::Handlers{});
    session->setHandlers({.opened =
                              [session, done](bool accepted) {
                                  session->close();
                                  done(accepted);
                              },
                          .answered = {},
                          .lost = [done] { done(std::nullopt); }});
    session->open(host, database);
}

} // namespace cicadagap
