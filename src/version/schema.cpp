#include "version/schema.h"

#include "base/endpoint.h"

#include <algorithm>
#include <array>
#include <set>

namespace cicadagap {

namespace {

constexpr double HourMs = 3'600'000;
constexpr double MonthMs = 30 * 24 * HourMs;

constexpr std::array TeamRules{
    KeyRule{"team", KeyType::String, true, 0, 0, "", "", "Name of the team; the subtree's name."},
    KeyRule{"groups", KeyType::Map, true, 0, 0, "", "", "Database groups by name."},
    KeyRule{"groups.*.instances", KeyType::Map, true, 0, 0, "", "", "Instances by name."},
    KeyRule{"groups.*.instances.*.address", KeyType::Address, true, 0, 0, "", "",
            "Where the instance listens."},
    KeyRule{"groups.*.instances.*.dataCentre", KeyType::String, true, 0, 0, "", "",
            "Data centre of the instance."},
    KeyRule{"groups.*.slots", KeyType::Integer, false, 1, 1000, "", "3",
            "Statements an instance executes at a time."},
    KeyRule{"groups.*.connections", KeyType::Integer, false, 4, 10000, "", "20",
            "Connections an instance accepts."},
    KeyRule{"statements", KeyType::Map, true, 0, 0, "", "", "Statements by name."},
    KeyRule{"statements.*.kind", KeyType::String, true, 0, 0, "read|write", "",
            "Whether the statement changes rows."},
    KeyRule{"statements.*.class", KeyType::String, false, 0, 0, "", "default",
            "Priority class; one of `classes`."},
    KeyRule{"statements.*.maxAgeMs", KeyType::Integer, false, 1, HourMs, "", "",
            "Reads only: accepts data up to this age."},
    KeyRule{"statements.*.neverRepeat", KeyType::Boolean, false, 0, 0, "", "false",
            "Writes only: needs a request id and runs at most once."},
    KeyRule{"classes", KeyType::Map, false, 0, 0, "", "one class, `default`",
            "Priority classes by name."},
    KeyRule{"classes.*.priority", KeyType::String, false, 0, 0, "top|weighted", "weighted",
            "`top` goes before everything else."},
    KeyRule{"classes.*.weight", KeyType::Integer, false, 1, 1000, "", "1",
            "Share among the weighted classes."},
    KeyRule{"classes.*.reservedSlots", KeyType::Integer, false, 0, 100, "", "0",
            "Slots that only this class may use; top classes only."},
    KeyRule{"objectives", KeyType::Map, false, 0, 0, "", "", "Service-level objectives by class."},
    KeyRule{"objectives.*.latencyMs", KeyType::Integer, true, 1, HourMs, "", "",
            "An answer within this time is good."},
    KeyRule{"objectives.*.goodPercent", KeyType::Number, true, 50, 99.999, "", "",
            "Share of good answers promised."},
    KeyRule{"limits", KeyType::Object, false, 0, 0, "", "", "Limits under load."},
    KeyRule{"limits.queueLength", KeyType::Integer, false, 1, 100000, "", "200",
            "Waiting statements for each class and instance."},
    KeyRule{"limits.agingMs", KeyType::Integer, false, 10, HourMs, "", "2000",
            "Work that waited this long goes ahead of its class."},
    KeyRule{"limits.retryPercent", KeyType::Integer, false, 0, 100, "", "10",
            "Retries as a share of first attempts."},
    KeyRule{"timeouts", KeyType::Object, false, 0, 0, "", "", "Timeouts."},
    KeyRule{"timeouts.statementMs", KeyType::Integer, false, 10, HourMs, "", "2000",
            "From a statement's arrival to its answer."},
    KeyRule{"timeouts.attemptMs", KeyType::Integer, false, 10, HourMs, "", "1000",
            "A read, or a write with a request id, is tried elsewhere after this time."},
    KeyRule{"timeouts.connectMs", KeyType::Integer, false, 10, 60000, "", "500",
            "Opening a connection to an instance."},
    KeyRule{"timeouts.transactionIdleMs", KeyType::Integer, false, 100, HourMs, "", "5000",
            "An idle transaction is rolled back after this time."},
    KeyRule{"timeouts.replicaWaitMs", KeyType::Integer, false, 0, 10000, "", "20",
            "How long a read waits for a replica to catch up before the primary serves it."},
    KeyRule{"timeouts.probeMs", KeyType::Integer, false, 50, 2000, "", "700",
            "An instance that answers no probe within this time looks failed."},
    KeyRule{"timeouts.ledgerRetentionMs", KeyType::Integer, false, 60000, MonthMs, "", "86400000",
            "How long the outcome of a request id is kept."},
    KeyRule{"tokenKeys", KeyType::Array, true, 0, 0, "", "",
            "Keys of session tokens: the first signs, all verify. Rotate by adding in front."},
};

constexpr std::array HostRules{
    KeyRule{"host", KeyType::String, true, 0, 0, "", "", "Name of the host; unique."},
    KeyRule{"dataCentre", KeyType::String, true, 0, 0, "", "", "Data centre of the host."},
    KeyRule{"callers", KeyType::Address, true, 0, 0, "", "", "Listens for callers and operators."},
    KeyRule{"peers", KeyType::Address, true, 0, 0, "", "", "Listens for the other hosts' daemons."},
    KeyRule{"steward", KeyType::Address, true, 0, 0, "", "",
            "Listens for the other hosts' stewards."},
    KeyRule{"platform", KeyType::Address, true, 0, 0, "", "", "The platform's service."},
    KeyRule{"seeds", KeyType::Array, false, 0, 0, "", "[]",
            "Stewards to ask while the platform is down."},
    KeyRule{"threads", KeyType::Integer, false, 1, 64, "", "2", "Threads of the daemon."},
    KeyRule{"logLevel", KeyType::String, false, 0, 0, "debug|info|warning|error", "info",
            "Least severe level that is logged."},
};

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        parts.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

// Checks one file against the rules and collects the problems.
class SchemaChecker
{
public:
    SchemaChecker(std::span<const KeyRule> rules, std::string file, Problems *problems)
        : m_rules(rules)
        , m_file(std::move(file))
        , m_problems(problems)
    {
    }

    // Checks `value` and everything in it. `pattern` is its path with "*" in place of the names
    // that the operator chose, `path` is its path with these names.
    void checkObject(const LocatedValue &value, const std::string &pattern, const std::string &path)
    {
        const auto *object = std::get_if<LocatedValue::Object>(&value.data);
        if (!object) {
            report(value.line, path, "expected an object");
            return;
        }
        std::set<std::string> seen;
        for (const LocatedMember &member : *object) {
            if (!seen.insert(member.key).second)
                report(member.line, join(path, member.key), "the key appears twice");
            checkMember(member, pattern, path);
        }
        for (const KeyRule &rule : m_rules) {
            const auto [parent, name] = splitPath(rule.path);
            if (rule.required && parent == pattern && !seen.contains(std::string(name)))
                report(value.line, join(path, name),
                       "missing; expected " + std::string(KeyTypeNames.name(rule.type)));
        }
    }

private:
    static std::string join(const std::string &path, std::string_view key)
    {
        return path.empty() ? std::string(key) : path + "." + std::string(key);
    }

    // Splits a path into the path of the parent and the last key.
    static std::pair<std::string_view, std::string_view> splitPath(std::string_view path)
    {
        const std::size_t dot = path.rfind('.');
        if (dot == std::string_view::npos)
            return {"", path};
        return {path.substr(0, dot), path.substr(dot + 1)};
    }

    const KeyRule *ruleFor(const std::string &pattern) const
    {
        for (const KeyRule &rule : m_rules) {
            if (rule.path == pattern)
                return &rule;
        }
        return nullptr;
    }

    void report(int line, const std::string &key, const std::string &message)
    {
        m_problems->push_back({m_file, line, key, message});
    }

    void checkMember(const LocatedMember &member, const std::string &pattern,
                     const std::string &path)
    {
        const std::string memberPath = join(path, member.key);
        const KeyRule *rule = ruleFor(join(pattern, member.key));
        if (!rule) {
            report(member.line, memberPath,
                   "unknown key; expected one of: " + permittedKeys(pattern));
            return;
        }
        checkValue(member.value.front(), *rule, join(pattern, member.key), memberPath);
    }

    // The keys that are permitted below `pattern`, separated by commas.
    std::string permittedKeys(const std::string &pattern) const
    {
        std::string names;
        for (const KeyRule &rule : m_rules) {
            const auto [parent, name] = splitPath(rule.path);
            if (parent == pattern)
                names += (names.empty() ? "" : ", ") + std::string(name);
        }
        return names;
    }

    void checkValue(const LocatedValue &value, const KeyRule &rule, const std::string &pattern,
                    const std::string &path)
    {
        switch (rule.type) {
        case KeyType::Object:
            checkObject(value, pattern, path);
            break;
        case KeyType::Map:
            checkMap(value, pattern, path);
            break;
        case KeyType::Array:
            checkArray(value, path);
            break;
        case KeyType::String:
        case KeyType::Address:
            checkString(value, rule, path);
            break;
        case KeyType::Integer:
        case KeyType::Number:
            checkNumber(value, rule, path);
            break;
        case KeyType::Boolean:
            if (!std::holds_alternative<bool>(value.data))
                report(value.line, path, "expected true or false");
            break;
        }
    }

    void checkMap(const LocatedValue &value, const std::string &pattern, const std::string &path)
    {
        const auto *object = std::get_if<LocatedValue::Object>(&value.data);
        if (!object || object->empty()) {
            report(value.line, path, "expected an object with at least one member");
            return;
        }
        std::set<std::string> seen;
        for (const LocatedMember &member : *object) {
            if (!seen.insert(member.key).second)
                report(member.line, join(path, member.key), "the key appears twice");
            checkObject(member.value.front(), pattern + ".*", join(path, member.key));
        }
    }

    void checkArray(const LocatedValue &value, const std::string &path)
    {
        const auto *array = std::get_if<LocatedValue::Array>(&value.data);
        if (!array) {
            report(value.line, path, "expected an array of strings");
            return;
        }
        for (const LocatedValue &item : *array) {
            const auto *text = std::get_if<std::string>(&item.data);
            if (!text || text->empty())
                report(item.line, path, "expected a non-empty string");
        }
    }

    void checkString(const LocatedValue &value, const KeyRule &rule, const std::string &path)
    {
        const auto *text = std::get_if<std::string>(&value.data);
        if (!text || text->empty()) {
            report(value.line, path, "expected a non-empty string");
            return;
        }
        Reason reason;
        if (rule.type == KeyType::Address && !parseEndpoint(*text, &reason))
            report(value.line, path, reason.text());
        const auto choices = split(rule.choices, '|');
        if (!choices.empty() && std::find(choices.begin(), choices.end(), *text) == choices.end())
            report(value.line, path,
                   "\"" + *text + "\" is not one of: " + std::string(rule.choices));
    }

    void checkNumber(const LocatedValue &value, const KeyRule &rule, const std::string &path)
    {
        const auto *integer = std::get_if<std::int64_t>(&value.data);
        const auto *real = std::get_if<double>(&value.data);
        const bool wholeOnly = rule.type == KeyType::Integer;
        if (!integer && (!real || wholeOnly)) {
            report(value.line, path, "expected " + std::string(KeyTypeNames.name(rule.type)));
            return;
        }
        const double number = integer ? static_cast<double>(*integer) : *real;
        if (number < rule.minimum || number > rule.maximum)
            report(value.line, path, "out of range; expected " + range(rule));
    }

    // Formats a number without trailing zeros.
    static std::string formatNumber(double value)
    {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.')
            text.pop_back();
        return text;
    }

public:
    // The permitted range of a number, "MIN to MAX".
    static std::string range(const KeyRule &rule)
    {
        return formatNumber(rule.minimum) + " to " + formatNumber(rule.maximum);
    }

private:
    std::span<const KeyRule> m_rules;
    std::string m_file;
    Problems *m_problems;
};

} // namespace

std::span<const KeyRule> teamRules()
{
    return TeamRules;
}

std::span<const KeyRule> hostRules()
{
    return HostRules;
}

void checkAgainst(std::span<const KeyRule> rules, const LocatedValue &root, const std::string &file,
                  Problems *problems)
{
    SchemaChecker(rules, file, problems).checkObject(root, "", "");
}

std::string markdownReference(std::span<const KeyRule> rules)
{
    std::string table
        = "| key | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const KeyRule &rule : rules) {
        std::string range;
        if (rule.type == KeyType::Integer || rule.type == KeyType::Number)
            range = SchemaChecker::range(rule);
        for (const std::string_view choice : split(rule.choices, '|')) {
            range += range.empty() ? "" : ", ";
            range += choice;
        }
        const std::string defaultCell
            = rule.required ? "required" : std::string(rule.documentedDefault);
        table += "| `";
        table += rule.path;
        table += "`";
        for (const std::string_view cell : {KeyTypeNames.name(rule.type), std::string_view(range),
                                            std::string_view(defaultCell), rule.meaning}) {
            table += " | ";
            table += cell;
        }
        table += " |\n";
    }
    return table;
}

} // namespace cicadagap
