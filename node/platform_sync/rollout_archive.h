#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/replication/rollout_record.h"
#include "node/log/log_sink.h"
#include "store/platform_client.h"

namespace camphor {

/// Persists start times and outcomes of rollouts at the platform, so that hosts
/// that lost their state can recover them.
///
/// Every write is conditional on the row revision read before, so that exactly
/// one outcome is stored. On a conflict the stored row is read back, so several
/// hosts can safely write concurrently. Must be used from the decisions thread.
class RolloutArchive {
 public:
  /// Builds additional rows that report the stage of a rollout, and the
  /// conditions for writing them. They are written in the same transaction as
  /// the rollout record.
  using Report = std::function<TableTransaction(const PoolSpec&, RolloutStage)>;

  struct Options {
    PlatformClient* platform = nullptr;  ///< must outlive this object
    LogSink* log = nullptr;  ///< must outlive this object; null: no logging
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
    std::function<void(const RolloutRecord&)>
        publish{};    ///< receives records stored at the platform
    Report report{};  ///< optional; null: no additional rows
    Milliseconds initial_retry_delay{500};  ///< delay after the first failure
    Milliseconds max_retry_delay{4'000};    ///< limit of the doubling delay
    Milliseconds propagation_delay{
        400};  ///< time until every host has stopped sending
               ///< requests to the old version
    Milliseconds start_read_delay{
        2'000};  ///< a non-writer that received no start
                 ///< record for this long reads it
  };

  explicit RolloutArchive(Options options);

  /// Sets the rollouts of the active configuration. Must be called from the
  /// decisions thread.
  void SetConfig(const ConfigSnapshot& snapshot);

  /// Reads rows that are needed, writes missing start records and outcomes if
  /// `writer` is true, and retries failed calls. Must be called from the
  /// decisions thread.
  void Tick(const std::map<RolloutId, RolloutRecord>& records, bool writer,
            MonoTime now, WallTime wall_now);

  /// Number of rollouts whose row has yet to be read. Must be called from the
  /// decisions thread.
  std::size_t unread() const;

 private:
  /// State of one rollout's row.
  struct Entry {
    std::optional<PoolSpec>
        pool{};  ///< pool that specifies the rollout, if any
    Milliseconds max_request_timeout{0};   ///< of requests to that pool
    bool read_needed = false;              ///< the row must be read
    bool read = false;                     ///< the row was read
    bool pending = false;                  ///< a platform call is in flight
    std::uint64_t revision = 0;            ///< revision of the row; 0: no row
    std::optional<MonoTime> first_seen{};  ///< first tick with this entry
    std::optional<MonoTime> done_since{};  ///< first tick in stage kDone
  };

  bool NeedsRead(const RolloutId& id, Entry& entry, bool writer,
                 const std::map<RolloutId, RolloutRecord>& records);
  bool CanRecordOutcome(Entry& entry, const RolloutRecord& record);
  static bool RequiresStartRecord(const Entry& entry);
  static bool NeedsStartRecord(const Entry& entry);
  void Read(const RolloutId& id);
  void Write(const RolloutRecord& record);
  void OnAnswer(const RolloutId& id, const PlatformResponse& answer);
  void OnWritten(const RolloutRecord& record, const PlatformResponse& answer);
  bool InBackoff(MonoTime now) const { return now < next_call_; }
  void OnFailure(const RolloutId& id, std::string_view call,
                 const std::string& reason);
  void Log(LogLevel level, std::string_view sentence, const RolloutId& id,
           std::string_view detail) const;

  Options options_;
  std::map<RolloutId, Entry> entries_;
  bool configured_ = false;   ///< SetConfig() was called before
  Milliseconds retry_delay_;  ///< delay after the next failure
  MonoTime now_{};            ///< time of the last tick
  MonoTime next_call_{};      ///< earliest time of the next call
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_
