#ifndef CAMPHORHILL_CORE_REPLICATION_REPLICATOR_SETTINGS_H_
#define CAMPHORHILL_CORE_REPLICATION_REPLICATOR_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// How configurations are distributed to the hosts. All modes but kFull are
/// baselines for comparison.
enum class DisseminationMode : std::uint8_t {
  kFull,      ///< push on change, then repair by exchange of digests
  kPollOnly,  ///< every host polls the platform; hosts do not exchange
              ///< configurations
  kPushOnly,  ///< push on change without repair
};

/// Limits and periods of replication and membership.
struct ReplicatorSettings {
  DisseminationMode mode = DisseminationMode::kFull;  ///< how configurations
                                                      ///< are distributed
  std::uint32_t domain_rings = 2;       ///< rings within a failure domain; each
                                        ///< adds two neighbours
  std::uint32_t global_rings = 1;       ///< rings over all hosts; each adds two
                                        ///< neighbours
  Milliseconds heartbeat_period{2500};  ///< between heartbeats to a neighbour
  Milliseconds suspect_after{6500};  ///< silence until a neighbour is suspected
  Milliseconds lost_link_after{1000};  ///< the same, after a connection to the
                                       ///< neighbour failed
  Milliseconds probe_silent_mesh_after{800};  ///< silence of all neighbours
                                              ///< until some are probed
  Milliseconds isolated_after{1300};  ///< silence of all neighbours, in spite
                                      ///< of probes, until this host polls the
                                      ///< platform itself
  Milliseconds isolated_hold{5000};   ///< how long it goes on polling after it
                                      ///< heard a neighbour again
  Milliseconds probe_timeout{1500};   ///< time-out of a probe for another
                                      ///< watcher
  Milliseconds refute_within{5000};   ///< time that a suspect has to refute
  std::uint32_t suspicions_needed = 2;  ///< watchers that must report a host as
                                        ///< lost before the suspicion is
                                        ///< confirmed
  Seconds dead_record_retention{24 * 3600};  ///< how long the record of a dead
                                             ///< host is kept
  Seconds rollout_record_retention{600};  ///< how long the record of a rollout
                                          ///< is kept after the configuration
                                          ///< no longer lists it
  Milliseconds push_period{100};      ///< batching period of changed records
  Milliseconds applied_period{1000};  ///< batching period of served versions
  Milliseconds repair_period{2000};   ///< minimum time between two repairs
                                      ///< started after fingerprint mismatches
  std::uint32_t sync_buckets_per_s = 64;   ///< rate limit of buckets repaired
                                           ///< for other hosts, per second
  std::uint32_t sync_buckets_burst = 192;  ///< burst size of that rate limit
  Milliseconds join_first_delay{200};      ///< upper bound of the first delay
                                           ///< between attempts to join
  Milliseconds join_longest_delay{5000};   ///< upper bound of all such delays
  Milliseconds rejoin_period{40'000};  ///< period at which a seed or dead host
                                       ///< is contacted to reconnect a split
                                       ///< mesh
  Milliseconds fetch_timeout{1000};    ///< time-out of a snapshot request to a
                                       ///< peer
  std::uint32_t fetch_attempts = 3;    ///< requests to peers before one to the
                                       ///< platform
  std::size_t largest_pushed_delta = 4096;  ///< maximum size of a delta that is
                                            ///< pushed without a request, in
                                            ///< bytes
  std::size_t snapshots_kept = 3;        ///< recent snapshots kept as bases for
                                         ///< deltas
  std::uint32_t pollers_per_domain = 2;  ///< hosts of a failure domain that
                                         ///< poll the platform at the short
                                         ///< period
  std::uint32_t cold_start_domains = 2;  ///< failure domains whose serving
                                         ///< hosts must report their head while
                                         ///< the platform is unavailable
  Milliseconds cold_start_settle{1000};  ///< time to wait for a higher head
                                         ///< from these
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_REPLICATOR_SETTINGS_H_
