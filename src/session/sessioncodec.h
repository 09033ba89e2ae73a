// The line protocol that callers and instances speak, as an interface: it turns lines into the
// types of session/statement.h and back, and decides nothing.
#pragma once

#include "base/reason.h"
#include "session/registry.h"
#include "session/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// What a caller's line says.
struct CallerMessage
{
    enum class Kind {
        Connect,
        Statement,
        Close,
    };

    Kind kind = Kind::Statement;
    std::string database; // Connect only.
    Statement statement;  // Statement only; of kind Unknown if its text cannot be read.
};

// What an instance's line says.
struct TargetMessage
{
    enum class Kind {
        Row,
        Complete, // `text` is the signature.
        Error,
        Ready, // Ends an answer.
    };

    Kind kind = Kind::Row;
    std::string text;
    Cause cause = Cause::None;
    SessionPhase phase = SessionPhase::Idle;
    std::optional<Position> position;
};

class SessionCodec
{
public:
    SessionCodec() = default;
    SessionCodec(const SessionCodec &) = delete;
    SessionCodec &operator=(const SessionCodec &) = delete;
    virtual ~SessionCodec() = default;

    // The longest line, its end included.
    virtual std::size_t maxLineBytes() const = 0;
    // Lines come without their end. Nothing, and a reason, if the line is not part of the protocol.
    virtual std::optional<CallerMessage> parseCaller(std::string_view line,
                                                     Reason *reason) const = 0;
    virtual std::optional<TargetMessage> parseTarget(std::string_view line,
                                                     Reason *reason) const = 0;
    // The status that a row of an answer to a status query or an order holds.
    virtual std::optional<InstanceStatus> parseStatus(std::string_view row,
                                                      Reason *reason) const = 0;

    // Appends whole lines to `output`.
    virtual void writeAnswer(const StatementAnswer &answer, std::string *output) const = 0;
    // Tells a caller that its session is open, or why it is not.
    virtual void writeWelcome(std::string *output) const = 0;
    virtual void writeRefusal(Cause cause, std::string *output) const = 0;
    // Opens a connection to an instance, which refuses if it is not the expected one.
    virtual void writeHello(const RegisteredInstance &instance, std::string *output) const = 0;
    virtual void writeStatement(const Statement &statement, std::string *output) const = 0;
};

// Collects the lines of one answer.
class AnswerCollector
{
public:
    explicit AnswerCollector(const SessionCodec *codec)
        : m_codec(codec)
    {
    }

    // Adds a line of the answer to a statement of that kind. Returns the answer with its last line.
    std::optional<StatementAnswer> add(TargetMessage message, StatementKind kind);

private:
    const SessionCodec *m_codec;
    StatementAnswer m_answer;
    bool m_ended = false; // A completion or an error has come.
};

// Cuts a byte stream into lines that end in CR LF. The views are valid until the next append().
class LineBuffer
{
public:
    void append(std::string_view bytes);
    // The next whole line without its end, or nothing.
    std::optional<std::string_view> next();
    // Bytes of the line that is not whole yet.
    std::size_t pending() const { return m_bytes.size() - m_start; }

private:
    std::string m_bytes;
    std::size_t m_start = 0;
};

} // namespace cicadagap
