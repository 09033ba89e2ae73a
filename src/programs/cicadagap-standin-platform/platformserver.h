// The stand-in for the platform: its table service, object store and host list in one process,
// which injects faults on request.
//
//     GET  /table/row?key=K
//         Returns {"key", "version", "value"}; version 0 if there is no such row.
//     GET  /table/scan?prefix=P&after=K&limit=N
//         Returns {"rows": [...]}.
//     POST /table/transact
//         Takes {"checks": [...], "writes": [...]}. Status 409 if a check failed.
//     GET, PUT /objects/NAME
//     GET  /hosts
//         Returns the host list as it was `lagMs` ago.
//     POST /hosts
//         Replaces the host list: {"hosts": [...], "leavingTargets"}.
//     POST /control
//         Takes any of {"down": true, "delayMs": 500, "loseAnswers": 2, "lagMs": 3000}: never
//         answers; delays answers; does not answer the next two transactions that were applied;
//         sets the lag of the host list. Returns the numbers of reads and writes so far.
#pragma once

#include "connection/http.h"
#include "process/eventloop.h"
#include "standin_core/platformtable.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace cicadagap {

// Must run on an event loop with a single thread. Not thread-safe.
class PlatformServer
{
public:
    struct Options
    {
        Endpoint listen;
        Millis lag = Millis(1000); // How far the host list lags behind.
        // The first host list.
        std::string hosts = "{\"hosts\":[]}";
    };

    PlatformServer(EventLoop *loop, Options options);
    // Starts to listen. Returns false and sets `reason` on failure.
    bool start(Reason *reason);
    Endpoint endpoint() const { return m_server->endpoint(); }

private:
    void handle(const HttpRequest &request, const Respond &respond);
    void route(const HttpRequest &request, const Respond &respond);
    HttpResponse row(const std::string &target);
    HttpResponse scan(const std::string &target);
    HttpResponse transact(const std::string &body, bool *applied);
    HttpResponse objects(const HttpRequest &request);
    HttpResponse hosts(const HttpRequest &request);
    HttpResponse control(const std::string &body);

    EventLoop *m_loop;
    Options m_options;
    SteadyClock m_clock;
    std::unique_ptr<HttpServer> m_server;
    PlatformTable m_table;
    std::map<std::string, std::string, std::less<>> m_objects;
    std::deque<std::pair<Millis, std::string>>
        m_hostLists; // With the times at which they were set.
    bool m_down = false;
    Millis m_delay;
    int m_loseAnswers = 0; // Transactions that are still to be left unanswered.
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace cicadagap
