// Tests of the load reports of gateways.
#include "session/loadreports.h"

#include <gtest/gtest.h>

#include <string>

namespace cicadagap {
namespace {

TEST(LoadReports, KeepsTheNewestPlausibleReport)
{
    LoadReports reports;
    reports.onReport(Millis(10), {.instance = "i1", .wait = Millis(3)});
    reports.onReport(Millis(20), {.instance = "i1", .wait = Millis(4)});
    reports.onReport(Millis(30), {.instance = "i1", .wait = Millis(-1)});
    reports.onReport(Millis(30), {.instance = "i2", .queued = 0xFFFFFFFF});
    ASSERT_TRUE(reports.newest("i1"));
    EXPECT_EQ(reports.newest("i1")->load.wait, Millis(4));
    EXPECT_EQ(reports.newest("i1")->at, Millis(20));
    EXPECT_FALSE(reports.newest("i2"));
    reports.keepOnly({"i2"});
    EXPECT_FALSE(reports.newest("i1"));
}

TEST(LoadReports, TellsAnOriginAboutAllInstancesNowAndThen)
{
    LoadReports reports;
    EXPECT_TRUE(reports.takeFullReport(Millis(0), "h1"));
    EXPECT_TRUE(reports.takeFullReport(Millis(0), "h2"));
    EXPECT_FALSE(reports.takeFullReport(Millis(199), "h1"));
    EXPECT_TRUE(reports.takeFullReport(Millis(200), "h1"));
}

TEST(LoadReports, RemembersABoundedNumberOfOrigins)
{
    LoadReports reports;
    for (std::size_t index = 0; index < LoadReports::MaxOrigins; ++index)
        EXPECT_TRUE(reports.takeFullReport(Millis(0), "h" + std::to_string(index)));
    EXPECT_FALSE(reports.takeFullReport(Millis(1), "one more"));
    EXPECT_TRUE(reports.takeFullReport(Millis(300), "one more"));
}

} // namespace
} // namespace cicadagap
