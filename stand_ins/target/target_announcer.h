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
/// withdraws it when the target leaves. Runs on its own thread.
class TargetAnnouncer {
 public:
  struct Options {
    Endpoint node{};                   ///< admin listener of the host's node
    std::string id{};                  ///< target id
    std::string announcement{};        ///< JSON body of the announcement
    std::string warming{};             ///< body while cold; empty if never cold
    Milliseconds cold_start{0};        ///< duration of the cold phase
    Milliseconds renew_interval{500};  ///< time between renewals
    std::function<void(const std::string&)>
        log{};  ///< receives each log message
  };

  explicit TargetAnnouncer(Options options);
  ~TargetAnnouncer();
  TargetAnnouncer(const TargetAnnouncer&) = delete;
  TargetAnnouncer& operator=(const TargetAnnouncer&) = delete;

  /// Starts the thread. Must be called from one thread.
  void Start();

  /// Withdraws the announcement and joins the thread. Must be called from one
  /// thread.
  void Leave();

 private:
  void Run();
  bool WaitForLeave(Milliseconds time);

  Options options_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable leaving_changed_;
  bool leaving_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_TARGET_ANNOUNCER_H_
