// The customer's limit on the write gap (the time in which no write is acknowledged) under each
// fault, in simulated time. The primary may change only as often as the fault makes necessary.
#include "writegapmeasurement.h"

#include <gtest/gtest.h>

namespace cicadagap {

class WriteGap : public testing::TestWithParam<std::tuple<std::size_t, std::uint64_t>>
{
};

TEST_P(WriteGap, StaysUnderSixSecondsWithoutNeedlessFailovers)
{
    const WriteGapFault &failure = WriteGapFaults.at(std::get<0>(GetParam()));
    const WriteGapResult gap = measureWriteGap(failure, std::get<1>(GetParam()));
    EXPECT_LT(gap.length, Millis(6000)) << failure.name;
    EXPECT_EQ(gap.changes, failure.changes) << failure.name;
}

INSTANTIATE_TEST_SUITE_P(AllFailures, WriteGap,
                         testing::Combine(testing::Range<std::size_t>(0, WriteGapFaults.size()),
                                          testing::Values(101, 102, 103)));

} // namespace cicadagap
