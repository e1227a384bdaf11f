#include "ctl/explain/cause_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace camphor {
namespace {

constexpr std::uint64_t kMicrosecondsPerMs = 1000;

/// Sentence for each reason code of a request log line.
constexpr std::array<std::pair<std::string_view, std::string_view>, 34>
    kReasonSentences = {{
        {"bad_request", "the request was malformed"},
        {"header_too_long", "its header exceeded the configured limit"},
        {"body_too_long", "its body exceeded the configured limit"},
        {"slow_request", "the caller took too long to send it"},
        {"key_missing",
         "its route requires an idempotency key and it had none"},
        {"unknown_key", "its API key belongs to no team"},
        {"over_quota", "the quota of its team over all hosts was used up"},
        {"no_route", "no route of the current configuration matched it"},
        {"not_ready",
         "this host had just started and had no configuration yet"},
        {"stale_keys",
         "its host could not confirm within the bound of the configuration "
         "that its API keys are current"},
        {"buffers_full",
         "its host had no buffers left, and the connection waited for its "
         "caller"},
        {"overloaded",
         "its host had too little processor time to serve all new connections"},
        {"link_full",
         "the link of the target's host had no room for its body, and no other "
         "target could be tried"},
        {"no_target",
         "no target of the pool was available: none was known, or all known "
         "targets were leaving, dead or already tried"},
        {"full", "the target's slots and queue were full"},
        {"limited",
         "the target takes only so many requests a second, as it said itself, "
         "and no other target could be tried"},
        {"cold",
         "the target was cold and took no more requests, and no other target "
         "could be tried"},
        {"evacuated",
         "the failure domain of the target was evacuated, and no other target "
         "could be tried"},
        {"refused",
         "the target refused it without running it, and no other target "
         "could be tried"},
        {"too_late",
         "it could not have finished within its latency objective or "
         "deadline, so it was refused before it was sent"},
        {"connect_failed",
         "the connection to the target or its host could not be established"},
        {"suspect_busy",
         "a similar request had crashed a target, and another similar "
         "request was running"},
        {"draining", "the host was draining"},
        {"claim_not_made", "its idempotency key could not be claimed"},
        {"claim_held", "another attempt held the claim on its idempotency key"},
        {"claim_unknown",
         "it is unknown whether its idempotency key was claimed"},
        {"poison", "several targets had crashed on similar requests"},
        {"target_broke",
         "the connection to the target broke after the request was sent; it "
         "may have run"},
        {"target_died",
         "the target died while it was running; it may have completed"},
        {"bad_answer", "the response of the target was malformed"},
        {"silent",
         "the host of the target stopped responding; it may have run"},
        {"deadline",
         "no complete response arrived before its deadline; it may have run"},
        {"caller_gone", "the caller disconnected before the response"},
        {"answer_cut", "the response of the target was truncated"},
    }};

std::string FormatInputs(const LogLine& line) {
  std::string inputs;
  const auto add = [&inputs](std::string_view text) {
    inputs += inputs.empty() ? "" : ", ";
    inputs += text;
  };
  if (!line.Field("target").empty())
    add(fmt::format("target {}", line.Field("target")));
  if (!line.Field("in_flight").empty()) {
    add(fmt::format("{} requests running and {} queued there",
                    line.Number("in_flight"), line.Number("waiting")));
  }
  if (line.Number("behind") > 0) {
    add(fmt::format("behind {} unanswered requests of its connection",
                    line.Number("behind")));
  }
  if (line.Number("usual_us") > 0) {
    add(fmt::format("typical latency {} ms",
                    line.Number("usual_us") / kMicrosecondsPerMs));
  }
  add(fmt::format("{} ms after arrival, {} ms before the deadline",
                  line.Number("age_us") / kMicrosecondsPerMs,
                  line.Number("left_us") / kMicrosecondsPerMs));
  add(fmt::format("configuration {}", line.Number("version")));
  return inputs;
}

}  // namespace

std::string DescribeCause(const LogLine& line) {
  const std::string_view reason = line.Field("reason");
  const auto found =
      std::ranges::find(kReasonSentences, reason,
                        &std::pair<std::string_view, std::string_view>::first);
  std::string sentence(found == kReasonSentences.end() ? std::string_view()
                                                       : found->second);
  if (sentence.empty()) {
    const std::uint64_t status = line.Number("status");
    sentence = reason.empty()
                   ? fmt::format("the target answered {}", status)
                   : fmt::format("it ended with the reason {}", reason);
  }
  return fmt::format("{} ({})", sentence, FormatInputs(line));
}

}  // namespace camphor
