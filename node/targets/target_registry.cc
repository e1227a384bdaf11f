#include "node/targets/target_registry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphor {
namespace {

/// Shorter than the life of any run that has left, with the restart of its
/// host's process.
constexpr std::uint64_t kMinLifetimeMs = 1000;

}  // namespace

bool TargetRegistry::Announce(const TargetAnnouncement& announcement,
                              MonoTime now) {
  const auto found = entries_.find(announcement.id);
  if (found == entries_.end() && entries_.size() >= options_.max_targets)
    return false;

  Entry& entry = entries_[announcement.id];
  // A new address or a return after leaving means that the target restarted.
  const bool new_run = found == entries_.end() ||
                       entry.announcement.address != announcement.address ||
                       entry.status == TargetStatus::kLeaving;
  if (new_run) {
    entry.cold_since.reset();
    entry.died_at.reset();
  }
  entry.announcement = announcement;
  entry.renewed = now;
  entry.departed = false;
  // A target can turn cold again at any moment, so the limit counts from the
  // first announcement that says so.
  if (announcement.warm) {
    entry.cold_since.reset();
  } else if (!entry.cold_since) {
    entry.cold_since = now;
  }
  const bool warming =
      entry.cold_since &&
      (now - *entry.cold_since < options_.warming_limit || HasColdRate(entry));
  entry.status = warming ? TargetStatus::kWarming : TargetStatus::kReady;
  return true;
}

bool TargetRegistry::HasColdRate(const Entry& entry) const {
  return options_.has_cold_rate &&
         options_.has_cold_rate(entry.announcement.pool);
}

bool TargetRegistry::AssumeCold(const TargetId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  // Without further reports nothing would end it.
  const bool reports = entry.announcement.sequence > 0;
  if (entry.status != TargetStatus::kReady || !reports || !HasColdRate(entry))
    return false;
  entry.status = TargetStatus::kWarming;
  return true;
}

TargetRegistry::ReportResult TargetRegistry::Report(
    const TargetAnnouncement& report, MonoTime now) {
  const auto found = entries_.find(report.id);
  const Entry* known_entry = found == entries_.end() ? nullptr : &found->second;
  if (known_entry == nullptr) {
    if (history_.Includes(report.id, report.started_ms))
      return ReportResult::kStale;
    if (!IsConfirmed(report, now)) return ReportResult::kUnconfirmed;
  }
  const bool returned =
      known_entry != nullptr &&
      report.started_ms > known_entry->announcement.started_ms;
  if (known_entry != nullptr && !returned) {
    // A delayed report must not revert the effect of a newer one.
    if (report.started_ms < known_entry->announcement.started_ms ||
        report.sequence <= known_entry->announcement.sequence) {
      return ReportResult::kStale;
    }
    if (known_entry->departed) {
      found->second.announcement.sequence = report.sequence;
      return ReportResult::kRenewed;
    }
  }
  if (IsReplacedAtItsAddress(report)) return ReportResult::kStale;
  ReplaceTargetsAt(report, now);
  // A leaving target stays listed, so that a delayed report cannot add it
  // again.
  const TargetStatus previous_status =
      known_entry == nullptr ? TargetStatus::kLeaving : known_entry->status;
  if (returned) entries_.erase(found);
  if (!Announce(report, now)) return ReportResult::kTooMany;
  if (report.leaving)
    Leave({.id = report.id, .started_ms = report.started_ms}, now);
  const bool unchanged =
      entries_.at(report.id).status == previous_status && !returned;
  return unchanged ? ReportResult::kRenewed : ReportResult::kChanged;
}

bool TargetRegistry::IsConfirmed(const TargetAnnouncement& report,
                                 MonoTime now) {
  if (departures_known_ || report.leaving) return true;
  // It did not start, leave and outlive an earlier process in so short a time.
  if (report.started_ms > options_.process_started_ms - kMinLifetimeMs)
    return true;
  // A target that runs reports periodically; one that has left may have a
  // single report under way.
  const auto [first, added] =
      unconfirmed_.try_emplace(report.id, UnconfirmedReport{report, now});
  if (added) {
    if (unconfirmed_.size() > options_.max_targets) unconfirmed_.erase(first);
    return false;
  }
  UnconfirmedReport& known = first->second;
  const bool newer = std::tie(report.started_ms, report.sequence) >
                     std::tie(known.report.started_ms, known.report.sequence);
  if (!newer) return false;
  known.report = report;
  if (now - known.first_at < options_.confirm_after) return false;
  unconfirmed_.erase(first);
  return true;
}

bool TargetRegistry::IsReplacedAtItsAddress(
    const TargetAnnouncement& report) const {
  return std::ranges::any_of(entries_, [&report](const auto& row) {
    const auto& [id, entry] = row;
    const bool ran_last =
        entry.status != TargetStatus::kLeaving || entry.departed;
    return id != report.id && ran_last &&
           entry.announcement.address == report.address &&
           entry.announcement.started_ms > report.started_ms;
  });
}

void TargetRegistry::ReplaceTargetsAt(const TargetAnnouncement& report,
                                      MonoTime now) {
  for (auto& [id, entry] : entries_) {
    if (id == report.id || entry.status == TargetStatus::kLeaving) continue;
    if (entry.announcement.address == report.address) MarkLeaving(entry, now);
  }
}

void TargetRegistry::MarkLeaving(Entry& entry, MonoTime now) {
  if (entry.status == TargetStatus::kLeaving) return;
  entry.status = TargetStatus::kLeaving;
  entry.left_at = now;
}

bool TargetRegistry::Renew(const TargetId& id, MonoTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  if (found->second.status == TargetStatus::kLeaving) return false;
  found->second.renewed = now;
  return true;
}

bool TargetRegistry::Leave(const TargetDeparture& departure, MonoTime now) {
  unconfirmed_.erase(departure.id);
  const auto found = entries_.find(departure.id);
  if (found == entries_.end()) {
    history_.Add(departure);
    return false;
  }
  Entry& entry = found->second;
  const std::uint64_t listed_ms = entry.announcement.started_ms;
  if (departure.started_ms > 0 && departure.started_ms < listed_ms)
    return false;  // a delayed request of an earlier run
  history_.Add({.id = departure.id,
                .started_ms = std::max(departure.started_ms, listed_ms)});
  entry.departed = true;
  MarkLeaving(entry, now);
  return true;
}

bool TargetRegistry::LoadDepartures(
    const std::vector<TargetDeparture>& departures, MonoTime now) {
  for (const TargetDeparture& departure : departures) history_.Add(departure);
  bool changed = false;
  for (auto& [id, entry] : entries_) {
    if (entry.departed ||
        !history_.Includes(id, entry.announcement.started_ms)) {
      continue;
    }
    entry.departed = true;
    MarkLeaving(entry, now);
    changed = true;
  }
  return changed;
}

bool TargetRegistry::CompleteDepartures(MonoTime now) {
  departures_known_ = true;
  bool changed = false;
  for (const auto& [id, unconfirmed] : std::exchange(unconfirmed_, {})) {
    const ReportResult result = Report(unconfirmed.report, now);
    changed = changed || result == ReportResult::kChanged;
  }
  return changed;
}

WallTime TargetRegistry::RecordDeath(const TargetId& id, WallTime wall_now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return wall_now;
  std::optional<WallTime>& died_at = found->second.died_at;
  if (!died_at) died_at = wall_now;
  return *died_at;
}

bool TargetRegistry::Expire(MonoTime now) {
  bool changed = false;
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto current = next++;
    Entry& entry = current->second;
    if (entry.status == TargetStatus::kLeaving) {
      if (now - entry.left_at < options_.leaving_retention) continue;
      entries_.erase(current);
      changed = true;
    } else if (now - entry.renewed >= options_.lease) {
      MarkLeaving(entry, now);
      changed = true;
    } else if (now - entry.renewed >= options_.report_gap &&
               AssumeCold(current->first)) {
      changed = true;
    } else if (entry.status == TargetStatus::kWarming && entry.cold_since &&
               now - *entry.cold_since >= options_.warming_limit &&
               !HasColdRate(entry)) {
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
