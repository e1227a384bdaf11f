#ifndef CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_
#define CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_

#include <atomic>
#include <memory>
#include <utility>

namespace camphor {

/// One immutable value that a thread replaces and every other thread reads.
template <typename T>
class Published {
 public:
  using Pointer = std::shared_ptr<const T>;

  /// The newest value; null before the first. Thread safety: any thread.
  Pointer Load() const { return value_.load(); }

  /// Replaces the value. Thread safety: any thread.
  void Store(Pointer value) { value_.store(std::move(value)); }

 private:
  std::atomic<Pointer> value_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_PUBLISHED_H_
