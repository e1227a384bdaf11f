#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_PLATFORM_SYNC_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_PLATFORM_SYNC_H_

#include <boost/json/fwd.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "node/decisions/host_controller.h"
#include "node/log/log_sink.h"
#include "node/platform_sync/host_directory.h"
#include "node/platform_sync/operator_feed.h"
#include "node/platform_sync/poll_schedule.h"
#include "node/platform_sync/rollout_archive.h"
#include "node/settings/settings.h"
#include "store/config_repository.h"
#include "store/platform_client.h"

namespace camphor {

/// Where the tables stand that the platform's operator writes, and how they are
/// read.
struct OperatorTables {
  std::string table;  ///< table of the platform's service
  std::function<std::optional<ConfigSnapshot>(
      const std::map<std::string, TableRow>&, std::string&)>
      decode{};  ///< turns rows into a snapshot, or gives the reason
  RolloutArchive::Report
      report{};  ///< rows that tell the operator of a rollout
};

/// Keeps this host in step with what is kept at the platform: the newest head,
/// the snapshot that it names, and final outcomes of rollouts; accepts edits.
///
/// Owned by the decisions thread; answers of the platform come back to it by
/// the post hook.
class PlatformSync {
 public:
  struct Options {
    PlatformSettings settings{};  ///< how often the platform is asked
    std::optional<OperatorTables>
        operator_tables{};  ///< set: the tables are those that the platform's
                            ///< operator writes, and hosts find each other
                            ///< there
    HostId host;            ///< this host
    Endpoint mesh{};        ///< where its mesh is reached
    std::uint64_t random_seed = 1;         ///< makes the jitter repeatable
    PlatformClient* platform = nullptr;    ///< outlives this
    LogSink* log = nullptr;                ///< outlives this
    HostController* controller = nullptr;  ///< outlives this
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
    std::function<void(Milliseconds, std::function<void()>)>
        schedule{};  ///< the same after a delay
  };

  explicit PlatformSync(Options options);

  /// Reads and writes what is due. Thread safety: the decisions thread.
  void Tick(MonoTime now, WallTime wall_now);

  /// A newer configuration is in force. Thread safety: the decisions thread.
  void OnConfigChanged(const ConfigSnapshot& snapshot);

  /// Fetches a snapshot from the object store. Thread safety: the decisions
  /// thread.
  void FetchSnapshot(const ConfigHead& head);

  /// Accepts an edit; `done` runs on the decisions thread. Thread safety: the
  /// decisions thread.
  void Accept(ConfigEdit edit, std::function<void(const AcceptResult&)> done);

  /// True when the last read of the head was answered. Thread safety: the
  /// decisions thread.
  bool reachable() const {
    return feed_ ? feed_->reachable() : schedule_.failures() == 0;
  }

  /// State for the dump. Thread safety: the decisions thread.
  boost::json::object Dump() const;

 private:
  RolloutArchive::Options ArchiveOptions();
  OperatorFeed::Options FeedOptions();
  HostDirectory::Options DirectoryOptions();
  void TakeOperatorTables(const ConfigSnapshot& snapshot);
  void ReadHead();
  void OnHead(const HeadResult& result);
  void OnSnapshot(const ConfigHead& head, const SnapshotResult& result);
  void OnAccepted(const ConfigSnapshot& tables, const AcceptResult& result);

  Options options_;
  ConfigRepository repository_;
  PollSchedule schedule_;
  RolloutArchive archive_;
  std::optional<OperatorFeed> feed_;        ///< of the operator's tables
  std::optional<HostDirectory> directory_;  ///< set beside feed_
  std::optional<ConfigHead> fetching_;      ///< snapshot that is being fetched
  std::string last_reason_;                 ///< of the last failed read
  bool poller_ = false;  ///< this host asks for its failure domain
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_PLATFORM_SYNC_H_
