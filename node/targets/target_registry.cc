#include "node/targets/target_registry.h"

#include <iterator>

namespace camphor {

bool TargetRegistry::Announce(const TargetAnnouncement& announcement,
                              MonoTime now) {
  const auto found = entries_.find(announcement.id);
  if (found == entries_.end() && entries_.size() >= options_.max_targets)
    return false;

  Entry& entry = entries_[announcement.id];
  // A new address or a return after leaving means that the target restarted, so
  // its warm-up starts again.
  const bool new_run = found == entries_.end() ||
                       entry.announcement.address != announcement.address ||
                       entry.status == TargetStatus::kLeaving;
  if (new_run) entry.first_seen = now;
  entry.announcement = announcement;
  entry.renewed = now;
  const bool warming_allowed = now - entry.first_seen < options_.warming_limit;
  entry.status = !announcement.warm && warming_allowed ? TargetStatus::kWarming
                                                       : TargetStatus::kReady;
  return true;
}

TargetRegistry::ReportResult TargetRegistry::Report(
    const TargetAnnouncement& report, MonoTime now) {
  const auto found = entries_.find(report.id);
  const Entry* known_entry = found == entries_.end() ? nullptr : &found->second;
  if (known_entry == nullptr && HasDeparted(report.id, now))
    return ReportResult::kStale;
  const bool returned =
      known_entry != nullptr &&
      report.started_ms > known_entry->announcement.started_ms;
  if (known_entry != nullptr && !returned) {
    // A delayed report must not revert the effect of a newer one.
    if (report.started_ms < known_entry->announcement.started_ms ||
        report.sequence <= known_entry->announcement.sequence) {
      return ReportResult::kStale;
    }
    if (known_entry->status == TargetStatus::kLeaving) {
      found->second.announcement.sequence = report.sequence;
      return ReportResult::kRenewed;
    }
  }
  // A newer target at the address of a listed one has replaced it.
  for (auto& [id, entry] : entries_) {
    if (id == report.id || entry.status == TargetStatus::kLeaving ||
        entry.announcement.address != report.address) {
      continue;
    }
    if (entry.announcement.started_ms > report.started_ms)
      return ReportResult::kStale;
    entry.status = TargetStatus::kLeaving;
    entry.left_at = now;
  }
  // A leaving target stays listed, so that a delayed report cannot add it
  // again.
  const TargetStatus previous_status =
      known_entry == nullptr ? TargetStatus::kLeaving : known_entry->status;
  if (returned) entries_.erase(found);
  if (!Announce(report, now)) return ReportResult::kTooMany;
  if (report.leaving) Leave(report.id, now);
  const bool unchanged =
      entries_.at(report.id).status == previous_status && !returned;
  return unchanged ? ReportResult::kRenewed : ReportResult::kChanged;
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
  if (found == entries_.end()) {
    if (departed_.size() < options_.max_targets) departed_[id] = now;
    return false;
  }
  if (found->second.status == TargetStatus::kLeaving) return true;
  found->second.status = TargetStatus::kLeaving;
  found->second.left_at = now;
  return true;
}

bool TargetRegistry::HasDeparted(const TargetId& id, MonoTime now) const {
  const auto found = departed_.find(id);
  return found != departed_.end() &&
         now - found->second < options_.departed_retention;
}

bool TargetRegistry::Expire(MonoTime now) {
  bool changed = false;
  std::erase_if(departed_, [&](const auto& entry) {
    return now - entry.second >= options_.departed_retention;
  });
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto current = next++;
    Entry& entry = current->second;
    if (entry.status == TargetStatus::kLeaving) {
      if (now - entry.left_at < options_.leaving_retention) continue;
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
