// One change of a team's settings by an operator.
#pragma once

#include "base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cicadagap {

// What the caller of a SettingsChange has to do next. The steps from Done on are final.
enum class ChangeStep {
    ReadRows,     // Read the team's row, which has the key `key`, and the head row.
    Transact,     // Write the rows in one transaction that checks the versions read before.
    ReadLogEntry, // Read the row of the change log that has the key `key`.
    Done,         // The change was applied as version `version`.
    Refused, // The change was not applied: the version was not the expected one, another operator
             // changed the team's settings, or all attempts failed.
    Unknown, // The platform did not answer. The change may or may not have been applied.
};

// One step with its arguments.
struct ChangeAction
{
    ChangeStep step = ChangeStep::ReadRows;
    std::string key;
    std::uint64_t version = 0; // Of Done: the new version. Of Refused: the current one.
};

// Applies one change of a team's settings: a compare-and-set on the version of the team's row,
// whose outcome is determined even if the platform's answer is lost.
//
// version/settingsfeed.h describes the table. One transaction writes the team's row, the next row
// of the change log, and the head row, so either all of them are written or none. If the answer is
// lost, the change log shows whether this change was applied. The transaction is never simply
// repeated.
//
// A deterministic state machine: it performs no I/O and reads no clock. Not thread-safe.
//
//     SettingsChange change({.team = "valle", .body = text, .change = "c-81f2"});
//     ChangeAction action = change.start();
//     // Carry out the action, and pass the result to onRows(), onTransacted() or onLogEntry().
class SettingsChange
{
public:
    struct Options
    {
        std::string team;
        std::string body;                      // The new settings, as JSON text.
        std::string change;                    // A unique id of this change.
        std::optional<std::uint64_t> expected; // Refuse the change if the current version differs.
        int attempts = 10; // Of the transaction, because changes by other teams also move the head.
    };

    explicit SettingsChange(Options options);

    ChangeAction start() const;
    // Handles the result of ReadRows: the versions of the rows, 0 for a row that does not exist,
    // and the number in the head row. `teamVersion` is empty if the platform did not answer.
    // `epoch` is the table's, in which they were read.
    ChangeAction onRows(std::optional<std::uint64_t> teamVersion, std::uint64_t headVersion,
                        std::uint64_t head, std::uint64_t epoch = 0);
    // Handles the result of Transact. NotRun means that one of its checks failed.
    ChangeAction onTransacted(Verdict verdict);
    // Handles the result of ReadLogEntry: the id of the change in that row, or an empty string if
    // the row does not exist. `change` is std::nullopt if the platform did not answer.
    ChangeAction onLogEntry(const std::optional<std::string> &change);

    const Options &options() const { return m_options; }
    // What the transaction has to check and write: the version of the team's row, the version of
    // the head row, and the number of the last change.
    std::uint64_t teamVersion() const { return m_teamVersion; }
    std::uint64_t headVersion() const { return m_headVersion; }
    std::uint64_t head() const { return m_head; }
    std::uint64_t epoch() const { return m_epoch; }

private:
    // Starts again by reading the rows, or gives up after too many attempts.
    ChangeAction retry();

    Options m_options;
    bool m_initialVersionKnown = false;
    std::uint64_t m_initialVersion = 0; // Expected of the team's row throughout the change.
    std::uint64_t m_teamVersion = 0;
    std::uint64_t m_headVersion = 0;
    std::uint64_t m_head = 0;
    std::uint64_t m_epoch = 0;
    int m_attempts = 0;
    int m_logReads = 0; // That did not determine the outcome.
};

} // namespace cicadagap
