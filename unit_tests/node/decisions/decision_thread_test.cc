#include "node/decisions/decision_thread.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace camphor {
namespace {

DecisionThread::Options NoOpOptions() {
  return {.on_tick = [] {},
          .on_sample = [](const RequestSample&) {},
          .on_idle = [] {}};
}

TEST(DecisionThreadPost, TasksOfOneSource_RunInOrder) {
  DecisionThread thread(NoOpOptions());
  thread.Start();
  std::vector<int> order;
  std::promise<void> done;
  for (int number = 0; number < 100; ++number) {
    thread.Post(DecisionThread::Source::kMain,
                [&order, number] { order.push_back(number); });
  }
  thread.Post(DecisionThread::Source::kMain, [&done] { done.set_value(); });
  done.get_future().wait();
  ASSERT_EQ(order.size(), 100U);
  EXPECT_TRUE(std::ranges::is_sorted(order));
}

TEST(DecisionThreadPost, RingFull_BlocksSenderAndRunsAllTasks) {
  DecisionThread::Options options = NoOpOptions();
  options.task_capacity = 2;
  DecisionThread thread(std::move(options));
  thread.Start();
  int ran = 0;
  std::promise<void> done;
  for (int number = 0; number < 1000; ++number) {
    thread.Post(DecisionThread::Source::kMesh, [&ran] { ++ran; });
  }
  thread.Post(DecisionThread::Source::kMesh, [&done] { done.set_value(); });
  done.get_future().wait();
  EXPECT_EQ(ran, 1000);
}

TEST(DecisionThreadPost, AfterStop_ReturnsFalse) {
  DecisionThread thread(NoOpOptions());
  thread.Start();
  thread.Stop();
  EXPECT_FALSE(thread.Post(DecisionThread::Source::kMain, [] {}));
}

TEST(DecisionThreadPostSample, RingFull_DropsAndCounts) {
  DecisionThread::Options options = NoOpOptions();
  options.sample_capacity = 4;
  DecisionThread thread(std::move(options));
  for (int sample = 0; sample < 6; ++sample) thread.PostSample({});
  EXPECT_EQ(thread.ring_loads().back().refused, 2U);
}

}  // namespace
}  // namespace camphor
