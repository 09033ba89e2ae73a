#include "testbed.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <sstream>

namespace review {

using cicadagap::Endpoint;

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start)
        .count();
}

void sleepUntil(std::int64_t instant)
{
    const std::int64_t left = instant - nowMs();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

void Record::line(const std::string &text)
{
    lineAt(nowMs(), text);
}

void Record::lineAt(std::int64_t instant, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << instant << " ms  " << text << std::endl;
}

namespace {

int connectTo(const Endpoint &endpoint, int limitMs)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const int one = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
        return handle;
    pollfd wait{.fd = handle, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (::poll(&wait, 1, limitMs) == 1
        && ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0)
        return handle;
    ::close(handle);
    return -1;
}

bool sendAll(int handle, const std::string &text)
{
    return ::send(handle, text.data(), text.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(text.size());
}

} // namespace

std::uint16_t freePort(const std::string &address)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    ::inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    ::bind(handle, reinterpret_cast<sockaddr *>(&local), sizeof local);
    socklen_t length = sizeof local;
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&local), &length);
    ::close(handle);
    return ntohs(local.sin_port);
}

Host::Host(std::string program, std::string bootFile, int standardOutput)
    : m_program(std::move(program))
    , m_bootFile(std::move(bootFile))
    , m_standardOutput(standardOutput)
{
}

Host::~Host()
{
    if (m_pid == 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

bool Host::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, m_standardOutput, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, m_standardOutput, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string variable = "CICADAGAP_BOOT=" + m_bootFile;
    const std::array<char *, 2> arguments{m_program.data(), nullptr};
    const std::array<char *, 2> environment{variable.data(), nullptr};
    const int error = ::posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments.data(),
                                    environment.data());
    posix_spawn_file_actions_destroy(&actions);
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

bool Client::open(const Endpoint &host, const std::string &database, int limitMs)
{
    close();
    const std::int64_t until = nowMs() + limitMs;
    m_socket = connectTo(host, limitMs);
    std::string line;
    std::string why;
    if (m_socket >= 0 && sendAll(m_socket, "CONNECT " + database + " review\r\n")
        && readLine(&line, until, &why) && line.starts_with("READY "))
        return true;
    close();
    return false;
}

bool Client::sendStatement(const std::string &id, const std::string &text)
{
    return m_socket >= 0 && sendAll(m_socket, "QUERY " + id + " " + text + "\r\n");
}

Answer Client::receive(int limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    Answer answer;
    std::string line;
    while (readLine(&line, until, &answer.error)) {
        if (line.starts_with("COMPLETE "))
            answer.succeeded = true;
        if (line.starts_with("ERROR ")) {
            answer.error = line.substr(6, line.find(' ', 6) - 6);
            answer.succeeded = false;
        }
        if (line.starts_with("READY ")) {
            answer.complete = true;
            answer.phase = line.substr(6, 1);
            return answer;
        }
    }
    return answer;
}

void Client::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
    m_input.clear();
}

bool Client::readLine(std::string *line, std::int64_t until, std::string *why)
{
    while (true) {
        const std::size_t end = m_input.find("\r\n");
        if (end != std::string::npos) {
            *line = m_input.substr(0, end);
            m_input.erase(0, end + 2);
            return true;
        }
        pollfd wait{.fd = m_socket, .events = POLLIN, .revents = 0};
        const std::int64_t left = until - nowMs();
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
            *why = "silent";
            return false;
        }
        std::array<char, 4096> bytes{};
        const ssize_t length = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (length <= 0) {
            *why = "closed";
            return false;
        }
        m_input.append(bytes.data(), static_cast<std::size_t>(length));
    }
}

Deployment::Deployment(cicadagap::StandinDeployment::Options options,
                       cicadagap::DeploymentObserver *observer)
    : m_loop({.threads = 1})
    , m_deployment(&m_loop, std::move(options), observer)
{
}

Deployment::~Deployment()
{
    m_loop.stop();
    if (m_thread.joinable())
        m_thread.join();
}

bool Deployment::start(std::string *reason)
{
    cicadagap::Reason why;
    const bool started = m_deployment.start(&why);
    *reason = why.text();
    if (started)
        m_thread = std::thread([this] { m_loop.run(); });
    return started;
}

std::string HostSettings::text() const
{
    std::ostringstream text;
    text << "node_name=" << name << "\nrole=sessions\nmachine_class=frontend\nserves=frontend\n"
         << "ip_address=" << address << "\nzone=" << zone << "\nregion=r0\n"
         << "listen_addresses.frontend=" << address << ':' << callerPort << '\n'
         << "listen_addresses.ready=" << address << ':' << readyPort << '\n'
         << "internal_port_range=" << peerPort << ',' << peerPort << '\n'
         << "bootstrap=true\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n"
         << "limits.file_descriptors=4200\ndiscovery=platform\nheartbeat_interval_ms=1200\n"
         << "bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.stable_window_ms="
         << stableWindowMs << "\nbounds.acknowledge_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms="
         << drainMs << "\nbounds.grace_period_s=" << graceSeconds
         << "\nbounds.loss_slack_ms=200\nbounds.configuration_apply_ms=3000\n"
         << "bounds.regression_window_ms=250\nbounds.outer_ms=12000\nbounds.recovery_s=12\n"
         << "bounds.fencing_enforced=" << (fenced ? "true" : "false") << '\n'
         << "platform.address=" << store.text() << "\nplatform.form=table\n"
         << "cloud_api.address=" << store.text() << "\ncloud_api.duties=promotion\n";
    return text.str();
}

std::string writeSettings(HostSettings *settings, const std::string &folder)
{
    settings->callerPort = freePort(settings->address);
    settings->readyPort = freePort(settings->address);
    settings->peerPort = freePort(settings->address);
    const std::string path = folder + "/" + settings->name + ".conf";
    std::ofstream(path) << settings->text();
    return path;
}

int readiness(const Endpoint &endpoint, int limitMs)
{
    const int handle = connectTo(endpoint, limitMs);
    if (handle < 0)
        return 0;
    int status = 0;
    sendAll(handle, "GET /readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    pollfd wait{.fd = handle, .events = POLLIN, .revents = 0};
    std::array<char, 256> bytes{};
    if (::poll(&wait, 1, limitMs) == 1) {
        const ssize_t length = ::recv(handle, bytes.data(), bytes.size() - 1, 0);
        if (length > 12)
            status = std::atoi(bytes.data() + 9);
    }
    ::close(handle);
    return status;
}

bool waitUntilReady(const Endpoint &endpoint, int limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    while (nowMs() < until) {
        if (readiness(endpoint, 500) == 200)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
