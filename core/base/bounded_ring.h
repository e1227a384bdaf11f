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

/// Lock-free, bounded single-producer single-consumer queue. Push and Pop do
/// not allocate.
///
/// The wake callback runs on the producer thread after each successful push; it
/// must be cheap and safe to call from there. A full ring rejects the message
/// and counts the rejection; the producer then drops the message if it is a
/// sample, and retains it otherwise.
template <typename T>
class BoundedRing {
 public:
  struct Options {
    std::string name;              ///< metrics label
    std::size_t capacity = 1024;   ///< maximum number of messages
    std::function<void()> wake{};  ///< notifies the consumer of a new message
  };

  /// Creates an empty ring. @pre options.capacity > 0.
  explicit BoundedRing(Options options)
      : options_(std::move(options)), queue_(options_.capacity) {}

  /// Appends a message. Returns false and counts the rejection if the ring is
  /// full. Must be called from the producer thread.
  bool Push(const T& message) {
    if (!queue_.push(message)) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (options_.wake) options_.wake();
    return true;
  }

  /// Removes and returns the oldest message; std::nullopt if the ring is empty.
  /// Must be called from the consumer thread.
  std::optional<T> Pop() {
    T message;
    if (!queue_.pop(message)) return std::nullopt;
    return message;
  }

  /// Returns the current number of messages. Exact on the consumer thread, an
  /// estimate on other threads.
  std::size_t depth() const { return queue_.read_available(); }

  /// Returns the number of rejected messages. Thread-safe.
  std::uint64_t refused() const {
    return refused_.load(std::memory_order_relaxed);
  }

  /// Returns the metrics label. Thread-safe.
  const std::string& name() const { return options_.name; }

 private:
  Options options_;
  boost::lockfree::spsc_queue<T> queue_;
  std::atomic<std::uint64_t> refused_{0};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_BOUNDED_RING_H_
