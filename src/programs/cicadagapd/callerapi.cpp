#include "callerapi.h"

#include "connection/wire.h"
#include "process/log.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cicadagap {

namespace json = boost::json;

namespace {

// How many unused retries of a team are saved up on one host.
constexpr double MaxSavedRetries = 100;
// Extra time for the reply of a gateway that answers at the deadline.
constexpr Millis ReplyGracePeriod(50);
constexpr const char *SessionHeader = "cicadagap-session";

// Returns the session token of the request, from its own header or from the cookie, which browsers
// and simple clients send back by themselves.
std::string receivedToken(const HttpRequest &request)
{
    const auto header = request.headers.find(SessionHeader);
    if (header != request.headers.end())
        return header->second;
    const auto cookies = request.headers.find("cookie");
    if (cookies == request.headers.end())
        return {};
    const std::string name = std::string(SessionHeader) + "=";
    const std::size_t start = cookies->second.find(name);
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + name.size();
    return cookies->second.substr(value, cookies->second.find(';', value) - value);
}

int httpStatus(const GatewayReply &reply)
{
    if (reply.verdict == Verdict::Ran)
        return 200;
    if (reply.verdict == Verdict::MayHaveRun)
        return 504;
    switch (reply.cause) {
    case Cause::Invalid:
        return 400;
    case Cause::UnknownTeam:
    case Cause::NoTransaction:
        return 404;
    case Cause::Conflict:
    case Cause::Cancelled:
    case Cause::Busy:
    case Cause::Duplicate:
        return 409;
    default:
        return 503;
    }
}

} // namespace

CallerApi::TeamState::TeamState()
    : retryBudget(LimitSettings().retryPercent, MaxSavedRetries)
{
}

// `flow`, `term` and `finished` are guarded by the team state's mutex. The other members don't
// change once the request has started, except `token`, which only the response to the request
// updates.
struct CallerApi::Call
{
    std::string id;           // The request's name in the logs of all hosts.
    std::uint64_t number = 0; // Unique on this host.
    std::uint64_t term = 0;   // The term of the group view that the flow was given last.
    bool finished = false;
    std::string team;
    std::string group;
    std::string className = DefaultClass;
    std::string error; // Why the request was refused before it started; empty otherwise.
    std::shared_ptr<const VersionedTeamSettings> settings;
    std::shared_ptr<TeamState> state;
    SessionToken token;
    bool tokenGiven = false;
    FlowRequest request;
    GatewayRequest gatewayRequest;
    std::unique_ptr<RequestFlow> flow;
    Millis arrived;
    Respond respond;
};

CallerApi::CallerApi(Options options)
    : m_options(std::move(options))
{
}

void CallerApi::handle(const HttpRequest &request, const Respond &respond)
{
    const std::string_view path = targetPath(request.target);
    if (path.starts_with("/v1/teams/"))
        handleTeam(request, respond);
    else if (path == "/healthz")
        respond(
            {.status = m_draining || m_options.view->teams().empty() ? 503 : 200, .body = "{}"});
    else if (path == "/v1/status")
        respond({.body = statusPage()});
    else if (path == "/v1/metrics")
        respond({.body = m_options.metrics->json()});
    else if (path == "/v1/burn")
        respond({.body = burnRatePage()});
    else
        respond({.status = 404, .body = R"({"error":"no such page; see docs/CALLERS.md"})"});
}

void CallerApi::setSettingsAge(Millis age)
{
    m_settingsConfirmedAt = (m_clock.now() - age).count();
}

void CallerApi::handleTeam(const HttpRequest &request, const Respond &respond)
{
    auto call = std::make_shared<Call>();
    call->id = m_options.view->self() + "-" + std::to_string(m_options.incarnation % 1'000'000)
        + "-" + std::to_string(++m_lastRequestNumber);
    call->arrived = m_clock.now();
    call->respond = respond;
    ++m_active;
    if (!parseRequest(request, call.get())) {
        const Cause cause = call->settings ? Cause::Invalid : Cause::UnknownTeam;
        finish(call, {Verdict::NotRun, cause});
        return;
    }
    start(call);
}

bool CallerApi::parseRequest(const HttpRequest &request, Call *call) const
{
    // /v1/teams/TEAM/groups/GROUP/VERB
    const std::vector<std::string> parts
        = pathNames(request.target).value_or(std::vector<std::string>());
    if (parts.size() != 6 || parts[3] != "groups") {
        call->error = "expected /v1/teams/TEAM/groups/GROUP/VERB";
        return false;
    }
    call->team = parts[2];
    call->group = parts[4];
    call->settings = m_options.view->team(call->team);
    if (!call->settings) {
        call->error = "this host has no settings for team " + call->team;
        return false;
    }
    if (!call->settings->settings.groups.contains(call->group)) {
        call->error = "team " + call->team + " has no group " + call->group;
        return false;
    }
    const auto kind = RequestKindNames.value(parts[5]);
    if (!kind || *kind == RequestKind::TransactionStatement) {
        call->error
            = "unknown verb " + parts[5] + "; expected execute, begin, commit, rollback or outcome";
        return false;
    }
    call->request.kind = call->gatewayRequest.kind = *kind;
    readToken(request, call);
    return parseStatement(request, call);
}

bool CallerApi::parseStatement(const HttpRequest &request, Call *call) const
{
    Reason reason;
    const auto body = parseObject(request.body.empty() ? "{}" : request.body, &reason);
    if (!body) {
        call->error = reason.text();
        return false;
    }
    const TeamSettings &settings = call->settings->settings;
    const Millis budget(numberMember(*body, "timeoutMs", settings.timeouts.statement.count()));
    call->request.deadline = call->arrived + std::min(budget, settings.timeouts.statement);
    call->gatewayRequest.requestId = textMember(*body, "requestId");
    const std::string transaction = textMember(*body, "transaction");
    const std::string name = textMember(*body, "statement");
    const auto statement = settings.statements.find(name);
    const bool needsStatement = call->request.kind == RequestKind::Execute;
    if ((needsStatement || !name.empty()) && statement == settings.statements.end()) {
        call->error = "team " + call->team + " declares no statement \"" + name + "\"";
        return false;
    }
    if (statement != settings.statements.end()) {
        call->className = statement->second.priorityClass;
        call->gatewayRequest.write = statement->second.kind == StatementKind::Write;
        call->request.maxAge = statement->second.maxAge;
        if (statement->second.neverRepeat && needsStatement
            && call->gatewayRequest.requestId.empty()) {
            call->error = "statement " + name + " must not be repeated, so it needs a requestId";
            return false;
        }
    }
    if (needsStatement) {
        const json::value *operations = body->if_contains("ops");
        if (!operations || !operations->is_array() || operations->get_array().empty()) {
            call->error = "expected a non-empty array \"ops\"";
            return false;
        }
        call->gatewayRequest.operations = json::serialize(*operations);
    }
    const bool isRead = needsStatement && !call->gatewayRequest.write;
    if (isRead)
        call->gatewayRequest.requestId.clear();
    if (call->request.kind == RequestKind::OutcomeQuery && call->gatewayRequest.requestId.empty()) {
        call->error = "expected a \"requestId\"";
        return false;
    }
    call->request.write = call->gatewayRequest.write || call->request.kind != RequestKind::Execute;
    call->request.requestId = call->gatewayRequest.requestId;
    const bool endsTransaction
        = call->request.kind == RequestKind::Commit || call->request.kind == RequestKind::Rollback;
    if (endsTransaction && transaction.empty()) {
        call->error = "expected a \"transaction\"";
        return false;
    }
    return transaction.empty() || parseTransaction(transaction, call);
}

bool CallerApi::parseTransaction(const std::string &transaction, Call *call) const
{
    // The form is "<host>~<instance>~<rest>". The gateway that has the transaction chose the id.
    const std::size_t first = transaction.find('~');
    const std::size_t second = transaction.find('~', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        call->error = "\"" + transaction + "\" is not a transaction id of this system";
        return false;
    }
    call->request.transactionHost = transaction.substr(0, first);
    call->request.transactionInstance = transaction.substr(first + 1, second - first - 1);
    call->gatewayRequest.transaction = transaction;
    call->request.maxAge.reset();
    if (call->request.kind == RequestKind::Execute)
        call->request.kind = call->gatewayRequest.kind = RequestKind::TransactionStatement;
    return true;
}

void CallerApi::readToken(const HttpRequest &request, Call *call)
{
    const std::string text = receivedToken(request);
    if (text.empty())
        return;
    Reason reason;
    const auto token = SessionToken::decode(text, call->settings->settings.tokenKeys, &reason);
    if (!token) {
        logEvent(LogLevel::Warning, "session.token-rejected",
                 {{"request", call->id}, {"reason", reason.text()}});
        return;
    }
    call->token = *token;
    call->tokenGiven = true;
}

void CallerApi::start(const std::shared_ptr<Call> &call)
{
    call->state = state(call->team);
    if (call->tokenGiven) {
        call->request.token = call->token.position(call->group);
        call->gatewayRequest.requiredPosition = *call->request.token;
    }
    call->gatewayRequest.maxAge = call->request.maxAge;
    call->number = ++m_lastCallNumber;
    call->flow
        = std::make_unique<RequestFlow>(call->request, m_options.view->dataCentre(), call->number);
    const auto view = m_options.view->group(call->team, call->group);
    FlowAction action;
    {
        MutexLock lock(&call->state->mutex);
        call->state->retryBudget.setPercent(call->settings->settings.limits.retryPercent);
        call->state->retryBudget.onFirstAttempt();
        call->state->calls[call->number] = call;
        call->term = view->term;
        action = call->flow->start(call->arrived, *view, call->state->routeHistories[call->group]);
    }
    executeAction(call, 1, action);
}

void CallerApi::executeAction(const std::shared_ptr<Call> &call, int attempt,
                              const FlowAction &action)
{
    switch (action.step) {
    case FlowStep::Send:
        forwardRequest(call, attempt, action);
        break;
    case FlowStep::Wait: {
        const Millis delay = std::max(Millis(1), action.wakeAt - m_clock.now());
        m_options.loop->after(
            delay, [self = shared_from_this(), call, attempt] { self->onWake(call, attempt); });
        break;
    }
    case FlowStep::Finish:
        finish(call, action.reply);
        break;
    }
}

void CallerApi::forwardRequest(const std::shared_ptr<Call> &call, int attempt,
                               const FlowAction &action)
{
    ForwardedRequest forwarded;
    forwarded.team = call->team;
    forwarded.group = call->group;
    forwarded.instance = action.instance;
    forwarded.traceId = call->id;
    forwarded.className = call->className;
    forwarded.timeLeft = std::max(Millis(1), call->request.deadline - m_clock.now());
    forwarded.request = call->gatewayRequest;
    forwarded.request.kind = action.kind;
    forwarded.request.replicaAllowed = action.replica;
    if (action.kind == RequestKind::OutcomeQuery) {
        forwarded.request.transaction.clear();
        forwarded.request.operations.clear();
    }
    logEvent(LogLevel::Debug, "request.forwarded",
             {{"request", call->id}, {"to", action.host}, {"instance", action.instance}});
    const auto onDone = [self = shared_from_this(), call, attempt](const GatewayReply &reply) {
        self->onReply(call, attempt, reply);
    };
    if (action.host == m_options.view->self()) {
        m_options.gateways->submit(forwarded, onDone);
        return;
    }
    const auto client = m_options.peers(action.host);
    if (!client) {
        const bool inTransaction = !call->request.transactionHost.empty();
        onDone({Verdict::NotRun, inTransaction ? Cause::NoTransaction : Cause::Unreachable});
        return;
    }
    client->call({"/work", encodeForwardedRequest(forwarded)},
                 forwarded.timeLeft + ReplyGracePeriod, [onDone](const PeerReply &peerReply) {
                     const auto reply = peerReply.verdict == Verdict::Ran
                         ? decodeReply(peerReply.body, nullptr)
                         : std::nullopt;
                     if (reply)
                         onDone(*reply);
                     else if (peerReply.verdict == Verdict::NotRun)
                         onDone({Verdict::NotRun, Cause::Unreachable});
                     else
                         onDone({Verdict::MayHaveRun, Cause::ConnectionLost});
                 });
}

void CallerApi::onReply(const std::shared_ptr<Call> &call, int attempt, const GatewayReply &reply)
{
    handleFlowEvent(call, attempt, reply,
                    [this, &reply](Call *lockedCall, const GroupView &view, TeamState *state)
                        CICADAGAP_REQUIRES(state->mutex) {
                            return std::optional(lockedCall->flow->onReply(
                                m_clock.now(), view, reply, &state->retryBudget,
                                &state->routeHistories[lockedCall->group]));
                        });
}

void CallerApi::onWake(const std::shared_ptr<Call> &call, int attempt)
{
    handleFlowEvent(call, attempt, {Verdict::NotRun, Cause::UnknownTeam},
                    [this](Call *lockedCall, const GroupView &view, TeamState *state)
                        CICADAGAP_REQUIRES(state->mutex) {
                            return std::optional(lockedCall->flow->onWake(
                                m_clock.now(), view, state->routeHistories[lockedCall->group]));
                        });
}

void CallerApi::handleFlowEvent(const std::shared_ptr<Call> &call, std::optional<int> attempt,
                                const GatewayReply &replyIfRemoved, const FlowEventHandler &event)
{
    const auto view = m_options.view->group(call->team, call->group);
    std::optional<FlowAction> action;
    int next = 0;
    {
        MutexLock lock(&call->state->mutex);
        // An event of an attempt that has been given up is ignored.
        if (call->finished || (attempt && *attempt != call->flow->attempts()))
            return;
        if (view) {
            action = event(call.get(), *view, call->state.get());
            call->term = view->term;
        } else {
            action = FlowAction{}; // The group was removed from the settings.
            action->reply = replyIfRemoved;
        }
        if (!action)
            return;
        call->finished = action->step == FlowStep::Finish;
        next = call->flow->attempts();
    }
    executeAction(call, next, *action);
}

void CallerApi::onViewChanged()
{
    for (const std::string &team : m_options.view->teams()) {
        std::vector<std::shared_ptr<Call>> calls;
        const auto shared = state(team);
        {
            MutexLock lock(&shared->mutex);
            for (const auto &entry : shared->calls) {
                if (auto call = entry.second.lock())
                    calls.push_back(std::move(call));
            }
        }
        for (const auto &call : calls)
            onViewChanged(call);
    }
}

void CallerApi::onViewChanged(const std::shared_ptr<Call> &call)
{
    handleFlowEvent(call, std::nullopt, {Verdict::NotRun, Cause::UnknownTeam},
                    [this](Call *lockedCall, const GroupView &view, TeamState *state)
                        CICADAGAP_REQUIRES(state->mutex) -> std::optional<FlowAction> {
                            if (view.term == lockedCall->term)
                                return std::nullopt;
                            return lockedCall->flow->onViewChanged(
                                m_clock.now(), view, &state->retryBudget,
                                state->routeHistories[lockedCall->group]);
                        });
}

void CallerApi::finish(const std::shared_ptr<Call> &call, const GatewayReply &reply)
{
    const Millis took = m_clock.now() - call->arrived;
    recordMetrics(*call, reply, took);
    const LogLevel level = reply.verdict == Verdict::Ran ? LogLevel::Debug : LogLevel::Info;
    logEvent(level, "request.answered",
             {{"request", call->id},
              {"team", call->team},
              {"group", call->group},
              {"kind", RequestKindNames.name(call->gatewayRequest.kind)},
              {"verdict", VerdictNames.name(reply.verdict)},
              {"cause", CauseNames.name(reply.cause)},
              {"attempts", call->flow ? call->flow->attempts() : 0},
              {"tookMs", took.count()}});
    if (call->state) {
        MutexLock lock(&call->state->mutex);
        call->state->calls.erase(call->number);
    }
    call->respond(buildResponse(call.get(), reply));
    --m_active;
}

void CallerApi::recordMetrics(const Call &call, const GatewayReply &reply, Millis took)
{
    m_options.metrics->add("requests." + std::string(VerdictNames.name(reply.verdict)));
    if (!call.state)
        return;
    m_options.metrics->observe("latency." + call.team + "." + call.className, took);
    if (reply.verdict == Verdict::Ran && call.request.kind == RequestKind::Execute
        && !call.request.write)
        m_options.metrics->add(call.flow->onReplica() ? "reads.replica" : "reads.primary");
    const auto &objectives = call.settings->settings.objectives;
    const auto objective = objectives.find(call.className);
    if (objective == objectives.end())
        return;
    // Errors of the caller (status 4xx) don't count against the objective.
    const bool callerError = httpStatus(reply) >= 400 && httpStatus(reply) < 500;
    const bool good
        = callerError || (reply.verdict == Verdict::Ran && took <= objective->second.latency);
    MutexLock lock(&call.state->mutex);
    call.state->burnTrackers[call.className].record(m_clock.now(), good);
}

HttpResponse CallerApi::buildResponse(Call *call, const GatewayReply &reply) const
{
    json::object body{{"verdict", VerdictNames.name(reply.verdict)}, {"request", call->id}};
    if (reply.cause != Cause::None)
        body["cause"] = CauseNames.name(reply.cause);
    if (!call->error.empty())
        body["error"] = call->error;
    if (!reply.transaction.empty())
        body["transaction"] = reply.transaction;
    if (reply.duplicate)
        body["duplicate"] = true;
    if (!reply.results.empty()) {
        json::error_code error;
        body["results"] = json::parse(reply.results, error);
    }
    if (call->flow && reply.verdict == Verdict::Ran)
        body["replica"] = call->flow->onReplica();
    HttpResponse response;
    response.status = httpStatus(reply);
    if (call->settings) {
        response.headers["cicadagap-settings-age-ms"] = std::to_string(settingsAge().count());
        const bool wrote = reply.verdict == Verdict::Ran && call->request.write
            && call->request.kind != RequestKind::Begin
            && call->request.kind != RequestKind::TransactionStatement;
        if (wrote)
            call->token.advance(call->group, reply.position);
        const std::string token = call->token.encode(call->settings->settings.tokenKeys);
        response.headers[SessionHeader] = token;
        response.headers["set-cookie"] = std::string(SessionHeader) + "=" + token + "; Path=/";
    }
    if (response.status == 503)
        response.headers["retry-after"] = "1";
    response.close = m_draining;
    response.body = json::serialize(body);
    return response;
}

std::string CallerApi::statusPage() const
{
    json::object teams;
    for (const std::string &name : m_options.view->teams()) {
        const auto team = m_options.view->team(name);
        json::object groups;
        for (const auto &group : team->settings.groups) {
            const auto view = m_options.view->group(name, group.first);
            if (view)
                groups[group.first]
                    = json::object{{"primary", view->primary}, {"term", view->term}};
        }
        teams[name] = json::object{{"version", team->version}, {"groups", std::move(groups)}};
    }
    json::object hosts;
    for (const HostInfo &host : m_options.view->hosts()) {
        hosts[host.name] = json::object{{"dataCentre", host.dataCentre},
                                        {"state", HostStateNames.name(host.state)},
                                        {"callers", host.callerAddress}};
    }
    json::object gateways;
    for (const auto &entry : m_options.gateways->counters()) {
        gateways[entry.first] = json::object{{"queued", entry.second.queued},
                                             {"busy", entry.second.busy},
                                             {"connections", entry.second.connections},
                                             {"transactions", entry.second.transactions},
                                             {"awaiting", entry.second.awaiting}};
    }
    return json::serialize(json::object{{"host", m_options.view->self()},
                                        {"dataCentre", m_options.view->dataCentre()},
                                        {"draining", m_draining.load()},
                                        {"active", m_active.load()},
                                        {"settingsAgeMs", settingsAge().count()},
                                        {"teams", std::move(teams)},
                                        {"hosts", std::move(hosts)},
                                        {"gateways", std::move(gateways)}});
}

std::string CallerApi::burnRatePage()
{
    const Millis now = m_clock.now();
    json::array rows;
    for (const std::string &name : m_options.view->teams()) {
        const auto team = m_options.view->team(name);
        const auto shared = state(name);
        MutexLock lock(&shared->mutex);
        for (const auto &objective : team->settings.objectives) {
            json::object row{{"team", name},
                             {"class", objective.first},
                             {"latencyMs", objective.second.latency.count()},
                             {"goodPercent", objective.second.goodPercent}};
            json::array windows;
            for (const Millis length : BurnWindows) {
                const AnswerCounts counts
                    = shared->burnTrackers[objective.first].window(now, length);
                windows.push_back(json::object{
                    {"windowMs", length.count()}, {"good", counts.good}, {"bad", counts.bad}});
            }
            row["windows"] = std::move(windows);
            rows.push_back(std::move(row));
        }
    }
    return json::serialize(json::object{{"burn", std::move(rows)}});
}

std::shared_ptr<CallerApi::TeamState> CallerApi::state(const std::string &team)
{
    MutexLock lock(&m_mutex);
    auto &state = m_teams[team];
    if (!state)
        state = std::make_shared<TeamState>();
    return state;
}

Millis CallerApi::settingsAge() const
{
    return m_clock.now() - Millis(m_settingsConfirmedAt);
}

} // namespace cicadagap
