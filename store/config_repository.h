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

/// An operator's edit of the configuration. Immutable value type.
struct ConfigEdit {
  ConfigSnapshot tables{};         ///< validated by ConfigCodec
  ConfigVersion base_version = 0;  ///< version that the edit is based on
  std::string operation_id{};  ///< unique; makes retries of the edit idempotent
};

/// Outcome of an edit.
enum class AcceptStatus : std::uint8_t {
  kAccepted,     ///< the edit became the head
  kConflict,     ///< the head is not the base version; nothing was written
  kUnavailable,  ///< retries exhausted; nothing was written
  kUnknown,      ///< commit response lost; retry with the same operation id
};

/// Result of an edit. Immutable value type.
struct AcceptResult {
  AcceptStatus status = AcceptStatus::kUnknown;  ///< outcome
  ConfigHead head{};  ///< the accepted head; on a conflict the current one
  TableDiff changed_since_base{};  ///< on a conflict: changes since the base
                                   ///< version; empty if they could not be read
  std::string reason{};            ///< error message, unless accepted
};

/// Result of a read of the head. Immutable value type.
struct HeadResult {
  std::optional<ConfigHead> head{};  ///< version 0 before the first accepted
                                     ///< edit; std::nullopt on failure
  std::string reason{};              ///< error message if there is no head
};

/// Result of a fetch of a snapshot. Immutable value type.
struct SnapshotResult {
  std::optional<ConfigSnapshot> snapshot{};  ///< complete, digest verified
  std::string reason{};  ///< error message if there is no snapshot
};

/// Stores accepted configurations on the platform: the head row, one row per
/// operation and per version, and snapshots keyed by their digest.
///
/// Callbacks run on the platform client's thread or on that of `schedule`.
class ConfigRepository {
 public:
  struct Options {
    PlatformClient* client = nullptr;  ///< must outlive this object
    std::function<void(Milliseconds, std::function<void()>)>
        schedule{};                  ///< runs a function after a delay
    std::uint64_t random_seed = 1;   ///< seed of the retry delays
    std::uint32_t max_attempts = 8;  ///< maximum failed attempts of an edit
    Milliseconds initial_delay{50};  ///< upper bound of the first retry delay
    Milliseconds max_delay{1000};    ///< upper bound of all retry delays
  };

  /// @pre options.client and options.schedule are set.
  explicit ConfigRepository(Options options);
  ~ConfigRepository();

  /// Stores the tables under their digest, then makes them the head if the head
  /// is still `base_version`. If the response to the commit is lost, reads the
  /// operation's row to learn the outcome. Calls `done` exactly once.
  /// Thread-safe.
  void Accept(ConfigEdit edit, std::function<void(const AcceptResult&)> done);

  /// Reads the head. Thread-safe.
  void ReadHead(std::function<void(const HeadResult&)> done);

  /// Fetches a snapshot and verifies it against the head's digest. Thread-safe.
  void FetchSnapshot(const ConfigHead& head,
                     std::function<void(const SnapshotResult&)> done);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_CONFIG_REPOSITORY_H_
