#ifndef CAMPHORHILL_CORE_ROUTING_URGENCY_QUEUE_H_
#define CAMPHORHILL_CORE_ROUTING_URGENCY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/routing/urgency.h"

namespace camphor {

/// Priority queue ordered by urgency; entries of equal urgency are kept in
/// order of arrival. Stored in one contiguous vector, which suits a few tens of
/// entries. Not thread-safe.
class UrgencyQueue {
 public:
  struct Entry {
    Urgency urgency{};  ///< position in the queue
    std::uint64_t id =
        0;  ///< assigned by the user of the queue; unique within it
  };

  /// Returns the number of entries ahead of a new entry of this urgency.
  std::size_t InsertPosition(const Urgency& urgency) const;

  void Push(const Entry& entry);

  /// Removes and returns the most urgent entry that satisfies the predicate;
  /// std::nullopt if there is none.
  template <typename Predicate>
  std::optional<Entry> PopFirstIf(const Predicate& predicate) {
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
      if (!predicate(*entry)) continue;
      const Entry popped = *entry;
      entries_.erase(std::next(entry).base());
      return popped;
    }
    return std::nullopt;
  }

  /// Returns the least urgent entry; null if the queue is empty.
  const Entry* least_urgent() const {
    return entries_.empty() ? nullptr : &entries_.front();
  }

  /// Removes an entry. Returns false if it is not in the queue.
  bool Remove(std::uint64_t id);

  std::size_t size() const { return entries_.size(); }

 private:
  std::vector<Entry> entries_;  ///< least urgent first
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_URGENCY_QUEUE_H_
