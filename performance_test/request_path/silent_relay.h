#ifndef CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_SILENT_RELAY_H_
#define CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_SILENT_RELAY_H_

#include <memory>

#include "core/base/endpoint.h"

namespace camphor {

/// Stands between two ends and can lose track of the connections that are open:
/// they stay open and silent for good, while new ones work. On a thread of its
/// own.
class SilentRelay {
 public:
  /// Relays to the given endpoint. @pre it is an IP number.
  explicit SilentRelay(const Endpoint& to);
  ~SilentRelay();

  /// Where the relay listens. Thread safety: any thread.
  Endpoint endpoint() const;

  /// Silences every connection that is open now; returns how many. Thread
  /// safety: any thread.
  std::size_t Silence();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_SILENT_RELAY_H_
