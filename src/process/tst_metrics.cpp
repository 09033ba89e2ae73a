// The Prometheus text format of the metrics.
#include "process/metrics.h"

#include <gtest/gtest.h>

#include <string>

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

} // namespace
} // namespace cicadagap
