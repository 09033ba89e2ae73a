// Runs a SessionEngine on sockets, timers and the platform. One thread: a host has one core, and a
// statement costs little.
#pragma once

#include "callersocket.h"
#include "connection/http.h"
#include "connection/peerclient.h"
#include "platformfeed.h"
#include "process/eventloop.h"
#include "process/metrics.h"
#include "session/platformclient.h"
#include "session/sessionengine.h"
#include "targetsocket.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cicadagap {

class SessionServer : private SessionOutput
{
public:
    struct Options
    {
        std::string host;
        std::string dataCentre;
        Endpoint callers;
        Endpoint balancer;     // Readiness, and metrics under /metrics.
        Endpoint peerEndpoint; // Where other hosts relay statements to.
        double weight = 1;     // The host's strength.
        Millis grace = Millis(6000);
    };

    SessionServer(EventLoop *loop, Options options, const SessionCodec *codec,
                  PlatformClient *platform);

    bool start(Reason *reason);
    // Time from the request to stop to the kill; takes effect for the next stop.
    void setGrace(Millis grace) { m_options.grace = grace; }
    // Graceful shutdown; stops the loop when it is done.
    void stop();

private:
    void openTarget(ConnectionId connection, const RegisteredInstance &instance) override;
    void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements) override;
    void closeTarget(ConnectionId connection) override;
    void relayToGateway(ConnectionId connection, const std::string &gateway,
                        RelayBatch batch) override;
    void dropAtGateway(ConnectionId connection, const std::string &gateway) override;
    void answerCaller(SessionId session, const StatementAnswer &answer) override;
    void closeCaller(SessionId session, Cause cause) override;
    void logRequest(const RequestEvent &note) override;
    void acquireLease(const std::string &group) override;
    void requestPromotion(const std::string &group, const std::string &instance,
                          std::uint64_t fencingToken) override;
    void logGroupEvent(const std::string &group, std::string_view event,
                       const std::string &instance, std::uint64_t term,
                       const std::string &detail) override;

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void greet(SessionId id, const std::string &database);
    void greetEarly();
    void handleMessage(SessionId id, CallerMessage message);
    std::shared_ptr<PeerClient> linkTo(const std::string &host);
    void handlePeer(const PeerRequest &request, const PeerRespond &respond);
    void handleDuty(const std::string &group, Millis askedAt,
                    const std::optional<LeaseRecord> &record);
    HttpResponse answerBalancer(const HttpRequest &request);
    void tick();
    bool mayLog(const RequestEvent &note);
    Millis now() const { return m_clock.now(); }

    struct PeerConnection
    {
        Endpoint endpoint;
        std::shared_ptr<PeerClient> link;
    };

    // A caller that connected before the configuration was known.
    struct EarlyCaller
    {
        SessionId session = 0;
        std::string database;
        Millis since;
    };

    EventLoop *m_loop;
    Options m_options;
    const SessionCodec *m_codec;
    PlatformClient *m_platform;
    BootClock m_clock;
    Metrics m_metrics;
    SessionEngine m_engine;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unique_ptr<HttpServer> m_balancer;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<PlatformFeed> m_feed;
    std::map<std::string, PeerConnection> m_peers; // By host.
    std::string m_origin;                          // This process, as gateways know it.
    std::map<SessionId, std::shared_ptr<CallerSocket>> m_callers;
    std::map<SessionId, bool> m_greeted; // Whether the session is open in the engine.
    std::deque<EarlyCaller> m_early;
    std::map<ConnectionId, std::shared_ptr<TargetSocket>> m_targets;
    SessionId m_lastSession = 0;
    std::optional<Millis> m_stoppingSince;
    int m_logBudget = 0;
    Millis m_logBudgetAt;
    std::int64_t m_logDropped = 0;
};

} // namespace cicadagap
