#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"

namespace camphor {
namespace {

HostRecord RandomHostRecord() {
  return {.host = HostId("h"),
          .incarnation = *rc::gen::inRange<std::uint64_t>(0, 3),
          .sequence = *rc::gen::inRange<std::uint64_t>(0, 3),
          .status = static_cast<HostStatus>(*rc::gen::inRange(0, 4)),
          .config_version = *rc::gen::inRange<std::uint64_t>(0, 3)};
}

RolloutRecord RandomRolloutRecord() {
  return {.id = RolloutId("r"),
          .stage = static_cast<RolloutStage>(*rc::gen::inRange(0, 6)),
          .share_ppm = *rc::gen::inRange<std::uint32_t>(0, 3),
          .canary_targets = *rc::gen::inRange<std::uint32_t>(0, 3),
          .ordered_at = WallTime(Milliseconds(*rc::gen::inRange(0, 4))),
          .hurry = *rc::gen::arbitrary<bool>(),
          .recorded = *rc::gen::arbitrary<bool>()};
}

PoisonRecord RandomPoisonRecord() {
  PoisonRecord record{.fingerprint = 1};
  // More than a record keeps.
  const int deaths = *rc::gen::inRange(0, 12);
  for (int death = 0; death < deaths; ++death) {
    record.deaths.insert(
        {.at = WallTime(Milliseconds(*rc::gen::inRange(0, 5))),
         .target = TargetId(std::to_string(*rc::gen::inRange(0, 4)))});
  }
  record = PoisonRecord::Merge(record, record);
  return record;
}

template <typename Record>
void CheckMergeLaws(const std::function<Record()>& generate) {
  EXPECT_TRUE(rc::check([&generate] {
    const Record a = generate();
    const Record b = generate();
    const Record c = generate();
    RC_ASSERT(Record::Merge(a, b) == Record::Merge(b, a));
    RC_ASSERT(Record::Merge(a, a) == a);
    RC_ASSERT(Record::Merge(Record::Merge(a, b), c) ==
              Record::Merge(a, Record::Merge(b, c)));
  }));
}

TEST(HostRecordMerge, RandomRecords_SatisfyMergeLaws) {
  CheckMergeLaws<HostRecord>(RandomHostRecord);
}

TEST(RolloutRecordMerge, RandomRecords_SatisfyMergeLaws) {
  CheckMergeLaws<RolloutRecord>(RandomRolloutRecord);
}

TEST(PoisonRecordMerge, RandomRecords_SatisfyMergeLaws) {
  CheckMergeLaws<PoisonRecord>(RandomPoisonRecord);
}

TEST(RolloutRecordMerge, RolledBackAndDone_KeepsRolledBack) {
  const RolloutRecord done{.id = RolloutId("r"),
                           .stage = RolloutStage::kDone,
                           .share_ppm = 1'000'000};
  const RolloutRecord back{.id = RolloutId("r"),
                           .stage = RolloutStage::kRolledBack};
  EXPECT_EQ(RolloutRecord::Merge(done, back).stage, RolloutStage::kRolledBack);
}

TEST(RolloutRecordMerge, RecordedAndUnrecordedOutcome_KeepsRecorded) {
  const RolloutRecord done{.id = RolloutId("r"),
                           .stage = RolloutStage::kDone,
                           .share_ppm = 1'000'000,
                           .recorded = true};
  const RolloutRecord back{.id = RolloutId("r"),
                           .stage = RolloutStage::kRolledBack};
  EXPECT_EQ(RolloutRecord::Merge(back, done), done);
}

}  // namespace
}  // namespace camphor
