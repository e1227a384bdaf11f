#ifndef CAMPHORHILL_NODE_METRICS_TICK_RECORDER_H_
#define CAMPHORHILL_NODE_METRICS_TICK_RECORDER_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "core/base/time.h"
#include "node/metrics/tick_times.h"

namespace camphor {

/// Collects statistics of the tick durations of a thread.
class TickRecorder {
 public:
  TickRecorder();

  /// Adds one tick. Must be called from the thread that ticks.
  void Add(Microseconds duration);

  /// Statistics so far. Must be called from the thread that ticks.
  TickTimes times() const;

 private:
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::p_square_quantile>>
      durations_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_TICK_RECORDER_H_
