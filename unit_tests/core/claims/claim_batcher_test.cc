#include "core/claims/claim_batcher.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace camphor {
namespace {

using Event = ClaimMachine::Event;
using State = ClaimMachine::State;

constexpr MonoTime kStart{Seconds(1000)};

ClaimRequest Request(std::uint64_t id, const std::string& key) {
  return {.id = id, .key = key, .owner = "o" + std::to_string(id)};
}

TEST(ClaimMachineProcessEvent, EachFinalState_IsReached) {
  const std::vector<std::pair<std::vector<Event>, State>> cases = {
      {{}, State::kQueued},
      {{Event::kSent}, State::kInFlight},
      {{Event::kSent, Event::kNotApplied}, State::kQueued},
      {{Event::kSent, Event::kNoResponse}, State::kInDoubt},
      {{Event::kSent, Event::kNoResponse, Event::kSent},
       State::kInDoubtInFlight},
      {{Event::kSent, Event::kCommitted}, State::kGranted},
      {{Event::kSent, Event::kHeldByOther}, State::kHeld},
      {{Event::kGiveUp}, State::kNotMade},
      {{Event::kSent, Event::kGiveUp}, State::kUnknown},
      {{Event::kSent, Event::kNoResponse, Event::kSent, Event::kHeldByUs},
       State::kGranted},
      {{Event::kSent, Event::kNoResponse, Event::kSent, Event::kNotApplied,
        Event::kGiveUp},
       State::kUnknown}};
  for (const auto& [events, state] : cases) {
    ClaimMachine machine;
    for (const Event event : events) EXPECT_TRUE(machine.ProcessEvent(event));
    EXPECT_EQ(machine.state(), state);
  }
}

TEST(ClaimMachineProcessEvent, AnyEvents_InDoubtNeverEndsAsNotMade) {
  EXPECT_TRUE(rc::check([] {
    ClaimMachine machine;
    bool was_in_doubt = false;
    for (const int event :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7))) {
      const State before = machine.state();
      machine.ProcessEvent(static_cast<Event>(event));
      was_in_doubt = was_in_doubt || machine.state() == State::kInDoubt;
      if (before >= State::kGranted) RC_ASSERT(machine.state() == before);
    }
    RC_ASSERT(!was_in_doubt || machine.state() != State::kNotMade);
  }));
}

TEST(ClaimBatcherNextBatch, ManyClaims_AreWrittenInOneBatch) {
  ClaimBatcher batcher({});
  for (std::uint64_t id = 1; id <= 50; ++id) {
    EXPECT_TRUE(batcher.Submit(Request(id, std::to_string(id)), kStart));
  }
  const auto batch = batcher.NextBatch(kStart);
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->claims.size(), 50U);
  EXPECT_EQ(batcher
                .OnResult(batch->number,
                          {.kind = BatchResult::Kind::kCommitted}, kStart)
                .size(),
            50U);
}

TEST(ClaimBatcherNextBatch, SameKeyTwice_SecondWaitsForFirst) {
  ClaimBatcher batcher({});
  batcher.Submit(Request(1, "k"), kStart);
  batcher.Submit(Request(2, "k"), kStart);
  const auto first = batcher.NextBatch(kStart);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->claims.size(), 1U);
  const MonoTime later = kStart + Milliseconds(10);
  EXPECT_FALSE(batcher.NextBatch(later));
  batcher.OnResult(first->number, {.kind = BatchResult::Kind::kCommitted},
                   later);
  const auto second = batcher.NextBatch(later);
  ASSERT_TRUE(second);
  const auto decisions = batcher.OnResult(
      second->number,
      {.kind = BatchResult::Kind::kConflict, .held = {{"k", "o1"}}}, later);
  EXPECT_EQ(decisions,
            (std::vector<ClaimDecision>{{.id = 2, .state = State::kHeld}}));
}

TEST(ClaimBatcherOnResult, OneKeyHeld_OtherClaimsAreRetried) {
  ClaimBatcher batcher({});
  batcher.Submit(Request(1, "a"), kStart);
  batcher.Submit(Request(2, "b"), kStart);
  const auto batch = batcher.NextBatch(kStart);
  const auto decisions = batcher.OnResult(
      batch->number,
      {.kind = BatchResult::Kind::kConflict, .held = {{"a", "x"}}}, kStart);
  EXPECT_EQ(decisions,
            (std::vector<ClaimDecision>{{.id = 1, .state = State::kHeld}}));
  const auto again = batcher.NextBatch(kStart + Milliseconds(10));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->claims.front().id, 2U);
}

TEST(ClaimBatcherSubmit, PlatformUnavailable_RejectsImmediately) {
  ClaimBatcher batcher({});
  MonoTime now = kStart;
  batcher.Submit(Request(1, "a"), now);
  for (int round = 0; round < 3; ++round) {
    now += Milliseconds(100);
    const auto batch = batcher.NextBatch(now);
    ASSERT_TRUE(batch);
    batcher.OnResult(batch->number, {.kind = BatchResult::Kind::kNotApplied},
                     now);
  }
  EXPECT_FALSE(batcher.Submit(Request(2, "b"), now));
  const auto expired = batcher.Expire(kStart + Milliseconds(1000));
  EXPECT_EQ(expired,
            (std::vector<ClaimDecision>{{.id = 1, .state = State::kNotMade}}));
  EXPECT_TRUE(batcher.Submit(Request(3, "c"), now));
}

/// Platform that drops responses, refuses writes, and applies some writes late.
class UnreliableTable {
 public:
  BatchResult Write(const ClaimBatcher::Batch& batch, int fault) {
    if (fault == 1) return {.kind = BatchResult::Kind::kNotApplied};
    if (fault == 2) return {.kind = BatchResult::Kind::kNoResponse};
    if (fault == 3) {
      late_.push_back(batch);
      return {.kind = BatchResult::Kind::kNoResponse};
    }
    BatchResult result = Apply(batch);
    if (fault == 4) return {.kind = BatchResult::Kind::kNoResponse};
    return result;
  }

  void ApplyLate() {
    for (const ClaimBatcher::Batch& batch : late_) Apply(batch);
    late_.clear();
  }

  const std::map<std::string, std::string>& rows() const { return rows_; }

 private:
  BatchResult Apply(const ClaimBatcher::Batch& batch) {
    BatchResult result{.kind = BatchResult::Kind::kConflict};
    for (const ClaimRequest& claim : batch.claims) {
      const auto row = rows_.find(claim.key);
      if (row != rows_.end()) result.held.insert(*row);
    }
    if (!result.held.empty()) return result;
    for (const ClaimRequest& claim : batch.claims) {
      rows_[claim.key] = claim.owner;
    }
    return {.kind = BatchResult::Kind::kCommitted};
  }

  std::map<std::string, std::string> rows_;
  std::vector<ClaimBatcher::Batch> late_;
};

TEST(ClaimBatcherOnResult, UnreliablePlatform_GrantsEachKeyAtMostOnce) {
  EXPECT_TRUE(rc::check([] {
    // Two hosts compete for the same few keys.
    UnreliableTable table;
    std::array<ClaimBatcher, 2> hosts{ClaimBatcher({.max_batch_size = 3}),
                                      ClaimBatcher({.max_batch_size = 3})};
    std::map<std::uint64_t, std::string> keys;
    std::map<std::string, int> granted;
    std::map<std::uint64_t, State> ended;
    MonoTime now = kStart;
    std::uint64_t next_id = 1;
    const auto record = [&](const std::vector<ClaimDecision>& decisions) {
      for (const ClaimDecision& decision : decisions) {
        RC_ASSERT(ended.emplace(decision.id, decision.state).second);
        if (decision.state == State::kGranted) ++granted[keys[decision.id]];
      }
    };
    for (const int fault :
         *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6))) {
      ClaimBatcher& host = hosts.at(next_id % 2);
      const std::string key = std::to_string(*rc::gen::inRange(0, 5));
      keys[next_id] = key;
      host.Submit(Request(next_id, key), now);
      ++next_id;
      if (fault == 5) table.ApplyLate();
      for (ClaimBatcher& writer : hosts) {
        if (const auto batch = writer.NextBatch(now)) {
          record(
              writer.OnResult(batch->number, table.Write(*batch, fault), now));
        }
        record(writer.Expire(now));
      }
      now += Milliseconds(40);
    }
    for (const auto& [key, count] : granted) RC_ASSERT(count == 1);
    // A claim reported as kNotMade must not be stored.
    for (const auto& [id, state] : ended) {
      const auto row = table.rows().find(keys[id]);
      if (state != State::kNotMade || row == table.rows().end()) continue;
      RC_ASSERT(row->second != "o" + std::to_string(id));
    }
  }));
}

}  // namespace
}  // namespace camphor
