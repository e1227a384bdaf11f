#include "core/base/pending_handshakes.h"

#include <algorithm>
#include <cassert>

namespace camphor {

std::size_t PendingHandshakes::PlacesBeside(std::size_t authenticated,
                                            std::size_t all, std::size_t most) {
  const std::size_t least = std::max<std::size_t>(all / 16, 1);
  const std::size_t free = all - std::min(all, authenticated);
  return std::clamp(free, least, std::max(std::min(all / 2, most), least));
}

void PendingHandshakes::SetPlaces(std::size_t places) {
  assert(places > 0);
  places_ = places;
}

PendingHandshakes::Place PendingHandshakes::Take(
    const std::string& address, std::function<void()> displace) {
  const std::uint64_t id = next_id_++;
  connections_[id] = {.address = address, .displace = std::move(displace)};
  by_address_[address].insert(id);
  while (connections_.size() > places_) {
    const std::uint64_t displaced = FindDisplaced();
    const std::function<void()> close =
        std::move(connections_.at(displaced).displace);
    Remove(displaced);
    close();
  }
  return {this, id};
}

std::uint64_t PendingHandshakes::FindDisplaced() const {
  std::uint64_t oldest = 0;
  std::size_t most = 0;
  for (const auto& [address, ids] : by_address_) {
    const std::uint64_t first = *ids.begin();
    if (ids.size() < most || (ids.size() == most && first > oldest)) continue;
    most = ids.size();
    oldest = first;
  }
  return oldest;
}

void PendingHandshakes::Remove(std::uint64_t id) {
  const auto connection = connections_.find(id);
  if (connection == connections_.end()) return;
  const auto same_address = by_address_.find(connection->second.address);
  same_address->second.erase(id);
  if (same_address->second.empty()) by_address_.erase(same_address);
  connections_.erase(connection);
}

}  // namespace camphor
