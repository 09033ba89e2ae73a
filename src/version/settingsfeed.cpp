#include "version/settingsfeed.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr std::size_t LogNumberDigits = 12;

// The string with that key, or an empty string.
std::string stringMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    const json::string *text = member ? member->if_string() : nullptr;
    return text ? std::string(text->data(), text->size()) : std::string();
}

} // namespace

std::string settingsLogKey(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return SettingsLogPrefix + std::string(LogNumberDigits - digits.size(), '0') + digits;
}

std::string encodeLogEntry(const SettingsLogEntry &entry)
{
    return json::serialize(json::object{{"team", entry.team}, {"change", entry.change}});
}

std::optional<SettingsLogEntry> decodeLogEntry(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return SettingsLogEntry{stringMember(value.get_object(), "team"),
                            stringMember(value.get_object(), "change")};
}

SettingsFeed::SettingsFeed(Options options)
    : m_options(options)
{
}

std::vector<FeedAction> SettingsFeed::onTick(Millis now, bool platformReader)
{
    if (!platformReader || m_readInProgress || now < m_nextRead)
        return {};
    m_readInProgress = true;
    m_headReadAt = now;
    return {{FeedStep::ReadHead, SettingsHeadKey}};
}

std::vector<FeedAction> SettingsFeed::onHead(Millis now, const std::optional<FeedHead> &head)
{
    if (!head || head->tableEpoch < m_epoch)
        return backOff(now);
    if (head->tableEpoch > m_epoch) {
        m_epoch = head->tableEpoch;
        m_lastChangeRead.reset();
        m_teamsToRead.clear();
    }
    m_head = head->number;
    if (!m_lastChangeRead || m_head - *m_lastChangeRead > m_options.maxChangesByLog)
        return {{FeedStep::ReadAll, SettingsPrefix}};
    if (m_head > *m_lastChangeRead)
        return {{FeedStep::ReadLog, settingsLogKey(*m_lastChangeRead)}};
    return readNextTeam(now);
}

std::vector<FeedAction> SettingsFeed::onLog(Millis now,
                                            const std::optional<std::vector<FeedRow>> &rows)
{
    if (!rows || !isOfThisEpoch(*rows))
        return backOff(now);
    for (const FeedRow &row : *rows) {
        const auto entry = decodeLogEntry(row.value);
        if (!entry)
            continue;
        const std::string key = SettingsPrefix + entry->team;
        if (std::find(m_teamsToRead.begin(), m_teamsToRead.end(), key) == m_teamsToRead.end())
            m_teamsToRead.push_back(key);
    }
    return readNextTeam(now);
}

std::vector<FeedAction> SettingsFeed::onAll(Millis now,
                                            const std::optional<std::vector<FeedRow>> &rows,
                                            std::vector<FeedRecord> *records)
{
    if (!rows || !isOfThisEpoch(*rows))
        return backOff(now);
    for (const FeedRow &row : *rows) {
        const std::string team = row.key.substr(std::string_view(SettingsPrefix).size());
        records->push_back({team, row.version, row.value, row.epoch});
    }
    if (!rows->empty())
        return {{FeedStep::ReadAll, rows->back().key}};
    return readNextTeam(now);
}

std::vector<FeedAction> SettingsFeed::onTeam(Millis now, const std::optional<FeedRow> &row,
                                             std::vector<FeedRecord> *records)
{
    if (!row || !isOfThisEpoch({*row}))
        return backOff(now);
    const std::string team = row->key.substr(std::string_view(SettingsPrefix).size());
    records->push_back({team, row->version, row->value, row->epoch});
    std::erase(m_teamsToRead, row->key);
    return readNextTeam(now);
}

// Whether the rows were read in the epoch in which the head was.
bool SettingsFeed::isOfThisEpoch(const std::vector<FeedRow> &rows) const
{
    return std::ranges::all_of(rows,
                               [this](const FeedRow &row) { return row.tableEpoch == m_epoch; });
}

std::vector<FeedAction> SettingsFeed::backOff(Millis now)
{
    m_readInProgress = false;
    m_backoff = std::clamp(m_backoff * 2, m_options.interval, m_options.maxBackoff);
    m_nextRead = now + m_backoff;
    return {};
}

std::vector<FeedAction> SettingsFeed::readNextTeam(Millis now)
{
    if (!m_teamsToRead.empty())
        return {{FeedStep::ReadTeam, m_teamsToRead.front()}};
    m_readInProgress = false;
    m_backoff = Millis();
    m_lastChangeRead = m_head;
    m_confirmedAt = m_headReadAt;
    m_nextRead = std::max(now, m_headReadAt + m_options.interval);
    return {};
}

} // namespace cicadagap
