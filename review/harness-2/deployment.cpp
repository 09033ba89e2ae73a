#include "deployment.h"

#include "base64.h"
#include "wirecodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iomanip>

namespace review {

using namespace cicadagap;
namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr const char *Program = "target/cicadagap-sessiond"; // The deploy file's command.
constexpr int Instances = 3;
constexpr int MissedHeartbeats = 3;
constexpr Millis RenewalCheck(10);
// Of callers.
constexpr Millis OpenLimit(2000);
constexpr Millis Deadline(2500);

} // namespace

Record::Record(const std::string &path)
    : m_startedAt(m_clock.now())
    , m_file(path)
{
}

Millis Record::now() const
{
    return m_clock.now() - m_startedAt;
}

void Record::line(const std::string &text)
{
    const std::int64_t ms = now().count();
    m_file << ms / 1000 << '.' << std::setw(3) << std::setfill('0') << ms % 1000 << ' ' << text
           << std::endl;
}

void Links::after(Millis delay, std::function<void()> function)
{
    m_loop->after(delay, std::move(function));
}

// A commit asks once for each replica, in the order of their ids.
Millis Links::receiveDelay()
{
    if (m_calls++ == 0)
        m_loop->post([this] { m_calls = 0; });
    return m_calls == 1 ? m_options.near : m_options.far;
}

void Links::onRead(const GroupInstance &instance, const InstanceConnection &,
                   const Statement &statement)
{
    m_record->line("run " + instance.id + " READ " + statement.id);
}

void Links::onWrite(const GroupInstance &instance, const InstanceConnection &,
                    const Statement &statement)
{
    m_writes[statement.id] = instance.id;
    m_record->line("run " + instance.id + " WRITE " + statement.id);
}

void Links::onPromoted(const GroupInstance &newPrimary)
{
    Promotion promotion{.instance = newPrimary.id, .term = newPrimary.term, .at = m_record->now()};
    for (const GroupLogEntry &entry : newPrimary.log)
        promotion.log.insert(entry.statementId);
    m_record->line("promoted " + newPrimary.id + " term " + std::to_string(newPrimary.term)
                   + " with " + std::to_string(newPrimary.log.size()) + " log entries");
    m_promotions.push_back(std::move(promotion));
}

Host::~Host()
{
    if (m_pid != 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    if (m_output >= 0)
        ::close(m_output);
}

bool Host::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    std::array<int, 2> ends{-1, -1};
    if (m_options.pipe) {
        if (::pipe2(ends.data(), O_CLOEXEC) != 0)
            return false;
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_options.log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = Program;
    std::string boot = "CICADAGAP_BOOT=" + m_options.bootFile;
    const char *path = std::getenv("PATH");
    std::string pathText = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
    const std::array<char *, 2> arguments{program.data(), nullptr};
    const std::array<char *, 3> environment{boot.data(), pathText.data(), nullptr};
    const int error
        = ::posix_spawn(&m_pid, Program, &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (ends[1] >= 0)
        ::close(ends[1]);
    if (m_output >= 0)
        ::close(m_output);
    m_output = ends[0];
    if (error != 0)
        m_pid = 0;
    return error == 0;
}

void Host::signal(int number)
{
    if (running())
        ::kill(m_pid, number);
}

bool Host::running()
{
    if (m_pid == 0)
        return false;
    if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    m_pid = 0;
    return false;
}

void Host::readOutput()
{
    if (m_output < 0 || !m_reading)
        return;
    std::array<char, 65536> buffer{};
    std::ofstream file(m_options.log, std::ios::app);
    ssize_t length = 0;
    while ((length = ::read(m_output, buffer.data(), buffer.size())) > 0)
        file.write(buffer.data(), length);
}

Deployment::Deployment(EventLoop *loop, Options options, Record *record)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_record(record)
    , m_links(loop, m_options.links, record)
    , m_group(&m_links)
    , m_store(loop,
              [this](const StoreServer::PromotionRequest &request) { return promote(request); })
{
}

// Connections come from 127.0.0.1, so that none of them takes a port of the deployment's address.
std::string Deployment::ownAddress()
{
    const int pid = ::getpid();
    return "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + ".7";
}

Endpoint Deployment::freeEndpoint()
{
    for (;;) {
        tcp::acceptor probe(*m_loop->context(),
                            tcp::endpoint(asio::ip::make_address(m_options.address), 0));
        const std::uint16_t port = probe.local_endpoint().port();
        if (m_ports.insert(port).second)
            return {.address = m_options.address, .port = port};
    }
}

bool Deployment::start()
{
    Reason reason;
    if (!m_store.start({.address = m_options.address, .port = 0}, &reason) || !startFront())
        return false;
    const std::array<const char *, 3> zones{"cali-lab", "medellin-lab", "bogota-lab"};
    for (int i = 0; i < Instances; ++i) {
        m_group.add(instanceId(i));
        if (!startInstance(instanceId(i), zones.at(static_cast<std::size_t>(i)),
                           m_record->now() + Millis(100 * i)))
            return false;
    }
    const json::object route{{"name", "r-1"},       {"host", Database},         {"kind", "primary"},
                             {"timeout_ms", 800},   {"target_latency_ms", 400}, {"priority", 1},
                             {"service", GroupName}};
    const json::object service{
        {"name", GroupName}, {"max_connections", m_options.connections}, {"sync_replicas", 1}};
    const json::object configuration{{"version", 7},
                                     {"routes", json::array{route}},
                                     {"services", json::array{service}},
                                     {"limits", json::object{{"transaction_idle_ms", 3000}}}};
    m_store.put("op", "config", json::serialize(configuration));
    m_loop->every(RenewalCheck, [this] { renew(); });
    for (int i = 0; i < m_options.hosts; ++i) {
        Host::Options options{.name = "frontend-" + std::to_string(i + 1),
                              .zone = zones.at(static_cast<std::size_t>(i) % zones.size()),
                              .callers = freeEndpoint(),
                              .readiness = freeEndpoint(),
                              .peerPort = freeEndpoint().port,
                              .pipe = m_options.pipes};
        options.bootFile = m_options.work + "/" + options.name + ".conf";
        options.log = m_options.work + "/" + options.name + ".log";
        std::ofstream(options.bootFile) << bootText(options);
        m_hosts.push_back(std::make_unique<Host>(std::move(options)));
    }
    for (const std::unique_ptr<Host> &host : m_hosts) {
        if (!host->start())
            return false;
    }
    return true;
}

bool Deployment::startInstance(const std::string &id, const std::string &zone,
                               Millis firstHeartbeat)
{
    Reason reason;
    Entry &entry = m_entries[id];
    entry.zone = zone;
    entry.nextHeartbeat = firstHeartbeat;
    entry.server = std::make_unique<InstanceServer>(
        m_loop, &m_group,
        InstanceServer::Options{.id = id,
                                .group = GroupName,
                                .connections = static_cast<std::size_t>(m_options.connections),
                                .statementTime = m_options.statementTime});
    if (!entry.server->start(m_options.address, &reason))
        return false;
    return true;
}

bool Deployment::startFront()
{
    Reason reason;
    m_front = HttpServer::listen(
        m_loop, {.address = m_options.address, .port = 0},
        [this](const HttpRequest &request, const Respond &respond) {
            constexpr Millis Timeout(40'000);
            callOnce(m_loop, m_store.endpoint(), request, Timeout,
                     [this, respond](std::optional<HttpResponse> response, const CallFailure &) {
                         if (!response) {
                             m_unanswered.push_back(respond);
                             return;
                         }
                         response->headers.clear();
                         respond(std::move(*response));
                     });
        },
        &reason);
    return m_front != nullptr;
}

std::string Deployment::bootText(const Host::Options &host) const
{
    std::string text;
    const auto line = [&text](std::string_view name, const std::string &value) {
        text.append(name).append("=").append(value).append("\n");
    };
    const std::string port = std::to_string(host.peerPort);
    line("node_name", host.name);
    line("zone", host.zone);
    line("region", "valle");
    line("ip_address", m_options.address);
    line("listen_addresses.frontend", host.callers.text());
    line("listen_addresses.ready", host.readiness.text());
    line("internal_port_range", port + "," + port);
    line("limits.cpu_share", "0.25");
    line("heartbeat_interval_ms", std::to_string(m_options.heartbeat.count()));
    line("bounds.drain_ms", "7000");
    line("bounds.grace_period_s", std::to_string(m_options.graceSeconds));
    line("bounds.loss_slack_ms", "200");
    line("bounds.stable_window_ms", "5000");
    line("bounds.configuration_apply_ms", "3000");
    line("bounds.fencing_enforced", "true");
    line("platform.address", m_front->endpoint().text());
    line("cloud_api.address", m_front->endpoint().text());
    return text;
}

// The instances' heartbeats. One that does not reach the store tries again at its next heartbeat.
void Deployment::renew()
{
    const Millis now = m_record->now();
    for (auto &[id, entry] : m_entries) {
        const GroupInstance *instance = m_group.find(id);
        const bool changed = entry.wasPrimary != instance->primary;
        if (instance->running && (changed || now >= entry.nextHeartbeat)) {
            entry.nextHeartbeat = now + m_options.heartbeat;
            entry.wasPrimary = instance->primary;
            if (entry.reachesStore)
                writeEntry(id, &entry);
        }
        if (entry.registered
            && now - entry.lastHeartbeat > m_options.heartbeat * MissedHeartbeats) {
            entry.registered = false;
            m_store.remove("servers", id);
            m_record->line("store removes servers/" + id + " after three heartbeat intervals");
        }
    }
}

void Deployment::writeEntry(const std::string &id, Entry *entry)
{
    const GroupInstance *instance = m_group.find(id);
    if (!entry->registered)
        m_record->line("store has servers/" + id + " "
                       + (instance->primary ? "primary" : "replica"));
    entry->registered = true;
    entry->lastHeartbeat = m_record->now();
    m_store.put(
        "servers", id,
        json::serialize(json::object{{"service", GroupName},
                                     {"address", entry->server->endpoint().text()},
                                     {"zone", entry->zone},
                                     {"version", "v1"},
                                     {"slots", 3},
                                     {"state", instance->leaving ? "draining" : "ready"},
                                     {"cold_remaining_ms", 0},
                                     {"database_role", instance->primary ? "primary" : "replica"},
                                     {"born", instance->incarnation},
                                     {"sequence", ++entry->sequence}}));
}

void Deployment::setReachesStore(const std::string &instance, bool reaches)
{
    m_entries.at(instance).reachesStore = reaches;
    m_record->line(instance
                   + (reaches ? " reaches the store again" : " is cut off from the store"));
}

bool Deployment::registered(const std::string &instance) const
{
    return m_entries.at(instance).registered;
}

Millis Deployment::nextHeartbeat(const std::string &instance) const
{
    return m_entries.at(instance).nextHeartbeat;
}

bool Deployment::addReplica(const std::string &instance, const std::string &zone)
{
    m_group.add(instance);
    GroupInstance *replica = m_group.find(instance);
    const GroupInstance *primary = m_group.primary();
    replica->log = primary->log;
    replica->applied = replica->log.size();
    replica->term = primary->term;
    m_record->line(instance + " starts with the log of " + primary->id);
    return startInstance(instance, zone, m_record->now());
}

void Deployment::drain(const std::string &instance)
{
    m_group.find(instance)->leaving = true;
    Entry &entry = m_entries.at(instance);
    entry.nextHeartbeat = m_record->now() + m_options.heartbeat;
    writeEntry(instance, &entry);
    m_record->line("store has accepted that " + instance + " is draining");
}

PromotionResult Deployment::promote(const StoreServer::PromotionRequest &request)
{
    m_record->line("POST /promotion of " + request.instance + " by " + request.holder + " token "
                   + std::to_string(request.fencingToken));
    if (request.fencingToken < m_highestToken)
        return PromotionResult::Fenced;
    m_highestToken = request.fencingToken;
    const GroupInstance *candidate = m_group.find(request.instance);
    if (!candidate || !candidate->running)
        return PromotionResult::NotRunning;
    if (!candidate->primary)
        m_loop->after(m_options.promotionTime,
                      [this, id = request.instance] { m_group.promote(id); });
    return PromotionResult::Accepted;
}

// A caller's connection to a host. Calls no handler after close().
class Writer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(EventLoop *loop, std::function<void(const std::string &)> onLine,
               std::function<void()> onClosed)
        : m_socket(*loop->context())
        , m_onLine(std::move(onLine))
        , m_onClosed(std::move(onClosed))
    {
    }

    void open(const Endpoint &host)
    {
        const tcp::endpoint endpoint(asio::ip::make_address(host.address), host.port);
        m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->fail();
                return;
            }
            self->send(std::string("CONNECT ") + Deployment::Database + " writer\r\n");
            self->read();
        });
    }

    void send(const std::string &text)
    {
        auto bytes = std::make_shared<std::string>(text);
        asio::async_write(m_socket, asio::buffer(*bytes),
                          [self = shared_from_this(), bytes](const error_code &, std::size_t) {});
    }

    void close()
    {
        m_onLine = nullptr;
        m_onClosed = nullptr;
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_socket.close(ignored);
    }

private:
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_input),
            [self = shared_from_this()](const error_code &error, std::size_t length) {
                if (error) {
                    self->fail();
                    return;
                }
                self->m_lines.append({self->m_input.data(), length});
                while (const std::optional<std::string_view> line = self->m_lines.next()) {
                    const auto onLine = self->m_onLine;
                    if (onLine)
                        onLine(std::string(*line));
                }
                self->read();
            });
    }

    void fail()
    {
        const auto onClosed = std::exchange(m_onClosed, nullptr);
        error_code ignored;
        m_socket.close(ignored);
        if (onClosed)
            onClosed();
    }

    tcp::socket m_socket;
    LineBuffer m_lines;
    std::array<char, 4096> m_input{};
    std::function<void(const std::string &)> m_onLine;
    std::function<void()> m_onClosed;
};

Writer::Writer(EventLoop *loop, std::string name, Millis thinkTime,
               std::function<Host *()> chooseHost, Record *record)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_thinkTime(thinkTime)
    , m_chooseHost(std::move(chooseHost))
    , m_record(record)
{
}

void Writer::connect()
{
    if (m_stopping)
        return;
    Host *host = m_chooseHost();
    m_host = host->options().name;
    m_open = false;
    m_connection = std::make_shared<Connection>(
        m_loop, [this](const std::string &line) { onLine(line); }, [this] { onClosed(); });
    m_connection->open(host->options().callers);
    giveUpAfter(OpenLimit, "NO READY");
}

// Closes the session if nothing has come by then, and records the write as not served.
void Writer::giveUpAfter(Millis limit, const std::string &outcome)
{
    m_loop->after(limit, [this, outcome, limit, attempt = ++m_attempts] {
        if (attempt != m_attempts || !m_connection || m_stopping)
            return;
        if (!m_open)
            m_answers.push_back({.id = m_name + "x" + std::to_string(m_answers.size()),
                                 .host = m_host,
                                 .sentAt = m_record->now() - limit});
        m_answers.back().outcome = outcome;
        m_answers.back().endedAt = m_record->now();
        m_record->line("gave up " + m_answers.back().id + " " + outcome);
        m_connection->close();
        onClosed();
    });
}

void Writer::onOpened()
{
    if (m_stopping) {
        m_connection->send("CLOSE\r\n");
        return;
    }
    const std::string id = m_name + "x" + std::to_string(m_answers.size());
    m_answers.push_back({.id = id, .host = m_host, .sentAt = m_record->now()});
    m_record->line("sent " + id + " to " + m_host);
    m_connection->send("QUERY " + id + " WRITE 1a4 d" + id + "\r\n");
    giveUpAfter(Deadline, "TIMEOUT");
}

void Writer::onLine(const std::string &line)
{
    if (line.starts_with("COMPLETE") || line.starts_with("ERROR")) {
        m_outcome = line.starts_with("ERROR") ? line : "COMPLETE";
        return;
    }
    if (!line.starts_with("READY"))
        return;
    if (!m_open) {
        m_open = true;
        onOpened();
        return;
    }
    ++m_attempts; // It was answered in time.
    Answer &answer = m_answers.back();
    answer.endedAt = m_record->now();
    answer.outcome = m_outcome;
    m_succeeded += m_outcome == "COMPLETE" ? 1 : 0;
    m_record->line("answered " + answer.id + " " + m_outcome);
    m_loop->after(m_thinkTime, [this, connection = m_connection] {
        if (connection == m_connection)
            onOpened();
    });
}

void Writer::onClosed()
{
    if (m_open && !m_answers.empty() && m_answers.back().outcome.empty()) {
        m_answers.back().outcome = "CLOSED";
        m_answers.back().endedAt = m_record->now();
        m_record->line("closed " + m_answers.back().id + " without an answer");
    }
    m_connection.reset();
    constexpr Millis ReconnectDelay(40);
    m_loop->after(ReconnectDelay, [this] { connect(); });
}

} // namespace review
