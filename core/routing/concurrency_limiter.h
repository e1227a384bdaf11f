#ifndef CAMPHORHILL_CORE_ROUTING_CONCURRENCY_LIMITER_H_
#define CAMPHORHILL_CORE_ROUTING_CONCURRENCY_LIMITER_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/routing/load_report.h"
#include "core/routing/urgency_queue.h"

namespace camphor {

/// Admission control for one target: a fixed number of slots and a short queue
/// ordered by urgency. All other requests are rejected immediately, before they
/// use any resources.
///
/// A request that is likely to miss its soft deadline is rejected immediately,
/// based on moving averages of the service time of its work class and of the
/// deviation: under overload, one response in time is worth more than two late
/// ones. If the queue is full, a more urgent request displaces the least urgent
/// one. Not thread-safe; the current time is passed in.
class ConcurrencyLimiter {
 public:
  struct Options {
    std::uint32_t slots = 10;  ///< maximum number of concurrent requests
    std::uint32_t queue = 20;  ///< maximum queue length
  };

  enum class AdmitResult : std::uint8_t {
    kAdmitted,  ///< holds a slot; call Release when the request ends
    kQueued,    ///< waiting; a Release of another request may grant it a slot
    kFull,      ///< rejected: all slots and queue positions are taken
    kTooLate,   ///< rejected: would not end in time
  };

  /// Queued requests affected by the release of a slot.
  struct ReleaseResult {
    std::optional<std::uint64_t>
        granted{};  ///< request that now holds the slot
    std::vector<std::uint64_t>
        expired{};  ///< dequeued: would miss the deadline
  };

  explicit ConcurrencyLimiter(Options options);

  /// Changes the limits. Running requests are not affected.
  void SetOptions(Options options);

  /// Requests a slot. @pre `id` neither holds a slot nor is queued.
  AdmitResult Acquire(std::uint64_t id, const Urgency& urgency, MonoTime now);

  /// Returns the request that the last Acquire displaced from the queue, if
  /// any. The displaced request counts as rejected.
  std::optional<std::uint64_t> displaced() const { return displaced_; }

  /// Measured service time of one request.
  struct ServiceSample {
    std::uint32_t work_class = 0;  ///< work class of the request
    Microseconds took{0};          ///< service time
    bool failed = false;  ///< no good response: the request may show that the
                          ///< target is slow, but not that it is fast
  };

  /// Releases a slot and grants it to the next queued request, if any. `sample`
  /// is std::nullopt if the request is not evidence about the service time.
  /// @pre The request held a slot.
  ReleaseResult Release(const std::optional<ServiceSample>& sample,
                        MonoTime now);

  /// Removes a request from the queue. Returns false if it is not queued.
  bool Cancel(std::uint64_t id);

  /// Returns the load and the measured speed, for the hosts of callers;
  /// std::nullopt before the first sample. `work_class` selects the class whose
  /// service time is reported.
  std::optional<LoadReport> Report(std::uint32_t work_class) const;

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  /// Moving averages of the service time.
  struct ServiceTime {
    std::uint32_t work_class = 0;
    double mean_us = 0;       ///< 0 until the first sample
    double deviation_us = 0;  ///< mean absolute deviation

    void Record(double sample_us);
  };

  Microseconds ExpectedWait(std::size_t position) const;
  const ServiceTime& ClassServiceTime(std::uint32_t work_class) const;
  bool CanEndInTime(const Urgency& urgency, MonoTime now) const;
  void Record(const ServiceSample& sample);

  Options options_;
  UrgencyQueue queue_;
  std::uint32_t running_ = 0;
  std::optional<std::uint64_t> displaced_;
  ServiceTime service_;                  ///< of all requests
  std::vector<ServiceTime> by_class_{};  ///< of each work class
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_CONCURRENCY_LIMITER_H_
