#include "node/metrics/metrics_text.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(MetricsTextGauge, TwoSeriesOfOneMetric_ShareHelpAndType) {
  MetricsText out;
  out.Gauge("camphor_ring_depth", "Waiting.", 3, {{"ring", "mesh"}});
  out.Gauge("camphor_ring_depth", "Waiting.", 0, {{"ring", "a\"b"}});
  EXPECT_EQ(out.text(),
            "# HELP camphor_ring_depth Waiting.\n"
            "# TYPE camphor_ring_depth gauge\n"
            "camphor_ring_depth{ring=\"mesh\"} 3\n"
            "camphor_ring_depth{ring=\"a\\\"b\"} 0\n");
}

TEST(MetricsTextCounter, LargeValue_KeepsEveryDigit) {
  MetricsText out;
  out.Counter("camphor_bytes_total", "Bytes.", 123456789012.0);
  EXPECT_NE(out.text().find("camphor_bytes_total 123456789012\n"),
            std::string::npos);
}

}  // namespace
}  // namespace camphor
