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

/// Follows the table that the platform's operator writes and turns it into
/// snapshots.
///
/// Every host reads the table when it starts. After that the few feeders of a
/// failure domain keep a watch open, and the mesh spreads what they see; any
/// other host reads again only when the mesh can not give it a snapshot. Owned
/// by the decisions thread; time is passed in.
class OperatorFeed {
 public:
  struct Options {
    std::string table;                   ///< table that the operator writes
    PlatformClient* platform = nullptr;  ///< outlives this
    LogSink* log = nullptr;              ///< outlives this
    Milliseconds watch{20'000};          ///< a watch without changes is renewed
    Milliseconds gather{400};  ///< pause after a change, so that several that
                               ///< follow closely are read together
    Milliseconds lost_after{300};   ///< of failed calls
    Milliseconds lost_for{10'000};  ///< after the last failed call
    Backoff::Options retry{.max_delay =
                               Milliseconds(2000)};  ///< after failed calls
    std::uint64_t random_seed = 1;  ///< makes the jitter repeatable
    std::function<std::optional<ConfigSnapshot>(
        const std::map<std::string, TableRow>&, std::string&)>
        decode{};  ///< turns rows into a snapshot, or gives the reason
    std::function<void(const ConfigSnapshot&)>
        take{};  ///< takes the newest snapshot that the platform holds
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
  };

  /// @pre every hook and pointer is set.
  explicit OperatorFeed(Options options);

  /// Starts the call that is due; `feeder` says whether this host follows the
  /// table for others. Thread safety: the decisions thread.
  void Tick(bool feeder, MonoTime now);

  /// Reads the whole table again. Thread safety: the decisions thread.
  void ReadAgain() { read_whole_ = true; }

  /// True when the last call was answered. Thread safety: the decisions thread.
  bool reachable() const { return failures_ == 0; }

  /// True when calls failed for so long, and so lately, that another host had
  /// better follow the table. Thread safety: the decisions thread.
  bool lost(MonoTime now) const;

  /// State for the dump. Thread safety: the decisions thread.
  boost::json::object Dump() const;

 private:
  void ReadWhole();
  void Watch();
  void OnAnswer(bool whole, const PlatformResponse& answer);
  void OnFailure(const PlatformResponse& answer);
  void Merge(bool whole, const PlatformResponse& answer);
  void Apply();

  Options options_;
  Backoff retry_;
  std::mt19937_64 random_;
  std::uint64_t failures_ = 0;  ///< since the last answer
  MonoTime failing_since_{};    ///< first of them
  MonoTime last_failure_{};     ///< last of them
  std::map<std::string, TableRow> rows_;
  std::uint64_t revision_ = 0;  ///< every change up to it is in rows_
  bool read_whole_ = true;      ///< the rows must be read anew
  bool under_way_ = false;      ///< a call waits for its answer
  MonoTime now_{};              ///< time of the last tick
  MonoTime next_{};             ///< no call before
  std::string last_reason_;     ///< of the last failure
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_OPERATOR_FEED_H_
