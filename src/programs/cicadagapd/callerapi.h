// The HTTP interface of one host for callers and operators (docs/CALLERS.md). It is the driver of
// RequestFlow: it parses the requests, passes events to their flows and carries out what these
// decide.
#pragma once

#include "base/mutex.h"
#include "connection/http.h"
#include "connection/peerclient.h"
#include "gatewaypool.h"
#include "process/metrics.h"
#include "request/burnrate.h"
#include "request/requestflow.h"
#include "request/sessiontoken.h"
#include "request/systemview.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace cicadagap {

// Thread-safe.
class CallerApi : public std::enable_shared_from_this<CallerApi>
{
public:
    // `loop`, `view` and `metrics` must outlive the object.
    struct Options
    {
        EventLoop *loop = nullptr;
        SystemView *view = nullptr;
        Metrics *metrics = nullptr;
        std::shared_ptr<GatewayPool> gateways;
        PeerLookup peers;
        std::uint64_t incarnation = 0; // Of this process; part of each request's name in the logs.
    };

    explicit CallerApi(Options options);

    // Handles a request; `respond` is called exactly once.
    void handle(const HttpRequest &request, const Respond &respond);
    // Starts a graceful shutdown: the health check fails, so that the load balancer sends no more
    // requests to this host, and each response closes its connection.
    void drain() { m_draining = true; }
    // The host's system view changed: requests that were sent to a former primary and may be
    // repeated are sent to the new one.
    void onViewChanged();
    // The number of requests that have arrived and are not answered yet.
    int activeRequests() const { return m_active; }
    // Sets the time since the settings were last confirmed with the platform, as the steward
    // reported it.
    void setSettingsAge(Millis age);

private:
    // A caller's request in progress.
    struct Call;

    // What the requests of one customer (in the settings: team) share on this host.
    struct TeamState
    {
        TeamState();

        Mutex mutex;
        RetryBudget retryBudget CICADAGAP_GUARDED_BY(mutex);
        std::map<std::string, RouteHistory> routeHistories CICADAGAP_GUARDED_BY(mutex); // By group.
        std::map<std::uint64_t, std::weak_ptr<Call>>
            calls CICADAGAP_GUARDED_BY(mutex); // By Call::number.
        std::map<std::string, BurnTracker> burnTrackers CICADAGAP_GUARDED_BY(mutex); // By class.
    };

    void handleTeam(const HttpRequest &request, const Respond &respond);
    // Fill in `call` from the request. They return false and set Call::error if it is not valid.
    bool parseRequest(const HttpRequest &request, Call *call) const;
    bool parseStatement(const HttpRequest &request, Call *call) const;
    bool parseTransaction(const std::string &transaction, Call *call) const;
    static void readToken(const HttpRequest &request, Call *call);
    void start(const std::shared_ptr<Call> &call);
    void executeAction(const std::shared_ptr<Call> &call, int attempt, const FlowAction &action);
    void forwardRequest(const std::shared_ptr<Call> &call, int attempt, const FlowAction &action);
    void onReply(const std::shared_ptr<Call> &call, int attempt, const GatewayReply &reply);
    void onWake(const std::shared_ptr<Call> &call, int attempt);
    void onViewChanged(const std::shared_ptr<Call> &call);
    // Passes an event to the request's flow, with the team state's mutex held, and carries out the
    // action that it returns, if any. If `attempt` is set, the event is ignored unless that is the
    // current attempt. `replyIfRemoved` is the reply if the group is no longer in the settings.
    using FlowEventHandler
        = std::function<std::optional<FlowAction>(Call *, const GroupView &, TeamState *)>;
    void handleFlowEvent(const std::shared_ptr<Call> &call, std::optional<int> attempt,
                         const GatewayReply &replyIfRemoved, const FlowEventHandler &event);
    void finish(const std::shared_ptr<Call> &call, const GatewayReply &reply);
    // Updates the metrics and the burn rate.
    void recordMetrics(const Call &call, const GatewayReply &reply, Millis took);
    HttpResponse buildResponse(Call *call, const GatewayReply &reply) const;
    std::string statusPage() const;
    std::string burnRatePage();
    std::shared_ptr<TeamState> state(const std::string &team);
    Millis settingsAge() const;

    Options m_options;
    SteadyClock m_clock;
    std::atomic<bool> m_draining = false;
    std::atomic<int> m_active = 0;
    std::atomic<std::uint64_t> m_lastRequestNumber = 0;
    std::atomic<std::uint64_t> m_lastCallNumber = 0;
    std::atomic<std::int64_t> m_settingsConfirmedAt = 0;
    Mutex m_mutex;
    std::map<std::string, std::shared_ptr<TeamState>> m_teams CICADAGAP_GUARDED_BY(m_mutex);
};

} // namespace cicadagap
