#ifndef CAMPHORHILL_CORE_ROUTING_DEADLINE_QUEUE_H_
#define CAMPHORHILL_CORE_ROUTING_DEADLINE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/time.h"

namespace camphor {

/// A short queue in the order of deadlines; equal ones in the order of arrival.
/// Meant for tens of entries, kept in one block of memory. Not thread safe.
class DeadlineQueue {
 public:
  struct Entry {
    MonoTime deadline{};   ///< latest useful end
    std::uint64_t id = 0;  ///< given by the caller, unique in the queue
  };

  /// How many entries a new one of this deadline would wait behind.
  std::size_t PositionOf(MonoTime deadline) const;

  void Push(Entry entry);

  /// Takes the entry with the earliest deadline, if any.
  std::optional<Entry> Pop();

  /// Takes an entry out. Returns false when it is not there.
  bool Remove(std::uint64_t id);

  std::size_t size() const { return entries_.size(); }

 private:
  std::vector<Entry> entries_;  ///< latest deadline first
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_DEADLINE_QUEUE_H_
