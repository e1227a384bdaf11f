#include "harness/history/history_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "harness/history/edit_order.h"

namespace camphor {
namespace {

constexpr std::array<std::string_view, 10> kInvariantNames = {
    "version_never_falls",  "version_whole",
    "right_pool",           "at_most_once",
    "refusal_not_run",      "whole_own_answer",
    "leaving_gets_no_work", "drain_cuts_nothing",
    "edits_linearizable",   "rolled_back_gets_nothing"};

// Collects the violations of one invariant.
class ViolationCollector {
 public:
  ViolationCollector(Invariant invariant, std::vector<Violation>& violations)
      : invariant_(invariant), violations_(violations) {}

  template <typename... Parts>
  void Add(fmt::format_string<Parts...> form, Parts&&... parts) {
    violations_.push_back(
        {.invariant = invariant_,
         .sentence = fmt::format(form, std::forward<Parts>(parts)...)});
  }

 private:
  Invariant invariant_;
  std::vector<Violation>& violations_;
};

void CheckVersionMonotonic(const History& history, ViolationCollector found) {
  std::vector<ServingEvent> serving = history.serving;
  std::ranges::stable_sort(serving, {}, &ServingEvent::at);
  std::map<std::string, std::uint64_t> newest;
  for (const ServingEvent& event : serving) {
    std::uint64_t& version = newest[event.host];
    if (event.version < version) {
      found.Add("{} served version {} after version {}", event.host,
                event.version, version);
    }
    version = std::max(version, event.version);
  }
}

void CheckVersionDigestUnique(const History& history,
                              ViolationCollector found) {
  std::map<std::uint64_t, std::string> digests;
  const auto check = [&](std::uint64_t version, const std::string& digest,
                         const std::string& who) {
    if (version == 0 || digest.empty()) return;
    const auto [known, first] = digests.emplace(version, digest);
    if (!first && known->second != digest)
      found.Add("{} has version {} with a different digest", who, version);
  };
  for (const EditEvent& edit : history.edits) {
    if (edit.outcome == EditOutcome::kAccepted)
      check(edit.version, edit.digest, edit.editor);
  }
  for (const ServingEvent& event : history.serving)
    check(event.version, event.digest, event.host);
}

// Pool of the longest matching path prefix; empty if none matches.
std::string FindPool(const History& history, const std::string& path) {
  std::string pool;
  std::size_t longest = 0;
  for (const auto& [prefix, name] : history.pool_by_prefix) {
    if (path.starts_with(prefix) && prefix.size() >= longest) {
      longest = prefix.size();
      pool = name;
    }
  }
  return pool;
}

void CheckCorrectPool(const History& history, ViolationCollector found) {
  for (const CallEvent& call : history.calls) {
    if (call.target.empty()) continue;
    const auto target = history.targets.find(call.target);
    const std::string pool = FindPool(history, call.path);
    if (target == history.targets.end()) {
      found.Add("{} was answered by the unknown target {}", call.request,
                call.target);
    } else if (!pool.empty() && target->second.pool != pool) {
      found.Add("{} for the pool {} was answered by {} of the pool {}",
                call.request, pool, call.target, target->second.pool);
    }
  }
}

void CheckAtMostOnce(const History& history, ViolationCollector found) {
  std::map<std::string, std::vector<std::string>> runs;
  for (const RunEvent& run : history.runs) {
    if (!run.key.empty()) runs[run.key].push_back(run.target);
  }
  for (const auto& [key, targets] : runs) {
    if (targets.size() > 1) {
      found.Add("the key {} ran {} times, on {} and {}", key, targets.size(),
                targets[0], targets[1]);
    }
  }
}

void CheckRefusedNotRun(const History& history, ViolationCollector found) {
  std::set<std::string> ran;
  for (const RunEvent& run : history.runs) ran.insert(run.request);
  for (const CallEvent& call : history.calls) {
    if (call.outcome == CallOutcome::kNotRun && ran.contains(call.request))
      found.Add("{} was refused as not run by {}, but ran", call.request,
                call.host);
  }
}

void CheckResponseIntact(const History& history, ViolationCollector found) {
  for (const CallEvent& call : history.calls) {
    if (call.outcome == CallOutcome::kWrongResponse)
      found.Add("{} got the response of another request", call.request);
    if (call.outcome == CallOutcome::kTruncated)
      found.Add("{} got a truncated response", call.request);
  }
}

void CheckNoWorkAfterLeave(const History& history, Milliseconds grace,
                           ViolationCollector found) {
  std::map<std::string, EventTime> leave_times;
  for (const LeaveEvent& leave : history.leaves)
    leave_times[leave.target] = leave.at;
  for (const RunEvent& run : history.runs) {
    const auto leave = leave_times.find(run.target);
    if (leave != leave_times.end() && run.at > leave->second + grace) {
      found.Add("{} ran {} {} us after the request to leave", run.target,
                run.request, (run.at - leave->second).count());
    }
  }
}

void CheckNoAbortOnDrain(const History& history, ViolationCollector found) {
  for (const DrainEvent& drain : history.drains) {
    if (drain.in_flight > 0)
      found.Add("{} aborted {} requests", drain.host, drain.in_flight);
    for (const CallEvent& call : history.calls) {
      // A request sent before the start of the drain and not yet ended was in
      // flight.
      const bool in_flight = call.host == drain.host &&
                             call.sent <= drain.began &&
                             call.ended >= drain.began;
      if (in_flight && call.outcome == CallOutcome::kNoResponse)
        found.Add("{} got no response from {} during its drain", call.request,
                  drain.host);
    }
  }
}

// Pool and new version of a rollout id "pool/from/to/attempt".
std::pair<std::string, std::string> PoolAndNewVersion(const std::string& id) {
  const std::size_t first = id.find('/');
  const std::size_t second = id.find('/', first + 1);
  const std::size_t third = id.find('/', second + 1);
  if (third == std::string::npos) return {};
  return {id.substr(0, first), id.substr(second + 1, third - second - 1)};
}

void CheckNoWorkAfterRollback(const History& history, Milliseconds grace,
                              ViolationCollector found) {
  // The grace period starts when the last host observed the rollback.
  std::map<std::pair<std::string, std::string>, EventTime> rolled_back;
  for (const RolloutEvent& event : history.rollouts) {
    if (event.stage != "rolled_back") continue;
    EventTime& last = rolled_back[PoolAndNewVersion(event.id)];
    last = std::max(last, event.at);
  }
  for (const RunEvent& run : history.runs) {
    const auto target = history.targets.find(run.target);
    if (target == history.targets.end()) continue;
    const auto last =
        rolled_back.find({target->second.pool, target->second.version});
    if (last != rolled_back.end() && run.at > last->second + grace) {
      found.Add("{} of version {} ran {} after the rollback", run.target,
                target->second.version, run.request);
    }
  }
}

}  // namespace

std::string_view InvariantName(Invariant invariant) {
  return kInvariantNames.at(static_cast<std::size_t>(invariant));
}

std::vector<Violation> HistoryChecker::Check(const History& history) const {
  std::vector<Violation> violations;
  const auto collector = [&](Invariant invariant) {
    return ViolationCollector(invariant, violations);
  };
  CheckVersionMonotonic(history, collector(Invariant::kVersionMonotonic));
  CheckVersionDigestUnique(history, collector(Invariant::kVersionDigestUnique));
  CheckCorrectPool(history, collector(Invariant::kCorrectPool));
  CheckAtMostOnce(history, collector(Invariant::kAtMostOnce));
  CheckRefusedNotRun(history, collector(Invariant::kRefusedNotRun));
  CheckResponseIntact(history, collector(Invariant::kResponseIntact));
  CheckNoWorkAfterLeave(history, options_.leave_grace,
                        collector(Invariant::kNoWorkAfterLeave));
  CheckNoAbortOnDrain(history, collector(Invariant::kNoAbortOnDrain));
  for (std::string& sentence : CheckEditOrder(history.edits)) {
    violations.push_back({.invariant = Invariant::kEditsLinearizable,
                          .sentence = std::move(sentence)});
  }
  CheckNoWorkAfterRollback(history, options_.rollback_grace,
                           collector(Invariant::kNoWorkAfterRollback));
  return violations;
}

}  // namespace camphor
