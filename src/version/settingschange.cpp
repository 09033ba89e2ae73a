#include "version/settingschange.h"

#include "version/settingsfeed.h"

#include <utility>

namespace cicadagap {

namespace {

constexpr int MaxLogReads = 5; // That do not determine the outcome.

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
                                    std::uint64_t headVersion, std::uint64_t head,
                                    std::uint64_t epoch)
{
    // Nothing has been written yet, so without an answer the change is known not to be applied.
    if (!teamVersion)
        return retry();
    if (!m_initialVersionKnown) {
        m_initialVersionKnown = true;
        m_initialVersion = m_options.expected.value_or(*teamVersion);
    }
    if (*teamVersion != m_initialVersion)
        return {ChangeStep::Refused, {}, *teamVersion};
    m_teamVersion = *teamVersion;
    m_headVersion = headVersion;
    m_head = head;
    m_epoch = epoch;
    ++m_attempts;
    return {ChangeStep::Transact, {}, 0};
}

ChangeAction SettingsChange::onTransacted(Verdict verdict)
{
    if (verdict == Verdict::Ran)
        return {ChangeStep::Done, {}, m_teamVersion + 1};
    if (verdict == Verdict::MayHaveRun)
        return {ChangeStep::ReadLogEntry, settingsLogKey(m_head + 1), 0};
    // A check failed: a change of another team moved the head, or another operator changed the
    // team's row.
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
    // If another change has that place in the log, the transaction's check of the head can no
    // longer succeed. If the place is empty, the transaction may be delayed and still write it.
    if (!change->empty())
        return retry();
    if (++m_logReads >= MaxLogReads)
        return {ChangeStep::Unknown, {}, 0};
    return {ChangeStep::ReadLogEntry, settingsLogKey(m_head + 1), 0};
}

ChangeAction SettingsChange::retry()
{
    if (m_attempts >= m_options.attempts)
        return {ChangeStep::Refused, {}, m_teamVersion};
    if (!m_initialVersionKnown)
        ++m_attempts;
    return start();
}

} // namespace cicadagap
