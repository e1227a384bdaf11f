#include "harness/history/history_checker.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace camphor {
namespace {

EventTime At(std::int64_t milliseconds) { return Milliseconds(milliseconds); }

// Generates a history of random size that satisfies all invariants.
History ValidHistory() {
  const auto hosts = *rc::gen::inRange(1, 5);
  const auto versions = *rc::gen::inRange(1, 8);
  const auto calls = *rc::gen::inRange(1, 20);
  History history{.run_id = "generated",
                  .targets = {{"t1", {.pool = "p", .version = "v1"}},
                              {"t2", {.pool = "p", .version = "v2"}},
                              {"u1", {.pool = "q", .version = "v1"}}},
                  .pool_by_prefix = {{"/p", "p"}, {"/q", "q"}}};
  for (int version = 1; version <= versions; ++version) {
    const std::int64_t sent = version * 100;
    history.edits.push_back({.sent = At(sent),
                             .ended = At(sent + 20),
                             .editor = "a",
                             .base = static_cast<std::uint64_t>(version - 1),
                             .outcome = EditOutcome::kAccepted,
                             .version = static_cast<std::uint64_t>(version),
                             .digest = fmt::format("digest{}", version)});
    history.edits.push_back({.sent = At(sent + 5),
                             .ended = At(sent + 30),
                             .editor = "b",
                             .base = static_cast<std::uint64_t>(version - 1),
                             .outcome = EditOutcome::kConflict,
                             .version = static_cast<std::uint64_t>(version)});
    for (int host = 1; host <= hosts; ++host) {
      if (*rc::gen::inRange(0, 3) == 0)
        continue;  // the host skipped this version
      history.serving.push_back({.at = At(sent + 40 + host),
                                 .host = fmt::format("h{}", host),
                                 .version = static_cast<std::uint64_t>(version),
                                 .digest = fmt::format("digest{}", version)});
    }
  }
  for (int call = 0; call < calls; ++call) {
    const std::string request = fmt::format("r{}", call);
    const std::string key = fmt::format("k{}", call);
    const bool refused = *rc::gen::arbitrary<bool>();
    history.calls.push_back(
        {.sent = At(call * 10),
         .ended = At(call * 10 + 5),
         .host = "h1",
         .path = "/p/x",
         .request = request,
         .key = key,
         .outcome = refused ? CallOutcome::kNotRun : CallOutcome::kAnswered,
         .status = refused ? 503 : 200,
         .target = refused ? "" : "t1"});
    if (!refused) {
      history.runs.push_back({.at = At(call * 10 + 2),
                              .target = "t1",
                              .key = key,
                              .request = request});
    }
  }
  return history;
}

// Adds a violation of one invariant to a valid history.
void InjectViolation(Invariant invariant, History& history) {
  const CallEvent first = history.calls.front();
  switch (invariant) {
    case Invariant::kVersionMonotonic: {
      const auto version = static_cast<std::uint64_t>(history.edits.size());
      history.serving.push_back(
          {.at = At(5000), .host = "h9", .version = version + 1});
      history.serving.push_back(
          {.at = At(5001), .host = "h9", .version = version});
      break;
    }
    case Invariant::kVersionDigestUnique:
      history.serving.push_back(
          {.at = At(5000), .host = "h9", .version = 1, .digest = "other"});
      break;
    case Invariant::kCorrectPool:
      history.calls.push_back(
          {.sent = At(1),
           .ended = At(2),
           .host = "h1",
           .path = "/p/y",
           .request = "injected",
           .outcome = CallOutcome::kAnswered,
           .target = *rc::gen::element<std::string>("u1", "unknown")});
      break;
    case Invariant::kAtMostOnce:
      for (const char* target : {"t1", "t2"}) {
        history.runs.push_back({.at = At(1),
                                .target = target,
                                .key = "injected",
                                .request = "injected"});
      }
      break;
    case Invariant::kRefusedNotRun:
      history.calls.push_back({.host = "h1",
                               .path = "/p",
                               .request = "injected",
                               .outcome = CallOutcome::kNotRun});
      history.runs.push_back({.target = "t1", .request = "injected"});
      break;
    case Invariant::kResponseIntact:
      history.calls.push_back(first);
      history.calls.back().outcome = *rc::gen::element(
          CallOutcome::kWrongResponse, CallOutcome::kTruncated);
      break;
    case Invariant::kNoWorkAfterLeave:
      history.leaves.push_back({.at = At(6000), .target = "t2"});
      history.runs.push_back(
          {.at = At(8001), .target = "t2", .request = "injected"});
      break;
    case Invariant::kNoAbortOnDrain:
      history.drains.push_back(
          {.began = At(7000), .ended = At(7100), .host = "h1"});
      if (*rc::gen::arbitrary<bool>()) {
        history.drains.back().in_flight = 1;
      } else {
        history.calls.push_back({.sent = At(6990),
                                 .ended = At(7010),
                                 .host = "h1",
                                 .path = "/p",
                                 .request = "injected"});
      }
      break;
    case Invariant::kEditsLinearizable: {
      EditEvent edit = history.edits.front();
      switch (*rc::gen::inRange(0, 4)) {
        case 0:  // a version created twice
          break;
        case 1:  // a gap in the versions below this one
          edit.base = history.edits.size() + 5;
          edit.version = edit.base + 1;
          break;
        case 2:  // a conflict without a competing edit
          edit.base = history.edits.size() + 5;
          edit.outcome = EditOutcome::kConflict;
          break;
        default:  // accepted before the preceding version was sent
          edit.base = history.edits.size() / 2;
          edit.version = edit.base + 1;
          edit.sent = At(0);
          edit.ended = At(1);
          break;
      }
      history.edits.push_back(edit);
      break;
    }
    case Invariant::kNoWorkAfterRollback:
      for (const char* host : {"h1", "h2"}) {
        history.rollouts.push_back({.at = At(9000),
                                    .host = host,
                                    .id = "p/v1/v2/1",
                                    .stage = "rolled_back"});
      }
      history.runs.push_back(
          {.at = At(11001), .target = "t2", .request = "injected"});
      break;
  }
}

std::set<Invariant> ViolatedInvariants(const History& history) {
  std::set<Invariant> violated;
  for (const Violation& violation : HistoryChecker({}).Check(history))
    violated.insert(violation.invariant);
  return violated;
}

RC_GTEST_PROP(HistoryCheckerCheck, ValidHistory_HasNoViolation, ()) {
  RC_ASSERT(ViolatedInvariants(ValidHistory()).empty());
}

RC_GTEST_PROP(HistoryCheckerCheck, InjectedViolation_IsTheOnlyOneFound, ()) {
  History history = ValidHistory();
  const auto invariant = static_cast<Invariant>(*rc::gen::inRange(0, 10));
  InjectViolation(invariant, history);
  RC_ASSERT(ViolatedInvariants(history) == std::set<Invariant>{invariant});
}

// Checks each invariant in turn, as the random choice above may not cover all.
TEST(HistoryCheckerCheck, ViolationOfEachInvariant_IsFound) {
  for (int kind = 0; kind < 10; ++kind) {
    const auto invariant = static_cast<Invariant>(kind);
    EXPECT_TRUE(rc::check(std::string(InvariantName(invariant)), [&] {
      History history = ValidHistory();
      InjectViolation(invariant, history);
      RC_ASSERT(ViolatedInvariants(history).contains(invariant));
    }));
  }
}

TEST(HistoryCheckerCheck, UnknownEdit_ExplainsOneMissingVersion) {
  History history{.edits = {{.sent = At(1),
                             .ended = At(2),
                             .editor = "a",
                             .base = 0,
                             .outcome = EditOutcome::kUnknown},
                            {.sent = At(3),
                             .ended = At(4),
                             .editor = "b",
                             .base = 1,
                             .outcome = EditOutcome::kAccepted,
                             .version = 2}}};
  EXPECT_TRUE(ViolatedInvariants(history).empty());
  history.edits.erase(history.edits.begin());
  history.edits.push_back({.sent = At(5),
                           .ended = At(6),
                           .editor = "c",
                           .base = 0,
                           .outcome = EditOutcome::kRefused});
  EXPECT_EQ(ViolatedInvariants(history),
            std::set{Invariant::kEditsLinearizable});
}

}  // namespace
}  // namespace camphor
