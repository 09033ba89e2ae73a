// review-2 CASE WORK TROUBLE: plays one case of the second review.
//
// CASE is one of the names at the end of this file, WORK a folder for record.txt, boot files and
// logs, and TROUBLE is 0 to leave the disruption out. Run it from the root of the repository, after
// the build of the deploy file. Exit status: 0 the rule held, 1 it was broken, 2 the case could not
// run.
#include "deployment.h"

#include "process/log.h"

#include <csignal>
#include <iostream>

namespace review {

namespace {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;
constexpr Millis StartLimit(20'000);

// What the cases have in common: the deployment, its callers, and a supervisor that starts hosts
// again.
class Case
{
public:
    struct Writers
    {
        int count = 0;
        Millis thinkTime;
    };

    Case(Deployment::Options options, Writers callers, const std::string &recordFile)
        : loop({.threads = 1})
        , record(recordFile)
        , deployment(&loop, std::move(options), &record)
        , m_callers(callers)
    {
    }

    int run(std::function<void()> afterStart, std::function<int()> judge)
    {
        if (!deployment.start()) {
            std::cerr << "the deployment cannot be started\n";
            return CannotRun;
        }
        for (int i = 0; i < m_callers.count; ++i)
            startWriter(i);
        loop.every(Millis(50), [this] { supervise(); });
        waitForWrites(std::move(afterStart));
        bool interrupted = false;
        loop.onStopSignal([this, &interrupted] {
            interrupted = true;
            loop.stop();
        });
        loop.run();
        return started && !interrupted ? judge() : CannotRun;
    }

    std::size_t succeeded() const
    {
        std::size_t count = 0;
        for (const auto &writer : writers)
            count += writer->succeeded();
        return count;
    }

    EventLoop loop;
    Record record;
    Deployment deployment;
    std::vector<std::unique_ptr<Writer>> writers;
    bool started = false;

private:
    // A caller goes to the next host whenever its connection ends.
    void startWriter(int number)
    {
        auto next = std::make_shared<std::size_t>(static_cast<std::size_t>(number));
        writers.push_back(std::make_unique<Writer>(
            &loop, "w" + std::to_string(number), m_callers.thinkTime,
            [this, next] {
                auto &hosts = deployment.hosts();
                return hosts[(*next)++ % hosts.size()].get();
            },
            &record));
        writers.back()->start();
    }

    void supervise()
    {
        for (const auto &host : deployment.hosts()) {
            host->readOutput();
            if (host->running())
                continue;
            record.line(host->options().name + " starts again");
            host->start();
        }
    }

    void waitForWrites(std::function<void()> then)
    {
        constexpr std::size_t Enough = 300;
        if (succeeded() >= Enough) {
            started = true;
            then();
            return;
        }
        if (record.now() > StartLimit) {
            std::cerr << "no writes are answered\n";
            loop.stop();
            return;
        }
        loop.after(Millis(20), [this, then] { waitForWrites(then); });
    }

    Writers m_callers;
};

// Whether the instance that was promoted first holds all writes that the old primary ran and that
// were acknowledged to their callers.
int judgePromotedLog(Case &test, const std::string &primary)
{
    const auto &promotions = test.deployment.links().promotions();
    if (promotions.empty()) {
        std::cerr << "no instance was promoted\n";
        return CannotRun;
    }
    const Links::Promotion &first = promotions.front();
    int acknowledged = 0;
    int lost = 0;
    for (const auto &writer : test.writers) {
        for (const Writer::Answer &answer : writer->answers()) {
            const auto ran = test.deployment.links().writes().find(answer.id);
            if (answer.outcome != "COMPLETE" || ran == test.deployment.links().writes().end()
                || ran->second != primary)
                continue;
            ++acknowledged;
            if (first.log.contains(answer.id))
                continue;
            ++lost;
            test.record.line("LOST: " + answer.id + " was acknowledged at "
                             + std::to_string(answer.endedAt.count())
                             + " ms and is not in the log of " + first.instance + ", promoted at "
                             + std::to_string(first.at.count()) + " ms");
        }
    }
    std::cout << acknowledged << " writes acknowledged by " << primary << ", " << lost
              << " of them not in the log of " << first.instance << ", which was promoted\n";
    return lost > 0 ? RuleBroken : RuleHeld;
}

// A replica is cut off from the store for 5 s, so that its entry is removed, while it receives as
// before. Meanwhile the hosts are restarted and the primary is released.
int unlistedReplica(const std::string &work, bool trouble)
{
    constexpr Millis CutTime(5000);
    const std::string primary = Deployment::instanceId(0);
    const std::string nearReplica = Deployment::instanceId(1);
    Case test({.work = work}, {.count = 12, .thinkTime = Millis(3)}, work + "/record.txt");
    std::function<void()> waitForHeartbeat;
    const auto begin = [&] {
        for (const auto &host : test.deployment.hosts()) {
            test.record.line("SIGTERM to " + host->options().name);
            host->signal(SIGTERM);
        }
        test.loop.after(Millis(100), [&] {
            if (trouble)
                test.deployment.setReachesStore(nearReplica, false);
        });
        test.loop.after(Millis(100) + CutTime, [&] {
            if (trouble)
                test.deployment.setReachesStore(nearReplica, true);
        });
        test.loop.after(Millis(3700), [&] { test.deployment.drain(primary); });
        test.loop.after(Millis(10'000), [&] { test.loop.stop(); });
    };
    // The cut begins shortly before a heartbeat.
    waitForHeartbeat = [&] {
        const Millis left = test.deployment.nextHeartbeat(nearReplica) - test.record.now();
        if (left > Millis(130) && left < Millis(160))
            begin();
        else
            test.loop.after(Millis(5), waitForHeartbeat);
    };
    return test.run(waitForHeartbeat, [&] { return judgePromotedLog(test, primary); });
}

// The primary is released, and 2 s later a replica: its successor starts first. The platform does
// not answer promotion requests for 6 s, and carries each of them out 3.5 s after it was sent.
int latePromotion(const std::string &work, bool trouble)
{
    constexpr Millis ReleaseGap(2000);
    constexpr Millis FaultTime(6000);
    constexpr Millis LateBy(3500);
    const std::string primary = Deployment::instanceId(0);
    const std::string next = Deployment::instanceId(1);
    Case test({.work = work}, {.count = 12, .thinkTime = Millis(3)}, work + "/record.txt");
    const auto begin = [&] {
        test.loop.after(Millis(4000), [&] {
            if (trouble)
                test.deployment.store().faults().promotionDelay = LateBy;
            test.deployment.drain(primary);
        });
        test.loop.after(Millis(4000) + ReleaseGap, [&] {
            test.deployment.addReplica(Deployment::instanceId(3), "medellin-lab");
            test.deployment.drain(next);
        });
        test.loop.after(Millis(4000) + FaultTime,
                        [&] { test.deployment.store().faults().promotionDelay = Millis(0); });
        test.loop.after(Millis(14'000), [&] { test.loop.stop(); });
    };
    return test.run(begin, [&] { return judgePromotedLog(test, primary); });
}

// All processes are killed and start again, and from then on nothing reads what they write to
// standard output.
int unreadLog(const std::string &work, bool trouble)
{
    constexpr Millis RecoveryTime(12'000);
    constexpr Millis JudgedTime(12'000);
    Case test({.work = work, .pipes = true}, {.count = 150, .thinkTime = Millis(1000)},
              work + "/record.txt");
    Millis faultAt;
    const auto begin = [&] {
        test.loop.after(Millis(5000), [&] {
            faultAt = test.record.now();
            for (const auto &host : test.deployment.hosts()) {
                test.record.line("SIGKILL to " + host->options().name);
                host->signal(SIGKILL);
                host->setReading(!trouble);
            }
            if (trouble)
                test.record.line("the hosts' output is not read from now on");
        });
        test.loop.after(Millis(5000) + RecoveryTime + JudgedTime, [&] { test.loop.stop(); });
    };
    return test.run(begin, [&] {
        // Rates, as a caller that waits sends no further request.
        int before = 0;
        int sent = 0;
        int served = 0;
        for (const auto &writer : test.writers) {
            for (const Writer::Answer &answer : writer->answers()) {
                const bool success = answer.outcome == "COMPLETE";
                if (answer.sentAt >= faultAt - Millis(4000) && answer.sentAt < faultAt)
                    before += success ? 1 : 0;
                if (answer.sentAt < faultAt + RecoveryTime)
                    continue;
                ++sent;
                served += success ? 1 : 0;
            }
        }
        std::cout << before << " writes served in the 4 s before the fault, " << served << " of "
                  << sent << " sent later than " << RecoveryTime.count() << " ms after it in "
                  << JudgedTime.count() << " ms\n";
        if (before == 0)
            return CannotRun;
        return served * 4 < sent || sent == 0 ? RuleBroken : RuleHeld;
    });
}

int runCase(const std::string &name, const std::string &work, bool trouble)
{
    if (name == "unlisted-replica")
        return unlistedReplica(work, trouble);
    if (name == "late-promotion")
        return latePromotion(work, trouble);
    if (name == "unread-log")
        return unreadLog(work, trouble);
    std::cerr << "there is no case " << name << '\n';
    return CannotRun;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: review-2 CASE WORK TROUBLE\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    cicadagap::startLog({.program = "review-2", .host = "standin"});
    const int status = review::runCase(argv[1], argv[2], std::string(argv[3]) != "0");
    std::cout.flush();
    return status;
}
