#ifndef CAMPHORHILL_CORE_CLAIMS_CLAIM_MACHINE_H_
#define CAMPHORHILL_CORE_CLAIMS_CLAIM_MACHINE_H_

#include <cstdint>
#include <memory>

namespace camphor {

/// Where one idempotency claim stands (Boost.MSM).
///
/// A claim that was sent and not answered is in doubt until it is seen who
/// holds the key; a claim in doubt never ends as not made. Not thread safe.
class ClaimMachine {
 public:
  enum class State : std::uint8_t {
    kQueued,            ///< no write of it is under way, and none took effect
    kInFlight,          ///< its first write is under way
    kDoubtful,          ///< a write of it may have taken effect
    kDoubtfulInFlight,  ///< in doubt, and written again to settle that
    kGranted,           ///< final: this claim holds the key
    kHeld,              ///< final: another claim holds the key
    kNotMade,           ///< final: no claim of ours stands
    kUnknown,           ///< final: given up in doubt
  };

  enum class Event : std::uint8_t {
    kSent,         ///< a write was sent
    kCommitted,    ///< the write took effect
    kHeldByUs,     ///< the key was ours already: an earlier write took effect
    kHeldByOther,  ///< the key is another claim's
    kNotApplied,   ///< the write took no effect, and who holds the key is open
    kNoResponse,   ///< the write's answer was lost
    kGiveUp,       ///< nobody waits for longer
  };

  ClaimMachine();
  ~ClaimMachine();
  ClaimMachine(ClaimMachine&&) noexcept;
  ClaimMachine& operator=(ClaimMachine&&) noexcept;

  /// Takes an event. Returns false, and stays, when it has no meaning in this
  /// state.
  bool Take(Event event);

  State state() const;

  /// True when the claim has ended.
  bool ended() const { return state() >= State::kGranted; }

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CLAIMS_CLAIM_MACHINE_H_
