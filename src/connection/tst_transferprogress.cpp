// Tests of TransferProgress: which transfers are given up, and when.
#include "connection/transferprogress.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>

namespace cicadagap {
namespace {

constexpr TransferLimits Limits{
    .idle = Millis(900), .bytesPerWindow = 8000, .window = Millis(2000), .maxBytes = 1'000'000};
constexpr Millis FirstByte(900);

// Pieces of the same length that arrive at regular intervals, and when the transfer is given up.
struct SteadyTransfer
{
    std::string name;
    Millis firstAt;
    Millis interval;
    std::size_t piece = 0;
    int pieces = 0;
    std::optional<Millis> failsAt; // Nothing if it is not.
};

std::ostream &operator<<(std::ostream &output, const SteadyTransfer &transfer)
{
    return output << transfer.name;
}

class SteadyTransfers : public testing::TestWithParam<SteadyTransfer>
{
};

TEST_P(SteadyTransfers, AreJudgedByProgress)
{
    const SteadyTransfer &transfer = GetParam();
    TransferProgress progress(Limits, Millis(0), FirstByte);
    std::optional<Millis> failedAt;
    for (int i = 0; i < transfer.pieces && !failedAt; ++i) {
        const Millis at = transfer.firstAt + transfer.interval * i;
        if (at > progress.deadline()) {
            failedAt = progress.deadline();
            break;
        }
        progress.onBytes(at, transfer.piece);
        if (progress.hasFailed())
            failedAt = at;
    }
    EXPECT_EQ(failedAt, transfer.failsAt);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SteadyTransfers,
    testing::Values(SteadyTransfer{"narrowLink", Millis(100), Millis(60), 1400, 700, std::nullopt},
                    SteadyTransfer{"noFirstByte", Millis(901), Millis(1), 1400, 1, Millis(900)},
                    SteadyTransfer{"pauses", Millis(100), Millis(900), 30'000, 30, std::nullopt},
                    SteadyTransfer{"stops", Millis(100), Millis(901), 30'000, 2, Millis(1000)},
                    SteadyTransfer{"trickles", Millis(100), Millis(500), 1, 100, Millis(2100)},
                    SteadyTransfer{"tooLarge", Millis(0), Millis(10), 100'000, 11, Millis(100)}),
    testing::PrintToStringParamName());

// A fast start does not pay for a trickle after it.
TEST(TransferProgress, JudgesEachWindow)
{
    TransferProgress progress(Limits, Millis(0), FirstByte);
    progress.onBytes(Millis(0), 900'000);
    Millis at(0);
    while (!progress.hasFailed() && at < Millis(60'000)) {
        at = at + Millis(500);
        progress.onBytes(at, 1);
    }
    EXPECT_EQ(at, Millis(4000));
}

} // namespace
} // namespace cicadagap
