#include "platformserver.h"

#include "connection/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr std::size_t DefaultScanLimit = 100;

json::object encodeRow(const std::string &key, const PlatformRow &row)
{
    return {{"key", key}, {"version", row.version}, {"value", row.value}, {"epoch", row.epoch}};
}

HttpResponse answer(const json::object &object)
{
    return {.body = json::serialize(object)};
}

HttpResponse badRequest(const std::string &text)
{
    return {.status = 400, .body = json::serialize(json::object{{"error", text}})};
}

} // namespace

PlatformServer::PlatformServer(EventLoop *loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
{
    m_hostLists.emplace_back(Millis(), m_options.hosts);
}

bool PlatformServer::start(Reason *reason)
{
    const auto handler
        = [this](const HttpRequest &request, const Respond &respond) { handle(request, respond); };
    m_server = HttpServer::listen(m_loop, m_options.listen, handler, reason);
    return m_server != nullptr;
}

void PlatformServer::handle(const HttpRequest &request, const Respond &respond)
{
    if (targetPath(request.target) == "/control") {
        respond(control(request.body));
        return;
    }
    if (m_down)
        return; // Never answered; only the caller's timeout can detect that.
    if (m_delay.count() == 0) {
        route(request, respond);
        return;
    }
    m_loop->after(m_delay, [this, request, respond] { route(request, respond); });
}

void PlatformServer::route(const HttpRequest &request, const Respond &respond)
{
    const std::string_view path = targetPath(request.target);
    if (path == "/table/transact") {
        ++m_writes;
        bool applied = false;
        const HttpResponse response = transact(request.body, &applied);
        if (applied && m_loseAnswers > 0)
            --m_loseAnswers;
        else
            respond(response);
        return;
    }
    ++m_reads;
    if (path == "/table/row")
        respond(row(request.target));
    else if (path == "/table/scan")
        respond(scan(request.target));
    else if (path.starts_with("/objects/"))
        respond(objects(request));
    else if (path == "/hosts")
        respond(hosts(request));
    else
        respond({.status = 404, .body = "{}"});
}

HttpResponse PlatformServer::row(const std::string &target)
{
    const std::string key = queryValue(target, "key").value_or("");
    json::object object = encodeRow(key, m_table.row(key).value_or(PlatformRow{}));
    object["tableEpoch"] = m_table.epoch();
    return answer(object);
}

HttpResponse PlatformServer::scan(const std::string &target)
{
    const std::string limitText = queryValue(target, "limit").value_or("");
    std::size_t limit = DefaultScanLimit;
    std::from_chars(limitText.data(), limitText.data() + limitText.size(), limit);
    json::array rows;
    for (const auto &row : m_table.scan(queryValue(target, "prefix").value_or(""),
                                        queryValue(target, "after").value_or(""), limit))
        rows.push_back(encodeRow(row.first, row.second));
    return answer({{"rows", std::move(rows)}, {"tableEpoch", m_table.epoch()}});
}

HttpResponse PlatformServer::transact(const std::string &body, bool *applied)
{
    Reason reason;
    const auto object = parseObject(body, &reason);
    const json::value *checks = object ? object->if_contains("checks") : nullptr;
    const json::value *writes = object ? object->if_contains("writes") : nullptr;
    if (!checks || !checks->is_array() || !writes || !writes->is_array())
        return badRequest("expected arrays \"checks\" and \"writes\"");
    std::vector<RowCheck> rowChecks;
    for (const json::value &check : checks->get_array()) {
        if (check.is_object())
            rowChecks.push_back(
                {textMember(check.get_object(), "key"),
                 static_cast<std::uint64_t>(numberMember(check.get_object(), "version"))});
    }
    std::vector<RowWrite> rowWrites;
    for (const json::value &write : writes->get_array()) {
        if (write.is_object())
            rowWrites.push_back(
                {textMember(write.get_object(), "key"), textMember(write.get_object(), "value")});
    }
    *applied = m_table.transact(rowChecks, rowWrites,
                                static_cast<std::uint64_t>(numberMember(*object, "epoch")));
    return *applied ? HttpResponse{.body = "{}"} : HttpResponse{.status = 409, .body = "{}"};
}

HttpResponse PlatformServer::objects(const HttpRequest &request)
{
    const std::string name(targetPath(request.target).substr(std::string_view("/objects/").size()));
    if (request.method == "PUT") {
        m_objects[name] = request.body;
        return {.body = "{}"};
    }
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return {.status = 404, .body = "{}"};
    return {.body = found->second};
}

HttpResponse PlatformServer::hosts(const HttpRequest &request)
{
    const Millis now = m_clock.now();
    if (request.method == "POST") {
        m_hostLists.emplace_back(now, request.body);
        return {.body = "{}"};
    }
    while (m_hostLists.size() > 1 && m_hostLists[1].first + m_options.lag <= now)
        m_hostLists.pop_front();
    return {.body = m_hostLists.front().second};
}

HttpResponse PlatformServer::control(const std::string &body)
{
    Reason reason;
    const auto object = parseObject(body, &reason);
    if (!object)
        return badRequest(reason.text());
    if (object->contains("down"))
        m_down = flagMember(*object, "down");
    if (flagMember(*object, "keepCopy"))
        m_table.keepCopy();
    if (flagMember(*object, "putBack"))
        m_table.putBack();
    m_delay = Millis(numberMember(*object, "delayMs", m_delay.count()));
    m_loseAnswers = static_cast<int>(numberMember(*object, "loseAnswers", m_loseAnswers));
    m_options.lag = Millis(numberMember(*object, "lagMs", m_options.lag.count()));
    return answer({{"reads", m_reads}, {"writes", m_writes}});
}

} // namespace cicadagap
