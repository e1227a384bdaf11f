#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_

#include <functional>
#include <map>
#include <set>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/replication/rollout_record.h"
#include "store/platform_client.h"

namespace camphor {

/// Keeps the final outcomes of rollouts at the platform, so that hosts which
/// lost all memory learn them again.
///
/// Owned by the decisions thread. The first outcome that is written stands; who
/// writes another one reads that one back. Several hosts may write at once
/// without harm.
class RolloutArchive {
 public:
  struct Options {
    PlatformClient* platform = nullptr;  ///< outlives this
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
    std::function<void(const RolloutRecord&)>
        publish{};                  ///< merges a record that the platform holds
    Milliseconds first_retry{500};  ///< after a failed call; doubles each time
    Milliseconds last_retry{30000};  ///< longest time between two tries
  };

  explicit RolloutArchive(Options options);

  /// Reads what the platform holds of the rollouts that the configuration
  /// orders. Thread safety: the decisions thread.
  void SetConfig(const ConfigSnapshot& snapshot);

  /// Writes the final records that the platform does not hold yet and tries
  /// failed calls again. Only a host that is `writer` writes. Thread safety:
  /// the decisions thread.
  void Tick(const std::map<RolloutId, RolloutRecord>& records, bool writer,
            MonoTime now);

  /// Rollouts whose outcome was not yet read. Thread safety: the decisions
  /// thread.
  std::size_t unread() const { return unread_.size(); }

 private:
  void Read(const RolloutId& id);
  void Write(const RolloutRecord& record);
  void OnAnswer(const RolloutId& id, const PlatformAnswer& answer);
  void OnWritten(const RolloutRecord& record, const PlatformAnswer& answer);
  bool Waits(MonoTime now) const { return now < next_try_; }
  void Failed();

  Options options_;
  std::set<RolloutId> unread_;   ///< to be read
  std::set<RolloutId> pending_;  ///< calls under way
  Milliseconds retry_;           ///< delay after the next failure
  MonoTime now_{};               ///< time of the last tick
  MonoTime next_try_{};          ///< no call before
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_
