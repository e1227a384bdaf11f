#include "core/membership/departure_replicator.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>
#include <utility>

namespace camphor {
namespace {

/// Neighbours that must hold the departures; all of them if there are fewer.
constexpr std::size_t kCopies = 2;

/// Delay before a notice that was not confirmed is sent again.
constexpr Milliseconds kResendAfter{500};

/// A host is a neighbour of a few others only; this bounds what hosts that
/// change places leave behind.
constexpr std::size_t kMaxHeldHosts = 64;

}  // namespace

DepartureReplicator::DepartureReplicator(Options options)
    : options_(std::move(options)) {
  assert(options_.neighbours && options_.send_notice && options_.send_receipt &&
         options_.departures && options_.on_recovered);
}

void DepartureReplicator::OnChanged(MonoTime now) {
  ++sequence_;
  for (auto& [endpoint, peer] : peers_) peer.next_notice = now;
  Tick(now);
}

void DepartureReplicator::Tick(MonoTime now) {
  UpdatePeers();
  for (auto& [endpoint, peer] : peers_) {
    if (peer.confirmed == sequence_ || now < peer.next_notice) continue;
    peer.next_notice = now + kResendAfter;
    options_.send_notice(endpoint, {.host = options_.host,
                                    .incarnation = options_.incarnation,
                                    .sequence = sequence_,
                                    .departures = options_.departures()});
  }
}

void DepartureReplicator::UpdatePeers() {
  const std::vector<Endpoint> neighbours = options_.neighbours();
  const std::set<Endpoint> current(neighbours.begin(), neighbours.end());
  std::erase_if(peers_, [&current](const auto& entry) {
    return !current.contains(entry.first);
  });
  for (const Endpoint& neighbour : current) peers_.try_emplace(neighbour);
}

void DepartureReplicator::OnNotice(const Endpoint& from,
                                   const DepartureNotice& notice) {
  const auto peer = peers_.find(from);
  if (peer != peers_.end() && peer->second.incarnation != notice.incarnation) {
    // A neighbour that has started again holds nothing.
    peer->second.confirmed.reset();
    peer->second.incarnation = notice.incarnation;
  }
  Held& held = held_[notice.host];
  held.noticed = ++notices_;
  for (const TargetDeparture& departure : notice.departures)
    held.history.Add(departure);
  DepartureReceipt receipt{.incarnation = notice.incarnation,
                           .sequence = notice.sequence};
  std::ranges::set_difference(
      std::set(held.history.departures().begin(),
               held.history.departures().end()),
      std::set(notice.departures.begin(), notice.departures.end()),
      std::back_inserter(receipt.departures));
  EvictHeld();
  options_.send_receipt(from, receipt);
}

void DepartureReplicator::EvictHeld() {
  if (held_.size() <= kMaxHeldHosts) return;
  held_.erase(std::ranges::min_element(
      held_, {}, [](const auto& entry) { return entry.second.noticed; }));
}

void DepartureReplicator::OnReceipt(const Endpoint& from,
                                    const DepartureReceipt& receipt) {
  if (receipt.incarnation != options_.incarnation) return;
  const auto peer = peers_.find(from);
  if (peer != peers_.end()) {
    peer->second.confirmed =
        std::max(peer->second.confirmed.value_or(0), receipt.sequence);
  }
  if (!receipt.departures.empty()) options_.on_recovered(receipt.departures);
}

bool DepartureReplicator::replicated() const {
  const auto copies = std::ranges::count_if(peers_, [this](const auto& entry) {
    return entry.second.confirmed == sequence_;
  });
  return !peers_.empty() &&
         static_cast<std::size_t>(copies) >= std::min(kCopies, peers_.size());
}

}  // namespace camphor
