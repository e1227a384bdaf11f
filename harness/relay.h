#ifndef CAMPHORHILL_HARNESS_RELAY_H_
#define CAMPHORHILL_HARNESS_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/endpoint.h"

namespace camphor {

/// Passes TCP connections on to another address, and stops passing bytes when
/// told to: a link that fails in between two processes.
///
/// Nothing is closed and no byte is lost by a cut, as with a network that drops
/// packets: connections go silent, and go on after the heal.
class Relay {
 public:
  struct Options {
    Endpoint listen{};  ///< where to accept; port 0 takes any
    Endpoint to{};      ///< where to connect
    std::function<std::string(std::uint16_t)>
        connector{};  ///< name of the process that connected from a port; runs
                      ///< on the relay's thread
  };

  explicit Relay(Options options);

  /// Stops.
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Starts to relay. Returns false, with last_reason set, when the address can
  /// not be had. Thread safety: one thread.
  bool Start();

  /// Makes every open connection silent for good; new ones work. Thread safety:
  /// any thread.
  void SilenceOpen();

  /// Makes all connections, also new ones, silent until Heal. Thread safety:
  /// any thread.
  void Cut();

  /// Does the same to the connections of one process. @pre the options name
  /// connectors. Thread safety: any thread.
  void CutFrom(const std::string& connector);

  /// Lets all connections go on, but those of processes that are cut off.
  /// Thread safety: any thread.
  void Heal();

  /// Lets the connections of one process go on. Thread safety: any thread.
  void HealFrom(const std::string& connector);

  /// Address in use after Start. Thread safety: any thread.
  Endpoint endpoint() const;

  /// Why Start failed. Thread safety: one thread.
  const std::string& last_reason() const;

 private:
  struct State;
  class Link;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_RELAY_H_
