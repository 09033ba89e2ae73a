// The line protocol of callers and instances, as an interface. It turns lines into the types of
// session/statement.h and back, and makes no decisions.
#pragma once

#include "base/reason.h"
#include "session/registry.h"
#include "session/statement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadagap {

// A line from a caller.
struct CallerMessage
{
    enum class Kind {
        Connect,
        Statement,
        Close,
    };

    Kind kind = Kind::Statement;
    std::string database; // Connect only.
    std::string key;      // Connect only: the API key; empty if the caller showed none.
    Statement statement;  // Statement only; of kind Unknown if its text cannot be parsed.
};

// A line from an instance.
struct TargetMessage
{
    enum class Kind {
        Row,      // `text` is a row of the result.
        Complete, // The statement succeeded; `text` is the signature.
        Error,    // The statement failed; `text` is the detail.
        Ready,    // The last line of an answer.
    };

    Kind kind = Kind::Row;
    std::string text;
    Cause cause = Cause::None;
    SessionPhase phase = SessionPhase::Idle;
    std::optional<Position> position;
};

// Parses and writes the lines of one protocol. Has no state of its own.
class SessionCodec
{
public:
    SessionCodec() = default;
    SessionCodec(const SessionCodec &) = delete;
    SessionCodec &operator=(const SessionCodec &) = delete;
    virtual ~SessionCodec() = default;

    // The greatest length of a line, including its end.
    virtual std::size_t maxLineBytes() const = 0;
    // Parse a line without its end. Return nothing, and a reason, if it is not part of the
    // protocol.
    virtual std::optional<CallerMessage> parseCaller(std::string_view line,
                                                     Reason *reason) const = 0;
    virtual std::optional<TargetMessage> parseTarget(std::string_view line,
                                                     Reason *reason) const = 0;
    // Parses the row of an answer to a status query or a command. Returns nothing, and a reason, if
    // it is not a status.
    virtual std::optional<InstanceStatus> parseStatus(std::string_view row,
                                                      Reason *reason) const = 0;

    // Each of the following appends whole lines to `output`.
    // Answers a caller's statement.
    virtual void writeAnswer(const StatementAnswer &answer, std::string *output) const = 0;
    // Reports to a caller that its session is open, or why it is not.
    virtual void writeWelcome(std::string *output) const = 0;
    virtual void writeRefusal(Cause cause, std::string *output) const = 0;
    // The following return false, set a reason and append nothing if the protocol has no line that
    // an instance would parse back to the same fields.
    // Opens the conversation with an instance, which refuses if it is not the expected one.
    // It is told the tenant's name, or that of the system if `tenant` is empty.
    virtual bool writeHello(const RegisteredInstance &instance, const std::string &tenant,
                            std::string *output, Reason *reason) const = 0;
    virtual bool writeStatement(const Statement &statement, std::string *output,
                                Reason *reason) const = 0;
};

// Collects the lines of an instance's answers, one answer after the other. Not thread-safe.
class AnswerCollector
{
public:
    explicit AnswerCollector(const SessionCodec *codec)
        : m_codec(codec)
    {
    }

    // Adds a line of the answer to a statement of that kind. Returns the whole answer if it is the
    // last line, otherwise nothing.
    std::optional<StatementAnswer> add(TargetMessage message, StatementKind kind);

private:
    const SessionCodec *m_codec;
    StatementAnswer m_answer;
    bool m_hasResult = false; // A completion or an error has arrived.
};

// Splits a byte stream into lines that end in CR LF. The returned views are valid until the next
// append(). Not thread-safe.
class LineBuffer
{
public:
    // `maxLineBytes` is the greatest length of a line, including its end.
    explicit LineBuffer(std::size_t maxLineBytes = SIZE_MAX)
        : m_maxLineBytes(maxLineBytes)
    {
    }

    void append(std::string_view bytes);
    // The next whole line without its end; nothing if none is complete or it is too long.
    std::optional<std::string_view> next();
    // Whether the next line, complete or not, is too long. No line follows it.
    bool isTooLong() const { return m_isTooLong; }

private:
    std::size_t m_maxLineBytes;
    std::string m_bytes;
    std::size_t m_start = 0;
    std::size_t m_searched = 0; // No line end begins before, from m_start on.
    bool m_isTooLong = false;
};

} // namespace cicadagap
