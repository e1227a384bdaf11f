#ifndef CAMPHORHILL_CORE_ROUTING_CONCURRENCY_LIMITER_H_
#define CAMPHORHILL_CORE_ROUTING_CONCURRENCY_LIMITER_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/routing/urgency_queue.h"

namespace camphor {

/// Admits requests to one target: so many run at a time, a few wait in the
/// order of their urgency, the others are refused before they cost anything.
///
/// A request that would likely not end in the time it is wanted by is refused
/// at once, by the running average and deviation of the time that requests of
/// its class take: while more is asked than the target can do, an answer in
/// time is worth more than two late ones. A more urgent request takes the place
/// of the least urgent one in a full queue. Not thread safe; time is passed in.
class ConcurrencyLimiter {
 public:
  struct Options {
    std::uint32_t slots = 10;  ///< requests that run at a time
    std::uint32_t queue = 20;  ///< requests that wait at most
  };

  enum class AdmitResult : std::uint8_t {
    kAdmitted,  ///< holds a slot: call Release when it ends
    kQueued,    ///< queued: Release of others may hand it a slot
    kFull,      ///< refused: slots and queue are taken
    kTooLate,   ///< refused: would not end in time
  };

  /// Which requests a freed slot concerns.
  struct ReleaseResult {
    std::optional<std::uint64_t> granted{};  ///< holds the slot now
    std::vector<std::uint64_t> expired{};    ///< no longer worth running
  };

  explicit ConcurrencyLimiter(Options options);

  /// Takes new limits; requests that run go on.
  void SetOptions(Options options);

  /// Asks for a slot. @pre `id` is not in the gate.
  AdmitResult Acquire(std::uint64_t id, const Urgency& urgency, MonoTime now);

  /// The request that the last Acquire put out of the queue, if any: it is
  /// refused.
  std::optional<std::uint64_t> displaced() const { return displaced_; }

  /// What a request that ended says of the target's speed.
  struct ServiceSample {
    std::uint32_t work_class = 0;  ///< class of the request
    Microseconds took{0};          ///< how long it ran
  };

  /// Gives a slot back and hands it on. `ended` is nothing when the request
  /// says nothing of the target's speed.
  ReleaseResult Release(const std::optional<ServiceSample>& ended,
                        MonoTime now);

  /// Takes a waiting request out of the queue. Returns false if it is not
  /// there.
  bool Cancel(std::uint64_t id);

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  /// Running averages of the time that requests take.
  struct ServiceTime {
    std::uint32_t work_class = 0;
    double mean_us = 0;       ///< 0 until the first
    double deviation_us = 0;  ///< mean distance from the mean

    void Learn(double sample_us);
  };

  Microseconds ExpectedWait(std::size_t position) const;
  const ServiceTime& ServiceOf(std::uint32_t work_class) const;
  bool EndsInTime(const Urgency& urgency, MonoTime now) const;
  void Learn(const ServiceSample& ended);

  Options options_;
  UrgencyQueue queue_;
  std::uint32_t running_ = 0;
  std::optional<std::uint64_t> displaced_;
  ServiceTime service_;                  ///< of all requests
  std::vector<ServiceTime> by_class_{};  ///< the same for each class
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_CONCURRENCY_LIMITER_H_
