// Runs a workload against a running system and records the answers that callers get.
//
// Each session is a closed loop: it waits for the answer to its request, pauses for its think time
// and sends the next one. Each request goes to any of the hosts.
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

// One answer, as seen by the caller.
struct Observation
{
    std::size_t operation = 0; // An index into the workload's operations.
    std::size_t group = 0;     // An index into the workload's groups.
    Millis startedAt;          // Since the start of the run.
    Millis latency;
    Verdict verdict = Verdict::MayHaveRun;
    bool replica = false;
    bool stale = false; // A read that did not see an acknowledged write of its session.
};

// A write and its final verdict.
struct WriteRecord
{
    std::string group;
    std::string key;
    std::string value;
    Verdict verdict = Verdict::MayHaveRun;
};

// Runs all sessions on the threads of an event loop, which must outlive it.
class WorkloadRunner : public std::enable_shared_from_this<WorkloadRunner>
{
public:
    struct Options
    {
        Workload workload;
        std::vector<Endpoint> entries;
        int sessions = 20;
        Millis duration = Millis(10'000);
        Millis ramp = Millis(0);         // The sessions start evenly distributed over this time.
        std::optional<Millis> thinkTime; // Replaces the workload's.
        int maxOutcomeQueries = 200;     // For one write that may have run.
        std::uint64_t seed = 1;
    };

    WorkloadRunner(EventLoop *loop, Options options);

    // Starts all sessions. Calls `done` when the last one has ended.
    void start(std::function<void()> done);

    // These three may be called after `done` only. The first two hand over the results.
    std::vector<Observation> takeObservations();
    std::vector<WriteRecord> takeWrites();
    // The number of calls that were sent but whose connection failed before the whole answer.
    int cutAnswers() const { return m_cutAnswers; }

private:
    struct Session
    {
        std::string key; // Of the row that it writes and reads.
        std::size_t group = 0;
        Random random{1};
        std::string token;                  // The session token of the last answer.
        std::set<std::string> acknowledged; // The values of acknowledged writes.
        std::map<Endpoint, std::shared_ptr<HttpConnection>> connections;
    };
    using SessionPtr = std::shared_ptr<Session>;
    using AnswerHandler = std::function<void(const std::optional<HttpResponse> &)>;

    // Sends the next request after the think time, or ends the session if the time of the run is
    // over.
    void scheduleNext(const SessionPtr &session);
    void sendOperation(const SessionPtr &session);
    void send(const SessionPtr &session, const std::string &verb, const std::string &body,
              const AnswerHandler &onAnswered);
    void callOn(const SessionPtr &session, const Endpoint &entry,
                const std::shared_ptr<HttpConnection> &connection, const HttpRequest &request,
                const AnswerHandler &onAnswered);
    void onAnswer(const SessionPtr &session, std::size_t operation, const std::string &value,
                  Millis startedAt, const std::optional<HttpResponse> &response);
    // Queries the outcome of a write that may have run until it is definite.
    void resolveOutcome(const SessionPtr &session, const std::string &value, int attempt);
    void finishWrite(const SessionPtr &session, const std::string &value, Verdict verdict);
    // Whether `results` lack a value that was acknowledged to the session.
    bool missesOwnWrites(const Session &session, const std::string &results) const;
    std::size_t pickOperation(Session *session) const;

    EventLoop *m_loop;
    Options m_options;
    SteadyClock m_clock;
    Millis m_startedAt;
    std::function<void()> m_done;
    std::atomic<int> m_runningSessions = 0;
    std::atomic<int> m_cutAnswers = 0;
    std::atomic<std::uint64_t> m_lastValue = 0;
    Mutex m_mutex;
    std::vector<Observation> m_observations CICADAGAP_GUARDED_BY(m_mutex);
    std::vector<WriteRecord> m_writes CICADAGAP_GUARDED_BY(m_mutex);
};

} // namespace cicadagap
