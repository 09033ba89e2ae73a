#include "session/sessioncodec.h"

#include <utility>

namespace cicadagap {

std::optional<StatementAnswer> AnswerCollector::add(TargetMessage message, StatementKind kind)
{
    switch (message.kind) {
    case TargetMessage::Kind::Row:
        m_answer.rows.push_back(std::move(message.text));
        return std::nullopt;
    case TargetMessage::Kind::Complete:
        m_answer.signature = std::move(message.text);
        m_hasResult = true;
        return std::nullopt;
    case TargetMessage::Kind::Error:
        m_answer.cause = message.cause;
        m_answer.detail = std::move(message.text);
        m_hasResult = true;
        return std::nullopt;
    case TargetMessage::Kind::Ready:
        break;
    }
    // The answer ended without a result, or without the proof that the instance ran the statement.
    const bool needsProof = needsSlot(kind) && kind != StatementKind::Status;
    if (!m_hasResult || (needsProof && m_answer.succeeded() && m_answer.signature.empty()))
        m_answer.cause = Cause::ConnectionLost;
    m_hasResult = false;
    m_answer.phase = message.phase;
    m_answer.position = message.position;
    const bool hasStatus = kind == StatementKind::Status || kind == StatementKind::Pause
        || kind == StatementKind::Resume || kind == StatementKind::StepDown;
    if (hasStatus && !m_answer.rows.empty())
        m_answer.status = m_codec->parseStatus(m_answer.rows.front(), nullptr);
    return std::exchange(m_answer, {});
}

void LineBuffer::append(std::string_view bytes)
{
    if (m_start > 0) {
        m_bytes.erase(0, m_start);
        m_searched -= m_start;
        m_start = 0;
    }
    m_bytes.append(bytes);
}

std::optional<std::string_view> LineBuffer::next()
{
    constexpr std::string_view LineEnd = "\r\n";
    const std::size_t end = m_bytes.find(LineEnd, m_searched);
    const bool complete = end != std::string::npos;
    const std::size_t length = (complete ? end + LineEnd.size() : m_bytes.size()) - m_start;
    m_isTooLong = m_isTooLong || length > m_maxLineBytes;
    if (m_isTooLong)
        return std::nullopt;
    if (!complete) {
        // Its first byte may have arrived.
        m_searched = m_bytes.ends_with(LineEnd.front()) ? m_bytes.size() - 1 : m_bytes.size();
        return std::nullopt;
    }
    const std::string_view line(m_bytes.data() + m_start, end - m_start);
    m_start = end + LineEnd.size();
    m_searched = m_start;
    return line;
}

} // namespace cicadagap
