// The driver of SessionEngine: carries out its actions with sockets, timers and the platform, and
// passes events to it. Uses one thread, since a host has one core and a statement costs little.
#pragma once

#include "callersocket.h"
#include "connection/http.h"
#include "connection/peerclient.h"
#include "platformfeed.h"
#include "process/eventloop.h"
#include "process/metrics.h"
#include "session/leaseclient.h"
#include "session/platformclient.h"
#include "session/quotaowner.h"
#include "session/requestlog.h"
#include "session/sessionengine.h"
#include "targetsocket.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cicadagap {

// Accepts callers, connects to instances and to other hosts, and serves readiness checks and
// metrics.
//
// Not thread-safe; runs on the event loop. The arguments of the constructor must outlive it.
class SessionServer : private SessionOutput
{
public:
    struct Options
    {
        std::string host;
        std::string dataCentre;
        Endpoint callerEndpoint;    // Listens for callers.
        Endpoint readinessEndpoint; // Serves readiness checks, and metrics at /metrics.
        Endpoint peerEndpoint;      // Listens for other hosts, which relay statements to this one.
        double weight = 1;          // The host's capacity, as a share of a processor core.
        Millis gracePeriod = Millis(6000); // Time between the request to stop and SIGKILL.
        // A changed configuration has to be in force everywhere within this time.
        Millis configurationBound = Millis(3000);
        // A leaving instance may get new work for this long after the platform accepted its notice.
        Millis instanceDrainTime = Millis(7000);
        bool fencedPromotions = true; // See PrimaryChange::Options.
    };

    SessionServer(EventLoop *loop, Options options, const SessionCodec *codec,
                  PlatformClient *platform);

    // Listens on all endpoints and starts to read the platform; false and a reason if an endpoint
    // cannot be listened on.
    bool start(Reason *reason);
    // The bounds that may change while the server runs; see Options.
    struct Bounds
    {
        Millis gracePeriod;
        Millis configurationBound;
        Millis instanceDrainTime;
    };

    // Changes the bounds after start(). A stop in progress keeps the time that it gave to
    // transactions, and ends according to the new grace period.
    void setBounds(const Bounds &bounds);
    Metrics *metrics() { return &m_metrics; }
    // Shuts down gracefully and stops the event loop when done. A second call stops the loop at
    // once.
    void stop();

private:
    void openTarget(ConnectionId connection, const RegisteredInstance &instance,
                    const std::string &tenant) override;
    void sendToTarget(ConnectionId connection, const std::vector<Statement> &statements) override;
    void closeTarget(ConnectionId connection) override;
    void relayToGateway(ConnectionId connection, const std::string &gateway,
                        RelayBatch batch) override;
    void dropAtGateway(ConnectionId connection, const std::string &gateway) override;
    void answerCaller(SessionId session, const StatementAnswer &answer) override;
    void closeCaller(SessionId session, Cause cause) override;
    void logRequest(const RequestEvent &event) override { m_requestLog.onRequest(now(), event); }
    void logNewName(const NewPreparedName &prepared) override
    {
        m_requestLog.onNewName(now(), prepared);
    }
    void logRelayedStatement(const RelayedStatementEvent &event) override
    {
        m_requestLog.onRelayedStatement(now(), event);
    }
    void acquireLease(const std::string &group) override;
    void requestPromotion(const std::string &group, const std::string &instance,
                          std::uint64_t fencingToken) override;
    void recordCandidate(const std::string &group, const std::string &candidate,
                         std::uint64_t fencingToken) override;
    void recordResumes(const std::string &group, const std::set<std::string> &instances,
                       std::uint64_t fencingToken) override;
    void logGroupEvent(const std::string &group, std::string_view event,
                       const std::string &instance, std::uint64_t term,
                       const std::string &detail) override;

    void accept();
    void addCaller(boost::asio::ip::tcp::socket socket);
    void openSession(SessionId id, const std::string &database, const ApiKey &key);
    void openEarlySessions();
    void handleMessage(SessionId id, CallerMessage message);
    std::shared_ptr<PeerClient> peerClient(const std::string &host);
    // Handles the response of a gateway that has answered.
    void takeRelayReply(ConnectionId connection, const std::string &gateway,
                        const std::string &body);
    void handlePeer(const PeerRequest &request, const PeerRespond &respond);
    HttpResponse answerReadinessCheck(const HttpRequest &request);
    void answerQuotaRequest(const PeerRequest &request, const PeerRespond &respond);
    void shareQuotas();
    void updateQuotaHosts();
    void sendQuotaRequest(const OutgoingQuotaRequest &due);
    void noteQuotaFailure(const std::string &owner);
    void reportQuotas();
    void onTick();
    Millis now() const { return m_clock.now(); }

    struct Peer
    {
        Endpoint endpoint;
        std::shared_ptr<PeerClient> client;
    };

    // A caller whose CONNECT came before the configuration was known.
    struct EarlyConnect
    {
        SessionId session = 0;
        std::string database;
        ApiKey key;
        Millis since;
    };

    // Requests to an owner of quotas without a reply.
    struct QuotaFailures
    {
        int inARow = 0;
        Millis retryAt; // It may be an owner again from then on.
    };

    EventLoop *m_loop;
    Options m_options;
    const SessionCodec *m_codec;
    PlatformClient *m_platform;
    BootClock m_clock;
    Metrics m_metrics;
    RequestLog m_requestLog;
    SessionEngine m_engine;
    LeaseClient m_leases;
    QuotaOwner m_quotaOwner;
    std::uint64_t m_quotaVersion = 0; // Of the configuration whose limits the owner uses.
    Millis m_quotaReportedAt;
    std::map<std::string, QuotaFailures> m_quotaOwnersFailed; // By host.
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<PlatformFeed> m_feed;
    std::map<std::string, Peer> m_peers; // By host name.
    std::string m_origin; // Identifies this process at gateways: host and start time.
    std::map<SessionId, std::shared_ptr<CallerSocket>> m_callers;
    std::map<SessionId, bool> m_openSessions; // The sessions that are open in the engine.
    std::deque<EarlyConnect> m_earlyConnects;
    std::map<ConnectionId, std::shared_ptr<TargetSocket>> m_targets;
    SessionId m_lastSession = 0;
    std::optional<Millis> m_stoppingSince;
};

} // namespace cicadagap
