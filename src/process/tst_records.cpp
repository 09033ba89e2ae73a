#include "process/gossip.h"
#include "process/membership.h"
#include "process/recordstore.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

namespace cicadagap {

TEST(RecordStore, NeverReturnsToALowerVersion)
{
    EXPECT_TRUE(rc::check([] {
        const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(1, 20));
        RecordStore store;
        std::uint64_t highest = 0;
        for (const std::uint64_t version : versions) {
            store.merge({"settings/t", version, "v" + std::to_string(version)});
            highest = std::max(highest, version);
            RC_ASSERT(store.find("settings/t")->version == highest);
        }
    }));
}

TEST(RecordStore, StoresWithEqualRecordsHaveEqualHashes)
{
    RecordStore left;
    RecordStore right;
    left.merge({"a", 1, "x"});
    left.merge({"b", 2, "y"});
    right.merge({"b", 1, "old"});
    right.merge({"b", 2, "y"});
    EXPECT_NE(left.hash(), right.hash());
    right.merge({"a", 1, "x"});
    EXPECT_EQ(left.hash(), right.hash());
    right.remove("a");
    left.remove("a");
    EXPECT_EQ(left.hash(), right.hash());
}

namespace {

constexpr Millis RoundInterval(500);
constexpr Millis MaxSettingsDelay(12'000); // Required by the customer for settings.

// Simulates hosts that gossip in rounds of one exchange interval.
class GossipSimulation
{
public:
    GossipSimulation(int hosts, std::uint64_t seed)
        : m_random(seed)
    {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(hosts));
        for (int i = 0; i < hosts; ++i)
            names.push_back("h" + std::to_string(i));
        for (const std::string &name : names) {
            auto &host = m_hosts[name];
            host = std::make_unique<Host>();
            host->gossip = std::make_unique<Gossip>(Gossip::Options{.self = name}, &host->store,
                                                    m_random.next());
            host->gossip->setPeers(names);
        }
    }

    Gossip &gossip(const std::string &name) { return *m_hosts.at(name)->gossip; }

    // Simulates one round in which `lossPercent` percent of the messages are lost.
    void round(std::uint64_t lossPercent)
    {
        m_now = m_now + RoundInterval;
        std::deque<std::pair<std::string, GossipSend>> queue;
        const auto add = [&queue](const std::string &from, const std::vector<GossipSend> &sends) {
            for (const GossipSend &send : sends)
                queue.emplace_back(from, send);
        };
        for (const auto &host : m_hosts)
            add(host.first, host.second->gossip->onTick(m_now));
        while (!queue.empty()) {
            const auto [from, send] = queue.front();
            queue.pop_front();
            if (m_random.below(100) < lossPercent)
                continue;
            std::vector<Record> changed;
            add(send.to, m_hosts.at(send.to)->gossip->onMessage(from, send.message, &changed));
        }
    }

    bool allHave(const std::string &key, std::uint64_t version) const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &host) {
            const Record *record = host.second->store.find(key);
            return record && record->version == version;
        });
    }

private:
    struct Host
    {
        RecordStore store;
        std::unique_ptr<Gossip> gossip;
    };

    Random m_random;
    Millis m_now;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
};

} // namespace

class GossipLoss : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(GossipLoss, ReachesAllHostsWithinTheRequiredTime)
{
    GossipSimulation simulation(100, 42 + GetParam());
    simulation.gossip("h3").publish({"settings/t", 1, "one"});
    simulation.gossip("h9").publish({"settings/t", 2, "two"});
    int rounds = 0;
    while (!simulation.allHave("settings/t", 2) && rounds < 100) {
        simulation.round(GetParam());
        ++rounds;
    }
    EXPECT_LE(RoundInterval * rounds, MaxSettingsDelay);
}

INSTANTIATE_TEST_SUITE_P(Loss, GossipLoss, testing::Values(0, 10, 30));

namespace {

HostInfo host(const std::string &name, std::uint64_t incarnation = 1)
{
    return {.name = name, .dataCentre = "cali", .incarnation = incarnation};
}

Membership threeHosts()
{
    Membership membership({.self = host("a")}, 1);
    membership.onHost(Millis(0), host("b"));
    membership.onHost(Millis(0), host("c"));
    return membership;
}

} // namespace

TEST(Membership, DeclaresAHostDeadOnlyAfterASecondOpinion)
{
    Membership membership = threeHosts();
    int directProbes = 0;
    std::optional<HostInfo> dead;
    for (std::int64_t i = 0; i < 20 && !dead; ++i) {
        for (const ProbeRequest &probe : membership.onTick(Millis(i * 500))) {
            const bool reached = probe.target == "c";
            if (probe.target == "b" && probe.via.empty())
                ++directProbes;
            if (const auto found = membership.onProbe(Millis(i * 500), probe, reached)) {
                EXPECT_EQ(probe.via, "c");
                dead = found;
            }
        }
    }
    ASSERT_TRUE(dead);
    EXPECT_EQ(dead->name, "b");
    EXPECT_EQ(directProbes, 3);
    EXPECT_EQ(membership.aliveIn("cali"), (std::vector<std::string>{"a", "c"}));
}

TEST(Membership, OneBrokenLinkDoesNotMakeAHostDead)
{
    Membership membership = threeHosts();
    for (std::int64_t i = 0; i < 100; ++i) {
        for (const ProbeRequest &probe : membership.onTick(Millis(i * 500))) {
            const bool reached = probe.target == "c" || !probe.via.empty();
            EXPECT_FALSE(membership.onProbe(Millis(i * 500), probe, reached));
        }
    }
}

TEST(Membership, RefutesReportsOfItsOwnDeath)
{
    Membership membership = threeHosts();
    HostInfo falseReport = host("a");
    falseReport.state = HostState::Dead;
    const auto refutation = membership.onHost(Millis(1), falseReport);
    ASSERT_TRUE(refutation);
    EXPECT_GT(hostVersion(*refutation), hostVersion(falseReport));
    EXPECT_EQ(refutation->state, HostState::Alive);
}

TEST(Membership, PlatformListNeverMakesADeadHostAlive)
{
    Membership membership = threeHosts();
    HostInfo dead = host("b");
    dead.state = HostState::Dead;
    membership.onHost(Millis(0), dead);
    membership.onPlatformList(Millis(1), {host("b"), host("c")});
    EXPECT_EQ(membership.aliveIn("cali"), (std::vector<std::string>{"a", "c"}));
    HostInfo leaving = host("c");
    leaving.state = HostState::Leaving;
    EXPECT_EQ(membership.onPlatformList(Millis(2), {leaving}).size(), 1U);
    EXPECT_EQ(membership.aliveIn("cali"), (std::vector<std::string>{"a"}));
    // A host that was started again under the same name has a higher incarnation.
    membership.onHost(Millis(3), host("b", 2));
    EXPECT_EQ(membership.aliveIn("cali"), (std::vector<std::string>{"a", "b"}));
}

TEST(Membership, RemovesDeadHostsAndIgnoresLateReportsOfThem)
{
    Membership membership = threeHosts();
    HostInfo dead = host("b");
    dead.state = HostState::Dead;
    membership.onHost(Millis(0), dead);
    membership.onTick(Millis(600'000));
    EXPECT_EQ(membership.takeRemoved(), (std::vector<std::string>{"b"}));
    membership.onHost(Millis(600'001), dead);
    EXPECT_EQ(membership.find("b"), nullptr);
}

} // namespace cicadagap
