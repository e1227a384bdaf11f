#include "proxy/proxy_metrics.h"

#include <fmt/format.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>
#include <string_view>

namespace camphor {
namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.9, 0.99};
constexpr double kMicrosPerSecond = 1e6;

constexpr std::array<std::string_view, 38> kCounterNames = {
    "caller_requests",
    "pipelined_requests",
    "forward_requests",
    "answered",
    "refused_not_run",
    "outcome_unknown",
    "bad_requests",
    "unauthorized",
    "over_quota",
    "cut_answers",
    "cancelled",
    "retries",
    "retries_denied",
    "poison_refused",
    "target_deaths",
    "silent_connections",
    "connects",
    "strangers",
    "slow_callers",
    "connections_refused",
    "overload_refused",
    "buffers_refused",
    "buffers_yielded",
    "connections_yielded",
    "header_fields_refused",
    "handshakes_late",
    "handshakes_displaced",
    "claims_granted",
    "claims_held",
    "claims_not_made",
    "claims_unknown",
    "cold_refused",
    "evacuated_refused",
    "cold_assumed",
    "link_full_refused",
    "hedges_sent",
    "hedges_won",
    "hedges_denied",
};
static_assert(kCounterNames.size() ==
              static_cast<std::size_t>(ProxyMetrics::Counter::kCount));

constexpr std::array<std::string_view, 6> kOutcomeNames = {
    "success", "error", "refused", "timeout", "target_died", "cancelled"};

/// Latency summary, in seconds.
class LatencySummary {
 public:
  void Add(Microseconds latency) {
    accumulator_(static_cast<double>(latency.count()) / kMicrosPerSecond);
  }

  void AppendTo(std::string& text, std::string_view name) const {
    fmt::format_to(std::back_inserter(text), "# TYPE {} summary\n", name);
    const std::size_t count = acc::count(accumulator_);
    for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
      const double value =
          count == 0 ? 0
                     : acc::extended_p_square(
                           accumulator_)[static_cast<std::ptrdiff_t>(index)];
      fmt::format_to(std::back_inserter(text), "{}{{quantile=\"{}\"}} {:.6f}\n",
                     name, kQuantiles[index], value);
    }
    fmt::format_to(std::back_inserter(text), "{}_sum {:.6f}\n{}_count {}\n",
                   name, acc::sum(accumulator_), name, count);
  }

 private:
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                          acc::tag::extended_p_square>>
      accumulator_{acc::extended_p_square_probabilities = kQuantiles};
};

}  // namespace

struct ProxyMetrics::Latencies {
  mutable std::mutex mutex;
  LatencySummary total;
  LatencySummary at_target;
};

ProxyMetrics::ProxyMetrics() : latencies_(std::make_unique<Latencies>()) {}
ProxyMetrics::~ProxyMetrics() = default;

void ProxyMetrics::Count(Counter counter) {
  counters_[static_cast<std::size_t>(counter)].fetch_add(
      1, std::memory_order_relaxed);
}

void ProxyMetrics::OnAnswered(Microseconds total, Microseconds at_target) {
  const std::scoped_lock lock(latencies_->mutex);
  latencies_->total.Add(total);
  latencies_->at_target.Add(at_target);
}

void ProxyMetrics::OnOutcome(RequestOutcome outcome) {
  outcomes_[static_cast<std::size_t>(outcome)].fetch_add(
      1, std::memory_order_relaxed);
}

std::uint64_t ProxyMetrics::Value(Counter counter) const {
  return counters_[static_cast<std::size_t>(counter)].load(
      std::memory_order_relaxed);
}

std::string ProxyMetrics::Text() const {
  std::string text;
  for (std::size_t index = 0; index < kCounters; ++index) {
    fmt::format_to(std::back_inserter(text),
                   "# TYPE camphor_proxy_{0}_total counter\n"
                   "camphor_proxy_{0}_total {1}\n",
                   kCounterNames[index], counters_[index].load());
  }
  text += "# TYPE camphor_proxy_placed_total counter\n";
  for (std::size_t index = 0; index < kOutcomes; ++index) {
    fmt::format_to(std::back_inserter(text),
                   "camphor_proxy_placed_total{{outcome=\"{}\"}} {}\n",
                   kOutcomeNames[index], outcomes_[index].load());
  }
  const std::scoped_lock lock(latencies_->mutex);
  latencies_->total.AppendTo(text, "camphor_proxy_request_seconds");
  latencies_->at_target.AppendTo(text, "camphor_proxy_target_seconds");
  return text;
}

}  // namespace camphor
