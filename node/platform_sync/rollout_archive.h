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

/// Keeps beginnings and outcomes of rollouts at the platform, so that hosts
/// which lost all memory learn them again.
///
/// Owned by the decisions thread. Every write depends on the row that was read
/// before, so that one outcome stands; who meets another one reads it back.
/// Several hosts may write at once without harm.
class RolloutArchive {
 public:
  /// Rows that tell others of a rollout, written together with its own row, and
  /// what they depend on.
  using Report = std::function<TableTransaction(const PoolSpec&, RolloutStage)>;

  struct Options {
    PlatformClient* platform = nullptr;  ///< outlives this
    LogSink* log = nullptr;              ///< outlives this; null: silent
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
    std::function<void(const RolloutRecord&)>
        publish{};                  ///< merges a record that the platform holds
    Report report{};                ///< null: nobody is told
    Milliseconds first_retry{500};  ///< after a failed call; doubles each time
    Milliseconds last_retry{4'000};  ///< longest time between two tries
    Milliseconds handover{400};      ///< until every host knows that the old
                                     ///< version gets nothing more
    Milliseconds unknown{2'000};  ///< a host that heard of no beginning for so
                                  ///< long reads it
  };

  explicit RolloutArchive(Options options);

  /// Takes the rollouts that the configuration orders. Thread safety: the
  /// decisions thread.
  void SetConfig(const ConfigSnapshot& snapshot);

  /// Reads what is wanted, writes the beginnings and outcomes that the platform
  /// does not hold yet, and tries failed calls again. Only a host that is
  /// `writer` writes. Thread safety: the decisions thread.
  void Tick(const std::map<RolloutId, RolloutRecord>& records, bool writer,
            MonoTime now, WallTime wall_now);

  /// Rollouts that are still to be read. Thread safety: the decisions thread.
  std::size_t unread() const;

 private:
  /// What is known of one rollout's row.
  struct Entry {
    std::optional<PoolSpec> pool{};   ///< row that orders it, if still there
    Milliseconds longest_request{0};  ///< longest request of that pool
    bool read_wanted = false;         ///< the row must be read
    bool read = false;                ///< the row was read
    bool pending = false;             ///< a call is under way
    std::uint64_t revision = 0;       ///< of the row; 0: none
    std::optional<MonoTime> known_since{};  ///< first tick with it
    std::optional<MonoTime> done_since{};   ///< first tick with it done
  };

  bool MustRead(const RolloutId& id, Entry& entry, bool writer,
                const std::map<RolloutId, RolloutRecord>& records);
  bool MayEnd(Entry& entry, const RolloutRecord& record);
  static bool HasBeginning(const Entry& entry);
  static bool MustBegin(const Entry& entry);
  void Read(const RolloutId& id);
  void Write(const RolloutRecord& record);
  void OnAnswer(const RolloutId& id, const PlatformResponse& answer);
  void OnWritten(const RolloutRecord& record, const PlatformResponse& answer);
  bool Waits(MonoTime now) const { return now < next_try_; }
  void Failed(const RolloutId& id, std::string_view call,
              const std::string& reason);
  void Log(LogLevel level, std::string_view sentence, const RolloutId& id,
           std::string_view detail) const;

  Options options_;
  std::map<RolloutId, Entry> entries_;
  bool configured_ = false;  ///< a configuration was taken before
  Milliseconds retry_;       ///< delay after the next failure
  MonoTime now_{};           ///< time of the last tick
  MonoTime next_try_{};      ///< no call before
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_ROLLOUT_ARCHIVE_H_
