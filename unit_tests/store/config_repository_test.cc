#include "store/config_repository.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

#include "core/config/config_codec.h"
#include "store/config_rows.h"
#include "unit_tests/store/fake_platform.h"

namespace camphor {
namespace {

using Fault = FakePlatform::Fault;

ConfigSnapshot Tables(const std::string& version) {
  ConfigCodec codec;
  return *codec.Decode(
      fmt::format(R"({{"pools": [{{"name": "p", "version": "{}"}}]}})",
                  version),
      0);
}

// A repository on a fake platform, with the results by operation id.
class ConfigRepositoryTest : public testing::Test {
 protected:
  void Accept(const std::string& operation, ConfigVersion base) {
    repository_.Accept({.tables = Tables(operation),
                        .base_version = base,
                        .operation_id = operation},
                       [this, operation](const AcceptResult& result) {
                         ++callback_counts_[operation];
                         results_[operation] = result;
                       });
  }

  std::optional<ConfigHead> Head() {
    std::optional<ConfigHead> head;
    repository_.ReadHead([&](const HeadResult& result) { head = result.head; });
    platform_.Run();
    return head;
  }

  FakePlatform platform_;
  ConfigRepository repository_{
      {.client = &platform_,
       .schedule = [this](Milliseconds, std::function<void()> run) {
         platform_.Schedule(std::move(run));
       }}};
  std::map<std::string, AcceptResult> results_;
  std::map<std::string, int> callback_counts_;
};

TEST_F(ConfigRepositoryTest, FirstEdit_BecomesVersionOneAndCanBeFetched) {
  EXPECT_EQ(Head()->version, 0U);
  Accept("a", 0);
  platform_.Run();
  EXPECT_EQ(results_["a"].status, AcceptStatus::kAccepted);
  EXPECT_EQ(Head(), results_["a"].head);
  std::optional<ConfigSnapshot> fetched;
  repository_.FetchSnapshot(*Head(), [&](const SnapshotResult& result) {
    fetched = result.snapshot;
  });
  platform_.Run();
  ASSERT_TRUE(fetched);
  EXPECT_EQ(fetched->pools, Tables("a").pools);
}

TEST_F(ConfigRepositoryTest,
       ConcurrentEdits_AcceptsOneAndReportsChangesToOther) {
  Accept("a", 0);
  platform_.Run();
  Accept("b", 1);
  Accept("c", 1);
  platform_.Run();
  EXPECT_EQ(results_["b"].status, AcceptStatus::kAccepted);
  EXPECT_EQ(results_["c"].status, AcceptStatus::kConflict);
  EXPECT_EQ(results_["c"].head, results_["b"].head);
  const TableDiff& diff = results_["c"].changed_since_base;
  ASSERT_EQ(diff.rows.size(), 1U);
  EXPECT_EQ(diff.rows[0].name, "p");
  EXPECT_EQ(diff.rows[0].fields[0].after, "\"b\"");
}

TEST_F(ConfigRepositoryTest, ResponseLostAfterCommit_IsAcceptedOnce) {
  Accept("a", 0);
  platform_.Step(Fault::kNone);  // head
  platform_.Step(Fault::kNone);  // object
  platform_.Step(Fault::kResponseLost);
  platform_.Run();
  EXPECT_EQ(results_["a"].status, AcceptStatus::kAccepted);
  EXPECT_EQ(Head()->version, 1U);
  EXPECT_EQ(platform_.CountRows(kOperationsTable), 1U);
}

TEST_F(ConfigRepositoryTest, OperationRetried_IsAcceptedOnce) {
  Accept("a", 0);
  platform_.Run();
  Accept("a", 0);
  platform_.Run();
  EXPECT_EQ(results_["a"].status, AcceptStatus::kAccepted);
  EXPECT_EQ(Head()->version, 1U);
}

TEST_F(ConfigRepositoryTest, PlatformUnavailable_ReturnsUnavailableWithReason) {
  Accept("a", 0);
  while (platform_.waiting() > 0) platform_.Step(Fault::kRefused);
  EXPECT_EQ(results_["a"].status, AcceptStatus::kUnavailable);
  EXPECT_FALSE(results_["a"].reason.empty());
  EXPECT_EQ(Head()->version, 0U);
}

// Concurrent edits while calls are refused and responses are lost in any order:
// exactly one edit becomes each version, and the reported results match the
// stored rows.
TEST_F(ConfigRepositoryTest,
       ConcurrentEditsWithFaults_AcceptsOneEditPerVersion) {
  EXPECT_TRUE(rc::check([this] {
    platform_ = FakePlatform();
    results_.clear();
    callback_counts_.clear();
    const int edits = *rc::gen::inRange(2, 5);
    for (int index = 0; index < edits; ++index)
      Accept(fmt::format("op{}", index),
             static_cast<ConfigVersion>(*rc::gen::inRange(0, 2)));
    for (int step = 0; platform_.waiting() > 0; ++step) {
      const auto fault =
          step > 200
              ? Fault::kNone
              : *rc::gen::weightedElement<Fault>({{5, Fault::kNone},
                                                  {1, Fault::kRefused},
                                                  {1, Fault::kRequestLost},
                                                  {1, Fault::kResponseLost}});
      platform_.Step(fault,
                     *rc::gen::inRange<std::size_t>(0, platform_.waiting()));
    }
    std::map<ConfigVersion, int> accepted_edits;
    for (const auto& [operation, result] : results_) {
      RC_ASSERT(callback_counts_[operation] == 1);
      const std::string row = platform_.Value(kOperationsTable, operation);
      if (result.status == AcceptStatus::kAccepted) {
        ++accepted_edits[result.head.version];
        RC_ASSERT(row == EncodeHead(result.head));
      }
      if (result.status == AcceptStatus::kConflict ||
          result.status == AcceptStatus::kUnavailable)
        RC_ASSERT(row.empty());
    }
    for (const auto& [version, count] : accepted_edits) RC_ASSERT(count == 1);
    const auto head = Head();
    RC_ASSERT(head.has_value());
    RC_ASSERT(head->version == platform_.CountRows(kOperationsTable));
    RC_ASSERT(head->version == platform_.CountRows(kVersionsTable));
  }));
}

}  // namespace
}  // namespace camphor
