#ifndef CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_
#define CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_

#include <memory>
#include <mutex>
#include <utility>

namespace camphor {

/// Shared pointer to an immutable value that one thread replaces and all other
/// threads read.
///
/// A mutex guards the pointer copy. The standard library's atomic shared
/// pointer is not used because its readers unlock without release ordering,
/// which is a data race.
template <typename T>
class Published {
 public:
  using Pointer = std::shared_ptr<const T>;

  /// Returns the latest value, or null if none was stored. Thread-safe.
  Pointer Load() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  /// Replaces the value. Thread-safe.
  void Store(Pointer value) {
    // The previous value is destroyed after the lock is released.
    const std::lock_guard lock(mutex_);
    value_.swap(value);
  }

 private:
  mutable std::mutex mutex_;
  Pointer value_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_
