// Reads the settings of the teams from the platform's table.
//
// The table contains
//   - a row "settings/<team>" for each team. The version of the row is the version of the settings;
//   - a row "settings-head" with the number of the last change (the head);
//   - a row "settings-log/<n>" for each change (the change log), which names the team.
//
// The table may come back from an older copy of itself. A new epoch begins then, in which the
// numbers of lost changes are given out again; so the rows of all teams are read in each epoch.
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

// The key "settings-log/<n>". The number is padded with zeros, so that the keys sort by number.
std::string settingsLogKey(std::uint64_t number);

// One entry of the change log. `change` is the id that the writer of the change chose.
struct SettingsLogEntry
{
    std::string team;
    std::string change;
};
// Encodes an entry as JSON, and decodes it. Decoding returns nothing if the text is not a JSON
// object.
std::string encodeLogEntry(const SettingsLogEntry &entry);
std::optional<SettingsLogEntry> decodeLogEntry(std::string_view text);

// The read requests that a SettingsFeed asks its caller to send to the platform.
enum class FeedStep {
    ReadHead, // Read the head row, which has the key `key`.
    ReadLog,  // Read the rows of the change log that follow `key`.
    ReadAll,  // Read the rows of all teams that follow `key`.
    ReadTeam, // Read the row of one team, which has the key `key`.
};

// One read request.
struct FeedAction
{
    FeedStep step = FeedStep::ReadHead;
    std::string key;
};

// A row of the table.
struct FeedRow
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    std::uint64_t epoch = 0;      // In which it was written.
    std::uint64_t tableEpoch = 0; // In which it was read.
};

// The head of the change log.
struct FeedHead
{
    std::uint64_t number = 0;
    std::uint64_t tableEpoch = 0; // In which it was read.
};

// A version of a team's settings that was read from the platform. `body` is JSON text.
struct FeedRecord
{
    std::string team;
    std::uint64_t version = 0;
    std::string body;
    std::uint64_t epoch = 0;
};

// Reads the settings that changed. Only a few stewards of each data centre read from the platform
// (the platform readers); the others receive the settings by gossip. The head is read at a fixed
// interval, and further rows are read only if it moved. The first time, and after many changes, the
// rows of all teams are read.
//
// A deterministic state machine: it performs no I/O and reads no clock. Not thread-safe.
//
//     SettingsFeed feed({});
//     for (const FeedAction &action : feed.onTick(now, /*platformReader=*/true))
//         sendRead(action);
class SettingsFeed
{
public:
    struct Options
    {
        Millis interval = Millis(1000);      // Between reads of the head.
        Millis maxBackoff = Millis(8000);    // While the platform does not answer.
        std::uint64_t maxChangesByLog = 200; // After more changes than this, all teams are read.
    };

    explicit SettingsFeed(Options options);

    // Returns the read of the head when it is due. `platformReader` is whether this host reads from
    // the platform. Returns nothing while a read is in progress.
    std::vector<FeedAction> onTick(Millis now, bool platformReader);
    // Handle the answers to the reads and return the next reads. An empty optional means that the
    // platform did not answer.
    std::vector<FeedAction> onHead(Millis now, const std::optional<FeedHead> &head);
    std::vector<FeedAction> onLog(Millis now, const std::optional<std::vector<FeedRow>> &rows);
    // These also append the settings that were read to `records`.
    std::vector<FeedAction> onAll(Millis now, const std::optional<std::vector<FeedRow>> &rows,
                                  std::vector<FeedRecord> *records);
    std::vector<FeedAction> onTeam(Millis now, const std::optional<FeedRow> &row,
                                   std::vector<FeedRecord> *records);

    // The last instant at which the platform confirmed that the settings read are the newest; empty
    // if there is none yet.
    std::optional<Millis> confirmedAt() const { return m_confirmedAt; }

private:
    // Ends the read in progress, and schedules the next one with exponential backoff.
    std::vector<FeedAction> backOff(Millis now);
    // Reads the next team that changed. If there is none, ends the read in progress.
    std::vector<FeedAction> readNextTeam(Millis now);
    bool isOfThisEpoch(const std::vector<FeedRow> &rows) const;

    Options m_options;
    bool m_readInProgress = false;
    Millis m_nextRead;
    Millis m_backoff;
    Millis m_headReadAt;
    std::uint64_t m_epoch = 0;                     // The table's, when the head was read.
    std::uint64_t m_head = 0;                      // Up to which the read in progress reads.
    std::optional<std::uint64_t> m_lastChangeRead; // All changes up to this one have been read.
    std::vector<std::string> m_teamsToRead;        // Keys of the rows of teams.
    std::optional<Millis> m_confirmedAt;
};

} // namespace cicadagap
