#ifndef CAMPHORHILL_CORE_REPLICATION_COLD_START_H_
#define CAMPHORHILL_CORE_REPLICATION_COLD_START_H_

#include <map>
#include <optional>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/config/config_head.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Decides when a host that started with empty memory may serve.
///
/// The host may serve once it holds the head announced by the platform. While
/// the platform is unavailable, it may serve once it holds the highest head
/// reported by hosts that already serve in several failure domains. The
/// decision is never revoked. Takes the current time as a parameter. Must be
/// used from one thread.
class ColdStart {
 public:
  /// @pre `settings` outlives this object.
  explicit ColdStart(const ReplicatorSettings& settings)
      : settings_(settings) {}

  /// Handles a head announced by the platform since this process started.
  void OnPlatformHead(const ConfigHead& head);

  /// Handles the version reported by a host of `domain` that already serves.
  void OnServingPeer(const FailureDomain& domain, ConfigVersion version,
                     MonoTime now);

  /// Re-evaluates whether this host may serve. `current_version` is the version
  /// that this host holds, `domains` the number of failure domains known to
  /// have a host.
  void Update(ConfigVersion current_version, std::size_t domains, MonoTime now);

  /// True once this host may serve.
  bool ready() const { return ready_; }

  /// Condition that is not met yet, as one phrase; empty when ready.
  const char* waiting_for() const;

 private:
  bool CaughtUpWithPlatform(ConfigVersion current_version) const;
  bool CaughtUpWithPeers(ConfigVersion current_version, std::size_t domains,
                         MonoTime now) const;

  const ReplicatorSettings& settings_;
  bool ready_ = false;
  std::optional<ConfigHead> platform_head_;
  std::map<FailureDomain, ConfigVersion> peer_versions_;
  MonoTime enough_domains_since_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_COLD_START_H_
