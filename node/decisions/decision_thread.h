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

/// Event loop of the single thread that owns all mutable state.
///
/// Every other thread submits tasks through its own bounded ring. A sender
/// blocks while its task ring is full. Request samples have a separate ring;
/// when that is full, samples are dropped and counted.
class DecisionThread {
 public:
  /// Threads that submit tasks; each has its own ring.
  enum class Source : std::uint8_t { kMain, kMesh, kProxy, kPlatform, kAdmin };

  using Task = std::function<void()>;

  struct Options {
    Milliseconds tick{100};              ///< interval between calls of on_tick
    std::size_t task_capacity = 1024;    ///< maximum queue length per source
    std::size_t sample_capacity = 1024;  ///< maximum sample queue length
    std::function<void()> on_tick{};     ///< called once per tick
    std::function<void(const RequestSample&)>
        on_sample{};                  ///< called for each sample
    std::function<void()> on_idle{};  ///< called after each batch of tasks
  };

  /// Queue statistics of one ring. Immutable value type.
  struct RingLoad {
    std::string name;           ///< name of the ring
    std::size_t depth = 0;      ///< number of queued messages
    std::uint64_t refused = 0;  ///< pushes refused because it was full
  };

  explicit DecisionThread(Options options);
  ~DecisionThread();

  DecisionThread(const DecisionThread&) = delete;
  DecisionThread& operator=(const DecisionThread&) = delete;

  /// Starts the thread. @pre The thread has not been started.
  void Start();

  /// Runs the queued tasks and joins the thread. Must be called from the thread
  /// that called Start().
  void Stop();

  /// Queues a task, blocking while the ring of `source` is full. Returns false
  /// if the thread is stopping. Must be called from the thread that `source`
  /// names or from the decisions thread, whose own tasks bypass the rings.
  bool Post(Source source, Task task);

  /// As Post, but returns false instead of blocking if the ring is full. Must
  /// not be called from the decisions thread.
  bool TryPost(Source source, Task task);

  /// Runs a task after the delay, with an accuracy of one tick. Must be called
  /// from the decisions thread.
  void RunAfter(Milliseconds delay, Task task);

  /// Queues a sample. Returns false if the ring is full; the sample is then
  /// dropped and counted. Must be called from the proxy thread.
  bool PostSample(const RequestSample& sample) { return samples_.Push(sample); }

  /// Durations of the ticks. Must be called from the decisions thread.
  TickTimes tick_times() const { return ticks_.times(); }

  /// Returns the estimated number of queued tasks of one source. Thread-safe.
  std::size_t Queued(Source source) const {
    return rings_.at(static_cast<std::size_t>(source))->depth();
  }

  /// Statistics of all rings. Thread-safe; the depths are estimates.
  std::vector<RingLoad> ring_loads() const;

 private:
  using TaskRing = BoundedRing<std::shared_ptr<Task>>;

  void Run();
  bool RunTasks();
  bool RunLocalTasks();
  void RunDueTasks(MonoTime now);
  void Sleep(MonoTime next_tick);
  void RunSamples();
  void Wake();

  Options options_;
  std::array<std::unique_ptr<TaskRing>, 5> rings_;
  BoundedRing<RequestSample> samples_;
  TickRecorder ticks_;
  std::deque<Task> local_tasks_;  ///< posted from this thread
  std::mutex mutex_;
  std::condition_variable wake_;
  bool woken_ = false;
  std::multimap<MonoTime, Task> delayed_;  ///< keyed by due time
  std::atomic<bool> stopping_{false};
  std::atomic<std::thread::id> thread_id_{};  ///< ID of the running thread
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_DECISION_THREAD_H_
