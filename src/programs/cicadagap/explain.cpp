#include "explain.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <istream>
#include <optional>
#include <ostream>
#include <set>

namespace cicadagap {

namespace json = boost::json;

namespace {

struct LogLine
{
    Millis at;
    std::string host;
    std::string event;
    std::string request;
    std::string fields; // The other members, as text.
};

std::string stringMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Whether every log line has the member, or it is printed separately.
bool isCommonMember(std::string_view name)
{
    static const std::set<std::string_view> common{"at", "level", "program", "host", "event"};
    return common.contains(name);
}

std::string fieldsOf(const json::object &object)
{
    std::string fields;
    for (const auto &entry : object) {
        const std::string_view name(entry.key().data(), entry.key().size());
        if (!isCommonMember(name))
            fields += " " + std::string(name) + "=" + json::serialize(entry.value());
    }
    return fields;
}

std::optional<LogLine> parseLine(const std::string &text)
{
    // A log collector may have added a prefix to the line.
    const std::size_t start = text.find('{');
    boost::system::error_code error;
    const json::value value
        = json::parse(start == std::string::npos ? text : text.substr(start), error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *at = object ? object->if_contains("at") : nullptr;
    if (!at || !at->is_number())
        return std::nullopt;
    return LogLine{.at = Millis(at->to_number<std::int64_t>(error)),
                   .host = stringMember(*object, "host"),
                   .event = stringMember(*object, "event"),
                   .request = stringMember(*object, "request"),
                   .fields = fieldsOf(*object)};
}

// Whether the line reports a change of a host's state that may have affected the request.
bool isStateChange(const LogLine &line)
{
    static const std::vector<std::string> prefixes{"primary.",       "duty.",   "promotion.",
                                                   "configuration.", "server.", "platform.",
                                                   "gateway.",       "log."};
    return std::any_of(prefixes.begin(), prefixes.end(), [&line](const std::string &prefix) {
        return line.event.starts_with(prefix);
    });
}

} // namespace

bool explainRequest(const ExplainOptions &options, const std::vector<std::istream *> &logs,
                    std::ostream *output)
{
    std::vector<LogLine> lines;
    std::vector<LogLine> stateChanges;
    std::size_t skipped = 0;
    for (std::istream *log : logs) {
        for (std::string text; std::getline(*log, text);) {
            std::optional<LogLine> line = parseLine(text);
            if (!line)
                skipped += text.empty() ? 0 : 1;
            else if (line->request == options.requestId)
                lines.push_back(std::move(*line));
            else if (isStateChange(*line))
                stateChanges.push_back(std::move(*line));
        }
    }
    if (skipped > 0)
        *output << skipped << " lines are no log lines and were skipped\n";
    if (lines.empty())
        return false;
    const auto earlier
        = [](const LogLine &left, const LogLine &right) { return left.at < right.at; };
    const auto [oldest, newest] = std::minmax_element(lines.begin(), lines.end(), earlier);
    const Millis from = oldest->at - options.before;
    const Millis until = newest->at;
    std::set<std::string> hosts;
    for (const LogLine &line : lines)
        hosts.insert(line.host);
    for (LogLine &line : stateChanges) {
        if (hosts.contains(line.host) && line.at >= from && line.at <= until)
            lines.push_back(std::move(line));
    }
    std::stable_sort(lines.begin(), lines.end(), earlier);
    const Millis first = lines.front().at;
    for (const LogLine &line : lines) {
        const bool belongsToRequest = line.request == options.requestId;
        *output << (belongsToRequest ? "* " : "  ") << "+" << (line.at - first).count() << " ms "
                << line.host << " " << line.event << line.fields << "\n";
    }
    return true;
}

} // namespace cicadagap
