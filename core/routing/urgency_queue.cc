#include "core/routing/urgency_queue.h"

#include <algorithm>
#include <functional>

namespace camphor {

std::size_t UrgencyQueue::InsertPosition(const Urgency& urgency) const {
  const auto first_not_later = std::ranges::lower_bound(
      entries_, urgency, std::greater<>(), &Entry::urgency);
  return static_cast<std::size_t>(entries_.end() - first_not_later);
}

void UrgencyQueue::Push(const Entry& entry) {
  const std::size_t index = entries_.size() - InsertPosition(entry.urgency);
  entries_.insert(entries_.begin() + static_cast<std::ptrdiff_t>(index), entry);
}

bool UrgencyQueue::Remove(std::uint64_t id) {
  const auto found = std::ranges::find(entries_, id, &Entry::id);
  if (found == entries_.end()) return false;
  entries_.erase(found);
  return true;
}

}  // namespace camphor
