#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_DEPARTURE_ARCHIVE_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_DEPARTURE_ARCHIVE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string_view>
#include <vector>

#include "core/base/backoff.h"
#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/membership/target_departure.h"
#include "node/log/log_sink.h"
#include "store/platform_client.h"

namespace camphor {

/// Keeps the departures of this host's targets in a row of the platform, so
/// that they outlive the process.
///
/// Every write is conditional on the row revision read before: a write whose
/// response was lost cannot undo a later one. Must be used from the decisions
/// thread; the caller passes in the current time.
class DepartureArchive {
 public:
  struct Options {
    HostId host;                         ///< this host, key of the row
    PlatformClient* platform = nullptr;  ///< must outlive this object
    LogSink* log = nullptr;              ///< must outlive this object
    Backoff::Options retry{
        .max_delay = Milliseconds(2000)};  ///< delays after failed calls
    Milliseconds max_platform_wait{
        500};  ///< until then, AwaitStored waits for a platform that has not
               ///< failed, even if other hosts hold the departures
    Milliseconds max_wait{800};     ///< limit of AwaitStored
    std::uint64_t random_seed = 1;  ///< seed of the jitter
    std::function<const std::vector<TargetDeparture>&()>
        departures{};  ///< returns all departures of this host's targets
    std::function<bool()> replicated{};  ///< returns true if other hosts hold
                                         ///< all departures()
    std::function<void(const std::vector<TargetDeparture>&)>
        on_loaded{};  ///< receives the departures that were stored
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
  };

  /// @pre All callbacks and pointers are set.
  explicit DepartureArchive(Options options);

  /// Starts the next platform call if it is due. Must be called from the
  /// decisions thread.
  void Tick(MonoTime now);

  /// Stores departures(), which have changed. Must be called from the decisions
  /// thread.
  void OnChanged(MonoTime now);

  /// Calls `done` with true once all departures are stored, or are held by
  /// other hosts while the platform does not store them; with false if neither
  /// happened within `max_wait`. Must be called from the decisions thread.
  void AwaitStored(std::function<void(bool)> done, MonoTime now);

 private:
  struct Waiter {
    std::uint64_t change = 0;      ///< waits until this change is stored
    MonoTime platform_deadline{};  ///< then the copies of other hosts suffice
    MonoTime deadline{};
    std::function<void(bool)> done{};
  };

  void BeginCall(MonoTime now);
  void Read();
  void Write();
  void OnRead(const PlatformResponse& answer);
  void OnWritten(std::uint64_t change, const PlatformResponse& answer);
  void OnFailure(std::string_view call, const PlatformResponse& answer);
  bool IsDurable(const Waiter& waiter) const;
  void NotifyWaiters();

  Options options_;
  Backoff retry_;
  std::mt19937_64 random_;
  std::uint64_t failures_ = 0;   ///< consecutive failed calls
  std::uint64_t change_ = 0;     ///< increases with each change
  std::uint64_t stored_ = 0;     ///< latest change that is stored
  std::uint64_t revision_ = 0;   ///< revision of the row
  bool loaded_ = false;          ///< the row was read at least once
  bool revision_known_ = false;  ///< revision_ is current
  bool call_pending_ = false;    ///< a platform call is in flight
  MonoTime now_{};               ///< time passed to the latest call
  MonoTime next_call_{};         ///< earliest time of the next call
  std::deque<Waiter> waiters_;   ///< ordered by change and deadline
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_DEPARTURE_ARCHIVE_H_
