#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_OPERATOR_FEED_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_OPERATOR_FEED_H_

#include <boost/json/fwd.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "core/base/backoff.h"
#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "node/log/log_sink.h"
#include "store/platform_client.h"

namespace camphor {

/// Watches the table that the platform's operator writes and decodes it into
/// configuration snapshots.
///
/// Every host reads the table when it starts. After that, the few watchers of a
/// failure domain keep a watch open, and the mesh distributes the changes. Any
/// other host reads the table again only if the mesh cannot supply a snapshot.
///
/// A snapshot's version is the highest revision among its rows, or that of a
/// removal that the watch has seen. A host that reads the whole table cannot
/// see a removal. If its rows, read at a later revision, differ from the
/// configuration in force without having a higher revision, then a row was
/// removed, and the revision of the read becomes the version.
/// Must be used from the decisions thread; the caller passes in the current
/// time.
class OperatorFeed {
 public:
  struct Options {
    std::string table;                   ///< table that the operator writes
    PlatformClient* platform = nullptr;  ///< must outlive this object
    LogSink* log = nullptr;              ///< must outlive this object
    Milliseconds watch_timeout{
        1500};  ///< maximum duration of one watch call; bounds the time until a
                ///< platform that has gone silent is noticed
    Milliseconds batch_delay{
        400};  ///< delay of the next call after a change, so that
               ///< changes in quick succession are batched
    Milliseconds lost_after{
        300};  ///< failing period after which the platform is lost
    Milliseconds lost_for{
        10'000};  ///< time after the last failure while it stays lost
    Backoff::Options retry{
        .max_delay = Milliseconds(2000)};  ///< delays after failed calls
    Milliseconds strict_watch_timeout{
        1500};  ///< replaces watch_timeout while revocation is strict
    Milliseconds strict_max_retry{2000};  ///< bounds the delays after failed
                                          ///< calls while revocation is strict
    std::uint64_t random_seed = 1;        ///< seed of the jitter
    std::function<std::optional<ConfigSnapshot>(
        const std::map<std::string, TableRow>&, std::string&)>
        decode{};  ///< decodes rows; sets the reason for skipped rows and
                   ///< failures
    std::function<void(const ConfigSnapshot&)>
        on_snapshot{};  ///< receives each decoded snapshot
    std::function<ConfigHead()>
        active_head{};  ///< returns the head of the configuration in force,
                        ///< version 0 if there is none; null: not compared
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
    std::function<MonoTime()>
        boot_now{};  ///< returns the time on the boot clock; null: no proofs
    std::function<void(MonoTime started, ConfigVersion version)>
        on_proof{};  ///< called after each successful call, once on_snapshot
                     ///< has returned: no valid configuration newer than
                     ///< `version` was acknowledged before `started` (boot
                     ///< clock); set if boot_now is set
  };

  /// @pre All callbacks and pointers are set, except those that may be null.
  explicit OperatorFeed(Options options);

  /// Starts the next platform call if it is due. `watcher` is whether this host
  /// watches the table on behalf of its failure domain. Must be called from the
  /// decisions thread.
  void Tick(bool watcher, MonoTime now);

  /// Schedules a read of the whole table. Must be called from the decisions
  /// thread.
  void RequestFullRead() { full_read_due_ = true; }

  /// Sets whether revocation is strict, which shortens the watches so that
  /// their proofs of freshness are recent. Must be called from the decisions
  /// thread.
  void SetStrict(bool strict) { strict_ = strict; }

  /// Schedules a call that answers immediately, for a proof of freshness. Must
  /// be called from the decisions thread.
  void RequestProof() { proof_due_ = true; }

  /// Whether the last call succeeded. Must be called from the decisions thread.
  bool reachable() const { return failures_ == 0; }

  /// Whether another host should take over the watch: calls have failed for at
  /// least `lost_after`, the last time less than `lost_for` ago. Must be called
  /// from the decisions thread.
  bool lost(MonoTime now) const;

  /// State for the dump. Must be called from the decisions thread.
  boost::json::object Dump() const;

 private:
  void BeginCall(Milliseconds wait);
  void ReadTable();
  void Watch(bool watcher);
  MonoTime FailingSince() const;
  void ReportProof();
  void OnAnswer(bool full_read, const PlatformResponse& answer);
  void OnFailure(const PlatformResponse& answer);
  void Merge(bool full_read, const PlatformResponse& answer);
  void OnStaleRead(const PlatformResponse& answer);
  void Apply();
  void CompareWithActive();
  std::uint64_t AgeMs(MonoTime since) const;

  Options options_;
  Backoff retry_;
  std::mt19937_64 random_;
  std::uint64_t failures_ = 0;    ///< consecutive failed calls
  MonoTime failing_since_{};      ///< since when the platform refuses or is
                                  ///< silent
  Milliseconds call_wait_{0};     ///< time that the last call let the platform
                                  ///< wait
  MonoTime last_failure_{};       ///< time of the last failure
  MonoTime call_started_{};       ///< start of the last call
  MonoTime call_started_boot_{};  ///< the same on the boot clock
  MonoTime last_answer_{};        ///< time of the last successful answer
  std::map<std::string, TableRow> rows_;
  std::uint64_t revision_ = 0;          ///< table revision that rows_ reflects
  ConfigVersion version_ = 0;           ///< of the last decoded configuration
  std::uint64_t removed_revision_ = 0;  ///< highest revision of a removal
  std::optional<ConfigSnapshot> snapshot_;  ///< decoded from rows_, if valid
  ConfigHead compared_head_{};  ///< head that CompareWithActive saw last
  bool full_read_due_ = true;   ///< the next call reads the whole table
  bool proof_due_ = false;      ///< a host that is no watcher makes one call
  bool strict_ = false;         ///< revocation is strict
  bool call_pending_ = false;   ///< a platform call is in flight
  MonoTime now_{};              ///< time of the last tick
  MonoTime next_call_{};        ///< earliest time of the next call
  std::string last_reason_;     ///< reason of the last failure
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_OPERATOR_FEED_H_
