#include "sessionserver.h"

#include "process/log.h"
#include "session/quotacodec.h"
#include "session/relaycodec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace cicadagap {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis TickInterval(20);
// Added to the time that a relayed batch may wait at the gateway for the call's timeout.
constexpr Millis RelayMargin(3000);
constexpr const char *RelayPath = "/relay";
constexpr const char *DropPath = "/drop";
constexpr const char *PlatformUpdatePath = "/bulletin";
constexpr const char *QuotaPath = "/quota";
// Between two updates of the hosts that share quotas, and between two reports.
constexpr Millis QuotaReportInterval(1000);
constexpr std::size_t QuotaLinesPerReport = 20;
// An owner of quotas that left so many requests in a row without a reply is replaced for
// QuotaOwnerBackoff.
constexpr int MaxQuotaFailures = 3;
constexpr Millis QuotaOwnerBackoff(10'000);
// Callers that connect before the configuration is known wait for it this long; then they are
// refused.
constexpr Millis MaxEarlyWait(1200);
// The process stops at the latest this long before the end of the grace period, which is SIGKILL.
constexpr Millis StopMargin(500);
// That a statement may need which is started last.
constexpr Millis LastStatementTime(1500);
// The process keeps running for at least this long after the request to stop, to serve callers that
// were about to connect then.
constexpr Millis MinStopTime(2600);

} // namespace

SessionServer::SessionServer(EventLoop *loop, Options options, const SessionCodec *codec,
                             PlatformClient *platform)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_codec(codec)
    , m_platform(platform)
    , m_requestLog(&m_metrics,
                   [](LogLevel level, std::string_view event, std::span<const LogField> fields) {
                       logEvent(level, event, fields);
                   })
    , m_engine({.host = m_options.host,
                .dataCentre = m_options.dataCentre,
                .instances = {.drainTime = m_options.instanceDrainTime},
                .fencedPromotions = m_options.fencedPromotions,
                .pool = {},
                .start = static_cast<std::uint64_t>(timeOfDay().count())},
               this)
    , m_leases(platform, &m_clock,
               {.host = m_options.host, .fencedPromotions = m_options.fencedPromotions})
    , m_quotaOwner({})
    , m_acceptor(*loop->context())
{
}

bool SessionServer::start(Reason *reason)
{
    error_code error;
    const auto address = asio::ip::make_address(m_options.callerEndpoint.address, error);
    const tcp::endpoint endpoint(address, m_options.callerEndpoint.port);
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        setReason(reason,
                  "cannot listen on " + m_options.callerEndpoint.text() + ": " + error.message());
        return false;
    }
    m_readinessServer = HttpServer::listen(
        m_loop, m_options.readinessEndpoint,
        [this](const HttpRequest &request, const Respond &respond) {
            respond(answerReadinessCheck(request));
        },
        reason);
    if (!m_readinessServer)
        return false;
    m_peerServer = PeerServer::listen(
        m_loop, m_options.peerEndpoint,
        [this](const PeerRequest &request, const PeerRespond &respond) {
            handlePeer(request, respond);
        },
        reason);
    if (!m_peerServer)
        return false;
    m_origin = m_options.host + "/" + std::to_string(timeOfDay().count());
    accept();
    m_feed = std::make_unique<PlatformFeed>(
        m_loop, &m_engine, m_platform,
        PlatformFeed::Options{.self = {.host = m_options.host,
                                       .dataCentre = m_options.dataCentre,
                                       .peerEndpoint = m_options.peerEndpoint,
                                       .weight = m_options.weight},
                              .configurationBound = m_options.configurationBound},
        [this](const std::string &host) { return peerClient(host); },
        [this] { openEarlySessions(); });
    m_feed->start();
    m_loop->every(TickInterval, [this] { onTick(); });
    return true;
}

void SessionServer::setBounds(const Bounds &bounds)
{
    m_options.gracePeriod = bounds.gracePeriod;
    if (bounds.configurationBound != m_options.configurationBound)
        m_feed->setConfigurationBound(bounds.configurationBound);
    if (bounds.instanceDrainTime != m_options.instanceDrainTime)
        m_engine.setInstanceDrainTime(now(), bounds.instanceDrainTime);
    m_options.configurationBound = bounds.configurationBound;
    m_options.instanceDrainTime = bounds.instanceDrainTime;
}

void SessionServer::stop()
{
    if (m_stoppingSince) {
        logEvent(LogLevel::Warning, "server.stopping-at-once", {});
        m_loop->stop();
        return;
    }
    m_stoppingSince = now();
    logEvent(LogLevel::Info, "server.stopping",
             {{"sessions", static_cast<std::int64_t>(m_engine.sessions())}});
    m_feed->announceLeaving();
    const Millis lastStart = m_options.gracePeriod - StopMargin - LastStatementTime;
    m_engine.drain(now(),
                   {.transactions = m_options.gracePeriod / 2,
                    .newStatements = std::max(lastStart, MinStopTime)});
}

void SessionServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (!error)
            addCaller(std::move(socket));
        else
            logEvent(LogLevel::Warning, "server.accept-failed", {{"reason", error.message()}});
        if (error != asio::error::operation_aborted)
            accept();
    });
}

void SessionServer::addCaller(tcp::socket socket)
{
    const SessionId id = ++m_lastSession;
    auto caller = std::make_shared<CallerSocket>(std::move(socket), m_codec);
    m_callers[id] = caller;
    caller->start(
        {.message = [this, id](CallerMessage message) { handleMessage(id, std::move(message)); },
         .closed =
             [this, id] {
                 m_callers.erase(id);
                 if (m_openSessions.erase(id) > 0)
                     m_engine.onCallerClosed(now(), id);
             }});
}

void SessionServer::handleMessage(SessionId id, CallerMessage message)
{
    const auto found = m_callers.find(id);
    if (found == m_callers.end())
        return;
    const std::shared_ptr<CallerSocket> caller = found->second;
    const bool isOpen = m_openSessions.contains(id);
    if (message.kind == CallerMessage::Kind::Connect && !isOpen) {
        const ApiKey key = message.key.empty() ? ApiKey() : ApiKey::fromText(message.key);
        if (m_engine.configurationVersion() > 0)
            openSession(id, message.database, key);
        else
            m_earlyConnects.push_back(
                {.session = id, .database = message.database, .key = key, .since = now()});
        return;
    }
    if (message.kind == CallerMessage::Kind::Statement && isOpen) {
        m_engine.onStatement(now(), id, std::move(message.statement));
        return;
    }
    m_callers.erase(id);
    if (m_openSessions.erase(id) > 0)
        m_engine.onCallerClosed(now(), id);
    if (message.kind == CallerMessage::Kind::Close)
        caller->close();
    else
        caller->refuse(Cause::Invalid);
}

void SessionServer::openSession(SessionId id, const std::string &database, const ApiKey &key)
{
    const auto found = m_callers.find(id);
    if (found == m_callers.end())
        return;
    const bool configured = m_engine.configurationVersion() > 0;
    const Cause cause
        = configured ? m_engine.onConnect(now(), id, database, key) : Cause::Overloaded;
    if (cause == Cause::None) {
        m_openSessions[id] = true;
        found->second->welcome();
        return;
    }
    logRequest({.event = "session.refused",
                .session = id,
                .database = database,
                .keyDigest
                = cause == Cause::UnknownKey ? std::string_view(key.digest()) : std::string_view(),
                .cause = cause,
                .configuration = m_engine.configurationVersion()});
    const std::shared_ptr<CallerSocket> caller = found->second;
    m_callers.erase(found);
    caller->refuse(cause);
}

// Opens the sessions of callers that connected before the configuration was known, or refuses them
// once they have waited for MaxEarlyWait.
void SessionServer::openEarlySessions()
{
    const bool configured = m_engine.configurationVersion() > 0;
    while (!m_earlyConnects.empty()
           && (configured || now() - m_earlyConnects.front().since > MaxEarlyWait)) {
        const EarlyConnect caller = std::move(m_earlyConnects.front());
        m_earlyConnects.pop_front();
        openSession(caller.session, caller.database, caller.key);
    }
}

void SessionServer::openTarget(ConnectionId connection, const RegisteredInstance &instance,
                               const std::string &tenant)
{
    m_metrics.add("targets.opened");
    auto target = std::make_shared<TargetSocket>(
        m_loop->context(), m_codec,
        TargetSocket::Handlers{
            .opened = [this, connection] { m_engine.onTargetOpened(now(), connection); },
            .openFailed =
                [this, connection](bool full) {
                    m_metrics.add(full ? "targets.full" : "targets.open-failed");
                    m_engine.onTargetOpenFailed(now(), connection, full);
                },
            .answered =
                [this, connection](const StatementAnswer &answer) {
                    m_engine.onTargetAnswer(now(), connection, answer);
                },
            .closed = [this, connection] { m_engine.onTargetClosed(now(), connection); }});
    m_targets[connection] = target;
    target->open(instance, tenant);
}

void SessionServer::sendToTarget(ConnectionId connection, const std::vector<Statement> &statements)
{
    const auto found = m_targets.find(connection);
    if (found != m_targets.end())
        found->second->send(statements);
}

void SessionServer::closeTarget(ConnectionId connection)
{
    const auto found = m_targets.find(connection);
    if (found == m_targets.end())
        return;
    const std::shared_ptr<TargetSocket> target = found->second;
    m_targets.erase(found);
    target->close();
}

void SessionServer::answerCaller(SessionId session, const StatementAnswer &answer)
{
    const auto found = m_callers.find(session);
    if (found != m_callers.end())
        found->second->answer(answer);
}

void SessionServer::closeCaller(SessionId session, Cause cause)
{
    const auto found = m_callers.find(session);
    if (found == m_callers.end())
        return;
    const std::shared_ptr<CallerSocket> caller = found->second;
    m_callers.erase(found);
    m_openSessions.erase(session);
    if (cause == Cause::None)
        caller->close();
    else
        caller->refuse(cause);
}

void SessionServer::logGroupEvent(const std::string &group, std::string_view event,
                                  const std::string &instance, std::uint64_t term,
                                  const std::string &detail)
{
    m_metrics.add(event);
    logEvent(LogLevel::Info, event,
             {{"group", group},
              {"instance", instance},
              {"term", static_cast<std::int64_t>(term)},
              {"detail", detail}});
}

void SessionServer::acquireLease(const std::string &group)
{
    m_leases.acquire(group, [this, group](const LeaseResult &result) {
        m_engine.onLeaseResult(now(), group, result);
        if (result.fencingToken)
            m_feed->readInstancesNow();
    });
}

void SessionServer::recordCandidate(const std::string &group, const std::string &candidate,
                                    std::uint64_t fencingToken)
{
    m_leases.recordCandidate(group, candidate, fencingToken,
                             [this, group, candidate](bool recorded) {
                                 m_engine.onCandidateRecorded(now(), group, candidate, recorded);
                             });
}

void SessionServer::recordResumes(const std::string &group, const std::set<std::string> &instances,
                                  std::uint64_t fencingToken)
{
    m_leases.recordResumes(group, instances, fencingToken,
                           [this, group, instances, fencingToken](bool recorded) {
                               m_engine.onResumesRecorded(group, instances, fencingToken, recorded);
                           });
}

void SessionServer::requestPromotion(const std::string &group, const std::string &instance,
                                     std::uint64_t fencingToken)
{
    m_platform->promote(group, instance, fencingToken,
                        [this, group, instance](PromotionResult verdict) {
                            logEvent(LogLevel::Info, "promotion.answered",
                                     {{"group", group},
                                      {"instance", instance},
                                      {"verdict", PromotionResultNames.name(verdict)}});
                            m_engine.onPromotion(now(), group, verdict);
                        });
}

std::shared_ptr<PeerClient> SessionServer::peerClient(const std::string &host)
{
    const std::optional<Endpoint> endpoint = m_engine.peerEndpoint(host);
    if (!endpoint)
        return nullptr;
    Peer &peer = m_peers[host];
    if (!peer.client || peer.endpoint != *endpoint) {
        if (peer.client)
            peer.client->close();
        peer = {.endpoint = *endpoint, .client = PeerClient::create(m_loop, *endpoint)};
    }
    return peer.client;
}

void SessionServer::relayToGateway(ConnectionId connection, const std::string &gateway,
                                   RelayBatch batch)
{
    const std::shared_ptr<PeerClient> client = peerClient(gateway);
    const auto fail = [this, connection, gateway](Verdict verdict) {
        logEvent(LogLevel::Warning, "gateway.failed",
                 {{"gateway", gateway}, {"verdict", VerdictNames.name(verdict)}});
        m_engine.onRelayReply(
            now(), connection, gateway,
            {.ended = true, .cause = Cause::Unreachable, .sent = verdict != Verdict::NotRun});
    };
    if (!client) {
        m_loop->post([fail] { fail(Verdict::NotRun); });
        return;
    }
    batch.origin = m_origin;
    std::string body = encodeRelayBatch(batch);
    if (body.size() > PeerLimits().maxBodyBytes) {
        logEvent(LogLevel::Warning, "gateway.batch-too-long",
                 {{"gateway", gateway}, {"bytes", static_cast<std::int64_t>(body.size())}});
        m_loop->post([this, connection, gateway] {
            m_engine.onRelayReply(now(), connection, gateway,
                                  {.ended = true, .cause = Cause::TooLong});
        });
        return;
    }
    m_metrics.add("relays.sent");
    client->call({.path = RelayPath, .body = std::move(body)}, batch.maxWait + RelayMargin,
                 [this, connection, gateway, fail](const PeerReply &answer) {
                     if (answer.verdict == Verdict::Ran)
                         takeRelayReply(connection, gateway, answer.body);
                     else
                         fail(answer.verdict);
                 });
}

void SessionServer::takeRelayReply(ConnectionId connection, const std::string &gateway,
                                   const std::string &body)
{
    Reason reason;
    std::optional<RelayReply> reply = decodeRelayReply(body, &reason);
    if (!reply) {
        logEvent(LogLevel::Warning, "gateway.reply-unreadable",
                 {{"gateway", gateway}, {"reason", reason.text()}});
        // The gateway works, and the batch may have run there.
        reply = {.ended = true, .cause = Cause::Invalid, .sent = true};
    } else if (reply->ended && reply->cause == Cause::Invalid) {
        logEvent(LogLevel::Warning, "gateway.refused-batch", {{"gateway", gateway}});
    }
    m_engine.onRelayReply(now(), connection, gateway, *reply);
}

void SessionServer::dropAtGateway(ConnectionId connection, const std::string &gateway)
{
    const std::shared_ptr<PeerClient> client = peerClient(gateway);
    if (!client)
        return;
    const RelayBatch batch{.origin = m_origin, .channel = connection};
    client->call({.path = DropPath, .body = encodeRelayBatch(batch)}, RelayMargin,
                 [gateway](const PeerReply &answer) {
                     if (answer.verdict != Verdict::Ran)
                         logEvent(LogLevel::Warning, "gateway.drop-failed", {{"gateway", gateway}});
                 });
}

void SessionServer::handlePeer(const PeerRequest &request, const PeerRespond &respond)
{
    if (request.path == PlatformUpdatePath) {
        m_feed->answerPeer(request, respond);
        return;
    }
    if (request.path == QuotaPath) {
        answerQuotaRequest(request, respond);
        return;
    }
    Reason reason;
    std::optional<RelayBatch> batch = decodeRelayBatch(request.body, &reason);
    if (!batch) {
        logEvent(LogLevel::Warning, "peer.request-unreadable", {{"reason", reason.text()}});
        respond(encodeRelayReply({.ended = true, .cause = Cause::Invalid}));
        return;
    }
    if (request.path == DropPath) {
        m_engine.onRelayDropped(now(), batch->origin, batch->channel);
        respond({});
        return;
    }
    m_metrics.add("relays.received");
    const bool onlyReads = batch->onlyReads();
    m_engine.onRelayBatch(now(), std::move(*batch), [respond, onlyReads](const RelayReply &reply) {
        Reason reason;
        respond(encodeRelayReply(reply, onlyReads, PeerLimits().maxBodyBytes, &reason));
        if (!reason.text().empty())
            logEvent(LogLevel::Warning, "gateway.reply-too-long", {{"reason", reason.text()}});
    });
}

HttpResponse SessionServer::answerReadinessCheck(const HttpRequest &request)
{
    constexpr int Unavailable = 503;
    if (targetPath(request.target) == "/metrics")
        return {.headers = {{"content-type", "text/plain; version=0.0.4"}},
                .body = m_metrics.text()};
    return {.status = m_engine.ready() ? 200 : Unavailable};
}

void SessionServer::answerQuotaRequest(const PeerRequest &request, const PeerRespond &respond)
{
    Reason reason;
    const std::optional<QuotaRequest> wants = decodeQuotaRequest(request.body, &reason);
    if (!wants) {
        logEvent(LogLevel::Warning, "peer.request-unreadable", {{"reason", reason.text()}});
        respond({});
        return;
    }
    respond(encodeQuotaReply(m_quotaOwner.onRequest(now(), *wants)));
}

// Asks for what tenants with limits need. Called only if there are such tenants.
void SessionServer::shareQuotas()
{
    if (now() - m_quotaReportedAt >= QuotaReportInterval) {
        m_quotaReportedAt = now();
        updateQuotaHosts();
        reportQuotas();
    }
    for (const OutgoingQuotaRequest &due : m_engine.quota()->takeRequests(now()))
        sendQuotaRequest(due);
}

// All hosts of the store's list share the limits; those that do not leave may be owners. The host's
// own view of itself does not count, since the others do not have it.
void SessionServer::updateQuotaHosts()
{
    if (m_quotaVersion != m_engine.configurationVersion()) {
        m_quotaVersion = m_engine.configurationVersion();
        m_quotaOwner.setLimits(m_engine.tenantLimits());
    }
    if (!m_feed->storedHosts())
        return;
    std::vector<std::string> listed;
    std::vector<std::string> staying;
    for (const HostRecord &record : *m_feed->storedHosts()) {
        listed.push_back(record.host);
        const auto failed = m_quotaOwnersFailed.find(record.host);
        const bool answers = failed == m_quotaOwnersFailed.end()
            || failed->second.inARow < MaxQuotaFailures || now() >= failed->second.retryAt;
        if (!record.leaving && answers && m_engine.peerEndpoint(record.host))
            staying.push_back(record.host);
    }
    const QuotaOwners owners = quotaOwners(staying);
    m_engine.quota()->setHosts(now(), listed, owners);
    m_quotaOwner.setHosts(now(), listed.size(), m_feed->hostsReadAt());
}

void SessionServer::sendQuotaRequest(const OutgoingQuotaRequest &due)
{
    const std::string &owner = due.owner;
    const std::uint64_t number = due.request.number;
    if (owner == m_options.host) {
        m_engine.quota()->onReply(now(), owner, number, m_quotaOwner.onRequest(now(), due.request));
        return;
    }
    const std::shared_ptr<PeerClient> client = peerClient(owner);
    if (!client)
        return;
    m_metrics.add("quota.requests");
    client->call({.path = QuotaPath, .body = encodeQuotaRequest(due.request)}, QuotaReplyTimeout,
                 [this, owner, number](const PeerReply &answer) {
                     Reason reason;
                     const std::optional<QuotaReply> reply = answer.verdict == Verdict::Ran
                         ? decodeQuotaReply(answer.body, &reason)
                         : std::nullopt;
                     if (!reply) {
                         noteQuotaFailure(owner);
                         return;
                     }
                     m_quotaOwnersFailed.erase(owner);
                     m_engine.quota()->onReply(now(), owner, number, *reply);
                 });
}

// An owner did not reply. The next owner is chosen without it once it has failed several times.
void SessionServer::noteQuotaFailure(const std::string &owner)
{
    m_metrics.add("quota.requests-failed");
    QuotaFailures &failures = m_quotaOwnersFailed[owner];
    failures.retryAt = now() + QuotaOwnerBackoff;
    if (++failures.inARow != MaxQuotaFailures)
        return;
    logEvent(LogLevel::Warning, "quota.owner-failed",
             {{"owner", owner}, {"failures", static_cast<std::int64_t>(failures.inARow)}});
    updateQuotaHosts();
}

// Writes what was admitted and refused to the metrics, and which tenants began or ceased to be
// refused to the log.
void SessionServer::reportQuotas()
{
    for (const QuotaCount &count : m_engine.quota()->takeCounts()) {
        m_metrics.add("quota.admitted." + count.tenant, count.admitted);
        m_metrics.add("quota.refused." + count.tenant, count.refused);
    }
    std::size_t lines = 0;
    for (const QuotaChange &change : m_engine.quota()->takeChanges(now())) {
        if (++lines > QuotaLinesPerReport) {
            m_metrics.add("log.dropped");
            continue;
        }
        logEvent(change.refusing ? LogLevel::Warning : LogLevel::Info,
                 change.refusing ? "quota.refusing" : "quota.kept",
                 {{"tenant", change.tenant},
                  {"perSecond", change.perSecond},
                  {"hosts", static_cast<std::int64_t>(change.hosts)},
                  {"ownShare", static_cast<std::int64_t>(change.ownLevel)},
                  {"granted", static_cast<std::int64_t>(change.held)},
                  {"grantAgeMs", change.grantAge.count()},
                  {"refused", static_cast<std::int64_t>(change.refused)},
                  {"configuration", static_cast<std::int64_t>(m_engine.configurationVersion())}});
    }
}

void SessionServer::onTick()
{
    m_engine.onTick(now());
    m_feed->onTick();
    if (m_engine.quota()->limitsTenants())
        shareQuotas();
    openEarlySessions();
    if (!m_stoppingSince)
        return;
    const Millis since = now() - *m_stoppingSince;
    const bool finished = m_callers.empty() && since > MinStopTime;
    if (finished || since > m_options.gracePeriod - StopMargin)
        m_loop->stop();
}

} // namespace cicadagap
