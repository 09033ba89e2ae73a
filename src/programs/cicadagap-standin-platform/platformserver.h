// The stand-in platform: table service, object store and host list as one process, with faults on
// request.
//
//     GET  /table/row?key=K                    {"key", "version", "value"}; version 0: no such row
//     GET  /table/scan?prefix=P&after=K&limit=N
//     POST /table/transact                     {"checks": [...], "writes": [...]}; 409: check
//     failed GET, PUT /objects/NAME GET  /hosts                              the list, as it was
//     `lagMs` ago POST /hosts                              replaces the list: {"hosts": [...],
//     "leavingTargets"} POST /control                            {"down": true, "delayMs": 500,
//     "loseAnswers": 2,
//                                               "lagMs": 3000}
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

// Everything runs on a single-threaded event loop.
class PlatformServer
{
public:
    struct Options
    {
        Endpoint listen;
        Millis lag = Millis(1000); // Of the host list.
        std::string hosts = "{\"hosts\":[]}";
    };

    PlatformServer(EventLoop *loop, Options options);
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
    std::deque<std::pair<Millis, std::string>> m_hostLists; // By the time they were set.
    bool m_down = false;
    Millis m_delay;
    int m_loseAnswers = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace cicadagap
