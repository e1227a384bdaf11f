#include "node/platform_sync/rollout_archive.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

#include "core/config/rollout_key.h"
#include "core/rollout/rollout_view.h"
#include "node/json/record_json.h"
#include "unit_tests/store/fake_platform.h"

namespace camphor {
namespace {

/// Fake platform with one table. Calls complete with the configured status;
/// unless that is kUnavailable, writes take effect.
class OneTablePlatform : public PlatformClient {
 public:
  void Read(std::string, std::string key, PlatformCallback done) override {
    ++reads;
    if (status != PlatformStatus::kOk) return done({.status = status});
    const auto found = rows.find(key);
    if (found == rows.end()) return done({.status = PlatformStatus::kNotFound});
    done({.status = PlatformStatus::kOk,
          .rows = {{.key = key, .value = found->second, .revision = 1}}});
  }
  void Scan(std::string, std::string, PlatformCallback) override {}
  void Page(std::string, std::string, std::size_t,
            PlatformCallback done) override {
    done({});
  }
  void Watch(std::string, std::uint64_t, Milliseconds,
             PlatformCallback done) override {
    done({});
  }
  void Transact(TableTransaction transaction, PlatformCallback done) override {
    ++writes;
    if (status == PlatformStatus::kUnavailable) return done({.status = status});
    const RowWrite& write = transaction.writes.at(0);
    if (!rows.emplace(write.key, *write.value).second) {
      return done({.status = PlatformStatus::kConflict});
    }
    done({.status = status});
  }
  void PutObject(std::string, std::string, PlatformCallback) override {}
  void GetObject(std::string, PlatformCallback) override {}

  std::map<std::string, std::string> rows;
  PlatformStatus status = PlatformStatus::kOk;
  int reads = 0;
  int writes = 0;
};

class RolloutArchiveTick : public testing::Test {
 protected:
  static RolloutRecord Outcome(RolloutStage stage) {
    return {.id = kId, .stage = stage, .reason = {.signal = "failures"}};
  }

  void Tick(const RolloutRecord& record, bool writer, Seconds after) {
    archive_.Tick({{record.id, record}}, writer, start_ + after, kWallStart);
  }

  inline static const RolloutId kId{"billing/v1/v2/1"};
  static constexpr WallTime kWallStart{Seconds(1'800'000'000)};
  const MonoTime start_{Seconds(100)};
  OneTablePlatform platform_;
  std::vector<RolloutRecord> published_;
  RolloutArchive archive_{
      {.platform = &platform_,
       .post = [](const std::function<void()>& task) { task(); },
       .publish =
           [this](const RolloutRecord& record) {
             published_.push_back(record);
           }}};
};

TEST_F(RolloutArchiveTick, FinalOutcome_WrittenOnceAndPublishedAsRecorded) {
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_TRUE(published_[0].recorded);
  Tick(published_[0], true, Seconds(1));
  EXPECT_EQ(platform_.writes, 1);
}

TEST_F(RolloutArchiveTick, NonWriterOrNotFinal_WritesNothing) {
  Tick(Outcome(RolloutStage::kDone), false, Seconds(0));
  Tick(Outcome(RolloutStage::kBake), true, Seconds(1));
  EXPECT_EQ(platform_.writes, 0);
}

TEST_F(RolloutArchiveTick, DifferentOutcomeStored_PublishesStoredOutcome) {
  RolloutRecord stored = Outcome(RolloutStage::kRolledBack);
  platform_.rows[kId.value()] = boost::json::serialize(ToJson(stored));
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  Tick(Outcome(RolloutStage::kDone), false, Seconds(1));
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_EQ(published_[0].stage, RolloutStage::kRolledBack);
  EXPECT_TRUE(published_[0].recorded);
}

TEST_F(RolloutArchiveTick, WriteResponseLost_ReadsBackWithoutSecondWrite) {
  platform_.status = PlatformStatus::kUnknown;
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  platform_.status = PlatformStatus::kOk;
  Tick(Outcome(RolloutStage::kDone), false, Seconds(10));
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_EQ(platform_.writes, 1);
}

TEST_F(RolloutArchiveTick, PlatformUnavailable_RetriesAfterDelay) {
  platform_.status = PlatformStatus::kUnavailable;
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  EXPECT_EQ(platform_.writes, 1);
  platform_.status = PlatformStatus::kOk;
  Tick(Outcome(RolloutStage::kDone), true, Seconds(1));
  EXPECT_EQ(published_.size(), 1U);
}

TEST_F(RolloutArchiveTick, AfterRestart_ReadsOutcomeOfConfiguredRollout) {
  RolloutRecord stored = Outcome(RolloutStage::kRolledBack);
  platform_.rows[kId.value()] = boost::json::serialize(ToJson(stored));
  ConfigSnapshot snapshot;
  snapshot.pools = {{.name = PoolName("billing"),
                     .version = TargetVersion("v1"),
                     .rollout = RolloutSpec{.version = TargetVersion("v2")}}};
  archive_.SetConfig(snapshot);
  archive_.Tick({}, false, start_, kWallStart);
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_EQ(published_[0].stage, RolloutStage::kRolledBack);
  EXPECT_EQ(archive_.unread(), 0U);
}

/// A rollout with a limited duration, on a fake platform with several tables.
class RolloutArchiveOrder : public testing::Test {
 protected:
  using Fault = FakePlatform::Fault;

  void SetUp() override {
    snapshot_.pools = {{.name = PoolName("billing"),
                        .rollout = RolloutSpec{.version = TargetVersion("v2"),
                                               .allowed = Seconds(12),
                                               .attempt = 4}}};
    snapshot_.routes = {{.name = RouteName("r"),
                         .pool = PoolName("billing"),
                         .timeout = Milliseconds(600)}};
    id_ = RolloutKey::FromPool(snapshot_.pools.front()).id();
    archive_.SetConfig(snapshot_);
  }

  RolloutArchive::Options Options() {
    return {
        .platform = &platform_,
        .post = [](const std::function<void()>& task) { task(); },
        .publish =
            [this](const RolloutRecord& record) {
              auto& known = records_[record.id];
              known.id = record.id;
              known = RolloutRecord::Merge(known, record);
            },
        .report =
            [](const PoolSpec& pool, RolloutStage stage) {
              return TableTransaction{
                  .writes = {{.table = "report",
                              .key = pool.name.value(),
                              .value = std::string(RolloutStageName(stage))}}};
            }};
  }

  void Tick(Milliseconds after, bool writer = true) {
    now_ += after;
    archive_.Tick(records_, writer, now_, kWall);
  }

  /// Runs ticks until the start record is written.
  void WriteStartRecord() {
    for (int call = 0; call < 3; ++call) {
      Tick(Milliseconds(100));
      platform_.Run();
    }
  }

  void SetStage(RolloutStage stage) { records_[id_].stage = stage; }

  static constexpr WallTime kWall{Seconds(1'800'000'000)};
  ConfigSnapshot snapshot_;
  RolloutId id_;
  MonoTime now_{Seconds(100)};
  FakePlatform platform_;
  std::map<RolloutId, RolloutRecord> records_;
  RolloutArchive archive_{Options()};
};

TEST_F(RolloutArchiveOrder, NewRollout_WritesStartTimeAndReport) {
  WriteStartRecord();
  EXPECT_EQ(records_[id_].ordered_at, kWall);
  EXPECT_EQ(platform_.Value("report", "billing"), "pending");
  Tick(Milliseconds(100));
  EXPECT_EQ(platform_.waiting(), 0U);
}

TEST_F(RolloutArchiveOrder, NonWriter_ReadsOnlyAfterDelay) {
  RolloutArchive late(Options());
  ConfigSnapshot before;
  late.SetConfig(before);
  late.SetConfig(snapshot_);
  late.Tick(records_, false, now_, kWall);
  EXPECT_EQ(platform_.waiting(), 0U);
  late.Tick(records_, false, now_ + Seconds(3), kWall);
  EXPECT_EQ(platform_.waiting(), 1U);
  platform_.Run();
}

TEST_F(RolloutArchiveOrder, Done_IsReportedAfterRequestsToOldTargetsEnd) {
  WriteStartRecord();
  SetStage(RolloutStage::kDone);
  Tick(Milliseconds(0));
  Tick(Milliseconds(900));
  EXPECT_EQ(platform_.waiting(), 0U);
  Tick(Milliseconds(200));
  platform_.Run();
  EXPECT_EQ(platform_.Value("report", "billing"), "done");
  EXPECT_TRUE(records_[id_].recorded);
}

TEST_F(RolloutArchiveOrder, RolledBack_IsReportedImmediately) {
  WriteStartRecord();
  SetStage(RolloutStage::kRolledBack);
  Tick(Milliseconds(0));
  platform_.Run();
  EXPECT_EQ(platform_.Value("report", "billing"), "rolled_back");
}

TEST_F(RolloutArchiveOrder, OutcomeWriteResponseLost_KeepsOneOutcome) {
  WriteStartRecord();
  SetStage(RolloutStage::kRolledBack);
  Tick(Milliseconds(0));
  platform_.Step(Fault::kResponseLost);
  records_[id_].stage = RolloutStage::kDone;  // another host's view
  for (int call = 0; call < 20; ++call) {
    Tick(Milliseconds(500));
    platform_.Run();
  }
  EXPECT_EQ(platform_.Value("report", "billing"), "rolled_back");
  EXPECT_EQ(records_[id_].stage, RolloutStage::kRolledBack);
  EXPECT_TRUE(records_[id_].recorded);
}

TEST_F(RolloutArchiveOrder, TwoConcurrentWriters_KeepOneStartRecord) {
  RolloutArchive other(Options());
  other.SetConfig(snapshot_);
  Tick(Milliseconds(100));
  other.Tick(records_, true, now_, kWall);
  platform_.Run();
  Tick(Milliseconds(100));
  other.Tick(records_, true, now_, kWall + Seconds(1));
  platform_.Run();
  for (int call = 0; call < 5; ++call) {
    Tick(Milliseconds(600));
    other.Tick(records_, true, now_, kWall);
    platform_.Run();
  }
  EXPECT_EQ(records_[id_].ordered_at, kWall);
  EXPECT_EQ(platform_.CountRows("rollouts"), 1U);
}

}  // namespace
}  // namespace camphor
