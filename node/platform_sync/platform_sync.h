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
#include "node/platform_sync/departure_archive.h"
#include "node/platform_sync/host_directory.h"
#include "node/platform_sync/operator_feed.h"
#include "node/platform_sync/poll_schedule.h"
#include "node/platform_sync/rollout_archive.h"
#include "node/settings/settings.h"
#include "store/config_repository.h"
#include "store/platform_client.h"

namespace camphor {

/// Location and decoding of the configuration tables that the platform's
/// operator writes.
struct OperatorTables {
  std::string table;  ///< name of the platform table
  std::function<std::optional<ConfigSnapshot>(
      const std::map<std::string, TableRow>&, std::string&)>
      decode{};  ///< decodes rows; sets the reason for skipped rows and
                 ///< failures
  RolloutArchive::Report
      report{};  ///< rows that report rollout progress to the operator
};

/// Synchronizes this host with the platform: reads the newest configuration
/// head and its snapshot, reads and writes rollout records, and writes accepted
/// edits.
///
/// Must be used from the decisions thread. Platform responses are passed to
/// that thread through the `post` callback.
class PlatformSync {
 public:
  struct Options {
    PlatformSettings settings{};    ///< polling intervals
    Milliseconds revoke_within{0};  ///< bound of strict revocation; 0: not
                                    ///< strict
    std::optional<OperatorTables>
        operator_tables{};  ///< if set, the configuration comes from the
                            ///< operator's tables and hosts discover each
                            ///< other through the platform
    HostId host;            ///< this host
    Endpoint mesh{};        ///< advertised mesh endpoint
    std::uint64_t random_seed = 1;         ///< seed of the jitter
    PlatformClient* platform = nullptr;    ///< must outlive this object
    LogSink* log = nullptr;                ///< must outlive this object
    HostController* controller = nullptr;  ///< must outlive this object
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
    std::function<void(Milliseconds, std::function<void()>)>
        schedule{};  ///< runs a task there after a delay
    std::function<MonoTime()>
        boot_now{};  ///< returns the time on the boot clock; set if
                     ///< revoke_within is not 0
  };

  explicit PlatformSync(Options options);

  /// Starts the platform calls that are due. Must be called from the decisions
  /// thread.
  void Tick(MonoTime now, WallTime wall_now);

  /// Must be called from the decisions thread after a newer configuration is
  /// activated.
  void OnConfigChanged(const ConfigSnapshot& snapshot);

  /// Fetches the snapshot of `head` from the platform. Must be called from the
  /// decisions thread.
  void FetchSnapshot(const ConfigHead& head);

  /// Reads the configuration from the platform once, to prove that this host's
  /// knowledge of it is recent. Must be called from the decisions thread.
  void RequestProof();

  /// Writes an edit of the configuration to the platform. `done` runs on the
  /// decisions thread. Must be called from the decisions thread.
  void Accept(ConfigEdit edit, std::function<void(const AcceptResult&)> done);

  /// Stores the departures of this host's targets, which have changed. Must be
  /// called from the decisions thread.
  void OnDeparturesChanged();

  /// Calls `done` once the departures are stored, or after a short while. Must
  /// be called from the decisions thread.
  void AwaitDeparturesStored(std::function<void(bool)> done);

  /// Whether the last read of the configuration succeeded. Must be called from
  /// the decisions thread.
  bool reachable() const {
    return feed_ ? feed_->reachable() : schedule_.failures() == 0;
  }

  /// State for the dump. Must be called from the decisions thread.
  boost::json::object Dump() const;

 private:
  RolloutArchive::Options ArchiveOptions();
  OperatorFeed::Options FeedOptions();
  HostDirectory::Options DirectoryOptions();
  DepartureArchive::Options DepartureOptions();
  void OnOperatorSnapshot(const ConfigSnapshot& snapshot);
  bool strict() const { return options_.revoke_within.count() > 0; }
  void ReadHead();
  void OnHead(const HeadResult& result, MonoTime started_boot);
  void OnSnapshot(const ConfigHead& head, const SnapshotResult& result);
  void OnAccepted(const ConfigSnapshot& tables, const AcceptResult& result);

  Options options_;
  ConfigRepository repository_;
  PollSchedule schedule_;
  RolloutArchive archive_;
  DepartureArchive departures_;
  std::optional<OperatorFeed> feed_;        ///< set if operator_tables is set
  std::optional<HostDirectory> directory_;  ///< set if feed_ is set
  std::optional<ConfigHead> fetching_;  ///< head of the snapshot being fetched
  std::string last_reason_;             ///< reason of the last failed read
  bool poller_ = false;  ///< this host polls for its failure domain
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_PLATFORM_SYNC_H_
