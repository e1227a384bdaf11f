#ifndef CAMPHORHILL_NODE_SETTINGS_SETTINGS_H_
#define CAMPHORHILL_NODE_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/base/json_fields.h"
#include "core/base/time.h"
#include "core/replication/replicator_settings.h"
#include "node/log/log_level.h"

namespace camphor {

/// Interface that callers, targets and operators use.
enum class InterfaceKind : std::uint8_t {
  kOwn,       ///< the product's own interface
  kPlatform,  ///< the headers and tables of the platform
};

/// Settings of the log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;         ///< minimum level that is written
  std::map<std::string, LogLevel> parts{};  ///< levels of individual parts
  bool history = false;  ///< write events for the history checker
};

/// Time limits of the graceful shutdown.
struct DrainSettings {
  Milliseconds notice{1000};  ///< time between the notice to the mesh and the
                              ///< drain; callers are still served
  Milliseconds limit{30000};  ///< maximum wait for requests in flight
  Milliseconds grace{0};      ///< time from the termination signal until the
                              ///< process is killed; 0: unknown
};

/// Lease settings of the targets of this host.
struct TargetSettings {
  Milliseconds lease{6000};  ///< validity of a lease without renewal
  Milliseconds warming_limit{
      60000};  ///< maximum duration of a target's warm-up
};

/// Polling intervals of the platform.
struct PlatformSettings {
  Milliseconds poll{1000};        ///< read interval of a poller
  Milliseconds slow_poll{60000};  ///< read interval of any other host
};

/// Settings of the teams and their keys.
struct TeamSettings {
  Milliseconds revoke_within{0};  ///< time after which a removed key must not
                                  ///< be accepted by any host; 0: no bound
};

/// Limits of the admin listener.
struct AdminSettings {
  std::uint32_t connections = 128;  ///< maximum open connections
  std::uint32_t body_bytes =
      4 * 1024 * 1024;  ///< maximum size of a request body
  Milliseconds timeout{
      30'000};  ///< limit for reading a request or writing a response
};

/// Limits of the mesh listener.
struct MeshSettings {
  std::uint32_t pending_handshakes =
      128;  ///< maximum connections of peers that have not authenticated
  std::uint32_t handshake_bytes =
      16 * 1024;  ///< a peer sends no more before it has authenticated
};

/// Timing of rollouts.
struct RolloutSettings {
  Milliseconds evaluation_interval{
      2000};  ///< interval of evidence reports and decisions
  Milliseconds owner_warmup{
      6000};  ///< time for which a new owner only observes
  Milliseconds min_canary_duration{
      10000};  ///< applies even close to the deadline
  Milliseconds min_step_duration{
      2000};  ///< minimum time between share increases
};

/// Settings of debug headers, retries and connections.
struct ProxySettings {
  bool debug_headers = false;  ///< add target and version to responses
  bool load_reports = false;   ///< place by the speed and load of targets that
                               ///< their hosts report
  bool retry_budget = true;  ///< false: unlimited retries, for comparison only
  double retry_ratio = 0.1;  ///< retries per request of a pool
  double retry_burst = 100;  ///< additional retries of a pool that can
                             ///< accumulate over all hosts
  double link_mbps = 0;      ///< rate of the host's link in Mbit/s; 0: unknown
  double hedge_share = 0;    ///< hedges per request of a pool; 0: no hedges
  std::uint64_t buffer_bytes =
      40 * 1024 * 1024;  ///< buffers of all connections: three quarters for
                         ///< callers and other hosts, one for the admin
                         ///< listener
  std::uint32_t caller_connections = 4096;  ///< maximum open caller connections
  std::uint32_t forward_connections =
      4096;  ///< maximum open connections of other hosts
  std::uint32_t pending_handshakes =
      2048;  ///< maximum connections to the forward listener of peers that have
             ///< not authenticated; at most half of them
  Milliseconds handshake_timeout{15'000};  ///< for authenticating there
  std::uint32_t header_fields = 0;  ///< maximum header fields of a request; 0:
                                    ///< as many as the header's size allows
};

/// Settings of a camphord process, read from one JSON document with comments.
/// All keys are described in docs/SETTINGS.md.
struct Settings {
  HostId host;                   ///< name of this host, unique in the mesh
  FailureDomain failure_domain;  ///< failure domain of this host
  Endpoint caller_listen{};  ///< listener for callers; port 0: any free port
  Endpoint
      forward_listen{};  ///< listener for other proxies; port 0: any free port
  Endpoint mesh_listen{};        ///< listener for the mesh of other hosts
  Endpoint forward_advertise{};  ///< forward address for other proxies; port 0:
                                 ///< the listener address
  Endpoint mesh_advertise{};     ///< mesh address for other hosts
  Endpoint admin_listen{};  ///< listener for operators and targets; port 0:
                            ///< any free port
  std::vector<Endpoint> admin_also{};  ///< additional admin listeners
  InterfaceKind interface = InterfaceKind::kOwn;  ///< interface for callers,
                                                  ///< targets and operators
  std::string caller_pool;  ///< pool whose targets are callers on this host;
                            ///< may be empty
  std::string mesh_key;     ///< shared secret of the mesh
  std::vector<Endpoint> mesh_seeds{};  ///< mesh endpoints to join through
  Endpoint platform{};         ///< platform's table service and object store
  std::string operator_token;  ///< token required for edits
  LogSettings log{};           ///< log levels and history events
  DrainSettings drain{};       ///< limits of the graceful shutdown
  TargetSettings targets{};    ///< leases of targets
  TeamSettings teams{};        ///< revocation of keys
  PlatformSettings polling{};  ///< polling of the platform
  AdminSettings admin{};       ///< limits of the admin listener
  MeshSettings mesh{};         ///< limits of the mesh listener
  RolloutSettings rollout{};   ///< timing of rollouts
  ProxySettings proxy{};       ///< debug headers, retries, connections
  ReplicatorSettings replication{};  ///< limits and periods of the mesh
};

/// Reads only the keys "level" and "parts". Must be called from one thread.
void ReadLogLevels(JsonFields& fields, LogSettings& log);

/// Parses and validates settings, and reports all errors of a document at once.
class SettingsReader {
 public:
  /// Parses a document. Returns an empty optional and sets errors() if the
  /// document is invalid. Must be called from one thread per reader.
  std::optional<Settings> Read(std::string_view text);

  /// Errors of the last call. Must be called from one thread per reader.
  const std::vector<FieldError>& errors() const { return errors_; }

 private:
  std::vector<FieldError> errors_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_SETTINGS_SETTINGS_H_
