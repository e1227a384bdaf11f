#ifndef CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_REPLICATOR_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_REPLICATOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/membership/departure_history.h"
#include "core/membership/departure_message.h"

namespace camphor {

/// Replicates the departures of this host's targets to its neighbours in the
/// mesh, and holds theirs. The next process of a host gets them back.
///
/// A copy lasts as long as the process that holds it: a neighbour that starts
/// again is sent the departures anew. Must be used from one thread; the caller
/// passes in the current time.
class DepartureReplicator {
 public:
  struct Options {
    HostId host;                    ///< this host
    std::uint64_t incarnation = 0;  ///< of this process
    std::function<std::vector<Endpoint>()>
        neighbours{};  ///< returns the current neighbours
    std::function<void(const Endpoint&, const DepartureNotice&)>
        send_notice{};  ///< sends a notice to a neighbour
    std::function<void(const Endpoint&, const DepartureReceipt&)>
        send_receipt{};  ///< sends a receipt to a host
    std::function<const std::vector<TargetDeparture>&()>
        departures{};  ///< returns all departures of this host's targets
    std::function<void(const std::vector<TargetDeparture>&)>
        on_recovered{};  ///< receives departures that a neighbour still held
  };

  /// @pre all callbacks are set.
  explicit DepartureReplicator(Options options);

  /// Sends departures(), which have changed. Must be called from one thread.
  void OnChanged(MonoTime now);

  /// Sends notices that are new or were not confirmed. Call about ten times a
  /// second, from one thread.
  void Tick(MonoTime now);

  /// Holds the departures of another host and confirms that. Must be called
  /// from one thread.
  void OnNotice(const Endpoint& from, const DepartureNotice& notice);

  /// Handles the confirmation of a notice. Must be called from one thread.
  void OnReceipt(const Endpoint& from, const DepartureReceipt& receipt);

  /// Returns true if enough neighbours hold all departures(), so that they
  /// survive this process. Must be called from one thread.
  bool replicated() const;

 private:
  struct Peer {
    std::uint64_t incarnation = 0;  ///< latest that sent a notice; 0: none did
    std::optional<std::uint64_t> confirmed{};  ///< sequence that it holds
    MonoTime next_notice{};  ///< when to send the next notice to it
  };

  struct Held {
    DepartureHistory history;
    std::uint64_t noticed = 0;  ///< value of notices_ at the latest notice
  };

  void UpdatePeers();
  void EvictHeld();

  Options options_;
  std::uint64_t sequence_ = 1;
  std::map<Endpoint, Peer> peers_;
  std::map<HostId, Held> held_;
  std::uint64_t notices_ = 0;  ///< notices received
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_REPLICATOR_H_
