// The Prometheus text format and the JSON report of the metrics.
#include "process/metrics.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <optional>
#include <ostream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace cicadagap {
namespace {

TEST(Metrics, AreWrittenAsText)
{
    Metrics metrics;
    metrics.add("request.refused.no-primary", 2);
    metrics.add("request.refused.no-primary");
    for (int value = 1; value <= 100; ++value)
        metrics.observe("latency", Millis(value));
    const std::string text = metrics.text();
    EXPECT_NE(text.find("# TYPE cicadagap_request_refused_no_primary_total counter\n"
                        "cicadagap_request_refused_no_primary_total 3\n"),
              std::string::npos);
    EXPECT_NE(text.find("# TYPE cicadagap_latency_ms histogram\n"), std::string::npos);
    EXPECT_NE(text.find("cicadagap_latency_ms_bucket{le=\"50\"} 50\n"), std::string::npos);
    EXPECT_NE(text.find("cicadagap_latency_ms_bucket{le=\"+Inf\"} 100\n"), std::string::npos);
    EXPECT_NE(text.find("cicadagap_latency_ms_sum 5050\n"), std::string::npos);
    EXPECT_NE(text.find("cicadagap_latency_ms_count 100\n"), std::string::npos);
    EXPECT_NE(text.find("cicadagap_latency_ms_quantile{quantile=\"0.99\"} "), std::string::npos);
}

constexpr std::size_t MebiByte = 1'048'576;

// Whether the text is well-formed and no series stands in it twice.
testing::AssertionResult isWellFormed(const std::string &text)
{
    static const std::regex type("# TYPE ([a-zA-Z_:][a-zA-Z0-9_:]*) (counter|gauge|histogram)");
    static const std::regex sample(
        "([a-zA-Z_:][a-zA-Z0-9_:]*(\\{(le|quantile)=\"[+0-9.A-Za-z]*\"\\})?) -?[0-9.]+");
    std::set<std::string> seen;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::smatch match;
        if (line.size() > 1000
            || (!std::regex_match(line, match, type) && !std::regex_match(line, match, sample)))
            return testing::AssertionFailure() << "malformed: " << line.substr(0, 200);
        const std::string kind = line.starts_with('#') ? "type " : "series ";
        if (!seen.insert(kind + match[1].str()).second)
            return testing::AssertionFailure() << "twice: " << line;
    }
    return testing::AssertionSuccess();
}

// The sum of all counters in the JSON report; nothing if it is not valid.
std::optional<std::int64_t> sumOfCounters(const Metrics &metrics)
{
    boost::system::error_code error;
    const boost::json::value report = boost::json::parse(metrics.json(), error);
    if (error)
        return std::nullopt;
    std::int64_t sum = 0;
    for (const auto &counter : report.at("counters").as_object())
        sum += counter.value().as_int64();
    return sum;
}

// Two names, of which a caller, operator or store may choose a part.
struct NamePair
{
    std::string name; // Of the test.
    std::string first;
    std::string second;
};

std::ostream &operator<<(std::ostream &out, const NamePair &pair)
{
    return out << pair.name;
}

class MetricNames : public testing::TestWithParam<NamePair>
{
};

// Guards against this failure: a name that comes from outside breaks the format, so that a scraper
// reads none of the metrics, or two names are reported as one series.
TEST_P(MetricNames, GiveTwoSeriesInValidReports)
{
    Metrics metrics;
    for (int i = 0; i < 3; ++i) {
        metrics.add(GetParam().first);
        metrics.add(GetParam().second, 10);
        metrics.observe(GetParam().first, Millis(2));
        metrics.observe(GetParam().second, Millis(5000));
    }
    const std::string text = metrics.text();
    EXPECT_TRUE(isWellFormed(text));
    for (const std::string ending : {"_total 3\n", "_total 30\n", "_ms_sum 6\n", "_ms_sum 15000\n"})
        EXPECT_NE(text.find(ending), std::string::npos) << ending;
    boost::system::error_code error;
    const boost::json::value report = boost::json::parse(metrics.json(), error);
    ASSERT_FALSE(error) << error.message();
    EXPECT_EQ(report.at("counters").as_object().size(), 2U);
    EXPECT_EQ(report.at("latencies").as_object().size(), 2U);
    EXPECT_EQ(sumOfCounters(metrics), 33);
}

INSTANTIATE_TEST_SUITE_P(
    Names, MetricNames,
    testing::Values(NamePair{"plain", "latency.team.entry", "latency.team.report"},
                    NamePair{"dotAndDash", "latency.a.b", "latency.a-b"},
                    NamePair{"dotAndUnderscore", "latency.a.b", "latency.a_b"},
                    NamePair{"blanks", "latency.a b", "latency.a  b"},
                    NamePair{"lineBreaks", "latency.a\r\nb 7\r\n", "latency.a\nb 7\n"},
                    NamePair{"quotes", "a{le=\"1\"}", "a{le=\"2\"}"},
                    NamePair{"nul", std::string("a\0b", 3), std::string("a\0\0b", 4)},
                    NamePair{"noUtf8", "latency.\xff", "latency.\xfe"},
                    NamePair{"wideCharacters", "latency.\u00e9", "latency.\u00e8"},
                    NamePair{"empty", "", "_"},
                    NamePair{"long", std::string(MebiByte, 'a'), std::string(MebiByte, 'a') + "b"}),
    [](const auto &info) { return info.param.name; });

// Guards against this failure: some bytes in a name make the reports unreadable.
TEST(Metrics, AreWellFormedForAnyBytesInTheirNames)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::string> &names) {
        Metrics metrics;
        for (const std::string &name : names) {
            metrics.add(name);
            metrics.observe(name, Millis(1));
        }
        RC_ASSERT(static_cast<bool>(isWellFormed(metrics.text())));
        RC_ASSERT(sumOfCounters(metrics) == static_cast<std::int64_t>(names.size()));
    }));
}

// Guards against this failure: names that come from outside take up memory without bound.
TEST(Metrics, KeepALimitedNumberOfSeriesAndTheSumOfTheRest)
{
    Metrics metrics;
    constexpr int Names = 3 * static_cast<int>(Metrics::MaxSeries);
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < Names; ++i) {
            metrics.add("latency.team" + std::to_string(i));
            metrics.observe("latency.team" + std::to_string(i), Millis(1));
        }
    }
    EXPECT_TRUE(isWellFormed(metrics.text()));
    EXPECT_EQ(sumOfCounters(metrics), 2 * Names);
    const boost::json::value report = boost::json::parse(metrics.json());
    const auto &counters = report.at("counters").as_object();
    const auto &latencies = report.at("latencies").as_object();
    EXPECT_LE(counters.size() + latencies.size(), Metrics::MaxSeries + 2);
    EXPECT_GE(counters.size() + latencies.size(), Metrics::MaxSeries);
    EXPECT_GT(counters.at("other").as_int64(), 0);
    std::uint64_t values = 0;
    for (const auto &entry : latencies)
        values += entry.value().at("count").to_number<std::uint64_t>();
    EXPECT_EQ(values, 2U * Names);
}

} // namespace
} // namespace cicadagap
