#ifndef CAMPHORHILL_STAND_INS_TARGET_TARGET_ANNOUNCER_H_
#define CAMPHORHILL_STAND_INS_TARGET_TARGET_ANNOUNCER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// Announces a target to the node of its host, renews the announcement, and
/// withdraws it when the target leaves; on a thread of its own.
class TargetAnnouncer {
 public:
  struct Options {
    Endpoint node{};               ///< admin listener of the host's node
    std::string id{};              ///< target id
    std::string announcement{};    ///< JSON body of the announcement
    std::string warming{};         ///< body while the target is cold, if it is
    Milliseconds cold_start{0};    ///< how long the target is cold
    Milliseconds renew_each{500};  ///< time between renewals
    std::function<void(const std::string&)> log{};  ///< takes one sentence
  };

  explicit TargetAnnouncer(Options options);
  ~TargetAnnouncer();
  TargetAnnouncer(const TargetAnnouncer&) = delete;
  TargetAnnouncer& operator=(const TargetAnnouncer&) = delete;

  /// Starts to announce. Thread safety: one thread.
  void Start();

  /// Withdraws the announcement and joins the thread. Thread safety: one
  /// thread.
  void Leave();

 private:
  void Run();
  bool SleepUnlessLeaving(Milliseconds time);

  Options options_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable leaving_changed_;
  bool leaving_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_TARGET_ANNOUNCER_H_
