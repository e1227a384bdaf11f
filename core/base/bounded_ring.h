#ifndef CAMPHORHILL_CORE_BASE_BOUNDED_RING_H_
#define CAMPHORHILL_CORE_BASE_BOUNDED_RING_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace camphor {

/// Joins one producing thread to one consuming thread without locks or
/// allocation.
///
/// The wake hook runs on the producer's thread after each push that found the
/// ring empty or nearly so; it must be cheap and safe to call from there. A
/// full ring refuses the message: the producer drops it if it is a sample, or
/// holds it back otherwise; refusals are counted.
template <typename T>
class BoundedRing {
 public:
  struct Options {
    std::string name;             ///< label of the metrics of this ring
    std::size_t capacity = 1024;  ///< messages held at most
    std::function<void()>
        wake{};  ///< tells the consumer that there is something to pop
  };

  /// Creates an empty ring. @pre options.capacity > 0.
  explicit BoundedRing(Options options)
      : options_(std::move(options)), queue_(options_.capacity) {}

  /// Appends a message. Returns false, and counts it, when the ring is full.
  /// Thread safety: the producer's thread only.
  bool Push(const T& message) {
    if (!queue_.push(message)) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (options_.wake) options_.wake();
    return true;
  }

  /// Takes the oldest message, if any. Thread safety: the consumer's thread
  /// only.
  std::optional<T> Pop() {
    T message;
    if (!queue_.pop(message)) return std::nullopt;
    return message;
  }

  /// Messages waiting now. Thread safety: the consumer's thread only; elsewhere
  /// it is an estimate.
  std::size_t depth() const { return queue_.read_available(); }

  /// Messages refused since the start. Thread safety: any thread.
  std::uint64_t refused() const {
    return refused_.load(std::memory_order_relaxed);
  }

  /// Label of the metrics of this ring. Thread safety: any thread.
  const std::string& name() const { return options_.name; }

 private:
  Options options_;
  boost::lockfree::spsc_queue<T> queue_;
  std::atomic<std::uint64_t> refused_{0};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_BOUNDED_RING_H_
