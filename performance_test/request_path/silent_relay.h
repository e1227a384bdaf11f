#ifndef CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_SILENT_RELAY_H_
#define CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_SILENT_RELAY_H_

#include <memory>

#include "core/base/endpoint.h"

namespace camphor {

/// TCP relay that can silence its open connections: they stay open but carry no
/// data any more, while new connections work. Simulates a middlebox that has
/// lost its connection state. Runs on its own thread.
class SilentRelay {
 public:
  /// Relays to the given endpoint. @pre `to` holds an IP address.
  explicit SilentRelay(const Endpoint& to);
  ~SilentRelay();

  /// Address on which the relay listens. Thread-safe.
  Endpoint endpoint() const;

  /// Silences all connections that are open now and returns their number.
  /// Thread-safe.
  std::size_t Silence();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_SILENT_RELAY_H_
