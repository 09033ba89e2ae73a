// The surroundings of a small deployment in one process: the platform's store and promotion
// service, one database group, session servers as separate processes, and callers.
#pragma once

#include "base/endpoint.h"
#include "base/millis.h"
#include "instanceserver.h"
#include "process/eventloop.h"
#include "standin_core/replicagroup.h"
#include "storeserver.h"

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using cicadagap::Endpoint;
using cicadagap::EventLoop;
using cicadagap::Millis;

// Writes what was sent, answered and run to a file, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    Millis now() const;

private:
    cicadagap::SteadyClock m_clock;
    Millis m_startedAt;
    std::ofstream m_file;
};

// The replication links of a group with three instances, and what the group runs.
class Links : public cicadagap::ReplicaGroupEnvironment
{
public:
    struct Options
    {
        // How long a commit takes to the first and to the second replica, in the order of their
        // ids: one in the same region, and one in another region.
        Millis near = Millis(1);
        Millis far = Millis(12);
    };

    Links(EventLoop *loop, Options options, Record *record)
        : m_loop(loop)
        , m_options(options)
        , m_record(record)
    {
    }

    void after(Millis delay, std::function<void()> function) override;
    bool canReplicate(const std::string &, const std::string &) override { return true; }
    Millis receiveDelay() override;
    void onRead(const cicadagap::GroupInstance &instance, const cicadagap::InstanceConnection &,
                const cicadagap::Statement &statement) override;
    void onWrite(const cicadagap::GroupInstance &instance, const cicadagap::InstanceConnection &,
                 const cicadagap::Statement &statement) override;
    void onPromoted(const cicadagap::GroupInstance &newPrimary) override;

    struct Promotion
    {
        std::string instance;
        std::uint64_t term = 0;
        std::set<std::string> log; // The ids of the writes that it holds.
        Millis at;
    };
    const std::vector<Promotion> &promotions() const { return m_promotions; }
    // The instance at which each write ran.
    const std::map<std::string, std::string> &writes() const { return m_writes; }

private:
    EventLoop *m_loop;
    Options m_options;
    Record *m_record;
    int m_calls = 0; // Of receiveDelay() in this turn of the loop.
    std::vector<Promotion> m_promotions;
    std::map<std::string, std::string> m_writes;
};

// A session server as a separate process, started with the command of the deploy file.
class Host
{
public:
    struct Options
    {
        std::string name;
        std::string zone;
        Endpoint callers;
        Endpoint readiness;
        std::uint16_t peerPort = 0;
        std::string bootFile;
        std::string log;   // Its output goes to this file, unless `pipe` is set.
        bool pipe = false; // Its output goes to a pipe that this process reads.
    };

    explicit Host(Options options)
        : m_options(std::move(options))
    {
    }
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    bool start();
    void signal(int number);
    bool running();
    const Options &options() const { return m_options; }
    // Reads what the process has written to its pipe and keeps it in the log file.
    void readOutput();
    void setReading(bool reading) { m_reading = reading; }

private:
    Options m_options;
    pid_t m_pid = 0;
    int m_output = -1;
    bool m_reading = true;
};

// The store, the group and the hosts.
class Deployment
{
public:
    // A loopback address that no other run uses.
    static std::string ownAddress();

    struct Options
    {
        std::string work; // Folder for boot files and logs.
        std::string address = ownAddress();
        int hosts = 3;
        bool pipes = false;
        Millis statementTime = Millis(2);
        Links::Options links;
        Millis heartbeat = Millis(1200);
        Millis promotionTime = Millis(300);
        int connections = 22;
        int graceSeconds = 6;
    };

    Deployment(EventLoop *loop, Options options, Record *record);

    bool start();
    static std::string instanceId(int number) { return "i-" + std::to_string(number); }
    // Whether the instance reaches the store.
    void setReachesStore(const std::string &instance, bool reaches);
    bool registered(const std::string &instance) const;
    // When the instance writes to the store the next time.
    Millis nextHeartbeat(const std::string &instance) const;
    // Starts one more replica, which gets the primary's log and receives from then on.
    bool addReplica(const std::string &instance, const std::string &zone);
    // The instance reports that it drains.
    void drain(const std::string &instance);
    std::vector<std::unique_ptr<Host>> &hosts() { return m_hosts; }
    Links &links() { return m_links; }
    cicadagap::ReplicaGroup &group() { return m_group; }
    cicadagap::StoreServer &store() { return m_store; }
    static constexpr const char *GroupName = "ensayos-db";
    static constexpr const char *Database = "pull-log";

private:
    struct Entry
    {
        std::unique_ptr<cicadagap::InstanceServer> server;
        std::string zone;
        bool reachesStore = true;
        bool registered = false;
        bool wasPrimary = false;
        Millis lastHeartbeat = Millis(-1'000'000); // That the store has accepted.
        Millis nextHeartbeat;
        std::uint64_t sequence = 0;
    };

    bool startInstance(const std::string &id, const std::string &zone, Millis firstHeartbeat);
    bool startFront();
    void renew();
    void writeEntry(const std::string &id, Entry *entry);
    cicadagap::PromotionResult promote(const cicadagap::StoreServer::PromotionRequest &request);
    Endpoint freeEndpoint();
    std::string bootText(const Host::Options &host) const;

    EventLoop *m_loop;
    Options m_options;
    Record *m_record;
    Links m_links;
    cicadagap::ReplicaGroup m_group;
    cicadagap::StoreServer m_store;
    // What hosts see of the store: its answers without the header that counts restores, which the
    // pages do not have.
    std::unique_ptr<cicadagap::HttpServer> m_front;
    std::vector<cicadagap::Respond> m_unanswered; // Calls whose connections stay open.
    std::map<std::string, Entry> m_entries;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::set<std::uint16_t> m_ports; // That were given to hosts.
    std::uint64_t m_highestToken = 0;
};

// A caller that writes one item after the other, each outside of a transaction. It closes its
// session if that takes more than 2 s to open, or if a write is not answered by its deadline.
class Writer
{
public:
    struct Answer
    {
        std::string id;
        std::string host;
        Millis sentAt;
        Millis endedAt;
        // COMPLETE, ERROR with its code, CLOSED, TIMEOUT, or NO READY if the session was not opened
        // for it in time; empty while it waits.
        std::string outcome;
    };

    Writer(EventLoop *loop, std::string name, Millis thinkTime, std::function<Host *()> chooseHost,
           Record *record);

    void start() { connect(); }
    void stop() { m_stopping = true; }
    const std::vector<Answer> &answers() const { return m_answers; }
    std::size_t succeeded() const { return m_succeeded; }

private:
    class Connection;

    void connect();
    void onOpened();
    void giveUpAfter(Millis limit, const std::string &outcome);
    void onLine(const std::string &line);
    void onClosed();

    EventLoop *m_loop;
    std::string m_name;
    Millis m_thinkTime; // Between an answer and the next write.
    std::function<Host *()> m_chooseHost;
    Record *m_record;
    std::shared_ptr<Connection> m_connection;
    std::string m_host;
    bool m_open = false;
    bool m_stopping = false;
    std::uint64_t m_attempts = 0; // Sessions that were opened and writes that were sent.
    std::vector<Answer> m_answers;
    std::string m_outcome;
    std::size_t m_succeeded = 0;
};

} // namespace review
