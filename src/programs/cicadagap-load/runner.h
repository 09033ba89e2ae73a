// Plays a workload against a running system and remembers what callers were told.
#pragma once

#include "base/hash.h"
#include "base/mutex.h"
#include "connection/http.h"
#include "process/eventloop.h"
#include "workload.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadagap {

// One answer as a caller saw it.
struct Observation
{
    std::size_t operation = 0; // Index into the workload's operations.
    std::size_t group = 0;     // Index into the workload's groups.
    Millis startedAt;          // Since the start of the run.
    Millis took;
    Verdict verdict = Verdict::MayHaveRun;
    bool replica = false;
    bool stale = false; // A read that missed an acknowledged write of its session.
};

// A write with the last word on it.
struct WrittenValue
{
    std::string group;
    std::string key;
    std::string value;
    Verdict verdict = Verdict::MayHaveRun;
};

class Runner : public std::enable_shared_from_this<Runner>
{
public:
    struct Options
    {
        Workload workload;
        std::vector<Endpoint> entries;
        int sessions = 20;
        Millis duration = Millis(10'000);
        Millis ramp = Millis(0);     // Sessions start evenly over this time.
        std::optional<Millis> think; // Instead of the workload's.
        int retries = 200;           // Of the outcome of an unsettled write.
        std::uint64_t seed = 1;
    };

    Runner(EventLoop *loop, Options options);

    // Starts all sessions; `done` runs when the last has finished.
    void start(std::function<void()> done);

    // After `done` only.
    std::vector<Observation> takeObservations();
    std::vector<WrittenValue> takeWritten();
    // Calls whose connection was closed or reset before the whole answer.
    int cutAnswers() const { return m_cut; }

private:
    struct Session
    {
        std::string key;
        std::size_t group = 0;
        Random random{1};
        std::string token;
        std::set<std::string> acknowledged;
        std::map<Endpoint, std::shared_ptr<HttpConnection>> connections;
    };
    using SessionPtr = std::shared_ptr<Session>;
    using Answered = std::function<void(const std::optional<HttpResponse> &)>;

    void next(const SessionPtr &session);
    void operate(const SessionPtr &session);
    void send(const SessionPtr &session, const std::string &verb, const std::string &body,
              const Answered &answered);
    void callOn(const SessionPtr &session, const Endpoint &entry,
                const std::shared_ptr<HttpConnection> &connection, const HttpRequest &request,
                const Answered &answered);
    void onAnswer(const SessionPtr &session, std::size_t operation, const std::string &value,
                  Millis startedAt, const std::optional<HttpResponse> &response);
    void settle(const SessionPtr &session, const std::string &value, int attempt);
    void finishWrite(const SessionPtr &session, const std::string &value, Verdict verdict);
    bool missesOwnWrites(const Session &session, const std::string &results) const;
    std::size_t pickOperation(Session *session) const;

    EventLoop *m_loop;
    Options m_options;
    SteadyClock m_clock;
    Millis m_startedAt;
    std::function<void()> m_done;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_cut = 0;
    std::atomic<std::uint64_t> m_lastValue = 0;
    Mutex m_mutex;
    std::vector<Observation> m_observations CICADAGAP_GUARDED_BY(m_mutex);
    std::vector<WrittenValue> m_written CICADAGAP_GUARDED_BY(m_mutex);
};

} // namespace cicadagap
