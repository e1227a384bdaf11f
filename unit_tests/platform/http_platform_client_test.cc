#include "platform/http_platform_client.h"

#include <gtest/gtest.h>

#include <future>

#include "stand_ins/http/http_connection.h"
#include "stand_ins/platform/platform_stand_in.h"

namespace camphor {
namespace {

// The client against the platform stand-in, both in this process.
class HttpPlatformClientTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(platform_.Start()) << platform_.last_reason();
    client_.emplace(HttpPlatformClient::Options{
        .platform = platform_.endpoint(), .timeout = timeout_});
  }

  void SetMode(const std::string& body) {
    HttpConnection control(platform_.endpoint());
    const auto answer =
        control.Call({.method = "POST", .target = "/control", .body = body});
    ASSERT_TRUE(answer) << control.last_reason();
    ASSERT_EQ(answer->status, 200) << answer->body;
  }

  // Starts a call and waits for its answer.
  template <typename Start>
  PlatformResponse Await(Start start) {
    std::promise<PlatformResponse> promise;
    start([&](const PlatformResponse& answer) { promise.set_value(answer); });
    return promise.get_future().get();
  }

  PlatformResponse Write(const std::string& key, const std::string& value,
                         std::uint64_t revision) {
    return Await([&](PlatformCallback done) {
      client_->Transact(
          {.conditions = {{.table = "t", .key = key, .revision = revision}},
           .writes = {{.table = "t", .key = key, .value = value}}},
          std::move(done));
    });
  }

  PlatformResponse Read(const std::string& key) {
    return Await([&](PlatformCallback done) {
      client_->Read("t", key, std::move(done));
    });
  }

  Milliseconds timeout_{2000};
  PlatformStandIn platform_{{}};
  std::optional<HttpPlatformClient> client_;
};

TEST_F(HttpPlatformClientTest, TransactNewRow_IsReadBack) {
  EXPECT_EQ(Write("a/b %?", "", 0).status, PlatformStatus::kOk);
  const PlatformResponse answer = Read("a/b %?");
  ASSERT_EQ(answer.status, PlatformStatus::kOk) << answer.reason;
  EXPECT_EQ(answer.rows[0].key, "a/b %?");
  EXPECT_EQ(answer.rows[0].value, "");
  EXPECT_GT(answer.rows[0].revision, 0U);
}

TEST_F(HttpPlatformClientTest, TransactOldRevision_ConflictsAndWritesNothing) {
  Write("k", "first", 0);
  const PlatformResponse answer = Write("k", "second", 0);
  ASSERT_EQ(answer.status, PlatformStatus::kConflict);
  EXPECT_EQ(answer.rows[0].value, "first");
  EXPECT_EQ(Read("k").rows[0].value, "first");
}

TEST_F(HttpPlatformClientTest, TransactDelete_RemovesTheRow) {
  Write("k", "v", 0);
  Await([&](PlatformCallback done) {
    client_->Transact({.writes = {{.table = "t", .key = "k"}}},
                      std::move(done));
  });
  EXPECT_EQ(Read("k").status, PlatformStatus::kNotFound);
}

TEST_F(HttpPlatformClientTest, ScanPrefix_GivesItsRowsInOrder) {
  for (const char* key : {"b/2", "a/1", "b/1"}) Write(key, "v", 0);
  const PlatformResponse answer = Await([&](PlatformCallback done) {
    client_->Scan("t", "b/", std::move(done));
  });
  ASSERT_EQ(answer.rows.size(), 2U);
  EXPECT_EQ(answer.rows[0].key, "b/1");
}

TEST_F(HttpPlatformClientTest, Page_GivesSomeRowsAndSaysThatMoreFollow) {
  for (const char* key : {"a", "b", "c"}) Write(key, "v", 0);
  const PlatformResponse answer = Await([&](PlatformCallback done) {
    client_->Page("t", "b", 1, std::move(done));
  });
  ASSERT_EQ(answer.rows.size(), 1U);
  EXPECT_EQ(answer.rows[0].key, "b");
  EXPECT_TRUE(answer.more);
}

TEST_F(HttpPlatformClientTest, WatchWithoutAChange_EndsEmptyAfterItsTime) {
  Write("k", "v", 0);
  const PlatformResponse answer = Await([&](PlatformCallback done) {
    client_->Watch("t", 1, Milliseconds(50), std::move(done));
  });
  EXPECT_EQ(answer.status, PlatformStatus::kOk);
  EXPECT_TRUE(answer.rows.empty());
  EXPECT_EQ(answer.revision, 1U);
}

TEST_F(HttpPlatformClientTest, Watch_IsAnsweredByWritesAndRemovals) {
  std::promise<PlatformResponse> first;
  client_->Watch("t", 0, Seconds(20), [&](const PlatformResponse& answer) {
    first.set_value(answer);
  });
  Write("k", "v", 0);
  const PlatformResponse written = first.get_future().get();
  ASSERT_EQ(written.rows.size(), 1U);
  EXPECT_EQ(written.rows[0].value, "v");

  std::promise<PlatformResponse> second;
  client_->Watch(
      "t", written.revision, Seconds(20),
      [&](const PlatformResponse& answer) { second.set_value(answer); });
  Await([&](PlatformCallback done) {
    client_->Transact({.writes = {{.table = "t", .key = "k"}}},
                      std::move(done));
  });
  const PlatformResponse removed = second.get_future().get();
  ASSERT_EQ(removed.rows.size(), 1U);
  EXPECT_TRUE(removed.rows[0].removed);
}

TEST_F(HttpPlatformClientTest, WatchOfDroppedHistory_IsCompacted) {
  Write("k", "v", 0);
  SetMode(R"({"mode": "up", "drop_history": true})");
  const PlatformResponse answer = Await([&](PlatformCallback done) {
    client_->Watch("t", 0, Milliseconds(50), std::move(done));
  });
  EXPECT_EQ(answer.status, PlatformStatus::kCompacted);
}

TEST_F(HttpPlatformClientTest, LateWrite_IsUnknownAndTakesEffectAfterwards) {
  SetMode(R"({"mode": "late", "delay_ms": 20})");
  EXPECT_EQ(Write("k", "v", 0).status, PlatformStatus::kUnknown);
  SetMode(R"({"mode": "up"})");
  const PlatformResponse answer = Await([&](PlatformCallback done) {
    client_->Watch("t", 0, Seconds(20), std::move(done));
  });
  ASSERT_EQ(answer.rows.size(), 1U);
  EXPECT_EQ(answer.rows[0].value, "v");
}

TEST_F(HttpPlatformClientTest, ObjectsPutAndGet_GiveSameBytes) {
  const std::string bytes("\0\xff{}", 4);
  Await([&](PlatformCallback done) {
    client_->PutObject("config/1", bytes, std::move(done));
  });
  const PlatformResponse answer = Await([&](PlatformCallback done) {
    client_->GetObject("config/1", std::move(done));
  });
  EXPECT_EQ(answer.object, bytes);
}

TEST_F(HttpPlatformClientTest, PlatformOut_IsUnavailableAndWritesNothing) {
  SetMode(R"({"mode": "out"})");
  EXPECT_EQ(Write("k", "v", 0).status, PlatformStatus::kUnavailable);
  SetMode(R"({"mode": "up"})");
  EXPECT_EQ(Read("k").status, PlatformStatus::kNotFound);
}

TEST_F(HttpPlatformClientTest, AnswerLost_IsUnknownAndTheWriteStands) {
  SetMode(R"({"mode": "lose_answers"})");
  EXPECT_EQ(Write("k", "v", 0).status, PlatformStatus::kUnknown);
  SetMode(R"({"mode": "up"})");
  EXPECT_EQ(Read("k").status, PlatformStatus::kOk);
}

TEST_F(HttpPlatformClientTest, LimitReached_IsUnavailable) {
  SetMode(R"({"mode": "up", "writes_per_s": 0})");
  EXPECT_EQ(Write("k", "v", 0).status, PlatformStatus::kUnavailable);
}

TEST_F(HttpPlatformClientTest, PlatformGone_IsUnavailable) {
  Write("k", "v", 0);
  platform_.Stop();
  EXPECT_EQ(Write("k", "w", 1).status, PlatformStatus::kUnavailable);
}

TEST_F(HttpPlatformClientTest, ManyCallsAtOnce_AllEndOnce) {
  constexpr int kCalls = 300;
  std::atomic<int> ended = 0;
  for (int call = 0; call < kCalls; ++call) {
    client_->Read("t", std::to_string(call),
                  [&](const PlatformResponse&) { ++ended; });
  }
  Await([&](PlatformCallback done) {
    client_->Read("t", "last", std::move(done));
  });
  client_->Stop();
  EXPECT_EQ(ended, kCalls);
}

class HttpPlatformClientShortTimeoutTest : public HttpPlatformClientTest {
 protected:
  HttpPlatformClientShortTimeoutTest() { timeout_ = Milliseconds(100); }
};

TEST_F(HttpPlatformClientShortTimeoutTest, SilentPlatform_IsUnknown) {
  SetMode(R"({"mode": "silent"})");
  EXPECT_EQ(Write("k", "v", 0).status, PlatformStatus::kUnknown);
}

TEST_F(HttpPlatformClientTest, StopWithCallsUnderWay_EndsEach) {
  SetMode(R"({"mode": "silent"})");
  constexpr int kCalls = 20;
  std::vector<PlatformStatus> ended;
  for (int call = 0; call < kCalls; ++call) {
    client_->Read("t", "k", [&](const PlatformResponse& answer) {
      ended.push_back(answer.status);
    });
  }
  client_->Stop();
  EXPECT_EQ(ended.size(), static_cast<std::size_t>(kCalls));
}

}  // namespace
}  // namespace camphor
