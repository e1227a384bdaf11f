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
  const bool added = !peer_versions_.contains(domain);
  ConfigVersion& peer_version = peer_versions_[domain];
  peer_version = std::max(peer_version, version);
  if (added && peer_versions_.size() <= settings_.cold_start_domains)
    enough_domains_since_ = now;
}

void ColdStart::Update(ConfigVersion current_version, std::size_t domains,
                       MonoTime now) {
  ready_ = ready_ || CaughtUpWithPlatform(current_version) ||
           CaughtUpWithPeers(current_version, domains, now);
}

const char* ColdStart::waiting_for() const {
  if (ready_) return "";
  if (platform_head_)
    return "the snapshot of the head announced by the platform";
  if (peer_versions_.empty())
    return "a head from the platform or from a serving host";
  return "heads from more failure domains, or the newest snapshot reported";
}

bool ColdStart::CaughtUpWithPlatform(ConfigVersion current_version) const {
  return platform_head_ && current_version >= platform_head_->version;
}

bool ColdStart::CaughtUpWithPeers(ConfigVersion current_version,
                                  std::size_t domains, MonoTime now) const {
  // No more failure domains can be required than the mesh has.
  const std::size_t needed = std::max<std::size_t>(
      1, std::min<std::size_t>(settings_.cold_start_domains, domains));
  if (peer_versions_.size() < needed) return false;
  if (now - enough_domains_since_ < settings_.cold_start_settle) return false;
  return std::ranges::all_of(peer_versions_, [&](const auto& entry) {
    return entry.second <= current_version;
  });
}

}  // namespace camphor
