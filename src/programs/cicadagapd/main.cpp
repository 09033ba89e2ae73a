// cicadagapd, the daemon that serves callers on one host and owns the host's connections to
// targets.
#include "callerapi.h"
#include "connection/http.h"
#include "connection/peerclient.h"
#include "connection/wire.h"
#include "gatewaypool.h"
#include "process/log.h"
#include "version/settingsfile.h"

#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <iostream>

using namespace cicadagap;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;
constexpr Millis TickInterval(10);
// After a stop signal, the load balancer and the other hosts get this long to stop sending
// requests.
constexpr Millis DrainNoticePeriod(1500);
constexpr Millis DrainPollInterval(20);
constexpr int IdlePollsBeforeStop = 5;
constexpr Millis LeavingNoticeTimeout(500);

// Owns the parts of the daemon and connects them.
class Daemon
{
public:
    explicit Daemon(HostSettings settings)
        : m_settings(std::move(settings))
        , m_incarnation(static_cast<std::uint64_t>(timeOfDay().count()))
        , m_loop({.threads = m_settings.threads})
        , m_view(m_settings.host, m_settings.dataCentre)
    {
    }

    // Creates all parts and starts to listen. Returns false and sets `reason` if that fails.
    bool start(Reason *reason)
    {
        const auto steward = parseEndpoint(m_settings.stewardAddress, reason);
        const auto peers = parseEndpoint(m_settings.peerAddress, reason);
        const auto callers = parseEndpoint(m_settings.callerAddress, reason);
        m_steward = PeerClient::create(&m_loop, *steward);
        const PeerLookup lookup = [this](const std::string &host) { return peerClient(host); };
        m_gateways = std::make_shared<GatewayPool>(
            GatewayPool::Options{.loop = &m_loop,
                                 .view = &m_view,
                                 .targets = HttpTargetClient::create(&m_loop, m_settings.host),
                                 .peers = lookup,
                                 .steward = m_steward,
                                 .incarnation = m_incarnation});
        m_api = std::make_shared<CallerApi>(CallerApi::Options{.loop = &m_loop,
                                                               .view = &m_view,
                                                               .metrics = &m_metrics,
                                                               .gateways = m_gateways,
                                                               .peers = lookup,
                                                               .incarnation = m_incarnation});
        m_peerServer = PeerServer::listen(
            &m_loop, *peers,
            [this](const PeerRequest &request, const PeerRespond &respond) {
                onPeerCall(request, respond);
            },
            reason);
        if (!m_peerServer)
            return false;
        m_callerServer = HttpServer::listen(
            &m_loop, *callers,
            [this](const HttpRequest &request, const Respond &respond) {
                m_api->handle(request, respond);
            },
            reason);
        return m_callerServer != nullptr;
    }

    // Runs until the daemon is stopped.
    void run()
    {
        m_loop.every(TickInterval, [this] { m_gateways->tick(); });
        m_loop.onStopSignal([this] { onStopSignal(); });
        logEvent(LogLevel::Info, "daemon.started",
                 {{"callers", m_callerServer->endpoint().text()},
                  {"peers", m_peerServer->endpoint().text()}});
        m_loop.run();
        logEvent(LogLevel::Info, "daemon.stopped", {});
    }

private:
    std::shared_ptr<PeerClient> peerClient(const std::string &host)
    {
        const auto info = m_view.host(host);
        if (!info || info->state == HostState::Dead)
            return nullptr;
        MutexLock lock(&m_mutex);
        Peer &peer = m_peerClients[host];
        if (!peer.client || peer.address != info->peerAddress) {
            const auto endpoint = parseEndpoint(info->peerAddress, nullptr);
            if (!endpoint)
                return nullptr;
            peer = {info->peerAddress, PeerClient::create(&m_loop, *endpoint)};
        }
        return peer.client;
    }

    void onPeerCall(const PeerRequest &request, const PeerRespond &respond)
    {
        if (request.path == "/work")
            onForwardedRequest(request.body, respond);
        else if (request.path == "/sample")
            respond(positionSampleReply(request.body));
        else if (request.path == "/view")
            respond(onViewUpdate(request.body));
        else
            respond("{}");
    }

    void onForwardedRequest(const std::string &body, const PeerRespond &respond)
    {
        Reason reason;
        const auto forwarded = decodeForwardedRequest(body, &reason);
        if (!forwarded) {
            logEvent(LogLevel::Error, "work.malformed", {{"reason", reason.text()}});
            respond(encodeReply({Verdict::NotRun, Cause::Invalid}));
            return;
        }
        m_gateways->submit(*forwarded,
                           [respond](const GatewayReply &reply) { respond(encodeReply(reply)); });
    }

    std::string positionSampleReply(const std::string &body)
    {
        const auto object = parseObject(body, nullptr);
        if (!object)
            return "{}";
        const auto sample
            = m_gateways->positionSample(textMember(*object, "team"), textMember(*object, "group"),
                                         textMember(*object, "instance"));
        if (!sample)
            return "{}";
        return boost::json::serialize(boost::json::object{{"last", encodePosition(sample->last)},
                                                          {"ageMs", sample->age.count()}});
    }

    std::string onViewUpdate(const std::string &body)
    {
        Reason reason;
        const auto update = decodeViewUpdate(body, &reason);
        if (!update) {
            logEvent(LogLevel::Error, "view.malformed", {{"reason", reason.text()}});
            return "{}";
        }
        bool changed = false;
        for (const Record &record : update->records) {
            if (!m_view.merge(record))
                continue;
            changed = true;
            logEvent(LogLevel::Info, "view.changed",
                     {{"key", record.key}, {"version", static_cast<std::int64_t>(record.version)}});
        }
        m_api->setSettingsAge(update->settingsAge);
        if (changed) {
            m_gateways->refresh();
            m_api->onViewChanged();
        }
        return encodeHash(m_view.hash());
    }

    void onStopSignal()
    {
        if (m_stopping.exchange(true)) {
            logEvent(LogLevel::Warning, "daemon.stop-hurried", {});
            m_loop.stop();
            return;
        }
        logEvent(LogLevel::Info, "daemon.draining", {});
        m_api->drain();
        m_steward->call({"/leaving", "{}"}, LeavingNoticeTimeout, [](const PeerReply &) {});
        m_loop.after(DrainNoticePeriod, [this] {
            m_callerServer->stopAccepting();
            m_gateways->drain();
            stopWhenIdle();
        });
    }

    void stopWhenIdle()
    {
        const bool idle = m_callerServer->connections() == 0 && m_api->activeRequests() == 0
            && m_peerServer->activeCalls() == 0 && m_gateways->idle();
        m_idlePolls = idle ? m_idlePolls + 1 : 0;
        // Waits for several idle polls, because the last responses may still be in the socket
        // buffers.
        if (m_idlePolls >= IdlePollsBeforeStop)
            m_loop.stop();
        else
            m_loop.after(DrainPollInterval, [this] { stopWhenIdle(); });
    }

    struct Peer
    {
        std::string address;
        std::shared_ptr<PeerClient> client;
    };

    HostSettings m_settings;
    std::uint64_t m_incarnation;
    EventLoop m_loop;
    SystemView m_view;
    Metrics m_metrics;
    std::shared_ptr<PeerClient> m_steward;
    std::shared_ptr<GatewayPool> m_gateways;
    std::shared_ptr<CallerApi> m_api;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<HttpServer> m_callerServer;
    std::atomic<bool> m_stopping = false;
    int m_idlePolls = 0; // Polls in a row that found the daemon idle; used by the drain timer only.
    Mutex m_mutex;
    std::map<std::string, Peer> m_peerClients CICADAGAP_GUARDED_BY(m_mutex); // By host name.
};

int run(const std::string &file)
{
    const auto settings = loadHostSettings(file);
    if (!settings)
        return ExitUsage;
    startLog({.program = "cicadagapd",
              .host = settings->host,
              .level = *LogLevelNames.value(settings->logLevel)});
    Daemon daemon(*settings);
    Reason reason;
    if (!daemon.start(&reason)) {
        std::cerr << reason.text() << '\n';
        return ExitFailed;
    }
    daemon.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options(
            "cicadagapd",
            "Serves callers on one host and holds the host's connections to targets.\n"
            "SIGTERM stops it gracefully; a second one at once.\n"
            "Exit codes: 0 stopped, 1 cannot start, 2 wrong usage or settings.");
        auto add = options.add_options();
        add("settings", "The host's settings file", cxxopts::value<std::string>());
        add("help", "Print this text");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "; try --help\n";
        return ExitUsage;
    }
}
