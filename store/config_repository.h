#ifndef CAMPHORHILL_STORE_CONFIG_REPOSITORY_H_
#define CAMPHORHILL_STORE_CONFIG_REPOSITORY_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/config/table_diff.h"
#include "store/platform_client.h"

namespace camphor {

/// An edit that an operator wants accepted. Immutable value type.
struct ConfigEdit {
  ConfigSnapshot tables{};         ///< validated by ConfigCodec
  ConfigVersion base_version = 0;  ///< version that the operator started from
  std::string operation_id{};      ///< unique; the same id never counts twice
};

/// How an edit ended.
enum class AcceptStatus : std::uint8_t {
  kAccepted,     ///< it is the head, or was when it was accepted
  kConflict,     ///< another edit won: nothing was written
  kUnavailable,  ///< the platform refused for too long: nothing was written
  kUnknown,      ///< no answer for too long: ask again with the same id
};

/// The answer to an edit. Immutable value type.
struct AcceptResult {
  AcceptStatus status = AcceptStatus::kUnknown;  ///< how it ended
  ConfigHead head{};               ///< the accepted head, or the head that won
  TableDiff changed_since_base{};  ///< on a conflict: what others changed since
                                   ///< the operator's base, as far as known
  std::string reason{};            ///< one sentence when it was not accepted
};

/// The answer to a read of the head. Immutable value type.
struct HeadResult {
  std::optional<ConfigHead> head{};  ///< version 0 when nothing was accepted
                                     ///< yet; nothing when the platform failed
  std::string reason{};              ///< one sentence when there is no head
};

/// The answer to a fetch of a snapshot. Immutable value type.
struct SnapshotResult {
  std::optional<ConfigSnapshot> snapshot{};  ///< whole and verified
  std::string reason{};  ///< one sentence when there is none
};

/// Keeps accepted configurations at the platform: the head row, the rows of
/// operations, and snapshots under their digest.
///
/// Callbacks run on the platform client's thread, or on that of `schedule`.
class ConfigRepository {
 public:
  struct Options {
    PlatformClient* client = nullptr;  ///< outlives this
    std::function<void(Milliseconds, std::function<void()>)>
        schedule{};                    ///< calls back after a delay
    std::uint64_t random_seed = 1;     ///< of the delays between attempts
    std::uint32_t most_attempts = 8;   ///< calls of one step at most
    Milliseconds first_delay{50};      ///< bound of the first delay
    Milliseconds longest_delay{1000};  ///< bound of every delay
  };

  /// @pre options.client and options.schedule are set.
  explicit ConfigRepository(Options options);
  ~ConfigRepository();

  /// Puts the tables under their digest, then makes them the head if the head
  /// is still `base_version`. A lost answer is settled by reading the operation
  /// back. Calls back exactly once. Thread safety: any thread.
  void Accept(ConfigEdit edit, std::function<void(const AcceptResult&)> done);

  /// Reads the head. Thread safety: any thread.
  void ReadHead(std::function<void(const HeadResult&)> done);

  /// Fetches a snapshot and checks it against the head's digest. Thread safety:
  /// any thread.
  void FetchSnapshot(const ConfigHead& head,
                     std::function<void(const SnapshotResult&)> done);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_CONFIG_REPOSITORY_H_
