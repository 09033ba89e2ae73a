// What the scripts of the review share: stand-ins for the platform and a database group on an event
// loop of their own thread, session servers as processes, blocking clients, and the record.
#pragma once

#include "base/endpoint.h"
#include "process/eventloop.h"
#include "standindeployment.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int Held = 0;      // Exit codes of a script.
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

// Milliseconds since the start of the script, on the steady clock.
std::int64_t nowMs();
void sleepUntil(std::int64_t instant);

// The record of what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    void line(const std::string &text);
    void lineAt(std::int64_t instant, const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// A free port on the address.
std::uint16_t freePort(const std::string &address);

// A session server, started with the command of the deploy file.
class Host
{
public:
    Host(std::string program, std::string bootFile, int standardOutput);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;
    bool start();
    void signal(int number);
    bool running();

private:
    std::string m_program;
    std::string m_bootFile;
    int m_standardOutput;
    pid_t m_pid = 0;
};

// The answer to a statement, as a client sees it.
struct Answer
{
    bool complete = false; // A whole answer arrived.
    bool succeeded = false;
    std::string error; // The code, if it did not succeed; "closed" or "silent" if it is not complete.
    std::string phase;
};

// A client with a blocking connection. Not thread-safe.
class Client
{
public:
    Client() = default;
    ~Client() { close(); }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    // Connects and opens a session; false if that fails within the limit.
    bool open(const cicadagap::Endpoint &host, const std::string &database, int limitMs);
    bool sendStatement(const std::string &id, const std::string &text);
    Answer receive(int limitMs);
    void close();
    bool isOpen() const { return m_socket >= 0; }

private:
    bool readLine(std::string *line, std::int64_t until, std::string *why);

    int m_socket = -1;
    std::string m_input;
};

// The stand-ins, on a thread of their own.
class Deployment
{
public:
    Deployment(cicadagap::StandinDeployment::Options options,
               cicadagap::DeploymentObserver *observer);
    ~Deployment();
    bool start(std::string *reason);
    // Runs the function on the thread of the stand-ins and waits for it.
    template <typename Function> auto run(Function function)
    {
        using Result = decltype(function(std::declval<cicadagap::StandinDeployment &>()));
        auto promise = std::make_shared<std::promise<Result>>();
        std::future<Result> result = promise->get_future();
        m_loop.post([this, promise, function = std::move(function)]() mutable {
            if constexpr (std::is_void_v<Result>) {
                function(m_deployment);
                promise->set_value();
            } else {
                promise->set_value(function(m_deployment));
            }
        });
        return result.get();
    }

    // As run(); the function also gets the event loop.
    template <typename Function> auto runWithLoop(Function function)
    {
        return run([this, function = std::move(function)](
                       cicadagap::StandinDeployment &deployment) mutable {
            return function(deployment, &m_loop);
        });
    }

private:
    cicadagap::EventLoop m_loop;
    cicadagap::StandinDeployment m_deployment;
    std::thread m_thread;
};

// The settings of one host of a small deployment.
struct HostSettings
{
    std::string name;
    std::string zone = "dc0";
    std::string address = "127.0.0.1";
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    cicadagap::Endpoint store;
    int graceSeconds = 6;
    int drainMs = 7000;
    int stableWindowMs = 4000;
    bool fenced = true;

    std::string text() const;
    cicadagap::Endpoint callers() const { return {.address = address, .port = callerPort}; }
    cicadagap::Endpoint ready() const { return {.address = address, .port = readyPort}; }
};

// Gives the settings free ports, writes them into the folder, and returns the file's path.
std::string writeSettings(HostSettings *settings, const std::string &folder);

// Waits until the host answers its readiness check with 200.
bool waitUntilReady(const cicadagap::Endpoint &endpoint, int limitMs);
// The status of a readiness check; 0 without an answer.
int readiness(const cicadagap::Endpoint &endpoint, int limitMs);

// Whether the disruption is played; false with TROUBLE=0.
bool withTrouble();

} // namespace review
