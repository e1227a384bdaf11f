#ifndef CAMPHORHILL_NODE_DECISIONS_DECISION_THREAD_H_
#define CAMPHORHILL_NODE_DECISIONS_DECISION_THREAD_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/base/bounded_ring.h"
#include "core/base/time.h"
#include "core/routing/request_sample.h"
#include "node/metrics/tick_recorder.h"

namespace camphor {

/// Runs everything that owns mutable state on one thread, fed by a ring from
/// each other thread.
///
/// Work is held back at its sender while a ring is full; only samples are
/// dropped then, and counted.
class DecisionThread {
 public:
  /// Threads that hand work over; each has a ring of its own.
  enum class Source : std::uint8_t { kMain, kMesh, kProxy, kPlatform, kAdmin };

  using Task = std::function<void()>;

  struct Options {
    Milliseconds tick{100};  ///< between two calls of on_tick
    std::size_t task_capacity =
        1024;  ///< tasks of one source that wait at most
    std::size_t sample_capacity = 1024;  ///< samples that wait at most
    std::function<void()> on_tick{};     ///< runs once a tick
    std::function<void(const RequestSample&)>
        on_sample{};                  ///< takes one sample
    std::function<void()> on_idle{};  ///< runs after each batch of tasks
  };

  /// Load of one ring. Immutable value type.
  struct RingLoad {
    std::string name;           ///< which ring
    std::size_t depth = 0;      ///< messages that wait
    std::uint64_t refused = 0;  ///< times that it was full
  };

  explicit DecisionThread(Options options);
  ~DecisionThread();

  DecisionThread(const DecisionThread&) = delete;
  DecisionThread& operator=(const DecisionThread&) = delete;

  /// Starts the thread. @pre not started.
  void Start();

  /// Runs what waits and joins the thread. Thread safety: the starting thread.
  void Stop();

  /// Hands over a task, waiting while the ring is full. Returns false when the
  /// thread stops. Thread safety: the thread that `source` names, and the
  /// decisions thread itself, which needs no ring.
  bool Post(Source source, Task task);

  /// Runs a task once the delay has passed, to within a tick. Thread safety:
  /// the decisions thread.
  void RunAfter(Milliseconds delay, Task task);

  /// Hands over a sample, or drops and counts it. Thread safety: the proxy
  /// thread.
  bool PostSample(const RequestSample& sample) { return samples_.Push(sample); }

  /// How long the ticks took. Thread safety: the decisions thread.
  TickTimes tick_times() const { return ticks_.times(); }

  /// Loads of all rings. Thread safety: any thread; depths are estimates.
  std::vector<RingLoad> ring_loads() const;

 private:
  using TaskRing = BoundedRing<std::shared_ptr<Task>>;

  void Run();
  bool RunTasks();
  bool RunOwnTasks();
  void RunDelayed(MonoTime now);
  void Sleep(MonoTime next_tick);
  void RunSamples();
  void Wake();

  Options options_;
  std::array<std::unique_ptr<TaskRing>, 5> rings_;
  BoundedRing<RequestSample> samples_;
  TickRecorder ticks_;
  std::deque<Task> own_tasks_;  ///< posted by this thread itself
  std::mutex mutex_;
  std::condition_variable wake_;
  bool woken_ = false;
  std::multimap<MonoTime, Task> delayed_;  ///< by the time that they are due
  std::atomic<bool> stopping_{false};
  std::atomic<std::thread::id> thread_id_{};  ///< of the running thread
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_DECISION_THREAD_H_
