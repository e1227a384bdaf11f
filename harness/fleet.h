#ifndef CAMPHORHILL_HARNESS_FLEET_H_
#define CAMPHORHILL_HARNESS_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "harness/address_block.h"
#include "harness/admin_client.h"
#include "harness/process.h"
#include "harness/relay.h"
#include "harness/temporary_folder.h"

namespace camphor {

/// Polls a condition until it holds. Returns false on timeout. Thread-safe.
bool WaitUntil(Milliseconds timeout, const std::function<bool()>& holds);

/// A fleet of real processes on loopback: the platform stand-in, a camphord for
/// each host, and target stand-ins.
///
/// Each host has its own address with fixed ports, so that a restarted host has
/// the same endpoints as before. All processes are killed when the fleet is
/// destroyed. Hosts are named h1, h2 and so on, and are assigned round-robin to
/// the failure domains d1, d2 and so on.
class Fleet {
 public:
  struct Options {
    std::string
        programs{};        ///< folder of the programs; empty: that of this one
    unsigned hosts = 6;    ///< number of hosts for StartHosts
    unsigned domains = 3;  ///< number of failure domains
    unsigned seeds = 3;    ///< number of seed hosts, from h1
    bool history = false;  ///< processes log events for the checker
    bool links = false;    ///< connect hosts and platform through relays;
                           ///< required by CutHost
    std::string log_level = "info";   ///< minimum log level of hosts
    std::string extra_settings = "";  ///< additional JSON members for the
                                      ///< settings of each host, without braces
    std::vector<std::string> platform_arguments{};  ///< options of the stand-in
    Milliseconds ready_timeout{10000};              ///< timeout of each start
    bool keep_logs = false;  ///< keep the folder with logs and settings
  };

  /// A target stand-in to start.
  struct TargetOptions {
    std::string host = "h1";     ///< host that it runs on
    std::string id = "t1";       ///< target id
    std::string pool = "p1";     ///< pool that it belongs to
    std::string version = "v1";  ///< target version
    unsigned slots = 10;         ///< maximum number of concurrent requests
    std::vector<std::string>
        arguments{};  ///< additional options of the stand-in
  };

  explicit Fleet(Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts the platform and waits until it listens. Returns false and sets
  /// last_reason() on failure. This method and all that follow must be called
  /// from one thread.
  bool StartPlatform(const std::vector<std::string>& more_arguments = {});

  /// Starts the hosts h1 to hN and waits until all are ready, where N is
  /// `count`, or Options::hosts if `count` is 0.
  bool StartHosts(unsigned count = 0);

  /// Starts or restarts one host without waiting until it is ready.
  bool StartHost(const std::string& host);

  /// Waits until the host is ready.
  bool AwaitReady(const std::string& host);

  /// Starts a target stand-in and waits until it listens.
  bool StartTarget(const TargetOptions& target);

  /// Applies the tables through the admin API of the host and returns the new
  /// version. Returns nullopt and sets last_reason() if they are not accepted.
  std::optional<std::uint64_t> Apply(const std::string& host,
                                     const std::string& tables);

  /// Waits until every running host serves at least the version.
  bool AwaitVersion(std::uint64_t version, Milliseconds timeout);

  /// Waits until every running host lists the target as available (`available`
  /// is true) or no longer does (false).
  bool AwaitTarget(const std::string& target, bool available,
                   Milliseconds timeout);

  /// Partitions a host from all other hosts and from the platform in both
  /// directions, without closing connections. @pre Options::links is set.
  bool CutHost(const std::string& host);

  /// Ends the partition of a host.
  bool HealHost(const std::string& host);

  /// Sends a control request to the platform stand-in, for example {"mode":
  /// "out"}.
  bool ControlPlatform(const std::string& body);

  /// Configures the injected faults of a target stand-in.
  bool ControlTarget(const std::string& target, const std::string& body);

  /// Kills a process if it still runs and releases its name, so that it can be
  /// started again. Its log is kept for History().
  void RemoveProcess(const std::string& name);

  /// Returns the process named "platform" or after a host or target; null if it
  /// was never started.
  Process* process(const std::string& name);

  /// Names of the running hosts.
  std::vector<std::string> running_hosts();

  /// Endpoints of a host.
  Endpoint admin(const std::string& host) const;
  Endpoint caller(const std::string& host) const;
  Endpoint forward(const std::string& host) const;
  Endpoint mesh(const std::string& host) const;
  Endpoint platform_endpoint() const;

  /// Endpoint of a target; port 0 if it was never started.
  Endpoint target_endpoint(const std::string& target) const;

  /// Returns an unused endpoint on which a target behind a relay can listen; a
  /// different one for each call.
  Endpoint RelayedTargetEndpoint(const std::string& host);

  /// Creates an admin client for the host.
  AdminClient Admin(const std::string& host) const;

  /// History lines of all processes, including those that have ended.
  std::vector<std::string> History() const;

  /// Returns the last lines of each log, for failure reports.
  std::string LogTails(std::size_t lines) const;

  /// Writes the state dump of each running host to folder().
  void WriteDumps();

  /// Folder with logs and settings.
  const std::filesystem::path& folder() const { return folder_.path(); }

  /// Operator token that edits require.
  const std::string& operator_token() const { return operator_token_; }

  /// Error of the last call that failed.
  const std::string& last_reason() const { return last_reason_; }

 private:
  bool Fail(std::string reason);
  bool Launch(Process::Options options);
  std::string MakeSettings(const std::string& host) const;
  bool StartLink(const std::string& name, const Endpoint& listen,
                 const Endpoint& to);
  std::string FindConnector(std::uint16_t port);
  Endpoint HostEndpoint(const std::string& host, std::uint16_t port) const;

  Options options_;
  std::string operator_token_ = "harness-operator-token";
  TemporaryFolder folder_{"camphor-fleet-"};
  std::optional<AddressBlock> addresses_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Process>> ended_;
  std::map<std::string, Endpoint> targets_;
  std::mutex pids_mutex_;
  std::map<std::string, pid_t> host_pids_;  // guarded by pids_mutex_
  std::map<std::string, std::unique_ptr<Relay>> links_;
  std::uint16_t next_relayed_port_ = 18200;
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_FLEET_H_
