#ifndef CAMPHORHILL_CORE_ROUTING_SLOT_GATE_H_
#define CAMPHORHILL_CORE_ROUTING_SLOT_GATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/routing/deadline_queue.h"

namespace camphor {

/// Admits requests to one target: so many run at a time, a few wait in the
/// order of their deadlines, the others are refused before they cost anything.
///
/// A request that could not end before its deadline is refused at once, by the
/// running average of the time that requests take. Not thread safe; time is
/// passed in.
class SlotGate {
 public:
  struct Options {
    std::uint32_t slots = 10;  ///< requests that run at a time
    std::uint32_t queue = 20;  ///< requests that wait at most
  };

  enum class Verdict : std::uint8_t {
    kRun,      ///< holds a slot: call Leave when it ends
    kWait,     ///< queued: Leave of others may hand it a slot
    kFull,     ///< refused: slots and queue are taken
    kTooLate,  ///< refused: would not end before its deadline
  };

  /// Which requests a freed slot concerns.
  struct Handover {
    std::optional<std::uint64_t> granted{};  ///< holds the slot now
    std::vector<std::uint64_t> expired{};    ///< no longer worth running
  };

  explicit SlotGate(Options options);

  /// Takes new limits; requests that run go on.
  void SetOptions(Options options);

  /// Asks for a slot. @pre `id` is not in the gate.
  Verdict Enter(std::uint64_t id, MonoTime deadline, MonoTime now);

  /// Gives a slot back and hands it on. `took` is how long the request ran;
  /// nothing when it says nothing of the target's speed.
  Handover Leave(std::optional<Microseconds> took, MonoTime now);

  /// Takes a waiting request out of the queue. Returns false if it is not
  /// there.
  bool Cancel(std::uint64_t id);

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  Microseconds ExpectedWait(std::size_t position) const;

  Options options_;
  DeadlineQueue queue_;
  std::uint32_t running_ = 0;
  double service_us_ = 0;  ///< running average; 0 until the first
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_SLOT_GATE_H_
