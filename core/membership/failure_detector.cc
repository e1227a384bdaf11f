#include "core/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace camphor {

FailureDetector::FailureDetector(Options options,
                                 const ReplicatorSettings& settings)
    : options_(std::move(options)), settings_(settings) {}

void FailureDetector::Watch(const std::map<HostId, Life>& neighbours,
                            MonoTime now) {
  std::erase_if(watched_, [&](const auto& entry) {
    return !neighbours.contains(entry.first);
  });
  for (const auto& [host, life] : neighbours) {
    const auto [found, added] = watched_.try_emplace(host);
    // A new life starts with a clean record; a new sequence refutes.
    if (added || found->second.life.incarnation != life.incarnation)
      found->second = {.heard = now, .deadline = now + settings_.suspect_after};
    if (found->second.life < life) found->second.losers.clear();
    found->second.life = life;
  }
}

void FailureDetector::Heard(const HostId& host, MonoTime now) {
  const auto found = watched_.find(host);
  if (found != watched_.end()) {
    found->second.heard = now;
    found->second.deadline = now + settings_.suspect_after;
    found->second.suspected = false;
    found->second.losers.clear();
  }
  const auto probe = probes_.find(host);
  if (probe == probes_.end()) return;
  SuspicionReport answer = probe->second.report;
  answer.reached = true;
  for (const HostId& asker : probe->second.askers)
    options_.report(asker, answer);
  probes_.erase(probe);
}

void FailureDetector::LinkLost(const HostId& host, MonoTime now) {
  const auto found = watched_.find(host);
  if (found == watched_.end()) return;
  found->second.deadline =
      std::min(found->second.deadline, now + settings_.lost_link_after);
}

void FailureDetector::OnReport(const HostId& from,
                               const SuspicionReport& report, MonoTime now) {
  if (report.host == options_.self) return;
  const auto found = watched_.find(report.host);
  const bool watched = found != watched_.end() &&
                       found->second.life.incarnation == report.incarnation;
  if (report.reached) {
    // It lives, though perhaps not for us: ask again after the usual silence.
    if (!watched) return;
    if (found->second.suspected) ++withdrawn_;
    found->second.suspected = false;
    found->second.losers.clear();
    found->second.deadline = now + settings_.suspect_after;
    return;
  }
  if (watched && found->second.suspected) {
    found->second.losers.insert(from);
    ConfirmIfEnough(report.host, found->second, now);
    return;
  }
  ProbeFor(from, report, now);
}

void FailureDetector::Tick(MonoTime now) {
  for (auto& [host, watched] : watched_) {
    if (!watched.suspected && now >= watched.deadline)
      Suspect(host, watched, now);
    if (watched.suspected && now >= watched.next_report) {
      watched.next_report = now + settings_.heartbeat_period;
      Report(host, watched);
      options_.probe(host);
    }
  }
  EndProbes(now);
}

void FailureDetector::Suspect(const HostId& host, Watched& watched,
                              MonoTime now) {
  ++raised_;
  watched.suspected = true;
  watched.next_report = now;
  ConfirmIfEnough(host, watched, now);
}

void FailureDetector::Report(const HostId& host, const Watched& watched) {
  const SuspicionReport report{.host = host,
                               .incarnation = watched.life.incarnation,
                               .sequence = watched.life.sequence};
  for (const HostId& watcher : options_.watchers_of(host))
    if (watcher != options_.self) options_.report(watcher, report);
}

void FailureDetector::ConfirmIfEnough(const HostId& host, Watched& watched,
                                      MonoTime now) {
  // A host that few can watch can not have more watchers that lost it.
  std::set<HostId> watchers = options_.watchers_of(host);
  watchers.insert(options_.self);
  const std::size_t needed =
      std::min<std::size_t>(settings_.suspicions_needed, watchers.size());
  if (watched.losers.size() + 1 < needed) return;
  ++confirmed_;
  watched.suspected = false;
  watched.losers.clear();
  watched.deadline = now + settings_.suspect_after + settings_.refute_within;
  options_.confirmed(host, watched.life.incarnation, watched.life.sequence);
}

void FailureDetector::ProbeFor(const HostId& asker,
                               const SuspicionReport& report, MonoTime now) {
  const auto [found, added] = probes_.try_emplace(report.host);
  found->second.askers.insert(asker);
  if (!added) return;
  found->second.report = report;
  found->second.deadline = now + settings_.probe_timeout;
  options_.probe(report.host);
}

void FailureDetector::EndProbes(MonoTime now) {
  std::map<HostId, Probe> ended;
  for (auto entry = probes_.begin(); entry != probes_.end();) {
    const auto next = std::next(entry);
    if (now >= entry->second.deadline) ended.insert(probes_.extract(entry));
    entry = next;
  }
  for (const auto& [host, probe] : ended) {
    for (const HostId& asker : probe.askers)
      options_.report(asker, probe.report);
    // What we could not reach ourselves counts as lost by us, too.
    const auto found = watched_.find(host);
    if (found == watched_.end()) continue;
    found->second.losers.insert(probe.askers.begin(), probe.askers.end());
    if (!found->second.suspected) Suspect(host, found->second, now);
  }
}

}  // namespace camphor
