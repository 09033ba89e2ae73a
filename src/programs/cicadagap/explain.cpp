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
    std::string fields; // Everything else.
};

std::string member(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Members that every line has, or that are printed on their own.
bool isCommon(std::string_view name)
{
    static const std::set<std::string_view> common{"at", "level", "program", "host", "event"};
    return common.contains(name);
}

std::string fieldsOf(const json::object &object)
{
    std::string fields;
    for (const auto &entry : object) {
        const std::string_view name(entry.key().data(), entry.key().size());
        if (!isCommon(name))
            fields += " " + std::string(name) + "=" + json::serialize(entry.value());
    }
    return fields;
}

std::optional<LogLine> parseLine(const std::string &text)
{
    // A collector may have put something before the object.
    const std::size_t start = text.find('{');
    boost::system::error_code error;
    const json::value value
        = json::parse(start == std::string::npos ? text : text.substr(start), error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *at = object ? object->if_contains("at") : nullptr;
    if (!at || !at->is_number())
        return std::nullopt;
    return LogLine{.at = Millis(at->to_number<std::int64_t>(error)),
                   .host = member(*object, "host"),
                   .event = member(*object, "event"),
                   .request = member(*object, "request"),
                   .fields = fieldsOf(*object)};
}

// A change of what a host believes that may have decided about the request.
bool isBelief(const LogLine &line)
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
    std::vector<LogLine> own;
    std::vector<LogLine> beliefs;
    std::size_t unreadable = 0;
    for (std::istream *log : logs) {
        for (std::string text; std::getline(*log, text);) {
            std::optional<LogLine> line = parseLine(text);
            if (!line)
                unreadable += text.empty() ? 0 : 1;
            else if (line->request == options.requestId)
                own.push_back(std::move(*line));
            else if (isBelief(*line))
                beliefs.push_back(std::move(*line));
        }
    }
    if (unreadable > 0)
        *output << unreadable << " lines are no log lines and were skipped\n";
    if (own.empty())
        return false;
    const auto earlier
        = [](const LogLine &left, const LogLine &right) { return left.at < right.at; };
    const auto [oldest, newest] = std::minmax_element(own.begin(), own.end(), earlier);
    const Millis from = oldest->at - options.before;
    const Millis until = newest->at;
    std::set<std::string> hosts;
    for (const LogLine &line : own)
        hosts.insert(line.host);
    for (LogLine &line : beliefs) {
        if (hosts.contains(line.host) && line.at >= from && line.at <= until)
            own.push_back(std::move(line));
    }
    std::stable_sort(own.begin(), own.end(), earlier);
    const Millis first = own.front().at;
    for (const LogLine &line : own) {
        const bool its = line.request == options.requestId;
        *output << (its ? "* " : "  ") << "+" << (line.at - first).count() << " ms " << line.host
                << " " << line.event << line.fields << "\n";
    }
    return true;
}

} // namespace cicadagap
