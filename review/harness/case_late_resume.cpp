// One of two hosts is cut off from a group's primary twice, some seconds apart. It replaces the primary
// each time. After the first change an instance leaves one RESUME unanswered and carries it out seconds
// later, when it is paused again for the second change. Checked is LOST: acknowledged writes that are
// not in the log of the instance that is promoted.
//
//     case_late_resume PROGRAM FOLDER RECORD
#include "testbed.h"

#include "base64.h"
#include "connection/http.h"
#include "faultproxy.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <set>

using namespace review;
using namespace cicadagap;
namespace json = boost::json;

namespace {

constexpr int LateMs = 6000;      // The late RESUME: 2 to 12 s are allowed.
constexpr int CutMs = 4000;       // Each cut of one host of two from the primary; 7 s are allowed.
constexpr int CutLeadMs = 1350;   // From the second cut to the late RESUME.
constexpr int Clients = 4;
constexpr Millis PromotionTime(1000); // promote_ms of ashgrove-kilnlog.

class Observer : public DeploymentObserver
{
public:
    explicit Observer(Record *record)
        : m_record(record)
    {
    }
    void onRead(const std::string &, const GroupInstance &, const InstanceConnection &,
                const Statement &) override
    {
    }
    void onWrite(const std::string &, const GroupInstance &instance, const InstanceConnection &,
                 const Statement &statement) override
    {
        m_record->line("run " + statement.id + " at " + instance.id);
    }
    void onPromoted(const std::string &, const GroupInstance &newPrimary) override
    {
        const std::lock_guard lock(mutex);
        Promotion promotion{.at = nowMs(), .instance = newPrimary.id};
        for (const GroupLogEntry &entry : newPrimary.log)
            promotion.log.insert(entry.statementId);
        m_record->lineAt(promotion.at, "promoted " + newPrimary.id + ", log of "
                             + std::to_string(newPrimary.log.size()) + " entries");
        promotions.push_back(std::move(promotion));
        if (onFirst && promotions.size() == 1)
            onFirst();
    }
    void onPromotionRequest(const StoreServer::PromotionRequest &promotion) override
    {
        m_record->line("POST /promotion " + promotion.instance + " by " + promotion.holder
                       + ", fencing token " + std::to_string(promotion.fencingToken));
    }

    struct Promotion
    {
        std::int64_t at = 0;
        std::string instance;
        std::set<std::string> log;
    };
    std::mutex mutex;
    std::vector<Promotion> promotions;
    std::function<void()> onFirst; // Runs on the stand-ins' thread.

private:
    Record *m_record;
};

struct Acknowledged
{
    std::mutex mutex;
    std::vector<std::pair<std::int64_t, std::string>> writes;
};

void runClient(const HostSettings &host, int number, Record *record, Acknowledged *acknowledged,
               const std::atomic<bool> *stop)
{
    Client client;
    for (int i = 0; !*stop; ++i) {
        if (!client.isOpen() && !client.open(host.callers(), "group0-strict", 2000)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        const std::string id = "w" + std::to_string(number) + "." + std::to_string(i);
        record->line("send " + id);
        client.sendStatement(id, "WRITE k" + std::to_string(number) + " v" + std::to_string(i));
        const Answer answer = client.receive(2500);
        const std::int64_t at = nowMs();
        record->lineAt(at, "answer " + id + " " + (answer.succeeded ? "ok" : answer.error));
        if (answer.succeeded) {
            const std::lock_guard lock(acknowledged->mutex);
            acknowledged->writes.emplace_back(at, id);
        }
        if (!answer.complete)
            client.close();
        std::this_thread::sleep_for(std::chrono::milliseconds(90));
    }
}

// Passes a host's calls on to the store. In the list of instances it names other endpoints for the
// instances: those of the links to this host.
class StoreLink
{
public:
    StoreLink(EventLoop *loop, Endpoint store, std::map<std::string, Endpoint> links)
        : m_loop(loop)
        , m_store(std::move(store))
        , m_links(std::move(links))
    {
        Reason reason;
        m_server = HttpServer::listen(
            loop, {.address = m_store.address, .port = 0},
            [this](const HttpRequest &request, const Respond &respond) { pass(request, respond); },
            &reason);
    }
    Endpoint endpoint() const { return m_server->endpoint(); }

private:
    void pass(const HttpRequest &request, const Respond &respond)
    {
        HttpRequest copy = request;
        for (const char *name : {"host", "content-length", "connection"})
            copy.headers.erase(name);
        const bool list = request.target.starts_with("/rows-get?table=servers");
        callOnce(m_loop, m_store, copy, Millis(5000),
                 [this, list, respond](std::optional<HttpResponse> response, const CallFailure &) {
                     if (!response) {
                         respond({.status = 503});
                         return;
                     }
                     for (const char *name : {"content-length", "connection"})
                         response->headers.erase(name);
                     if (list && response->status == 200)
                         response->body = rewritten(response->body);
                     respond(std::move(*response));
                 });
    }
    std::string rewritten(const std::string &body) const
    {
        json::value value = json::parse(body);
        for (json::value &item : value.as_object()["rows"].as_array()) {
            json::object &row = item.as_object();
            const auto link = m_links.find(std::string(row["key"].as_string()));
            if (link == m_links.end())
                continue;
            const json::string &text = row["value"].as_string();
            json::value entry = json::parse(decodeBase64({text.data(), text.size()}));
            entry.as_object()["address"] = link->second.text();
            row["value"] = encodeBase64(json::serialize(entry));
        }
        return json::serialize(value);
    }

    EventLoop *m_loop;
    Endpoint m_store;
    std::map<std::string, Endpoint> m_links;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return CouldNotRun;
    nowMs();
    const std::string folder = argv[2];
    Record record(argv[3]);
    Observer observer(&record);
    // LATE=0 plays the cuts alone, to show what they need.
    const char *late = std::getenv("LATE");
    const bool withLate = withTrouble() && !(late && std::string(late) == "0");
    Deployment deployment({.dataCentres = 2,
                           .slots = 5,
                           .connections = 55,
                           .statementTime = Millis(5),
                           .heartbeat = Millis(1200),
                           .promotionTime = PromotionTime},
                          &observer);
    std::string reason;
    if (!deployment.start(&reason)) {
        std::cerr << reason << '\n';
        return CouldNotRun;
    }
    std::map<std::string, std::unique_ptr<FaultProxy>> links;
    std::unique_ptr<StoreLink> storeLink;
    std::atomic<std::int64_t> lateAt = 0;
    const Endpoint store = deployment.runWithLoop([&](StandinDeployment &standins, EventLoop *loop) {
        std::map<std::string, Endpoint> endpoints;
        for (const std::string &id : standins.instances()) {
            links[id] = std::make_unique<FaultProxy>(loop, standins.server(id).endpoint());
            Reason why;
            links[id]->start(&why);
            endpoints[id] = links[id]->endpoint();
        }
        storeLink = std::make_unique<StoreLink>(loop, standins.store(), endpoints);
        observer.onFirst = [&, loop] {
            if (!withLate)
                return;
            // The next commands to group0-2 stay unanswered and are carried out late.
            standins.server("group0-2").faults().commandDelay = Millis(LateMs);
            lateAt = nowMs() + LateMs;
            record.line("commands to group0-2 stay unanswered and are carried out 6 s late from now");
            loop->after(Millis(400), [&] {
                standins.server("group0-2").faults().commandDelay = Millis(0);
                record.line("commands to group0-2 are carried out at once again");
            });
        };
        return standins.store();
    });

    std::vector<HostSettings> settings;
    std::vector<std::unique_ptr<Host>> hosts;
    for (const std::string name : {"front-1", "front-2"}) {
        // In different data centres, so that each reads the store itself.
        const bool first = name == "front-1";
        settings.push_back({.name = name,
                            .zone = first ? "dc0" : "dc1",
                            .store = first ? storeLink->endpoint() : store});
        const std::string path = writeSettings(&settings.back(), folder);
        const int log = ::open((folder + "/" + name + ".log").c_str(),
                               O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        hosts.push_back(std::make_unique<Host>(argv[1], path, log));
        if (!hosts.back()->start())
            return CouldNotRun;
    }
    for (const HostSettings &host : settings) {
        if (!waitUntilReady(host.ready(), 10'000))
            return CouldNotRun;
    }
    Acknowledged acknowledged;
    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back(runClient, settings[1], i, &record, &acknowledged, &stop);
        std::this_thread::sleep_for(std::chrono::milliseconds(23));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(6000));

    const auto cut = [&](bool on) {
        return deployment.run([&, on](StandinDeployment &standins) {
            const std::string primary = standins.primary("group0");
            for (auto &[id, link] : links)
                link->faults().pauseToServer = link->faults().pauseToClient
                    = on && id == primary;
            record.line(on ? "front-1 is cut off from " + primary : "the cut is over");
            return primary;
        });
    };
    if (withTrouble()) {
        cut(true);
        sleepUntil(nowMs() + CutMs);
        cut(false);
        sleepUntil(lateAt > 0 ? lateAt - CutLeadMs : nowMs() + 2500);
        cut(true);
        sleepUntil(nowMs() + CutMs);
        cut(false);
    } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(12'000));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    stop = true;
    for (std::thread &client : clients)
        client.join();
    for (const std::unique_ptr<Host> &host : hosts) {
        if (!host->running())
            return CouldNotRun;
    }

    int lost = 0;
    const std::lock_guard lock(observer.mutex);
    for (const Observer::Promotion &promotion : observer.promotions) {
        for (const auto &[at, id] : acknowledged.writes) {
            if (at >= promotion.at || promotion.log.contains(id))
                continue;
            ++lost;
            record.lineAt(at, "LOST: " + id + " was acknowledged "
                              + std::to_string(promotion.at - at) + " ms before " + promotion.instance
                              + " was promoted, which lacks it");
        }
    }
    const std::string summary = std::to_string(lost) + " acknowledged writes lost, of "
        + std::to_string(acknowledged.writes.size()) + "; "
        + std::to_string(observer.promotions.size()) + " promotions";
    record.line(summary);
    std::cout << "LOST " << (lost > 0 ? "broken: " : "held: ") << summary << '\n';
    const bool ran = acknowledged.writes.size() >= 100
        && (!withTrouble() || observer.promotions.size() >= 2);
    hosts.clear();
    // The stand-ins' thread still runs, so nothing that it uses is destroyed.
    std::cout.flush();
    std::_Exit(!ran ? CouldNotRun : lost > 0 ? Broken : Held);
}
