#include "node/metrics/tick_recorder.h"

namespace camphor {
namespace {

namespace acc = boost::accumulators;

constexpr double kQuantile = 0.99;

}  // namespace

TickRecorder::TickRecorder()
    : durations_(acc::quantile_probability = kQuantile) {}

void TickRecorder::Add(Microseconds duration) {
  durations_(static_cast<double>(duration.count()));
}

TickTimes TickRecorder::times() const {
  if (acc::count(durations_) == 0) return {};
  return {.count = acc::count(durations_),
          .mean_us = acc::mean(durations_),
          .p99_us = acc::p_square_quantile(durations_),
          .max_us = acc::max(durations_)};
}

}  // namespace camphor
