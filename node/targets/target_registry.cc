#include "node/targets/target_registry.h"

#include <iterator>

namespace camphor {

bool TargetRegistry::Announce(const TargetAnnouncement& announcement,
                              MonoTime now) {
  const auto found = entries_.find(announcement.id);
  if (found == entries_.end() && entries_.size() >= options_.most) return false;

  Entry& entry = entries_[announcement.id];
  // Another address or a return after leaving is a new run: its cold start
  // begins again.
  const bool new_run = found == entries_.end() ||
                       entry.announcement.address != announcement.address ||
                       entry.status == TargetStatus::kLeaving;
  if (new_run) entry.first_seen = now;
  entry.announcement = announcement;
  entry.renewed = now;
  const bool may_warm = now - entry.first_seen < options_.warming_limit;
  entry.status = !announcement.warm && may_warm ? TargetStatus::kWarming
                                                : TargetStatus::kReady;
  return true;
}

TargetRegistry::Taken TargetRegistry::Report(const TargetAnnouncement& report,
                                             MonoTime now) {
  const auto found = entries_.find(report.id);
  const Entry* known = found == entries_.end() ? nullptr : &found->second;
  const bool returned =
      known != nullptr && report.started_ms > known->announcement.started_ms;
  if (known != nullptr && !returned) {
    // A late report must not bring back what a newer one has ended.
    if (report.started_ms < known->announcement.started_ms ||
        report.sequence <= known->announcement.sequence) {
      return Taken::kStale;
    }
    if (known->status == TargetStatus::kLeaving) {
      found->second.announcement.sequence = report.sequence;
      return Taken::kRenewed;
    }
  }
  // Another run at the address of one that is still listed has replaced it.
  for (auto& [id, entry] : entries_) {
    if (id == report.id || entry.status == TargetStatus::kLeaving ||
        entry.announcement.address != report.address) {
      continue;
    }
    if (entry.announcement.started_ms > report.started_ms) return Taken::kStale;
    entry.status = TargetStatus::kLeaving;
    entry.left_at = now;
  }
  // One that leaves stays listed, so that a late report can not bring it back.
  const TargetStatus before =
      known == nullptr ? TargetStatus::kLeaving : known->status;
  if (returned) entries_.erase(found);
  if (!Announce(report, now)) return Taken::kTooMany;
  if (report.leaving) Leave(report.id, now);
  const bool same = entries_.at(report.id).status == before && !returned;
  return same ? Taken::kRenewed : Taken::kChanged;
}

bool TargetRegistry::Renew(const TargetId& id, MonoTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  if (found->second.status == TargetStatus::kLeaving) return false;
  found->second.renewed = now;
  return true;
}

bool TargetRegistry::Leave(const TargetId& id, MonoTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  if (found->second.status == TargetStatus::kLeaving) return true;
  found->second.status = TargetStatus::kLeaving;
  found->second.left_at = now;
  return true;
}

bool TargetRegistry::Expire(MonoTime now) {
  bool changed = false;
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto current = next++;
    Entry& entry = current->second;
    if (entry.status == TargetStatus::kLeaving) {
      if (now - entry.left_at < options_.leaving_kept) continue;
      entries_.erase(current);
      changed = true;
    } else if (now - entry.renewed >= options_.lease) {
      entry.status = TargetStatus::kLeaving;
      entry.left_at = now;
      changed = true;
    } else if (entry.status == TargetStatus::kWarming &&
               now - entry.first_seen >= options_.warming_limit) {
      entry.status = TargetStatus::kReady;
      changed = true;
    }
  }
  return changed;
}

std::vector<TargetInfo> TargetRegistry::targets() const {
  std::vector<TargetInfo> targets;
  targets.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    targets.push_back({.id = id,
                       .pool = entry.announcement.pool,
                       .version = entry.announcement.version,
                       .slots = entry.announcement.slots,
                       .status = entry.status});
  }
  return targets;
}

std::map<TargetId, Endpoint> TargetRegistry::addresses() const {
  std::map<TargetId, Endpoint> addresses;
  for (const auto& [id, entry] : entries_) {
    if (entry.status == TargetStatus::kLeaving) continue;
    addresses.emplace(id, entry.announcement.address);
  }
  return addresses;
}

}  // namespace camphor
