#ifndef CAMPHORHILL_CORE_CLAIMS_CLAIM_MACHINE_H_
#define CAMPHORHILL_CORE_CLAIMS_CLAIM_MACHINE_H_

#include <cstdint>
#include <memory>

namespace camphor {

/// State machine of one idempotency claim (Boost.MSM).
///
/// After a write without a response, a claim is in doubt until the owner of the
/// key is known. A claim in doubt never ends as kNotMade. Not thread-safe.
class ClaimMachine {
 public:
  enum class State : std::uint8_t {
    kQueued,           ///< no write in flight, and none was committed
    kInFlight,         ///< first write in flight
    kInDoubt,          ///< an earlier write may have been committed
    kInDoubtInFlight,  ///< in doubt; retried write in flight
    kGranted,          ///< final: this claim holds the key
    kHeld,             ///< final: another claim holds the key
    kNotMade,          ///< final: no write of this claim was committed
    kUnknown,          ///< final: timed out while a write may have committed
  };

  enum class Event : std::uint8_t {
    kSent,         ///< a write was sent
    kCommitted,    ///< the write was committed
    kHeldByUs,     ///< the key was already ours: an earlier write committed
    kHeldByOther,  ///< another claim holds the key
    kNotApplied,   ///< the write was not committed; owner of the key unknown
    kNoResponse,   ///< no response to the write
    kGiveUp,       ///< the time limit of the claim has passed
  };

  ClaimMachine();
  ~ClaimMachine();
  ClaimMachine(ClaimMachine&&) noexcept;
  ClaimMachine& operator=(ClaimMachine&&) noexcept;

  /// Processes an event. Returns false if the state has not changed, which is
  /// the case for events without a transition from the current state.
  bool ProcessEvent(Event event);

  State state() const;

  /// Returns true if the claim is in a final state.
  bool ended() const { return state() >= State::kGranted; }

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CLAIMS_CLAIM_MACHINE_H_
