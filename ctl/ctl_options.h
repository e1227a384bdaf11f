#ifndef CAMPHORHILL_CTL_CTL_OPTIONS_H_
#define CAMPHORHILL_CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// Exit codes of camphorctl, as its help lists them.
enum CtlExit : int {
  kCtlOk = 0,          ///< done
  kCtlFailed = 1,      ///< no node answered, or it refused
  kCtlInvalid = 2,     ///< wrong arguments or tables
  kCtlConflict = 3,    ///< another edit was accepted first
  kCtlRolledBack = 4,  ///< the watched rollout was rolled back
  kCtlTimeout = 5,     ///< the time to wait has passed
  kCtlUnknown = 6,     ///< an edit may or may not have been accepted
};

/// What camphorctl was told on its command line.
struct CtlOptions {
  std::vector<Endpoint> nodes{};         ///< admin listeners to try in turn
  std::string token{};                   ///< operator's token
  std::string operation_id{};            ///< of an edit that is sent again
  std::optional<std::uint64_t> base{};   ///< version that the edit started from
  std::string logs = "-";                ///< where logs are read; -: input
  Seconds timeout{120};                  ///< longest wait of watch
  bool json = false;                     ///< JSON for programs
  bool dry_run = false;                  ///< show what apply would change
  bool wait = false;                     ///< apply waits until it is in force
  bool help = false;                     ///< help was asked for
  bool version = false;                  ///< the version was asked for
  std::vector<std::string> arguments{};  ///< command and its arguments

  /// Reads the arguments, and the environment for what they leave out: nodes
  /// from CAMPHOR_NODES, the token from CAMPHOR_TOKEN. Returns nothing, with
  /// `reason` set, when they are wrong. Thread safety: the main thread.
  static std::optional<CtlOptions> Parse(int argc, const char** argv,
                                         std::string& reason);
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_CTL_OPTIONS_H_
