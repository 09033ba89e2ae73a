#include "version/settingschange.h"

#include "version/settingsfeed.h"

#include <utility>

namespace cicadagap {

namespace {

constexpr int MaxLogReads = 5; // While the platform does not answer.

} // namespace

SettingsChange::SettingsChange(Options options)
    : m_options(std::move(options))
{
}

ChangeAction SettingsChange::start() const
{
    return {ChangeStep::ReadRows, SettingsPrefix + m_options.team, 0};
}

ChangeAction SettingsChange::onRows(std::optional<std::uint64_t> teamVersion,
                                    std::uint64_t headVersion, std::uint64_t head)
{
    // Nothing was written yet, so without an answer the change is known not to be in force.
    if (!teamVersion)
        return retry();
    if (!m_started) {
        m_started = true;
        m_firstVersion = m_options.expected.value_or(*teamVersion);
    }
    if (*teamVersion != m_firstVersion)
        return {ChangeStep::Refused, {}, *teamVersion};
    m_teamVersion = *teamVersion;
    m_headVersion = headVersion;
    m_head = head;
    ++m_tries;
    return {ChangeStep::Transact, {}, 0};
}

ChangeAction SettingsChange::onTransacted(Verdict verdict)
{
    if (verdict == Verdict::Ran)
        return {ChangeStep::Done, {}, m_teamVersion + 1};
    if (verdict == Verdict::MayHaveRun)
        return {ChangeStep::ReadLogEntry, settingsLogKey(m_head + 1), 0};
    // A check failed: another team moved the head, or another operator the team's row.
    return retry();
}

ChangeAction SettingsChange::onLogEntry(const std::optional<std::string> &change)
{
    if (!change) {
        if (++m_logReads >= MaxLogReads)
            return {ChangeStep::Unknown, {}, 0};
        return {ChangeStep::ReadLogEntry, settingsLogKey(m_head + 1), 0};
    }
    if (*change == m_options.change)
        return {ChangeStep::Done, {}, m_teamVersion + 1};
    // Somebody else has that place in the log, so the transaction's check on the head fails for
    // good. An empty place may still be taken by the transaction, if it is late.
    if (!change->empty())
        return retry();
    if (++m_logReads >= MaxLogReads)
        return {ChangeStep::Unknown, {}, 0};
    return {ChangeStep::ReadLogEntry, settingsLogKey(m_head + 1), 0};
}

ChangeAction SettingsChange::retry()
{
    if (m_tries >= m_options.attempts)
        return {ChangeStep::Refused, {}, m_teamVersion};
    if (!m_started)
        ++m_tries;
    return start();
}

} // namespace cicadagap
