#include "core/routing/deadline_queue.h"

#include <algorithm>
#include <functional>

namespace camphor {

std::size_t DeadlineQueue::PositionOf(MonoTime deadline) const {
  const auto first_not_later = std::ranges::lower_bound(
      entries_, deadline, std::greater<>(), &Entry::deadline);
  return static_cast<std::size_t>(entries_.end() - first_not_later);
}

void DeadlineQueue::Push(Entry entry) {
  const std::size_t index = entries_.size() - PositionOf(entry.deadline);
  entries_.insert(entries_.begin() + static_cast<std::ptrdiff_t>(index), entry);
}

std::optional<DeadlineQueue::Entry> DeadlineQueue::Pop() {
  if (entries_.empty()) return std::nullopt;
  const Entry entry = entries_.back();
  entries_.pop_back();
  return entry;
}

bool DeadlineQueue::Remove(std::uint64_t id) {
  const auto found = std::ranges::find(entries_, id, &Entry::id);
  if (found == entries_.end()) return false;
  entries_.erase(found);
  return true;
}

}  // namespace camphor
