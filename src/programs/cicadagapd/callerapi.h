// The callers' and operators' HTTP interface of one host (docs/CALLERS.md): a thin driver round
// RequestFlow.
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

class CallerApi : public std::enable_shared_from_this<CallerApi>
{
public:
    struct Options
    {
        EventLoop *loop = nullptr;
        SystemView *view = nullptr;
        Metrics *metrics = nullptr;
        std::shared_ptr<GatewayPool> gateways;
        PeerLookup peers;
        std::uint64_t incarnation = 0;
    };

    explicit CallerApi(Options options);

    void handle(const HttpRequest &request, const Respond &respond);
    // Graceful shutdown: the health check fails, so that the balancer sends nobody here.
    void drain() { m_draining = true; }
    // The host's view changed: requests on their way to a former primary are sent to the new one.
    void onViewChanged();
    // Requests between arrival and answer.
    int activeRequests() const { return m_active; }
    // Age of the settings since they were last confirmed with the platform, as the steward says.
    void setSettingsAge(Millis age);

private:
    struct Call; // One request in progress.

    // What requests of one team share on this host.
    struct TeamState
    {
        TeamState();

        Mutex mutex;
        RetryBudget budget CICADAGAP_GUARDED_BY(mutex);
        std::map<std::string, RouteHistory> memory CICADAGAP_GUARDED_BY(mutex); // By group.
        std::map<std::uint64_t, std::weak_ptr<Call>> calls CICADAGAP_GUARDED_BY(mutex);
        std::map<std::string, BurnTracker> burn CICADAGAP_GUARDED_BY(mutex); // By class.
    };

    void handleTeam(const HttpRequest &request, const Respond &respond);
    bool prepare(const HttpRequest &request, Call *call) const;
    bool prepareStatement(const HttpRequest &request, Call *call) const;
    bool prepareTransaction(const std::string &transaction, Call *call) const;
    static void readToken(const HttpRequest &request, Call *call);
    void start(const std::shared_ptr<Call> &call);
    void act(const std::shared_ptr<Call> &call, int attempt, const FlowAction &action);
    void forward(const std::shared_ptr<Call> &call, int attempt, const FlowAction &action);
    void onReply(const std::shared_ptr<Call> &call, int attempt, const GatewayReply &reply);
    void onWake(const std::shared_ptr<Call> &call, int attempt);
    void onViewChanged(const std::shared_ptr<Call> &call);
    // Hands an event to the request's flow under the team's lock and carries out what follows. The
    // event belongs to `attempt`, if that is set; `ifGone` is the answer if the group no longer
    // exists.
    using FlowEvent
        = std::function<std::optional<FlowAction>(Call *, const GroupView &, TeamState *)>;
    void proceed(const std::shared_ptr<Call> &call, std::optional<int> attempt,
                 const GatewayReply &ifGone, const FlowEvent &event);
    void finish(const std::shared_ptr<Call> &call, const GatewayReply &reply);
    void account(const Call &call, const GatewayReply &reply, Millis took);
    HttpResponse render(Call *call, const GatewayReply &reply) const;
    std::string statusPage() const;
    std::string burnPage();
    std::shared_ptr<TeamState> state(const std::string &team);
    Millis settingsAge() const;

    Options m_options;
    SteadyClock m_clock;
    std::atomic<bool> m_draining = false;
    std::atomic<int> m_active = 0;
    std::atomic<std::uint64_t> m_lastRequest = 0;
    std::atomic<std::uint64_t> m_lastCall = 0;
    std::atomic<std::int64_t> m_settingsConfirmedAt = 0;
    Mutex m_mutex;
    std::map<std::string, std::shared_ptr<TeamState>> m_teams CICADAGAP_GUARDED_BY(m_mutex);
};

} // namespace cicadagap
