#include "core/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace camphor {

FailureDetector::FailureDetector(Options options,
                                 const ReplicatorSettings& settings)
    : options_(std::move(options)), settings_(settings) {}

void FailureDetector::SetWatchedHosts(
    const std::map<HostId, HostVersion>& neighbours, MonoTime now) {
  std::erase_if(watch_states_, [&](const auto& entry) {
    return !neighbours.contains(entry.first);
  });
  for (const auto& [host, version] : neighbours) {
    const auto [found, added] = watch_states_.try_emplace(host);
    // A new incarnation resets the state; a higher sequence is a refutation and
    // discards the reports.
    if (added || found->second.version.incarnation != version.incarnation)
      found->second = {.last_received = now,
                       .deadline = now + settings_.suspect_after};
    if (found->second.version < version) found->second.reporters.clear();
    found->second.version = version;
  }
}

void FailureDetector::OnMessageReceived(const HostId& host, MonoTime now) {
  const auto found = watch_states_.find(host);
  if (found != watch_states_.end()) {
    found->second.last_received = now;
    found->second.deadline = now + settings_.suspect_after;
    found->second.suspected = false;
    found->second.reporters.clear();
  }
  const auto probe = probes_.find(host);
  if (probe == probes_.end()) return;
  SuspicionReport answer = probe->second.report;
  answer.reached = true;
  for (const HostId& requester : probe->second.requesters)
    options_.report(requester, answer);
  probes_.erase(probe);
}

void FailureDetector::OnConnectionFailed(const HostId& host, MonoTime now) {
  const auto found = watch_states_.find(host);
  if (found == watch_states_.end()) return;
  found->second.deadline =
      std::min(found->second.deadline, now + settings_.lost_link_after);
}

void FailureDetector::OnSuspicionReport(const HostId& from,
                                        const SuspicionReport& report,
                                        MonoTime now) {
  if (report.host == options_.self) return;
  const auto found = watch_states_.find(report.host);
  const bool watched = found != watch_states_.end() &&
                       found->second.version.incarnation == report.incarnation;
  if (report.reached) {
    // The host is alive, although this host may be unable to reach it. Suspect
    // it again only after the regular silence.
    if (!watched) return;
    if (found->second.suspected) ++withdrawn_;
    found->second.suspected = false;
    found->second.reporters.clear();
    found->second.deadline = now + settings_.suspect_after;
    return;
  }
  if (watched && found->second.suspected) {
    found->second.reporters.insert(from);
    ConfirmIfEnoughReports(report.host, found->second, now);
    return;
  }
  StartProbe(from, report, now);
}

void FailureDetector::Tick(MonoTime now) {
  for (auto& [host, watched] : watch_states_) {
    if (!watched.suspected && now >= watched.deadline)
      RaiseSuspicion(host, watched, now);
    if (watched.suspected && now >= watched.next_report) {
      watched.next_report = now + settings_.heartbeat_period;
      SendReports(host, watched);
      options_.probe(host);
    }
  }
  ExpireProbes(now);
}

void FailureDetector::RaiseSuspicion(const HostId& host, WatchState& watched,
                                     MonoTime now) {
  ++raised_;
  watched.suspected = true;
  watched.next_report = now;
  ConfirmIfEnoughReports(host, watched, now);
}

void FailureDetector::SendReports(const HostId& host,
                                  const WatchState& watched) {
  const SuspicionReport report{.host = host,
                               .incarnation = watched.version.incarnation,
                               .sequence = watched.version.sequence};
  for (const HostId& watcher : options_.get_watchers(host))
    if (watcher != options_.self) options_.report(watcher, report);
}

void FailureDetector::ConfirmIfEnoughReports(const HostId& host,
                                             WatchState& watched,
                                             MonoTime now) {
  // No more reports can be required than the host has watchers.
  std::set<HostId> watchers = options_.get_watchers(host);
  watchers.insert(options_.self);
  const std::size_t needed =
      std::min<std::size_t>(settings_.suspicions_needed, watchers.size());
  if (watched.reporters.size() + 1 < needed) return;
  ++confirmed_;
  watched.suspected = false;
  watched.reporters.clear();
  watched.deadline = now + settings_.suspect_after + settings_.refute_within;
  options_.confirmed(host, watched.version.incarnation,
                     watched.version.sequence);
}

void FailureDetector::StartProbe(const HostId& requester,
                                 const SuspicionReport& report, MonoTime now) {
  const auto [found, added] = probes_.try_emplace(report.host);
  found->second.requesters.insert(requester);
  if (!added) return;
  found->second.report = report;
  found->second.deadline = now + settings_.probe_timeout;
  options_.probe(report.host);
}

void FailureDetector::ExpireProbes(MonoTime now) {
  std::map<HostId, Probe> expired;
  for (auto entry = probes_.begin(); entry != probes_.end();) {
    const auto next = std::next(entry);
    if (now >= entry->second.deadline) expired.insert(probes_.extract(entry));
    entry = next;
  }
  for (const auto& [host, probe] : expired) {
    for (const HostId& requester : probe.requesters)
      options_.report(requester, probe.report);
    // The failed probe counts as a loss of contact by this host, too.
    const auto found = watch_states_.find(host);
    if (found == watch_states_.end()) continue;
    found->second.reporters.insert(probe.requesters.begin(),
                                   probe.requesters.end());
    if (!found->second.suspected) RaiseSuspicion(host, found->second, now);
  }
}

}  // namespace camphor
