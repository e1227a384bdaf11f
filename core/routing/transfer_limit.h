#ifndef CAMPHORHILL_CORE_ROUTING_TRANSFER_LIMIT_H_
#define CAMPHORHILL_CORE_ROUTING_TRANSFER_LIMIT_H_

#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// Admission control for request bodies received from other hosts, by the rate
/// of this host's link, so that small requests do not wait behind large bodies.
///
/// Designed for links of 10 to 200 Mbit/s that are offered more large bodies
/// than they carry. Bodies that are accepted form a backlog that drains at the
/// rate of the link; a body that would make the backlog too long is refused at
/// once, before any of it is sent. If there is no backlog, a body of any size
/// is accepted. Not thread-safe; the current time is passed in.
class TransferLimit {
 public:
  struct Options {
    double bits_per_second = 0;  ///< rate of the link; 0: no limit
  };

  explicit TransferLimit(Options options);

  /// Counts the body and returns true if it is accepted.
  bool TryAcquire(std::uint64_t bytes, MonoTime now);

  /// Releases what is left in the backlog of a body that was never requested.
  /// @pre It was accepted at the given time.
  void Release(std::uint64_t bytes, MonoTime accepted, MonoTime now);

  /// Time in which the bodies that were accepted are received.
  Milliseconds Backlog(MonoTime now);

 private:
  void Drain(MonoTime now);
  double Counted(std::uint64_t bytes) const;

  double bytes_per_second_;  ///< of the link, for bodies; 0: no limit
  double backlog_ = 0;       ///< bytes
  MonoTime drained_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_TRANSFER_LIMIT_H_
