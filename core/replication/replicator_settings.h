#ifndef CAMPHORHILL_CORE_REPLICATION_REPLICATOR_SETTINGS_H_
#define CAMPHORHILL_CORE_REPLICATION_REPLICATOR_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// How a configuration gets to every host. All but the first are baselines that
/// the full way is compared with.
enum class DisseminationMode : std::uint8_t {
  kFull,      ///< push on change, then repair by exchange of digests
  kPollOnly,  ///< every host polls the platform; hosts tell each other nothing
              ///< of configurations
  kPushOnly,  ///< push on change without any repair
};

/// Limits and periods of replication and membership.
struct ReplicatorSettings {
  DisseminationMode mode = DisseminationMode::kFull;  ///< for comparisons
  std::uint32_t domain_rings = 2;  ///< rings in the own failure domain: two
                                   ///< neighbours each
  std::uint32_t global_rings = 1;  ///< rings over all hosts: two neighbours
                                   ///< each
  Milliseconds heartbeat_period{2500};  ///< between heartbeats to a neighbour
  Milliseconds suspect_after{6500};     ///< silence until other watchers are
                                        ///< asked
  Milliseconds lost_link_after{1000};   ///< the same, once the peer refused a
                                        ///< connection
  Milliseconds probe_timeout{1500};     ///< for the answer to a watcher's probe
  Milliseconds refute_within{5000};     ///< time that a suspect has to refute
  std::uint32_t suspicions_needed = 2;  ///< watchers that must have lost a host
  Seconds dead_record_retention{24 * 3600};  ///< a dead host is remembered
  Seconds rollout_record_retention{600};     ///< a rollout that is not in the
                                             ///< configuration is remembered
  Milliseconds push_period{100};  ///< changed records are gathered this long
  Milliseconds applied_period{1000};  ///< versions in force are gathered this
                                      ///< long
  Milliseconds repair_period{2000};   ///< a host starts no more than one repair
  std::uint32_t sync_buckets_per_s = 64;   ///< parts a second that a host
                                           ///< repairs for others
  std::uint32_t sync_buckets_burst = 192;  ///< the same, in a burst
  Milliseconds join_first_delay{200};      ///< bound of the first delay between
                                           ///< attempts to join
  Milliseconds join_longest_delay{5000};   ///< bound of every such delay
  Milliseconds rejoin_period{40'000};  ///< a seed or a lost host is tried again
  Milliseconds fetch_timeout{1000};    ///< for a snapshot from a peer
  std::uint32_t fetch_attempts = 3;    ///< peers asked before the platform
  std::size_t largest_pushed_delta = 4096;  ///< bytes of a delta that is pushed
                                            ///< unasked
  std::size_t snapshots_kept = 3;           ///< newest ones, as bases of deltas
  std::uint32_t pollers_per_domain = 2;     ///< hosts that poll the head often
  std::uint32_t cold_start_domains = 2;  ///< failure domains whose hosts must
                                         ///< name a head while the platform is
                                         ///< out
  Milliseconds cold_start_settle{1000};  ///< time in which they may name a
                                         ///< higher one
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_REPLICATOR_SETTINGS_H_
