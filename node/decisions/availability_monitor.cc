#include "node/decisions/availability_monitor.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <set>

#include "node/metrics/metrics_text.h"

namespace camphor {
namespace {

std::uint64_t MillisecondsSince(MonoTime since, MonoTime now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(now - since).count());
}

double SecondsSince(MonoTime since, MonoTime now) {
  return std::chrono::duration<double>(now - since).count();
}

}  // namespace

void AvailabilityMonitor::Update(const ConfigSnapshotPtr& snapshot,
                                 const std::map<HostId, HostRecord>& hosts,
                                 MonoTime now) {
  if (now < next_update_) return;
  next_update_ = now + options_.interval;
  UpdateEvacuations(snapshot, hosts, now);
  UpdateColdTargets(snapshot, hosts, now);
}

void AvailabilityMonitor::UpdateEvacuations(
    const ConfigSnapshotPtr& snapshot,
    const std::map<HostId, HostRecord>& hosts, MonoTime now) {
  std::set<FailureDomain> evacuated;
  if (snapshot) {
    evacuated.insert(snapshot->evacuated_domains.begin(),
                     snapshot->evacuated_domains.end());
  }
  std::erase_if(evacuations_, [&](const auto& entry) {
    if (evacuated.contains(entry.first)) return false;
    options_.log->Log(
        LogLevel::kInfo, "decisions", "evacuation of a failure domain ended",
        {{"failure_domain", entry.first.value()},
         {"evacuated_ms", MillisecondsSince(entry.second.since, now)}});
    return true;
  });
  if (evacuated.empty()) return;
  std::map<FailureDomain, std::size_t> counts;
  for (const auto& [id, host] : hosts) {
    if (host.status != HostStatus::kDead) ++counts[host.domain];
  }
  for (const FailureDomain& domain : evacuated) {
    const auto [entry, added] =
        evacuations_.try_emplace(domain, Evacuation{.since = now});
    entry->second.hosts = counts[domain];
    if (added) {
      options_.log->Log(LogLevel::kInfo, "decisions",
                        "evacuation of a failure domain began",
                        {{"failure_domain", domain.value()},
                         {"hosts", entry->second.hosts},
                         {"version", snapshot->head.version}});
    }
    WarnIfUnknown(domain, entry->second, hosts, now);
  }
}

void AvailabilityMonitor::WarnIfUnknown(
    const FailureDomain& domain, Evacuation& evacuation,
    const std::map<HostId, HostRecord>& hosts, MonoTime now) {
  if (evacuation.warned || now - evacuation.since < options_.unknown_after)
    return;
  std::set<FailureDomain> known;
  for (const auto& [id, host] : hosts) known.insert(host.domain);
  if (known.contains(domain)) return;
  evacuation.warned = true;
  std::string names;
  for (const FailureDomain& name : known) {
    if (!names.empty()) names += ",";
    names += name.value();
  }
  options_.log->Log(
      LogLevel::kWarning, "decisions",
      "evacuated failure domain contains no known host; the "
      "evacuation has no effect",
      {{"failure_domain", domain.value()}, {"known_failure_domains", names}});
}

void AvailabilityMonitor::UpdateColdTargets(
    const ConfigSnapshotPtr& snapshot,
    const std::map<HostId, HostRecord>& hosts, MonoTime now) {
  std::set<PoolName> limited;
  if (snapshot) {
    for (const PoolSpec& pool : snapshot->pools) {
      if (pool.cold_requests_per_second > 0) limited.insert(pool.name);
    }
  }
  limits_cold_ = !limited.empty();
  std::map<TargetId, MonoTime> cold;
  if (limits_cold_) {
    for (const auto& [id, host] : hosts) {
      if (host.status == HostStatus::kDead) continue;
      for (const TargetInfo& target : host.targets) {
        if (target.status != TargetStatus::kWarming ||
            !limited.contains(target.pool)) {
          continue;
        }
        const auto known = cold_since_.find(target.id);
        cold.emplace(target.id,
                     known == cold_since_.end() ? now : known->second);
      }
    }
  }
  cold_since_ = std::move(cold);
}

void AvailabilityMonitor::AddTo(boost::json::object& view, MonoTime now) const {
  if (!evacuations_.empty()) {
    boost::json::array rows;
    for (const auto& [domain, evacuation] : evacuations_) {
      rows.push_back(boost::json::object{
          {"failure_domain", domain.value()},
          {"evacuated_ms", MillisecondsSince(evacuation.since, now)},
          {"hosts", evacuation.hosts}});
    }
    view["evacuated_domains"] = std::move(rows);
  }
  if (!cold_since_.empty()) {
    boost::json::array rows;
    for (const auto& [target, since] : cold_since_) {
      rows.push_back(
          boost::json::object{{"target", target.value()},
                              {"cold_ms", MillisecondsSince(since, now)}});
    }
    view["cold_targets"] = std::move(rows);
  }
}

std::string AvailabilityMonitor::Metrics(MonoTime now) const {
  MetricsText out;
  for (const auto& [domain, evacuation] : evacuations_) {
    out.Gauge("camphor_evacuated_seconds",
              "Time for which a failure domain has been evacuated.",
              SecondsSince(evacuation.since, now),
              {{"failure_domain", domain.value()}});
  }
  if (limits_cold_) {
    out.Gauge("camphor_cold_targets",
              "Cold targets of pools with a cold rate, on all hosts.",
              static_cast<double>(cold_since_.size()));
    MonoTime oldest = now;
    for (const auto& [target, since] : cold_since_)
      oldest = std::min(oldest, since);
    out.Gauge("camphor_cold_longest_seconds",
              "Time for which the longest of them has been cold.",
              SecondsSince(oldest, now));
  }
  return out.text();
}

}  // namespace camphor
