#include "node/platform_sync/rollout_archive.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

#include "node/json/record_json.h"

namespace camphor {
namespace {

/// Holds one table; the next calls end with a given status, a write having
/// taken effect all the same.
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
    archive_.Tick({{record.id, record}}, writer, start_ + after);
  }

  inline static const RolloutId kId{"billing/v1/v2/1"};
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

TEST_F(RolloutArchiveTick, NoWriterOrNotFinal_NothingWritten) {
  Tick(Outcome(RolloutStage::kDone), false, Seconds(0));
  Tick(Outcome(RolloutStage::kBake), true, Seconds(1));
  EXPECT_EQ(platform_.writes, 0);
}

TEST_F(RolloutArchiveTick, OtherOutcomeStands_ThatOneIsPublished) {
  RolloutRecord stands = Outcome(RolloutStage::kRolledBack);
  platform_.rows[kId.value()] = boost::json::serialize(ToJson(stands));
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  Tick(Outcome(RolloutStage::kDone), false, Seconds(1));
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_EQ(published_[0].stage, RolloutStage::kRolledBack);
  EXPECT_TRUE(published_[0].recorded);
}

TEST_F(RolloutArchiveTick, LostAnswer_ReadBackAndNotWrittenAgain) {
  platform_.status = PlatformStatus::kUnknown;
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  platform_.status = PlatformStatus::kOk;
  Tick(Outcome(RolloutStage::kDone), false, Seconds(10));
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_EQ(platform_.writes, 1);
}

TEST_F(RolloutArchiveTick, PlatformOut_TriedAgainAfterADelay) {
  platform_.status = PlatformStatus::kUnavailable;
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  Tick(Outcome(RolloutStage::kDone), true, Seconds(0));
  EXPECT_EQ(platform_.writes, 1);
  platform_.status = PlatformStatus::kOk;
  Tick(Outcome(RolloutStage::kDone), true, Seconds(1));
  EXPECT_EQ(published_.size(), 1U);
}

TEST_F(RolloutArchiveTick, EmptyMemory_LearnsTheOutcomeOfItsConfiguration) {
  RolloutRecord stands = Outcome(RolloutStage::kRolledBack);
  platform_.rows[kId.value()] = boost::json::serialize(ToJson(stands));
  ConfigSnapshot snapshot;
  snapshot.pools = {{.name = PoolName("billing"),
                     .version = TargetVersion("v1"),
                     .rollout = RolloutSpec{.version = TargetVersion("v2")}}};
  archive_.SetConfig(snapshot);
  archive_.Tick({}, false, start_);
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_EQ(published_[0].stage, RolloutStage::kRolledBack);
  EXPECT_EQ(archive_.unread(), 0U);
}

}  // namespace
}  // namespace camphor
