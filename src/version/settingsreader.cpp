#include "version/settingsreader.h"

#include "base/utf8.h"
#include "version/schema.h"

#include <algorithm>
#include <set>

namespace cicadagap {

namespace {

// Names go into headers, whose length is limited; a session token has those of several groups.
constexpr std::size_t MaxNameBytes = 100;

// What separates the team from the rest in the key of a record.
constexpr char KeySeparator = '/';
// What separates the host and the instance from the rest in the id of a transaction.
constexpr char TransactionSeparator = '~';
constexpr char NoSeparator = '\0'; // A control character, which no name contains.

// Whether the name is the same text in a header, a path and a key in which `separator` ends it.
bool isName(std::string_view name, char separator)
{
    constexpr unsigned char Delete = 0x7F;
    const auto isControl = [](char byte) {
        const auto code = static_cast<unsigned char>(byte);
        return code < ' ' || code == Delete;
    };
    return !name.empty() && name.size() <= MaxNameBytes && name.front() != ' ' && name.back() != ' '
        && name.find(separator) == std::string_view::npos
        && std::none_of(name.begin(), name.end(), isControl) && isUtf8(name);
}

std::string notANameText(char separator)
{
    std::string text = "is not a name: 1 to " + std::to_string(MaxNameBytes)
        + " bytes without control characters and without blanks at its ends";
    if (separator != NoSeparator)
        text += std::string(", and without \"") + separator + "\"";
    return text;
}

// Copies the member with that key to `*value`, which keeps its default if there is no such member.
// The object has been checked against the schema, so the member has the right type.
void read(const LocatedValue &object, std::string_view key, std::string *value)
{
    if (const LocatedValue *member = object.member(key))
        *value = std::get<std::string>(member->data);
}

void read(const LocatedValue &object, std::string_view key, int *value)
{
    if (const LocatedValue *member = object.member(key))
        *value = static_cast<int>(std::get<std::int64_t>(member->data));
}

void read(const LocatedValue &object, std::string_view key, bool *value)
{
    if (const LocatedValue *member = object.member(key))
        *value = std::get<bool>(member->data);
}

void read(const LocatedValue &object, std::string_view key, double *value)
{
    const LocatedValue *member = object.member(key);
    if (!member)
        return;
    if (const auto *integer = std::get_if<std::int64_t>(&member->data))
        *value = static_cast<double>(*integer);
    else
        *value = std::get<double>(member->data);
}

void read(const LocatedValue &object, std::string_view key, Millis *value)
{
    if (const LocatedValue *member = object.member(key))
        *value = Millis(std::get<std::int64_t>(member->data));
}

void read(const LocatedValue &object, std::string_view key, std::vector<std::string> *value)
{
    const LocatedValue *member = object.member(key);
    if (!member)
        return;
    for (const LocatedValue &item : std::get<LocatedValue::Array>(member->data))
        value->push_back(std::get<std::string>(item.data));
}

// The members of the map with that key; no members if the key is absent.
const LocatedValue::Object &members(const LocatedValue &object, std::string_view key)
{
    static const LocatedValue::Object none;
    const LocatedValue *member = object.member(key);
    return member ? std::get<LocatedValue::Object>(member->data) : none;
}

GroupSettings readGroup(const LocatedValue &value)
{
    GroupSettings group;
    read(value, "slots", &group.slots);
    read(value, "connections", &group.connections);
    for (const LocatedMember &member : members(value, "instances")) {
        InstanceSettings &instance = group.instances[member.key];
        read(member.value.front(), "address", &instance.address);
        read(member.value.front(), "dataCentre", &instance.dataCentre);
    }
    return group;
}

StatementSettings readStatement(const LocatedValue &value)
{
    StatementSettings statement;
    std::string kind;
    read(value, "kind", &kind);
    statement.kind = *StatementKindNames.value(kind);
    read(value, "class", &statement.priorityClass);
    read(value, "neverRepeat", &statement.neverRepeat);
    if (value.member("maxAgeMs")) {
        statement.maxAge = Millis();
        read(value, "maxAgeMs", &*statement.maxAge);
    }
    return statement;
}

ClassSettings readClass(const LocatedValue &value)
{
    ClassSettings settings;
    std::string priority(PriorityNames.name(settings.priority));
    read(value, "priority", &priority);
    settings.priority = *PriorityNames.value(priority);
    read(value, "weight", &settings.weight);
    read(value, "reservedSlots", &settings.reservedSlots);
    return settings;
}

TeamSettings readTeam(const LocatedValue &root)
{
    TeamSettings team;
    read(root, "team", &team.team);
    for (const LocatedMember &member : members(root, "groups"))
        team.groups[member.key] = readGroup(member.value.front());
    for (const LocatedMember &member : members(root, "statements"))
        team.statements[member.key] = readStatement(member.value.front());
    for (const LocatedMember &member : members(root, "classes"))
        team.classes[member.key] = readClass(member.value.front());
    team.classes.try_emplace(DefaultClass);
    for (const LocatedMember &member : members(root, "objectives")) {
        Objective &objective = team.objectives[member.key];
        read(member.value.front(), "latencyMs", &objective.latency);
        read(member.value.front(), "goodPercent", &objective.goodPercent);
    }
    if (const LocatedValue *limits = root.member("limits")) {
        read(*limits, "queueLength", &team.limits.queueLength);
        read(*limits, "agingMs", &team.limits.aging);
        read(*limits, "retryPercent", &team.limits.retryPercent);
    }
    if (const LocatedValue *timeouts = root.member("timeouts")) {
        read(*timeouts, "statementMs", &team.timeouts.statement);
        read(*timeouts, "attemptMs", &team.timeouts.attempt);
        read(*timeouts, "connectMs", &team.timeouts.connect);
        read(*timeouts, "transactionIdleMs", &team.timeouts.transactionIdle);
        read(*timeouts, "replicaWaitMs", &team.timeouts.replicaWait);
        read(*timeouts, "probeMs", &team.timeouts.probe);
        read(*timeouts, "ledgerRetentionMs", &team.timeouts.ledgerRetention);
    }
    read(root, "tokenKeys", &team.tokenKeys);
    return team;
}

// Checks what the schema cannot express: references between keys, and combinations of values.
class TeamChecker
{
public:
    TeamChecker(const LocatedValue &root, std::string file, Problems *problems)
        : m_root(root)
        , m_file(std::move(file))
        , m_problems(problems)
    {
    }

    void check(const TeamSettings &team)
    {
        checkName(m_root.member("team")->line, "team", team.team, KeySeparator);
        checkStatements(team);
        checkClasses(team);
        checkGroups(team);
        for (const LocatedMember &member : members(m_root, "objectives")) {
            if (!team.classes.contains(member.key))
                report(member.line, "objectives." + member.key,
                       "unknown class; expected one of `classes`");
        }
        if (team.tokenKeys.empty())
            report(m_root.member("tokenKeys")->line, "tokenKeys", "expected at least one key");
    }

private:
    void checkName(int line, const std::string &key, const std::string &name, char separator)
    {
        if (!isName(name, separator))
            report(line, key, notANameText(separator));
    }

    void checkStatements(const TeamSettings &team)
    {
        for (const LocatedMember &member : members(m_root, "statements")) {
            const StatementSettings &statement = team.statements.at(member.key);
            const std::string path = "statements." + member.key;
            const bool isRead = statement.kind == StatementKind::Read;
            if (!team.classes.contains(statement.priorityClass))
                report(member.line, path + ".class",
                       "unknown class \"" + statement.priorityClass
                           + "\"; expected one of `classes`");
            if (statement.maxAge && !isRead)
                report(member.line, path + ".maxAgeMs", "only reads may have a maximum age");
            if (statement.neverRepeat && isRead)
                report(member.line, path + ".neverRepeat", "only writes may set neverRepeat");
        }
    }

    void checkClasses(const TeamSettings &team)
    {
        for (const LocatedMember &member : members(m_root, "classes")) {
            const ClassSettings &settings = team.classes.at(member.key);
            if (settings.reservedSlots > 0 && settings.priority != Priority::Top)
                report(member.line, "classes." + member.key + ".reservedSlots",
                       "only top classes may reserve slots");
        }
    }

    void checkGroups(const TeamSettings &team)
    {
        std::set<std::string> addresses;
        std::set<std::string> names;
        int reserved = 0;
        for (const auto &entry : team.classes)
            reserved += entry.second.reservedSlots;
        for (const LocatedMember &member : members(m_root, "groups")) {
            const GroupSettings &group = team.groups.at(member.key);
            const std::string path = "groups." + member.key;
            checkName(member.line, path, member.key, NoSeparator);
            if (reserved >= group.slots)
                report(member.line, path + ".slots",
                       "the reserved slots of all classes leave no slot for other statements");
            for (const auto &instance : group.instances) {
                checkName(member.line, path + ".instances." + instance.first, instance.first,
                          TransactionSeparator);
                if (!addresses.insert(instance.second.address).second)
                    report(member.line, path + ".instances." + instance.first + ".address",
                           "the address belongs to another instance");
                if (!names.insert(instance.first).second)
                    report(member.line, path + ".instances." + instance.first,
                           "the name belongs to an instance of another group");
            }
        }
    }

    void report(int line, const std::string &key, const std::string &message)
    {
        m_problems->push_back({m_file, line, key, message});
    }

    const LocatedValue &m_root;
    std::string m_file;
    Problems *m_problems;
};

} // namespace

std::optional<TeamSettings> readTeamSettings(std::string_view text, const std::string &file,
                                             Problems *problems)
{
    const std::size_t problemsBefore = problems->size();
    const std::optional<LocatedValue> root = parseLocated(text, file, problems);
    if (!root)
        return std::nullopt;
    checkAgainst(teamRules(), *root, file, problems);
    if (problems->size() > problemsBefore)
        return std::nullopt;
    TeamSettings team = readTeam(*root);
    TeamChecker(*root, file, problems).check(team);
    if (problems->size() > problemsBefore)
        return std::nullopt;
    return team;
}

std::optional<HostSettings> readHostSettings(std::string_view text, const std::string &file,
                                             Problems *problems)
{
    const std::size_t problemsBefore = problems->size();
    const std::optional<LocatedValue> root = parseLocated(text, file, problems);
    if (!root)
        return std::nullopt;
    checkAgainst(hostRules(), *root, file, problems);
    if (problems->size() > problemsBefore)
        return std::nullopt;
    HostSettings host;
    read(*root, "host", &host.host);
    if (!isName(host.host, TransactionSeparator)) {
        problems->push_back(
            {file, root->member("host")->line, "host", notANameText(TransactionSeparator)});
        return std::nullopt;
    }
    read(*root, "dataCentre", &host.dataCentre);
    read(*root, "callers", &host.callerAddress);
    read(*root, "peers", &host.peerAddress);
    read(*root, "steward", &host.stewardAddress);
    read(*root, "platform", &host.platformAddress);
    read(*root, "seeds", &host.seeds);
    read(*root, "threads", &host.threads);
    read(*root, "logLevel", &host.logLevel);
    return host;
}

} // namespace cicadagap
