#ifndef CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_
#define CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_

#include <memory>
#include <mutex>
#include <utility>

namespace camphor {

/// One immutable value that a thread replaces and every other thread reads.
///
/// A lock is held only to copy the pointer: the standard library's atomic
/// shared pointer unlocks its readers without a release, which is a data race.
template <typename T>
class Published {
 public:
  using Pointer = std::shared_ptr<const T>;

  /// The newest value; null before the first. Thread safety: any thread.
  Pointer Load() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  /// Replaces the value. Thread safety: any thread.
  void Store(Pointer value) {
    // The old value is destroyed once the lock is gone.
    const std::lock_guard lock(mutex_);
    value_.swap(value);
  }

 private:
  mutable std::mutex mutex_;
  Pointer value_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_
