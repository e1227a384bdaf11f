#include "core/membership/overlay.h"

#include <algorithm>
#include <utility>

#include "core/replication/record_hash.h"

namespace camphor {
namespace {

// Number of the first ring over all hosts; lower numbers are rings within a
// failure domain.
constexpr std::uint32_t kFirstGlobalRing = 100;

// Maximum number of times that all pollers of a failure domain are replaced. If
// the platform does not answer even more of its hosts, it is considered
// unavailable to all.
constexpr std::size_t kMaxPollerReplacements = 3;

bool PrecedesInRing(const HostId& left, const HostId& right,
                    std::uint32_t ring) {
  return std::pair(RingPosition(left, ring), left) <
         std::pair(RingPosition(right, ring), right);
}

void AddNeighbours(const std::vector<HostId>& ring, std::uint32_t number,
                   const HostId& host, std::set<HostId>& out) {
  const auto found = std::ranges::lower_bound(
      ring, host, [number](const HostId& left, const HostId& right) {
        return PrecedesInRing(left, right, number);
      });
  if (found == ring.end() || *found != host) return;
  const auto index = static_cast<std::size_t>(found - ring.begin());
  out.insert(ring[(index + 1) % ring.size()]);
  out.insert(ring[(index + ring.size() - 1) % ring.size()]);
}

}  // namespace

Overlay::Overlay(const std::map<HostId, HostRecord>& hosts,
                 const ReplicatorSettings& settings)
    : pollers_per_domain_(settings.pollers_per_domain) {
  std::vector<HostId> all;
  std::map<FailureDomain, std::vector<HostId>> by_domain;
  for (const auto& [id, record] : hosts) {
    if (record.status == HostStatus::kDead) continue;
    all.push_back(id);
    by_domain[record.domain].push_back(id);
    domain_of_.emplace(id, record.domain);
    if (record.platform_lost) platform_lost_.insert(id);
  }
  domain_count_ = by_domain.size();
  for (std::uint32_t ring = 0; ring < settings.global_rings; ++ring)
    global_rings_.push_back(MakeRing(all, kFirstGlobalRing + ring));
  for (const auto& [domain, members] : by_domain) {
    for (std::uint32_t ring = 0; ring < settings.domain_rings; ++ring)
      domain_rings_[domain].push_back(MakeRing(members, ring));
  }
}

std::set<HostId> Overlay::GetNeighbours(const HostId& host) const {
  std::set<HostId> neighbours;
  const auto domain = domain_of_.find(host);
  if (domain == domain_of_.end()) return neighbours;
  const std::vector<Ring>& own_rings = domain_rings_.at(domain->second);
  for (std::uint32_t ring = 0; ring < own_rings.size(); ++ring)
    AddNeighbours(own_rings[ring], ring, host, neighbours);
  for (std::uint32_t ring = 0; ring < global_rings_.size(); ++ring)
    AddNeighbours(global_rings_[ring], kFirstGlobalRing + ring, host,
                  neighbours);
  neighbours.erase(host);
  return neighbours;
}

std::vector<HostId> Overlay::GetPollers(const FailureDomain& domain) const {
  const auto rings = domain_rings_.find(domain);
  if (rings == domain_rings_.end() || rings->second.empty()) return {};
  const Ring& ring = rings->second.front();
  std::vector<HostId> pollers;
  const std::size_t max_lost = pollers_per_domain_ * kMaxPollerReplacements;
  std::size_t lost = 0;
  for (const HostId& host : ring) {
    if (pollers.size() >= pollers_per_domain_) return pollers;
    if (!platform_lost_.contains(host)) {
      pollers.push_back(host);
    } else if (++lost > max_lost) {
      break;
    }
  }
  if (pollers.size() >= pollers_per_domain_) return pollers;

  // The first hosts keep polling, so that the end of the outage is detected.
  const std::size_t count =
      std::min<std::size_t>(pollers_per_domain_, ring.size());
  return {ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(count)};
}

std::vector<FailureDomain> Overlay::GetDomains() const {
  std::vector<FailureDomain> domains;
  domains.reserve(domain_rings_.size());
  for (const auto& [domain, rings] : domain_rings_) domains.push_back(domain);
  return domains;
}

Overlay::Ring Overlay::MakeRing(std::vector<HostId> members,
                                std::uint32_t number) {
  std::ranges::sort(members, [number](const HostId& left, const HostId& right) {
    return PrecedesInRing(left, right, number);
  });
  return members;
}

}  // namespace camphor
