#include "ctl/explain/cause_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace camphor {
namespace {

constexpr std::uint64_t kMicrosecondsPerMs = 1000;

/// What each reason of a log line says of the request's end.
constexpr std::array<std::pair<std::string_view, std::string_view>, 25>
    kSentences = {{
        {"bad_request", "the request was malformed"},
        {"header_too_long", "its header was longer than the tables allow"},
        {"body_too_long", "its body was longer than the tables allow"},
        {"slow_request", "the caller took too long to send it"},
        {"key_missing", "its route needs an idempotency key and it had none"},
        {"no_route", "no route of the configuration in force takes it"},
        {"not_ready",
         "this host had no configuration yet, so soon after its "
         "start"},
        {"no_target",
         "no target of the pool took work: none was known, or "
         "those known were leaving, gone or tried already"},
        {"full", "the target's slots and queue were full"},
        {"refused",
         "the target itself refused it without running it, and no other one "
         "could be tried"},
        {"too_late",
         "it would have ended after its objective or deadline, so "
         "it was refused before it was sent"},
        {"connect_failed",
         "the target, or its host, could not be connected "
         "to"},
        {"suspect_busy",
         "a request like it had killed a target, and another "
         "like it was running"},
        {"draining", "the host was leaving"},
        {"claim_not_made", "its idempotency key could not be claimed"},
        {"claim_held", "another attempt held its idempotency key"},
        {"claim_unknown",
         "it could not be told whether its idempotency key "
         "was claimed"},
        {"poison", "several targets had died under requests like it"},
        {"target_broke",
         "the connection to the target broke after it was "
         "sent; it may have run"},
        {"target_died", "the target died under it; it may have run"},
        {"bad_answer", "the target's answer was malformed"},
        {"silent", "nothing was heard from the target's host; it may have run"},
        {"deadline",
         "no whole answer came before its deadline; it may have "
         "run"},
        {"caller_gone", "the caller left before there was an answer"},
        {"answer_cut", "the target's answer ended before it was whole"},
    }};

std::string InputsOf(const LogLine& line) {
  std::string inputs;
  const auto add = [&inputs](std::string_view text) {
    inputs += inputs.empty() ? "" : ", ";
    inputs += text;
  };
  if (!line.Field("target").empty())
    add(fmt::format("target {}", line.Field("target")));
  if (!line.Field("in_flight").empty()) {
    add(fmt::format("{} running and {} waiting there", line.Number("in_flight"),
                    line.Number("waiting")));
  }
  if (line.Number("usual_us") > 0) {
    add(fmt::format("usually {} ms",
                    line.Number("usual_us") / kMicrosecondsPerMs));
  }
  add(fmt::format("{} ms old with {} ms left",
                  line.Number("age_us") / kMicrosecondsPerMs,
                  line.Number("left_us") / kMicrosecondsPerMs));
  add(fmt::format("configuration {}", line.Number("version")));
  return inputs;
}

}  // namespace

std::string CauseOf(const LogLine& line) {
  const std::string_view reason = line.Field("reason");
  const auto found =
      std::ranges::find(kSentences, reason,
                        &std::pair<std::string_view, std::string_view>::first);
  std::string sentence(found == kSentences.end() ? std::string_view()
                                                 : found->second);
  if (sentence.empty()) {
    const std::uint64_t status = line.Number("status");
    sentence = reason.empty()
                   ? fmt::format("the target answered {}", status)
                   : fmt::format("it ended with the reason {}", reason);
  }
  return fmt::format("{} ({})", sentence, InputsOf(line));
}

}  // namespace camphor
