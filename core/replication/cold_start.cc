#include "core/replication/cold_start.h"

#include <algorithm>

namespace camphor {

void ColdStart::OnPlatformHead(const ConfigHead& head) {
  if (!platform_head_ || platform_head_->version < head.version)
    platform_head_ = head;
}

void ColdStart::OnServingPeer(const FailureDomain& domain,
                              ConfigVersion version, MonoTime now) {
  if (ready_) return;
  const bool added = !named_.contains(domain);
  ConfigVersion& named = named_[domain];
  named = std::max(named, version);
  if (added && named_.size() <= settings_.cold_start_domains)
    enough_named_since_ = now;
}

void ColdStart::Decide(ConfigVersion in_force, std::size_t domains,
                       MonoTime now) {
  ready_ = ready_ || PlatformSuffices(in_force) ||
           PeersSuffice(in_force, domains, now);
}

const char* ColdStart::waiting_for() const {
  if (ready_) return "";
  if (platform_head_) return "the snapshot of the platform's head";
  if (named_.empty()) return "the platform, or a host that serves already";
  return "hosts of other failure domains, or their newest snapshot";
}

bool ColdStart::PlatformSuffices(ConfigVersion in_force) const {
  return platform_head_ && in_force >= platform_head_->version;
}

bool ColdStart::PeersSuffice(ConfigVersion in_force, std::size_t domains,
                             MonoTime now) const {
  // A mesh of a single failure domain can not offer a second one.
  const std::size_t needed = std::max<std::size_t>(
      1, std::min<std::size_t>(settings_.cold_start_domains, domains));
  if (named_.size() < needed) return false;
  if (now - enough_named_since_ < settings_.cold_start_settle) return false;
  return std::ranges::all_of(
      named_, [&](const auto& entry) { return entry.second <= in_force; });
}

}  // namespace camphor
