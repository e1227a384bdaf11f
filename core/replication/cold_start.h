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
/// It may once it has the head that the platform names, or, with the platform
/// out, the highest head that hosts already serving in several failure domains
/// name. Once it may serve it always may. Time is passed in; one thread.
class ColdStart {
 public:
  /// @pre settings outlive this.
  explicit ColdStart(const ReplicatorSettings& settings)
      : settings_(settings) {}

  /// The platform named its head in this life of the process.
  void OnPlatformHead(const ConfigHead& head);

  /// A host of the failure domain, which serves already, names its
  /// version.
  void OnServingPeer(const FailureDomain& domain, ConfigVersion version,
                     MonoTime now);

  /// Decides anew. `in_force` is the version this host holds, `domains` the
  /// number of failure domains known to have a host.
  void Decide(ConfigVersion in_force, std::size_t domains, MonoTime now);

  /// True once this host may serve.
  bool ready() const { return ready_; }

  /// What it still waits for, as one sentence; empty when ready.
  const char* waiting_for() const;

 private:
  bool PlatformSuffices(ConfigVersion in_force) const;
  bool PeersSuffice(ConfigVersion in_force, std::size_t domains,
                    MonoTime now) const;

  const ReplicatorSettings& settings_;
  bool ready_ = false;
  std::optional<ConfigHead> platform_head_;
  std::map<FailureDomain, ConfigVersion> named_;
  MonoTime enough_named_since_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_COLD_START_H_
