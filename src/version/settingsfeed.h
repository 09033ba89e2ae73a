// Reads the settings that changed from the platform's table, for the few stewards that do so.
//
// The table holds a row "settings/<team>" for each team, whose row version is the version of the
// settings; a row "settings-head" with the number of the last change; and a row "settings-log/<n>"
// for each change, naming its team. The head is read at a steady pace; only a change costs more.
//
//     SettingsFeed feed({});
//     for (const FeedAction &action : feed.onTick(now, /*reader=*/true)) ...
//
// Pure and not thread-safe.
#pragma once

#include "base/millis.h"
#include "base/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadagap {

inline constexpr const char *SettingsHeadKey = "settings-head";
inline constexpr const char *SettingsPrefix = "settings/";
inline constexpr const char *SettingsLogPrefix = "settings-log/";

// "settings-log/<n>", padded so that keys sort by number.
std::string settingsLogKey(std::uint64_t number);

// One change in the log. `change` is the id that its writer chose.
struct SettingsLogEntry
{
    std::string team;
    std::string change;
};
std::string encodeLogEntry(const SettingsLogEntry &entry);
std::optional<SettingsLogEntry> decodeLogEntry(std::string_view text);

enum class FeedStep {
    ReadHead,
    ReadLog,  // The rows of the log after `key`.
    ReadAll,  // The rows of all teams after `key`.
    ReadTeam, // The row `key`.
};

struct FeedAction
{
    FeedStep step = FeedStep::ReadHead;
    std::string key;
};

// A row of the table as the feed sees it.
struct FeedRow
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

// A team's settings, read from the platform.
struct FeedRecord
{
    std::string team;
    std::uint64_t version = 0;
    std::string body;
};

class SettingsFeed
{
public:
    struct Options
    {
        Millis interval = Millis(1000);
        Millis maxBackoff = Millis(8000); // While the platform does not answer.
        std::uint64_t scanAbove = 200;    // More changes than this are read by a scan.
    };

    explicit SettingsFeed(Options options);

    // `reader`: whether this host is one that reads. Nothing is sent while an answer is awaited.
    std::vector<FeedAction> onTick(Millis now, bool reader);
    // Answers; nothing means that the platform did not answer.
    std::vector<FeedAction> onHead(Millis now, std::optional<std::uint64_t> head);
    std::vector<FeedAction> onLog(Millis now, const std::optional<std::vector<FeedRow>> &rows);
    // Also appends what was read to `records`.
    std::vector<FeedAction> onAll(Millis now, const std::optional<std::vector<FeedRow>> &rows,
                                  std::vector<FeedRecord> *records);
    std::vector<FeedAction> onTeam(Millis now, const std::optional<FeedRow> &row,
                                   std::vector<FeedRecord> *records);

    // When the platform last confirmed that nothing newer exists; nothing if never.
    std::optional<Millis> confirmedAt() const { return m_confirmedAt; }

private:
    std::vector<FeedAction> fail(Millis now);
    std::vector<FeedAction> readNextTeam(Millis now);

    Options m_options;
    bool m_busy = false;
    Millis m_nextRead;
    Millis m_backoff;
    Millis m_headReadAt;
    std::uint64_t m_head = 0;               // To be reached by the reads in progress.
    std::optional<std::uint64_t> m_applied; // Everything up to this change has been read.
    std::vector<std::string> m_teamsToRead;
    std::optional<Millis> m_confirmedAt;
};

} // namespace cicadagap
