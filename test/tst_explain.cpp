// Tests of `cicadagap explain`: what it finds about a request in log files.
#include "explain.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace cicadagap {
namespace {

constexpr const char *FirstHost
    = R"({"at":1000,"host":"h1","event":"primary.believed","group":"g","instance":"i1"}
{"at":9000,"host":"h1","event":"primary.believed","group":"g","instance":""}
{"at":9100,"host":"h1","event":"request.retried","request":"q7","instance":"i1","cause":"connection-lost"}
{"at":9150,"host":"h1","event":"request.answered","request":"q8","instance":"i2","cause":"none"}
not a log line
{"at":9900,"host":"h1","event":"request.refused","request":"q7","instance":"","cause":"overloaded"}
{"at":9999,"host":"h1","event":"primary.believed","group":"g","instance":"i2"}
)";
constexpr const char *SecondHost
    = R"(collector: {"at":9200,"host":"h2","event":"primary.change.claiming","group":"g"}
)";

struct ExplainCase
{
    const char *name;
    std::string request;
    bool found = true;
    std::string expected;
};

class Explain : public testing::TestWithParam<ExplainCase>
{
};

TEST_P(Explain, PrintsTheEventsOfARequest)
{
    std::istringstream first(FirstHost);
    std::istringstream second(SecondHost);
    std::ostringstream output;
    EXPECT_EQ(explainRequest({.requestId = GetParam().request}, {&first, &second}, &output),
              GetParam().found);
    EXPECT_EQ(output.str(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    All, Explain,
    testing::Values(
        // Events about a primary are only printed for hosts that handled the request, and not if
        // they are much older than its events or later.
        ExplainCase{.name = "refused",
                    .request = "q7",
                    .expected = "1 lines are no log lines and were skipped\n"
                                "  +0 ms h1 primary.believed group=\"g\" instance=\"\"\n"
                                "* +100 ms h1 request.retried request=\"q7\" instance=\"i1\" "
                                "cause=\"connection-lost\"\n"
                                "* +900 ms h1 request.refused request=\"q7\" instance=\"\" "
                                "cause=\"overloaded\"\n"},
        ExplainCase{.name = "unknown",
                    .request = "q9",
                    .found = false,
                    .expected = "1 lines are no log lines and were skipped\n"}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace cicadagap
