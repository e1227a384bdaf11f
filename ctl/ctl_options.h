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
  kCtlFailed = 1,      ///< no node answered, or the node refused
  kCtlInvalid = 2,     ///< wrong arguments or tables
  kCtlConflict = 3,    ///< another edit was accepted first
  kCtlRolledBack = 4,  ///< the watched rollout was rolled back
  kCtlTimeout = 5,     ///< --timeout expired
  kCtlUnknown = 6,     ///< an edit may or may not have been accepted
};

/// Options and arguments from the camphorctl command line.
struct CtlOptions {
  std::vector<Endpoint> nodes{};        ///< admin addresses, tried in order
  std::string token{};                  ///< operator token
  std::string operation_id{};           ///< id of the edit to retry
  std::optional<std::uint64_t> base{};  ///< version the edit is based on
  std::string logs = "-";  ///< log file or folder; -: standard input
  std::string method{};    ///< method of the request to preview
  std::string host{};      ///< its Host header
  std::string path{};      ///< its path
  std::vector<std::string> headers{};  ///< its other headers, "Name: value"
  std::string file{};    ///< file with its head; -: standard input
  Seconds timeout{120};  ///< maximum wait of watch
  bool json = false;     ///< print JSON
  bool dry_run = false;  ///< show what apply would change
  bool wait = false;     ///< apply waits until all hosts serve it
  bool help = false;     ///< print help
  bool version = false;  ///< print the version
  std::vector<std::string> arguments{};  ///< command and its arguments

  /// Parses the command line. Falls back to the environment variables
  /// CAMPHOR_NODES and CAMPHOR_TOKEN for nodes and token. Returns nullopt and
  /// sets `reason` if an option is invalid. Must be called from the main
  /// thread.
  static std::optional<CtlOptions> Parse(int argc, const char** argv,
                                         std::string& reason);
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_CTL_OPTIONS_H_
