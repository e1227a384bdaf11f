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

constexpr std::array<std::string_view, 10> kPromiseNames = {
    "version_never_falls",  "version_whole",
    "right_pool",           "at_most_once",
    "refusal_not_run",      "whole_own_answer",
    "leaving_gets_no_work", "drain_cuts_nothing",
    "edits_linearizable",   "rolled_back_gets_nothing"};

// Collects the violations of one promise.
class Findings {
 public:
  Findings(Promise promise, std::vector<Violation>& violations)
      : promise_(promise), violations_(violations) {}

  template <typename... Parts>
  void Add(fmt::format_string<Parts...> form, Parts&&... parts) {
    violations_.push_back(
        {.promise = promise_,
         .sentence = fmt::format(form, std::forward<Parts>(parts)...)});
  }

 private:
  Promise promise_;
  std::vector<Violation>& violations_;
};

void CheckVersionNeverFalls(const History& history, Findings found) {
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

void CheckVersionWhole(const History& history, Findings found) {
  std::map<std::uint64_t, std::string> digests;
  const auto check = [&](std::uint64_t version, const std::string& digest,
                         const std::string& who) {
    if (version == 0 || digest.empty()) return;
    const auto [known, first] = digests.emplace(version, digest);
    if (!first && known->second != digest)
      found.Add("{} has version {} with another digest", who, version);
  };
  for (const EditEvent& edit : history.edits) {
    if (edit.outcome == EditOutcome::kAccepted)
      check(edit.version, edit.digest, edit.editor);
  }
  for (const ServingEvent& event : history.serving)
    check(event.version, event.digest, event.host);
}

// Pool of the longest path prefix that matches; empty when none does.
std::string PoolOfPath(const History& history, const std::string& path) {
  std::string pool;
  std::size_t longest = 0;
  for (const auto& [prefix, name] : history.pool_of) {
    if (path.starts_with(prefix) && prefix.size() >= longest) {
      longest = prefix.size();
      pool = name;
    }
  }
  return pool;
}

void CheckRightPool(const History& history, Findings found) {
  for (const CallEvent& call : history.calls) {
    if (call.target.empty()) continue;
    const auto target = history.targets.find(call.target);
    const std::string pool = PoolOfPath(history, call.path);
    if (target == history.targets.end()) {
      found.Add("{} was answered by the unknown target {}", call.request,
                call.target);
    } else if (!pool.empty() && target->second.pool != pool) {
      found.Add("{} for the pool {} was answered by {} of the pool {}",
                call.request, pool, call.target, target->second.pool);
    }
  }
}

void CheckAtMostOnce(const History& history, Findings found) {
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

void CheckRefusalNotRun(const History& history, Findings found) {
  std::set<std::string> ran;
  for (const RunEvent& run : history.runs) ran.insert(run.request);
  for (const CallEvent& call : history.calls) {
    if (call.outcome == CallOutcome::kNotRun && ran.contains(call.request))
      found.Add("{} was refused as not run by {}, and ran", call.request,
                call.host);
  }
}

void CheckWholeOwnAnswer(const History& history, Findings found) {
  for (const CallEvent& call : history.calls) {
    if (call.outcome == CallOutcome::kWrong)
      found.Add("{} got another request's answer", call.request);
    if (call.outcome == CallOutcome::kCutOff)
      found.Add("{} got an answer that was cut off", call.request);
  }
}

void CheckLeavingGetsNoWork(const History& history, Milliseconds grace,
                            Findings found) {
  std::map<std::string, EventTime> left;
  for (const LeaveEvent& leave : history.leaves) left[leave.target] = leave.at;
  for (const RunEvent& run : history.runs) {
    const auto leave = left.find(run.target);
    if (leave != left.end() && run.at > leave->second + grace) {
      found.Add("{} ran {} {} us after it was told to leave", run.target,
                run.request, (run.at - leave->second).count());
    }
  }
}

void CheckDrainCutsNothing(const History& history, Findings found) {
  for (const DrainEvent& drain : history.drains) {
    if (drain.in_flight > 0)
      found.Add("{} cut off {} requests", drain.host, drain.in_flight);
    for (const CallEvent& call : history.calls) {
      // A request that was sent before the drain began is in flight then.
      const bool in_flight = call.host == drain.host &&
                             call.sent <= drain.began &&
                             call.ended >= drain.began;
      if (in_flight && call.outcome == CallOutcome::kNothing)
        found.Add("{} got no answer from {}, which drained", call.request,
                  drain.host);
    }
  }
}

// The version that a rollout id "pool/from/to/attempt" brings in.
std::pair<std::string, std::string> PoolAndNewVersion(const std::string& id) {
  const std::size_t first = id.find('/');
  const std::size_t second = id.find('/', first + 1);
  const std::size_t third = id.find('/', second + 1);
  if (third == std::string::npos) return {};
  return {id.substr(0, first), id.substr(second + 1, third - second - 1)};
}

void CheckRolledBackGetsNothing(const History& history, Milliseconds grace,
                                Findings found) {
  // The last host to hear of it ends the grace.
  std::map<std::pair<std::string, std::string>, EventTime> heard;
  for (const RolloutEvent& event : history.rollouts) {
    if (event.stage != "rolled_back") continue;
    EventTime& last = heard[PoolAndNewVersion(event.id)];
    last = std::max(last, event.at);
  }
  for (const RunEvent& run : history.runs) {
    const auto target = history.targets.find(run.target);
    if (target == history.targets.end()) continue;
    const auto last = heard.find({target->second.pool, target->second.version});
    if (last != heard.end() && run.at > last->second + grace) {
      found.Add("{} of version {} ran {} after the rollback", run.target,
                target->second.version, run.request);
    }
  }
}

}  // namespace

std::string_view PromiseName(Promise promise) {
  return kPromiseNames.at(static_cast<std::size_t>(promise));
}

std::vector<Violation> HistoryChecker::Check(const History& history) const {
  std::vector<Violation> violations;
  const auto findings = [&](Promise promise) {
    return Findings(promise, violations);
  };
  CheckVersionNeverFalls(history, findings(Promise::kVersionNeverFalls));
  CheckVersionWhole(history, findings(Promise::kVersionWhole));
  CheckRightPool(history, findings(Promise::kRightPool));
  CheckAtMostOnce(history, findings(Promise::kAtMostOnce));
  CheckRefusalNotRun(history, findings(Promise::kRefusalNotRun));
  CheckWholeOwnAnswer(history, findings(Promise::kWholeOwnAnswer));
  CheckLeavingGetsNoWork(history, options_.leave_grace,
                         findings(Promise::kLeavingGetsNoWork));
  CheckDrainCutsNothing(history, findings(Promise::kDrainCutsNothing));
  for (std::string& sentence : CheckEditOrder(history.edits)) {
    violations.push_back({.promise = Promise::kEditsLinearizable,
                          .sentence = std::move(sentence)});
  }
  CheckRolledBackGetsNothing(history, options_.rollback_grace,
                             findings(Promise::kRolledBackGetsNothing));
  return violations;
}

}  // namespace camphor
