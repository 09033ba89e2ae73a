// One change of a team's settings by an operator: compare-and-set on the team's version, settled
// even if the platform's answer is lost.
//
// The transaction writes the team's row, the next row of the change log and the head together, so
// either all are there or none. After a lost answer the log tells whether this very change was
// applied; the write is never simply sent again.
//
//     SettingsChange change({.team = "valle", .body = text, .change = "c-81f2"});
//     ChangeAction action = change.start();
//
// Pure and not thread-safe.
#pragma once

#include "base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cicadagap {

enum class ChangeStep {
    ReadRows,     // The team's row and the head.
    Transact,     // See SettingsChange::teamVersion() and head().
    ReadLogEntry, // The log row `key`.
    Done,         // In the table as `version`.
    Refused,      // Another change was first, or the expected version is not the current one.
    Unknown,      // The platform did not answer; the change may or may not be in the table.
};

struct ChangeAction
{
    ChangeStep step = ChangeStep::ReadRows;
    std::string key;
    std::uint64_t version = 0; // With Done; with Refused, the current one.
};

class SettingsChange
{
public:
    struct Options
    {
        std::string team;
        std::string body;
        std::string change;                    // Unique to this attempt of this operator.
        std::optional<std::uint64_t> expected; // Refused if the current version differs.
        int attempts = 10; // Of the transaction, when other teams' changes move the head.
    };

    explicit SettingsChange(Options options);

    ChangeAction start() const;
    // Versions of the rows, 0 for an absent one, and the head's number. Nothing: no answer.
    ChangeAction onRows(std::optional<std::uint64_t> teamVersion, std::uint64_t headVersion,
                        std::uint64_t head);
    ChangeAction onTransacted(Verdict verdict);
    // The log row's change id, empty if the row does not exist. Nothing: no answer.
    ChangeAction onLogEntry(const std::optional<std::string> &change);

    const Options &options() const { return m_options; }
    std::uint64_t teamVersion() const { return m_teamVersion; }
    std::uint64_t headVersion() const { return m_headVersion; }
    std::uint64_t head() const { return m_head; }

private:
    ChangeAction retry();

    Options m_options;
    bool m_started = false;
    std::uint64_t m_firstVersion = 0; // Of the team's row when the change began.
    std::uint64_t m_teamVersion = 0;
    std::uint64_t m_headVersion = 0;
    std::uint64_t m_head = 0;
    int m_tries = 0;
    int m_logReads = 0;
};

} // namespace cicadagap
