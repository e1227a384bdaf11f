#ifndef CAMPHORHILL_NODE_DECISIONS_AVAILABILITY_MONITOR_H_
#define CAMPHORHILL_NODE_DECISIONS_AVAILABILITY_MONITOR_H_

#include <boost/json/fwd.hpp>
#include <map>
#include <string>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/replication/host_record.h"
#include "node/log/log_sink.h"

namespace camphor {

/// Tracks for operators which failure domains are evacuated and which targets
/// of pools with a cold rate are cold, and for how long, as known to this host.
///
/// Logs the begin and end of each evacuation, and warns of one whose failure
/// domain contains no known host. Does no work while no domain is evacuated and
/// no pool has a cold rate. Must be used from one thread; the caller passes in
/// the current time.
class AvailabilityMonitor {
 public:
  struct Options {
    LogSink* log = nullptr;  ///< must outlive this object
    Milliseconds unknown_after{
        2000};  ///< time without a host of the domain before the warning; a
                ///< host that has just started does not know the others yet
    Milliseconds interval{200};  ///< minimum time between two updates, which
                                 ///< read all host records
  };

  /// @pre options.log is set.
  explicit AvailabilityMonitor(Options options) : options_(options) {}

  /// Takes over the current state. `snapshot` may be null.
  void Update(const ConfigSnapshotPtr& snapshot,
              const std::map<HostId, HostRecord>& hosts, MonoTime now);

  /// Adds `evacuated_domains` and `cold_targets` to a status, unless there are
  /// none.
  void AddTo(boost::json::object& view, MonoTime now) const;

  /// Returns the metrics in the Prometheus text format. Empty if no domain is
  /// evacuated and no pool has a cold rate.
  std::string Metrics(MonoTime now) const;

 private:
  struct Evacuation {
    MonoTime since{};       ///< when this host learned of it
    std::size_t hosts = 0;  ///< hosts of the domain that are not dead
    bool warned = false;    ///< reported as unknown
  };

  void UpdateEvacuations(const ConfigSnapshotPtr& snapshot,
                         const std::map<HostId, HostRecord>& hosts,
                         MonoTime now);
  void UpdateColdTargets(const ConfigSnapshotPtr& snapshot,
                         const std::map<HostId, HostRecord>& hosts,
                         MonoTime now);
  void WarnIfUnknown(const FailureDomain& domain, Evacuation& evacuation,
                     const std::map<HostId, HostRecord>& hosts, MonoTime now);

  Options options_;
  MonoTime next_update_{};
  bool limits_cold_ = false;  ///< a pool has a cold rate
  std::map<FailureDomain, Evacuation> evacuations_;
  std::map<TargetId, MonoTime> cold_since_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_AVAILABILITY_MONITOR_H_
