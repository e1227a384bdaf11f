#include "node/log/request_log.h"

#include <xxhash.h>

#include <cassert>
#include <string>
#include <string_view>

namespace camphor {
namespace {

std::string_view DecisionSentence(RequestDecision::Kind kind) {
  switch (kind) {
    case RequestDecision::Kind::kAnswered:
      return "request answered";
    case RequestDecision::Kind::kCut:
      return "response truncated";
    case RequestDecision::Kind::kRetried:
      return "retrying request";
    case RequestDecision::Kind::kRefused:
      return "request refused before execution";
    case RequestDecision::Kind::kFailed:
      return "request failed; it may have been executed";
    case RequestDecision::Kind::kCancelled:
      return "request cancelled by its caller";
  }
  return "request finished";
}

std::uint64_t Number(Microseconds time) {
  return static_cast<std::uint64_t>(time.count());
}

}  // namespace

RequestLog::RequestLog(Options options)
    : options_(options), budget_(options.budget) {
  assert(options_.log != nullptr);
}

void RequestLog::Write(const RequestDecision& decision, MonoTime now) {
  const bool answered = decision.kind == RequestDecision::Kind::kAnswered;
  if (answered && !IsSampled(decision)) return;
  if (!budget_.Take(1, now)) {
    ++suppressed_;
    return;
  }
  const bool at_target = decision.hop == RequestDecision::Hop::kTarget;
  options_.log->Log(answered ? LogLevel::kInfo : LogLevel::kWarning, "proxy",
                    DecisionSentence(decision.kind),
                    {{"request", std::string(decision.request_id)},
                     {"hop", at_target ? "target" : "caller"},
                     {"route", std::string(decision.route)},
                     {"pool", std::string(decision.pool)},
                     {"target", std::string(decision.target)},
                     {"attempt", decision.attempt},
                     {"status", decision.status},
                     {"reason", std::string(decision.reason)},
                     {"version", decision.version},
                     {"age_us", Number(decision.age)},
                     {"left_us", Number(decision.remaining_time)},
                     {"in_flight", decision.in_flight},
                     {"waiting", decision.waiting},
                     {"behind", decision.responses_before},
                     {"usual_us", Number(decision.usual_latency)},
                     {"left_out", suppressed_}});
}

bool RequestLog::IsSampled(const RequestDecision& decision) const {
  if (options_.answered_sample_one_in == 0) return false;
  const std::uint64_t hash =
      XXH3_64bits(decision.request_id.data(), decision.request_id.size());
  return hash % options_.answered_sample_one_in == 0;
}

}  // namespace camphor
