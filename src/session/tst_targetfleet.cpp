// How much work a host starts at an instance, and when the next piece may follow.
#include "session/targetfleet.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadagap {
namespace {

// Opens connections at once and counts what leaves.
class Wire : public TargetOutput
{
public:
    void openTarget(ConnectionId connection, const RegisteredInstance &) override
    {
        opening.push_back(connection);
    }
    void sendToTarget(ConnectionId, const std::vector<Statement> &statements) override
    {
        sent += statements.size();
    }
    void closeTarget(ConnectionId) override { }
    void relayToGateway(ConnectionId, const std::string &, RelayBatch) override { }
    void dropAtGateway(ConnectionId, const std::string &) override { }

    std::vector<ConnectionId> opening;
    std::size_t sent = 0;
};

// Opens a transaction with each piece of work, as reads that must see every commit do.
class Opener : public TargetListener
{
public:
    void onWorkStarted(Millis now, WorkId, ConnectionId connection) override
    {
        started.push_back(connection);
        fleet->send(now, connection, SendPurpose::OpenTransaction, {.kind = StatementKind::Begin});
    }
    void onWorkRefused(Millis, WorkId, Cause) override { }
    void onWorkAnswer(Millis now, WorkId, ConnectionId connection, SendPurpose purpose,
                      StatementKind, Millis, const StatementAnswer &) override
    {
        if (purpose == SendPurpose::OpenTransaction)
            fleet->send(now, connection, SendPurpose::Work, {.kind = StatementKind::Read});
        else
            fleet->release(now, connection);
    }
    void onWorkConnectionLost(Millis, WorkId, ConnectionId, bool) override { }
    void onTargetAsked(Millis, const std::string &) override { }
    void onTargetHeard(Millis, const std::string &) override { }
    void onTargetRefused(Millis, const std::string &) override { }

    TargetFleet *fleet = nullptr;
    std::vector<ConnectionId> started;
};

class Fleet : public testing::Test
{
protected:
    static constexpr int Slots = 2;
    static constexpr int Works = 8;

    // A connection for each piece of work is open, and all of them are submitted in one turn.
    Fleet()
    {
        opener.fleet = &fleet;
        fleet.setInstance(Millis(0), {.id = "i", .slots = Slots}, {.connections = Works}, true);
        for (int i = 0; i < Works; ++i) {
            fleet.openFresh(Millis(0), "i");
            fleet.onOpened(Millis(0), wire.opening.back());
        }
        for (WorkId id = 1; id <= Works; ++id)
            fleet.submit(Millis(1), "i", {.id = id, .giveUpAt = Millis(5000)});
        fleet.flush(Millis(1));
    }

    Wire wire;
    Opener opener;
    TargetFleet fleet{{}, &wire, &opener, [](Millis, const std::string &) { return ""; }};
};

TEST_F(Fleet, KeepsASlotFromTheOpeningToTheStatement)
{
    EXPECT_EQ(opener.started.size(), std::size_t(Slots));
    for (const ConnectionId connection : std::vector(opener.started))
        fleet.onAnswer(Millis(2), connection, {.phase = SessionPhase::Transaction});
    EXPECT_EQ(opener.started.size(), std::size_t(Slots));
    fleet.onAnswer(Millis(9), opener.started[0], {});
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 1);
}

TEST_F(Fleet, GivesTheSlotBackIfTheOpeningFails)
{
    fleet.discard(Millis(2), opener.started[0]);
    fleet.onTick(Millis(3));
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 1);
    fleet.release(Millis(4), opener.started[1]);
    fleet.onAnswer(Millis(5), opener.started[1], {});
    EXPECT_EQ(opener.started.size(), std::size_t(Slots) + 2);
}

} // namespace
} // namespace cicadagap
