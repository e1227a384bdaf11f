#ifndef CAMPHORHILL_CORE_ROUTING_URGENCY_QUEUE_H_
#define CAMPHORHILL_CORE_ROUTING_URGENCY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/routing/urgency.h"

namespace camphor {

/// A short queue, the most urgent first; equal ones in the order of arrival.
/// Meant for tens of entries, kept in one block of memory. Not thread safe.
class UrgencyQueue {
 public:
  struct Entry {
    Urgency urgency{};     ///< place in the queue
    std::uint64_t id = 0;  ///< given by the caller, unique in the queue
  };

  /// How many entries a new one would wait behind.
  std::size_t PositionOf(const Urgency& urgency) const;

  void Push(const Entry& entry);

  /// Takes the most urgent entry that `accepts` takes, if any.
  template <typename Accepts>
  std::optional<Entry> PopFirst(const Accepts& accepts) {
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
      if (!accepts(*entry)) continue;
      const Entry taken = *entry;
      entries_.erase(std::next(entry).base());
      return taken;
    }
    return std::nullopt;
  }

  /// The least urgent entry; null when there is none.
  const Entry* last() const {
    return entries_.empty() ? nullptr : &entries_.front();
  }

  /// Takes an entry out. Returns false when it is not there.
  bool Remove(std::uint64_t id);

  std::size_t size() const { return entries_.size(); }

 private:
  std::vector<Entry> entries_;  ///< least urgent first
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_URGENCY_QUEUE_H_
