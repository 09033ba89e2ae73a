#include "commands.h"

#include "explain.h"

#include "burnreport.h"
#include "connection/blockinghttpclient.h"
#include "connection/wire.h"
#include "version/schema.h"
#include "version/settingschange.h"
#include "version/settingsfeed.h"
#include "version/settingsfile.h"
#include "version/settingsreader.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <fstream>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr Millis PlatformTimeout(3000);
constexpr Millis WaitPollInterval(200);

void printProblems(const Problems &problems)
{
    for (const Problem &problem : problems)
        std::cerr << problem.text() << '\n';
}

// The result of an asynchronous call, for a caller that blocks until it is set.
template <typename Result> class AsyncResult
{
public:
    void set(Result result) { m_promise->set_value(std::move(result)); }
    Result wait() { return m_promise->get_future().get(); }

private:
    std::shared_ptr<std::promise<Result>> m_promise = std::make_shared<std::promise<Result>>();
};

std::optional<TableRow> readRow(TableStore *store, const std::string &key)
{
    AsyncResult<std::optional<TableRow>> result;
    store->row(key, PlatformTimeout,
               [result](const std::optional<TableRow> &row) mutable { result.set(row); });
    return result.wait();
}

std::string newChangeId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch().count();
    const auto address = reinterpret_cast<std::uintptr_t>(&now);
    return "change-" + std::to_string(now) + "-" + std::to_string(address % 1'000'000);
}

ChangeAction readRows(TableStore *store, SettingsChange *change)
{
    const auto team = readRow(store, SettingsPrefix + change->options().team);
    const auto head = team ? readRow(store, SettingsHeadKey) : std::nullopt;
    if (!head)
        return change->onRows(std::nullopt, 0, 0);
    std::uint64_t number = 0;
    std::from_chars(head->value.data(), head->value.data() + head->value.size(), number);
    // If the table was restored between the two reads, the transaction is refused.
    return change->onRows(team->version, head->version, number, team->tableEpoch);
}

ChangeAction transact(TableStore *store, SettingsChange *change)
{
    const std::uint64_t next = change->head() + 1;
    const SettingsLogEntry entry{change->options().team, change->options().change};
    TableTransaction transaction{.epoch = change->epoch()};
    transaction.checks = {{SettingsPrefix + change->options().team, change->teamVersion()},
                          {SettingsHeadKey, change->headVersion()},
                          {settingsLogKey(next), 0}};
    transaction.writes = {{SettingsPrefix + change->options().team, change->options().body},
                          {SettingsHeadKey, std::to_string(next)},
                          {settingsLogKey(next), encodeLogEntry(entry)}};
    AsyncResult<TableTransactionResult> result;
    store->transact(transaction, PlatformTimeout,
                    [result](TableTransactionResult outcome) mutable { result.set(outcome); });
    return change->onTransacted(result.wait().verdict);
}

ChangeAction readLogEntry(TableStore *store, SettingsChange *change, const std::string &key)
{
    const auto row = readRow(store, key);
    if (!row)
        return change->onLogEntry(std::nullopt);
    const auto entry = decodeLogEntry(row->value);
    return change->onLogEntry(entry ? entry->change : std::string());
}

std::vector<Endpoint> aliveCallerEndpoints(const json::object &status)
{
    std::vector<Endpoint> endpoints;
    const json::value *hosts = status.if_contains("hosts");
    if (!hosts || !hosts->is_object())
        return endpoints;
    for (const auto &host : hosts->get_object()) {
        if (!host.value().is_object())
            continue;
        const json::object &info = host.value().get_object();
        const auto endpoint = parseEndpoint(textMember(info, "callers"), nullptr);
        if (endpoint && textMember(info, "state") == HostStateNames.name(HostState::Alive))
            endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::optional<json::object> fetchStatus(BlockingHttpClient *client, const Endpoint &entry)
{
    Reason reason;
    const auto response = client->call(entry, {.target = "/v1/status"}, &reason);
    if (!response) {
        std::cerr << entry.text() << ": " << reason.text() << '\n';
        return std::nullopt;
    }
    return parseObject(response->body, &reason);
}

// Returns the version of the team's settings according to a host's status page, or 0 if the host
// does not know the team.
std::uint64_t settingsVersionIn(const std::optional<HttpResponse> &response,
                                const std::string &team)
{
    const auto status = response ? parseObject(response->body, nullptr) : std::nullopt;
    const json::value *teams = status ? status->if_contains("teams") : nullptr;
    const json::value *entry
        = teams && teams->is_object() ? teams->get_object().if_contains(team) : nullptr;
    if (!entry || !entry->is_object())
        return 0;
    return static_cast<std::uint64_t>(numberMember(entry->get_object(), "version"));
}

} // namespace

int checkFile(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text)
        return ExitFailed;
    Problems problems;
    const auto settings = readTeamSettings(*text, file, &problems);
    printProblems(problems);
    if (!settings) {
        std::cerr << problems.size() << " problem(s) found\n";
        return ExitUsage;
    }
    std::cout << file << ": team " << settings->team << ", " << settings->groups.size()
              << " group(s), " << settings->statements.size() << " statement(s): no problems\n";
    return ExitDone;
}

int applyFile(const ApplyOptions &options)
{
    const auto text = readTextFile(options.file);
    if (!text)
        return ExitFailed;
    Problems problems;
    const auto settings = readTeamSettings(*text, options.file, &problems);
    printProblems(problems);
    if (!settings) {
        std::cerr << problems.size() << " problem(s); nothing was changed\n";
        return ExitUsage;
    }
    BlockingHttpClient client;
    const auto store = HttpTableStore::create(client.loop(), options.platform);
    SettingsChange change({.team = settings->team,
                           .body = *text,
                           .change = newChangeId(),
                           .expected = options.expected});
    ChangeAction action = change.start();
    while (true) {
        switch (action.step) {
        case ChangeStep::ReadRows:
            action = readRows(store.get(), &change);
            break;
        case ChangeStep::Transact:
            action = transact(store.get(), &change);
            break;
        case ChangeStep::ReadLogEntry:
            action = readLogEntry(store.get(), &change, action.key);
            break;
        case ChangeStep::Done:
            std::cout << "team " << settings->team << " is at version " << action.version
                      << "; `cicadagap wait --team " << settings->team << " --version "
                      << action.version << "` waits until it is in force\n";
            return ExitDone;
        case ChangeStep::Refused:
            std::cerr << "refused: team " << settings->team << " is at version " << action.version
                      << ", or the platform does not answer; nothing was changed\n";
            return ExitRefused;
        case ChangeStep::Unknown:
            std::cerr << "unknown: the platform did not confirm whether the change was applied; "
                         "check with `cicadagap show` before you apply again\n";
            return ExitUnknown;
        }
    }
}

int waitForVersion(const WaitOptions &options)
{
    BlockingHttpClient client;
    const SteadyClock clock;
    const Millis deadline = clock.now() + options.timeout;
    while (true) {
        const auto status = fetchStatus(&client, options.entry);
        if (!status)
            return ExitFailed;
        const std::vector<Endpoint> hosts = aliveCallerEndpoints(*status);
        const auto pages = client.callAll(hosts, {.target = "/v1/status"});
        std::vector<std::string> behind;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (settingsVersionIn(pages[i], options.team) < options.version)
                behind.push_back(hosts[i].text());
        }
        if (behind.empty() && !hosts.empty()) {
            std::cout << "version " << options.version << " of team " << options.team
                      << " is in force on all " << hosts.size() << " live hosts\n";
            return ExitDone;
        }
        if (clock.now() >= deadline) {
            std::cerr << "not in force yet on " << behind.size() << " of " << hosts.size()
                      << " hosts:\n";
            for (const std::string &host : behind)
                std::cerr << "  " << host << '\n';
            return ExitFailed;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(WaitPollInterval.count()));
    }
}

int showSettings(const Endpoint &platform, const std::string &team)
{
    BlockingHttpClient client;
    const auto store = HttpTableStore::create(client.loop(), platform);
    const auto row = readRow(store.get(), SettingsPrefix + team);
    if (!row) {
        std::cerr << "the platform does not answer\n";
        return ExitFailed;
    }
    if (row->version == 0) {
        std::cerr << "team " << team << " has no settings\n";
        return ExitRefused;
    }
    std::cout << "// team " << team << ", version " << row->version << '\n' << row->value;
    return ExitDone;
}

int showStatus(const Endpoint &entry)
{
    BlockingHttpClient client;
    Reason reason;
    const auto response = client.call(entry, {.target = "/v1/status"}, &reason);
    if (!response) {
        std::cerr << entry.text() << ": " << reason.text() << '\n';
        return ExitFailed;
    }
    std::cout << response->body << '\n';
    return ExitDone;
}

int showOutcome(const OutcomeOptions &options)
{
    BlockingHttpClient client;
    Reason reason;
    HttpRequest request{.method = "POST"};
    request.target = "/v1/teams/" + options.team + "/groups/" + options.group + "/outcome";
    request.body = json::serialize(json::object{{"requestId", options.requestId}});
    const auto response = client.call(options.entry, request, &reason);
    if (!response) {
        std::cerr << options.entry.text() << ": " << reason.text() << '\n';
        return ExitFailed;
    }
    std::cout << response->body << '\n';
    const auto body = parseObject(response->body, nullptr);
    const auto verdict = body ? VerdictNames.value(textMember(*body, "verdict")) : std::nullopt;
    if (verdict == Verdict::Ran)
        return ExitDone;
    return verdict == Verdict::NotRun ? ExitRefused : ExitUnknown;
}

int showBurn(const BurnOptions &options)
{
    BlockingHttpClient client;
    const auto status = fetchStatus(&client, options.entry);
    if (!status)
        return ExitFailed;
    std::vector<BurnRow> rows;
    for (const auto &page : client.callAll(aliveCallerEndpoints(*status), {.target = "/v1/burn"})) {
        if (page && !addBurnPage(page->body, &rows))
            std::cerr << "a host sent a malformed burn page; its counts are incomplete\n";
    }
    std::cout << (options.json ? burnJson(rows) : burnTable(rows));
    if (options.svg.empty())
        return ExitDone;
    std::ofstream file(options.svg);
    file << burnSvg(rows);
    if (!file) {
        std::cerr << options.svg << ": cannot write the file\n";
        return ExitFailed;
    }
    return ExitDone;
}

int registerHosts(const Endpoint &platform, const std::vector<std::string> &files)
{
    json::array hosts;
    for (const std::string &file : files) {
        const auto settings = loadHostSettings(file);
        if (!settings)
            return ExitUsage;
        hosts.push_back(json::object{{"name", settings->host},
                                     {"dataCentre", settings->dataCentre},
                                     {"callers", settings->callerAddress},
                                     {"peers", settings->peerAddress},
                                     {"steward", settings->stewardAddress}});
    }
    BlockingHttpClient client;
    Reason reason;
    const std::string body = json::serialize(json::object{{"hosts", std::move(hosts)}});
    const auto response
        = client.call(platform, {.method = "POST", .target = "/hosts", .body = body}, &reason);
    if (!response || response->status != 200) {
        std::cerr << "the platform did not accept the host list: " << reason.text() << '\n';
        return ExitFailed;
    }
    std::cout << files.size() << " host(s) registered\n";
    return ExitDone;
}

int explain(const std::string &requestId, const std::vector<std::string> &files)
{
    std::vector<std::unique_ptr<std::ifstream>> openFiles;
    std::vector<std::istream *> logs;
    for (const std::string &name : files) {
        if (name == "-") {
            logs.push_back(&std::cin);
            continue;
        }
        openFiles.push_back(std::make_unique<std::ifstream>(name));
        if (!*openFiles.back()) {
            std::cerr << "cannot read " << name << '\n';
            return ExitUsage;
        }
        logs.push_back(openFiles.back().get());
    }
    if (explainRequest({.requestId = requestId}, logs, &std::cout))
        return ExitDone;
    std::cerr << "no log line belongs to request " << requestId << '\n';
    return ExitFailed;
}

int printReference()
{
    std::cout << "### Team settings\n\n"
              << markdownReference(teamRules()) << "\n### Host settings\n\n"
              << markdownReference(hostRules());
    return ExitDone;
}

} // namespace cicadagap
