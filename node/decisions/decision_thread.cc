#include "node/decisions/decision_thread.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace camphor {
namespace {

constexpr std::array<std::string_view, 5> kSourceNames = {
    "main", "mesh", "proxy", "platform", "admin"};
constexpr Milliseconds kFullRingRetryInterval{1};

}  // namespace

DecisionThread::DecisionThread(Options options)
    : options_(std::move(options)),
      samples_({.name = "samples", .capacity = options_.sample_capacity}) {
  for (std::size_t index = 0; index < rings_.size(); ++index) {
    rings_.at(index) = std::make_unique<TaskRing>(
        TaskRing::Options{.name = std::string(kSourceNames.at(index)),
                          .capacity = options_.task_capacity,
                          .wake = [this] { Wake(); }});
  }
}

DecisionThread::~DecisionThread() { Stop(); }

void DecisionThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void DecisionThread::Stop() {
  if (!thread_.joinable()) return;
  stopping_ = true;
  Wake();
  thread_.join();
}

bool DecisionThread::Post(Source source, Task task) {
  if (std::this_thread::get_id() == thread_id_.load()) {
    local_tasks_.push_back(std::move(task));
    return true;
  }
  TaskRing& ring = *rings_.at(static_cast<std::size_t>(source));
  const auto message = std::make_shared<Task>(std::move(task));
  while (!stopping_) {
    if (ring.Push(message)) return true;
    std::this_thread::sleep_for(kFullRingRetryInterval);
  }
  return false;
}

bool DecisionThread::TryPost(Source source, Task task) {
  if (stopping_) return false;
  return rings_.at(static_cast<std::size_t>(source))
      ->Push(std::make_shared<Task>(std::move(task)));
}

void DecisionThread::RunAfter(Milliseconds delay, Task task) {
  {
    const std::lock_guard lock(mutex_);
    delayed_.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
    woken_ = true;
  }
  wake_.notify_one();
}

std::vector<DecisionThread::RingLoad> DecisionThread::ring_loads() const {
  std::vector<RingLoad> loads;
  for (const auto& ring : rings_) {
    loads.push_back({.name = ring->name(),
                     .depth = ring->depth(),
                     .refused = ring->refused()});
  }
  loads.push_back({.name = samples_.name(),
                   .depth = samples_.depth(),
                   .refused = samples_.refused()});
  return loads;
}

void DecisionThread::Run() {
  thread_id_ = std::this_thread::get_id();
  MonoTime next_tick = std::chrono::steady_clock::now();
  while (!stopping_) {
    // Samples do not wake this thread; they are processed at the next tick or
    // together with other tasks.
    const bool worked = RunTasks();
    RunSamples();
    const MonoTime now = std::chrono::steady_clock::now();
    RunDueTasks(now);
    if (now >= next_tick) {
      options_.on_tick();
      ticks_.Add(std::chrono::duration_cast<Microseconds>(
          std::chrono::steady_clock::now() - now));
      next_tick = now + options_.tick;
    }
    options_.on_idle();
    if (worked || !local_tasks_.empty()) continue;
    Sleep(next_tick);
  }
  RunTasks();
}

bool DecisionThread::RunTasks() {
  // Round robin over the sources, so that no source starves another.
  bool worked = false;
  for (std::size_t round = 0; round < options_.task_capacity; ++round) {
    bool round_worked = false;
    for (const auto& ring : rings_) {
      const std::optional<std::shared_ptr<Task>> task = ring->Pop();
      if (!task.has_value()) continue;
      (**task)();
      round_worked = true;
    }
    if (!round_worked) break;
    worked = true;
  }
  return RunLocalTasks() || worked;
}

bool DecisionThread::RunLocalTasks() {
  // Tasks posted by these tasks run in the next iteration of the loop.
  std::deque<Task> tasks;
  tasks.swap(local_tasks_);
  for (const Task& task : tasks) task();
  return !tasks.empty();
}

void DecisionThread::RunDueTasks(MonoTime now) {
  std::unique_lock lock(mutex_);
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    const Task task = std::move(delayed_.begin()->second);
    delayed_.erase(delayed_.begin());
    lock.unlock();
    task();
    lock.lock();
  }
}

void DecisionThread::Sleep(MonoTime next_tick) {
  std::unique_lock lock(mutex_);
  const MonoTime until = delayed_.empty()
                             ? next_tick
                             : std::min(next_tick, delayed_.begin()->first);
  wake_.wait_until(lock, until, [this] { return woken_; });
  woken_ = false;
}

void DecisionThread::RunSamples() {
  for (std::size_t count = 0; count < options_.sample_capacity; ++count) {
    const std::optional<RequestSample> sample = samples_.Pop();
    if (!sample.has_value()) return;
    options_.on_sample(*sample);
  }
}

void DecisionThread::Wake() {
  {
    const std::lock_guard lock(mutex_);
    woken_ = true;
  }
  wake_.notify_one();
}

}  // namespace camphor
