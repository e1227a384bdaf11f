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

/// What callers, targets and operators speak.
enum class InterfaceKind : std::uint8_t {
  kOwn,       ///< the product's own interface
  kPlatform,  ///< headers and tables as the platform has them
};

/// What is logged.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;         ///< least level that is written
  std::map<std::string, LogLevel> parts{};  ///< levels of single parts
  bool history = false;  ///< write events for the history checker
};

/// How long this host waits when it goes.
struct DrainSettings {
  Milliseconds notice{
      1000};  ///< callers are still served this long after the mesh was told
  Milliseconds limit{30000};  ///< longest wait for the requests in flight
  Milliseconds grace{0};  ///< the process is killed this long after it was told
                          ///< to end; 0: not known
};

/// How targets of this host are kept.
struct TargetSettings {
  Milliseconds lease{6000};  ///< a target that does not renew this long is gone
  Milliseconds warming_limit{
      60000};  ///< longest time that a target may call itself cold
};

/// How the platform is asked.
struct PlatformSettings {
  Milliseconds poll{1000};        ///< between two reads of the head by a poller
  Milliseconds slow_poll{60000};  ///< the same for every other host
};

/// Limits of the admin listener.
struct AdminSettings {
  std::uint32_t connections = 128;             ///< open at a time at most
  std::uint32_t body_bytes = 4 * 1024 * 1024;  ///< of one request at most
};

/// Pace of rollouts.
struct RolloutSettings {
  Milliseconds period{2000};  ///< of evidence and decisions
  Milliseconds settle{6000};  ///< a new owner watches this long first
  Milliseconds min_canary_duration{10000};  ///< also when the time is almost up
  Milliseconds min_step_duration{2000};     ///< between two rises of the share
};

/// What answers to callers tell, and how their requests are tried again.
struct ProxySettings {
  bool debug_headers = false;  ///< answers name the target and its version
  bool retry_budget = true;    ///< false lifts the budget, for comparison only
  double retry_ratio = 0.1;    ///< retries for each request of a pool
  double retry_burst = 100;  ///< retries of a pool that all hosts together may
                             ///< have saved up beyond that
};

/// Everything that a camphord process is told, from one JSON document with
/// comments. Every key is described in docs/SETTINGS.md.
struct Settings {
  HostId host;                   ///< name of this host, unique in the mesh
  FailureDomain failure_domain;  ///< failure domain that it stands in
  Endpoint caller_listen{};      ///< where callers connect; port 0 takes any
  Endpoint forward_listen{};  ///< where other proxies connect; port 0 takes any
  Endpoint mesh_listen{};     ///< where other hosts' meshes connect
  Endpoint forward_advertise{};  ///< where other proxies reach this one, if
                                 ///< not where it listens; port 0 if so
  Endpoint mesh_advertise{};     ///< where other hosts' meshes reach this one
  Endpoint admin_listen{};  ///< where operators and targets connect; port 0
                            ///< takes any
  std::vector<Endpoint>
      admin_also{};  ///< further addresses that serve the same
  InterfaceKind interface = InterfaceKind::kOwn;  ///< what callers, targets and
                                                  ///< operators speak
  std::string caller_pool;  ///< pool whose targets call from this host; may be
                            ///< empty
  std::string mesh_key;     ///< shared secret of the mesh
  std::vector<Endpoint> mesh_seeds{};  ///< hosts to join through
  Endpoint platform{};         ///< platform's table service and object store
  std::string operator_token;  ///< what an operator must show to edit
  LogSettings log{};           ///< what is logged
  DrainSettings drain{};       ///< how this host goes
  TargetSettings targets{};    ///< how targets are kept
  PlatformSettings polling{};  ///< how the platform is asked
  AdminSettings admin{};       ///< limits of the admin listener
  RolloutSettings rollout{};   ///< pace of rollouts
  ProxySettings proxy{};       ///< what answers tell
  ReplicatorSettings replication{};  ///< limits and periods of the mesh
};

/// Reads the keys "level" and "parts"; the caller reads the others. Thread
/// safety: one thread.
void ReadLogLevels(JsonFields& fields, LogSettings& log);

/// Reads and checks settings whole: every fault is found in one go.
class SettingsReader {
 public:
  /// Parses a document. Returns nothing, with errors() set, when anything in it
  /// is wrong. Thread safety: one thread per reader.
  std::optional<Settings> Read(std::string_view text);

  /// Every fault of the last call. Thread safety: one thread per reader.
  const std::vector<FieldError>& errors() const { return errors_; }

 private:
  std::vector<FieldError> errors_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_SETTINGS_SETTINGS_H_
