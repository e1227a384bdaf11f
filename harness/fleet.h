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

/// Polls a condition until it holds. Returns false when the time is over.
/// Thread safety: any thread.
bool WaitUntil(Milliseconds timeout, const std::function<bool()>& holds);

/// A fleet of real processes on loopback: the platform stand-in, a camphord for
/// each host, and target stand-ins.
///
/// Each host has an address of its own with fixed ports, so that a restarted
/// host comes back where it was. Everything that was started is killed when the
/// fleet goes. Hosts are h1, h2 and so on; failure domains are d1, d2 and so on
/// in turn.
class Fleet {
 public:
  struct Options {
    std::string programs{};  ///< folder of the programs; found if empty
    unsigned hosts = 6;      ///< hosts that StartHosts starts
    unsigned domains = 3;    ///< failure domains that they stand in
    unsigned seeds = 3;      ///< hosts that the others join through
    bool history = false;    ///< processes log events for the checker
    bool links = false;  ///< hosts reach each other and the platform through
                         ///< relays, so that CutHost works
    std::string log_level = "info";   ///< least level that hosts log
    std::string extra_settings = "";  ///< more JSON members for each host's
                                      ///< settings, without the braces
    std::vector<std::string> platform_arguments{};  ///< limits and so on
    Milliseconds ready_timeout{10000};  ///< longest wait for one step
    bool keep_logs = false;  ///< leaves the folder with logs and settings
  };

  /// A target stand-in to start.
  struct TargetOptions {
    std::string host = "h1";               ///< host that it runs on
    std::string id = "t1";                 ///< target id
    std::string pool = "p1";               ///< pool that it belongs to
    std::string version = "v1";            ///< target version
    unsigned slots = 10;                   ///< requests that it runs at a time
    std::vector<std::string> arguments{};  ///< more options of the stand-in
  };

  explicit Fleet(Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts the platform and waits until it listens. Returns false, with
  /// last_reason set, when it does not. Thread safety: one thread, here and
  /// below.
  bool StartPlatform(const std::vector<std::string>& more_arguments = {});

  /// Starts the hosts h1 to hN and waits until all are ready; N is that of the
  /// options if not given.
  bool StartHosts(unsigned count = 0);

  /// Starts one host, also again after it was killed, without waiting.
  bool StartHost(const std::string& host);

  /// Waits until the host is ready.
  bool AwaitReady(const std::string& host);

  /// Starts a target stand-in and waits until it listens.
  bool StartTarget(const TargetOptions& target);

  /// Puts the tables through the host's admin API and gives the new version.
  /// Returns nothing, with last_reason set, when they are not accepted.
  std::optional<std::uint64_t> Apply(const std::string& host,
                                     const std::string& tables);

  /// Waits until every running host serves at least the version.
  bool AwaitVersion(std::uint64_t version, Milliseconds timeout);

  /// Waits until every running host sees the target as one that takes work, or
  /// no longer does.
  bool AwaitTarget(const std::string& target, bool seen, Milliseconds timeout);

  /// Cuts a host off from every other host and from the platform, both ways,
  /// without a word to anybody. @pre the options ask for links.
  bool CutHost(const std::string& host);

  /// Lets a host that was cut off be reached again.
  bool HealHost(const std::string& host);

  /// Switches the platform stand-in, for example {"mode": "out"}.
  bool ControlPlatform(const std::string& body);

  /// Switches the faults of a target stand-in.
  bool ControlTarget(const std::string& target, const std::string& body);

  /// Drops a process that has ended, so that it can be started again.
  void Forget(const std::string& name);

  /// The process: "platform", a host or a target; null when never started.
  Process* process(const std::string& name);

  /// Names of the hosts that run now.
  std::vector<std::string> running_hosts();

  /// Addresses by host.
  Endpoint admin(const std::string& host) const;
  Endpoint caller(const std::string& host) const;
  Endpoint forward(const std::string& host) const;
  Endpoint mesh(const std::string& host) const;
  Endpoint platform_endpoint() const;

  /// Address of a target; port 0 when it never ran.
  Endpoint target_endpoint(const std::string& target) const;

  /// Where a target that stands behind a relay may listen; a new address at
  /// each call.
  Endpoint RelayedTargetEndpoint(const std::string& host);

  /// An admin client of the host.
  AdminClient Admin(const std::string& host) const;

  /// Every history line of every process, also of those that have ended.
  std::vector<std::string> History() const;

  /// The last lines of each log, for a failure report.
  std::string LogTails(std::size_t lines) const;

  /// Writes the state dump of each running host into the folder.
  void WriteDumps();

  /// Folder with logs and settings.
  const std::filesystem::path& folder() const { return folder_.path(); }

  /// The token that edits need.
  const std::string& operator_token() const { return operator_token_; }

  /// Why the last call failed.
  const std::string& last_reason() const { return last_reason_; }

 private:
  bool Fail(std::string reason);
  bool Launch(Process::Options options);
  std::string SettingsOf(const std::string& host) const;
  bool StartLink(const std::string& name, const Endpoint& listen,
                 const Endpoint& to);
  std::string ConnectorOf(std::uint16_t port);
  Endpoint EndpointOf(const std::string& host, std::uint16_t port) const;

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
