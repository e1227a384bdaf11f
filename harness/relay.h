#ifndef CAMPHORHILL_HARNESS_RELAY_H_
#define CAMPHORHILL_HARNESS_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/endpoint.h"

namespace camphor {

/// Forwards TCP connections to another address and can stop forwarding on
/// request, to simulate a network failure between two processes.
///
/// A cut closes no connection and loses no byte, as on a network that drops
/// packets: connections stall and continue after Heal().
class Relay {
 public:
  struct Options {
    Endpoint listen{};  ///< listen address; port 0: any free port
    Endpoint to{};      ///< forwarding destination
    std::function<std::string(std::uint16_t)>
        connector{};  ///< returns the name of the process that connected from a
                      ///< port; runs on the relay thread
  };

  explicit Relay(Options options);

  /// Closes all connections and stops.
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Starts forwarding. Returns false and sets last_reason() if the relay
  /// cannot listen on the address. Must be called from one thread.
  bool Start();

  /// Permanently stalls all open connections; new ones work. Thread-safe.
  void StallOpen();

  /// Stalls all connections, including new ones, until Heal(). Thread-safe.
  void Cut();

  /// Stalls the connections of one process until HealFrom(). @pre
  /// Options::connector is set. Thread-safe.
  void CutFrom(const std::string& connector);

  /// Ends Cut(). Connections of processes stalled by CutFrom() remain stalled.
  /// Thread-safe.
  void Heal();

  /// Ends CutFrom() for one process. Thread-safe.
  void HealFrom(const std::string& connector);

  /// Listen address after Start(). Thread-safe.
  Endpoint endpoint() const;

  /// Error of Start(). Must be called from one thread.
  const std::string& last_reason() const;

 private:
  struct State;
  class Link;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_RELAY_H_
