// A host gets SIGTERM while clients with long statements go on using their open sessions. Checked is
// LOST around planned work: requests that the host has read and whose connections end without a
// complete answer.
//
//     case_stop_under_load PROGRAM FOLDER RECORD
#include "testbed.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <iostream>

using namespace review;
using namespace cicadagap;

namespace {

constexpr int GraceSeconds = 6;     // bounds.grace_period_s
constexpr int LossSlackMs = 200;    // bounds.loss_slack_ms
constexpr int OldRequestMs = 3000;  // Requests sent no later than this after SIGTERM are not counted.
constexpr int Readers = 36;
constexpr int Writers = 6;
constexpr int RoundTripMs = 2;      // Between the clients and the hosts: 1 ms one way (cemv-pool).
constexpr Millis StatementTime(220); // The longest work of cert-lookup (cemv-pool).

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
        m_record->line("run " + statement.id + " at " + instance.id);
    }
    void onWrite(const std::string &, const GroupInstance &instance, const InstanceConnection &,
                 const Statement &statement) override
    {
        m_record->line("run " + statement.id + " at " + instance.id);
    }
    void onPromoted(const std::string &, const GroupInstance &) override { }
    void onPromotionRequest(const StoreServer::PromotionRequest &) override { }

private:
    Record *m_record;
};

// A request without a complete answer.
struct Lost
{
    std::string id;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    std::string why;
};

struct Results
{
    std::mutex mutex;
    std::vector<Lost> lost;
    int answered = 0;
    int refused = 0;
};

// One session: sends the next statement when the answer to the last one has arrived, until the host
// closes the session or the client is stopped.
void runClient(const HostSettings &host, const std::string &database, bool writes, int number,
               Record *record, Results *results, const std::atomic<bool> *stop)
{
    Client client;
    if (!client.open(host.callers(), database, 2000))
        return;
    for (int i = 0; !*stop; ++i) {
        const std::string id = (writes ? "w" : "r") + std::to_string(number) + "."
            + std::to_string(i);
        const std::string text = (writes ? "WRITE k" : "READ k") + std::to_string(number)
            + (writes ? " v" + std::to_string(i) : "");
        const std::int64_t sentAt = nowMs();
        record->lineAt(sentAt, "send " + id + " " + text);
        if (!client.sendStatement(id, text))
            return;
        const Answer answer = client.receive(5000);
        const std::int64_t endedAt = nowMs();
        record->lineAt(endedAt, "answer " + id + " " + (answer.succeeded ? "ok" : answer.error));
        {
            const std::lock_guard lock(results->mutex);
            results->answered += answer.succeeded ? 1 : 0;
            results->refused += answer.complete && !answer.succeeded ? 1 : 0;
            if (!answer.complete)
                results->lost.push_back(
                    {.id = id, .sentAt = sentAt, .endedAt = endedAt, .why = answer.error});
        }
        if (!answer.complete)
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(RoundTripMs));
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
                           .slots = 3,
                           .connections = 22,
                           .statementTime = StatementTime,
                           .heartbeat = Millis(1200)},
                          &observer);
    std::string reason;
    if (!deployment.start(&reason)) {
        std::cerr << reason << '\n';
        return CouldNotRun;
    }
    const Endpoint store
        = deployment.run([](StandinDeployment &standins) { return standins.store(); });
    std::vector<HostSettings> settings;
    std::vector<std::unique_ptr<Host>> hosts;
    for (const std::string name : {"front-1", "front-2"}) {
        settings.push_back({.name = name, .store = store, .graceSeconds = GraceSeconds, .stableWindowMs = 5000});
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
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));

    Results results;
    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < Readers + Writers; ++i) {
        const bool writes = i >= Readers;
        clients.emplace_back(runClient, settings[0],
                             writes ? "group0-strict" : "group0-aged", writes, i, &record, &results,
                             &stop);
        std::this_thread::sleep_for(std::chrono::milliseconds(17));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    const std::int64_t terminatedAt = nowMs();
    record.line(withTrouble() ? "SIGTERM to front-1" : "no SIGTERM");
    if (withTrouble()) {
        hosts[0]->signal(SIGTERM);
        while (hosts[0]->running() && nowMs() < terminatedAt + GraceSeconds * 1000)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        record.line(hosts[0]->running() ? "front-1 still runs: SIGKILL" : "front-1 has ended");
        hosts[0]->signal(SIGKILL);
    } else {
        sleepUntil(terminatedAt + GraceSeconds * 1000);
    }
    stop = true;
    for (std::thread &client : clients)
        client.join();

    int counted = 0;
    int writes = 0;
    for (const Lost &lost : results.lost) {
        const std::int64_t after = lost.sentAt - terminatedAt;
        const bool counts = after > OldRequestMs && lost.endedAt - lost.sentAt > LossSlackMs;
        record.lineAt(lost.endedAt,
                      (counts ? "LOST: " : "without an answer, not counted: ") + lost.id + " sent "
                          + std::to_string(after) + " ms after SIGTERM, " + lost.why + " after "
                          + std::to_string(lost.endedAt - lost.sentAt) + " ms");
        counted += counts ? 1 : 0;
        writes += counts && lost.id.starts_with("w") ? 1 : 0;
    }
    const std::string summary = std::to_string(counted) + " requests lost, of these "
        + std::to_string(writes) + " writes; " + std::to_string(results.answered) + " answered, "
        + std::to_string(results.refused) + " refused";
    record.line(summary);
    std::cout << "LOST " << (counted > 0 ? "broken: " : "held: ") << summary << '\n';
    if (results.answered < 100)
        return CouldNotRun;
    return counted > 0 ? Broken : Held;
}
