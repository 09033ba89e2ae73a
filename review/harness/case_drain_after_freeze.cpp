// A database is taken out of service: all its instances announce that they leave. One host, which
// follows the platform reader, is frozen for 3.5 s around the announcement. Checked is DRAIN: which
// requests of hosts in touch reach an instance later than drain_ms after the announcement.
//
//     case_drain_after_freeze PROGRAM FOLDER RECORD
#include "testbed.h"

#include "base/hash.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <iostream>
#include <set>

using namespace review;
using namespace cicadagap;

namespace {

constexpr int DrainMs = 7000;        // bounds.drain_ms of ashgrove-kilnlog.
constexpr int StableWindowMs = 4000; // bounds.stable_window_ms of ashgrove-kilnlog.
constexpr int FreezeMs = 3500;       // The largest node_freeze of ashgrove-kilnlog.
constexpr int EndMs = 8200;          // From the announcement until the instances exit.
constexpr int Writers = 3;           // Clients that write, on each host.
constexpr int Margin = 100;          // For the inaccuracy of this program's own instants.

// What the instances ran, and when the store was asked for the list of instances.
class Observer : public DeploymentObserver
{
public:
    explicit Observer(Record *record)
        : m_record(record)
    {
    }
    void onRead(const std::string &, const GroupInstance &instance, const InstanceConnection &,
                const Statement &statement) override
    {
        add(instance, statement);
    }
    void onWrite(const std::string &, const GroupInstance &instance, const InstanceConnection &,
                 const Statement &statement) override
    {
        add(instance, statement);
    }
    void onPromoted(const std::string &, const GroupInstance &newPrimary) override
    {
        m_record->line("promoted " + newPrimary.id);
    }
    void onPromotionRequest(const StoreServer::PromotionRequest &) override { }

    struct Run
    {
        std::int64_t at = 0;
        std::string instance;
        std::string request;
    };
    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void add(const GroupInstance &instance, const Statement &statement)
    {
        const std::int64_t at = nowMs();
        m_record->lineAt(at, "run " + statement.id + " at " + instance.id);
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({.at = at, .instance = instance.id, .request = statement.id});
    }

    Record *m_record;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

// Sends one statement after the other to a host until it is stopped, reads or writes.
void runClient(const HostSettings &host, const std::string &database, bool writes, int number,
               Record *record, std::atomic<int> *inDoubt, const std::atomic<bool> *stop)
{
    Client client;
    for (int i = 0; !*stop; ++i) {
        if (!client.isOpen() && !client.open(host.callers(), database, 2000)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            continue;
        }
        const std::string id
            = host.name + "." + std::to_string(number) + "." + std::to_string(i);
        const std::string text = (writes ? "WRITE k" : "READ k") + std::to_string(number)
            + (writes ? " v" + std::to_string(i) : "");
        record->line("send " + id + " " + text);
        client.sendStatement(id, text);
        const Answer answer = client.receive(2500);
        record->line("answer " + id + " " + (answer.succeeded ? "ok" : answer.error));
        if (writes && answer.error == "INDOUBT")
            ++*inDoubt;
        if (!answer.complete)
            client.close();
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return CouldNotRun;
    nowMs();
    const std::string folder = argv[2];
    Record record(argv[3]);
    Observer observer(&record);
    Deployment deployment({.dataCentres = 1,
                           .statementTime = Millis(15),
                           .heartbeat = Millis(1200),
                           .drainTime = Millis(DrainMs),
                           // No successors: the database is taken out of service.
                           .leavingDuration = Millis(100'000)},
                          &observer);
    std::string reason;
    if (!deployment.start(&reason)) {
        std::cerr << reason << '\n';
        return CouldNotRun;
    }
    std::atomic<std::int64_t> listReadAt = 0;
    const Endpoint store = deployment.run([&](StandinDeployment &standins) {
        standins.storeServer().setRowRewrite([&listReadAt](TableRow *row) {
            if (row->table == "servers")
                listReadAt = nowMs();
        });
        return standins.store();
    });

    std::vector<std::string> names{"front-1", "front-2", "front-3"};
    std::vector<HostSettings> settings;
    std::vector<std::unique_ptr<Host>> hosts;
    for (const std::string &name : names) {
        settings.push_back({.name = name, .store = store, .stableWindowMs = StableWindowMs});
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
    const std::string reader = rendezvousTop("reader/dc0", names, 1).front();
    const std::size_t frozen = names[0] == reader ? 1 : 0;
    record.line("platform reader " + reader + "; to be frozen " + names[frozen]);

    std::atomic<bool> stop = false;
    std::atomic<int> inDoubt = 0;
    std::vector<std::thread> clients;
    for (const HostSettings &host : settings) {
        for (int i = 0; i <= Writers; ++i)
            clients.emplace_back(runClient, host, "group0-strict", i > 0, i, &record, &inDoubt,
                                 &stop);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(7000));

    // The reader has just read the list of instances, and will again in 2 s.
    const std::int64_t before = listReadAt;
    const std::int64_t limit = nowMs() + 5000;
    while (listReadAt == before && nowMs() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    const std::int64_t listRead = listReadAt;
    record.lineAt(listRead, "the list of instances was read");
    // A change of the configuration answers the waiting requests for updates, so that the next ones
    // begin now and end 1.5 s later.
    sleepUntil(listRead + 750);
    deployment.run([](StandinDeployment &standins) { standins.changeConfiguration(); });
    record.line("configuration changed");
    sleepUntil(listRead + 1050);
    if (withTrouble())
        hosts[frozen]->signal(SIGSTOP);
    const std::int64_t frozenAt = nowMs();
    record.line((withTrouble() ? "froze " : "would freeze ") + names[frozen]);

    sleepUntil(listRead + 2450);
    deployment.run([](StandinDeployment &standins) {
        for (const std::string &id : standins.instances())
            standins.leave(id);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const std::int64_t acknowledgedAt = nowMs();
    record.line("the store has acknowledged that all instances are draining");

    sleepUntil(frozenAt + FreezeMs);
    if (withTrouble())
        hosts[frozen]->signal(SIGCONT);
    const std::int64_t thawedAt = nowMs();
    record.line((withTrouble() ? "woke " : "would wake ") + names[frozen]);

    // The instances exit, after drain_ms and a little longer.
    sleepUntil(acknowledgedAt + EndMs);
    const int inDoubtBefore = inDoubt;
    deployment.run([](StandinDeployment &standins) {
        for (const std::string &id : standins.instances())
            standins.crash(id);
    });
    record.line("the instances have exited");
    sleepUntil(acknowledgedAt + EndMs + 300);
    const int lost = inDoubt - inDoubtBefore;
    stop = true;
    for (std::thread &client : clients)
        client.join();
    for (const std::unique_ptr<Host> &host : hosts) {
        if (!host->running())
            return CouldNotRun;
    }

    int late = 0;
    int served = 0;
    for (const Observer::Run &run : observer.runs()) {
        served += run.at < acknowledgedAt ? 1 : 0;
        const bool ofFrozen = withTrouble() && run.request.starts_with(names[frozen] + ".");
        const std::int64_t inTouchFrom = ofFrozen ? thawedAt + StableWindowMs : 0;
        if (run.at <= acknowledgedAt + DrainMs + Margin || run.at <= inTouchFrom + Margin)
            continue;
        ++late;
        record.lineAt(run.at, "LATE: " + run.request + " reached " + run.instance + " "
                          + std::to_string(run.at - acknowledgedAt)
                          + " ms after the acknowledgement, sent on by a host in touch");
    }
    record.line(std::to_string(served) + " statements ran before the announcement, "
                + std::to_string(late) + " later than drain_ms after it; "
                + std::to_string(lost) + " writes were in doubt when the instances exited");
    std::cout << "DRAIN " << (late > 0 ? "broken: " : "held: ") << late << " late statements, " << lost
              << " writes in doubt at the end\n";
    if (served < 100)
        return CouldNotRun;
    return late > 0 ? Broken : Held;
}
