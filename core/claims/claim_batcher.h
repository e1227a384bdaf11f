#ifndef CAMPHORHILL_CORE_CLAIMS_CLAIM_BATCHER_H_
#define CAMPHORHILL_CORE_CLAIMS_CLAIM_BATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/claims/claim_machine.h"

namespace camphor {

/// One claim to be made. Immutable value type.
struct ClaimRequest {
  std::uint64_t id = 0;  ///< unique within the process
  std::string key;       ///< idempotency key
  std::string owner;     ///< token that no other claim ever has
  std::string value;     ///< what is kept under the key

  auto operator<=>(const ClaimRequest&) const = default;
};

/// How a claim ended. Immutable value type.
struct ClaimDecision {
  std::uint64_t id = 0;                                       ///< which claim
  ClaimMachine::State state = ClaimMachine::State::kUnknown;  ///< final state

  auto operator<=>(const ClaimDecision&) const = default;
};

/// How the write of a batch ended. Immutable value type.
struct BatchResult {
  enum class Kind : std::uint8_t {
    kCommitted,   ///< all of the batch is ours
    kConflict,    ///< nothing was written; `held` says what stood in the way
    kNotApplied,  ///< refused before it took effect
    kNoResponse,  ///< may or may not have taken effect
  };

  Kind kind = Kind::kNoResponse;              ///< what is known
  std::map<std::string, std::string> held{};  ///< owner by key, on a conflict

  auto operator<=>(const BatchResult&) const = default;
};

/// Groups claims into few writes (group commit), settles lost answers by
/// writing the same claims again, and keeps the writes within what the platform
/// takes.
///
/// A write that the platform refuses doubles the pause between writes, one that
/// works shortens it, so that many hosts together find their share. After some
/// refusals in a row new claims are refused at once while a single write tests
/// whether the platform is back. Not thread safe; time is passed in.
class ClaimBatcher {
 public:
  struct Options {
    std::size_t most_waiting = 4096;     ///< claims held at most
    std::size_t most_in_batch = 128;     ///< claims of one write at most
    std::size_t most_in_flight = 2;      ///< writes under way at most
    Milliseconds shortest_pause{2};      ///< between writes
    Milliseconds longest_pause{1000};    ///< between writes
    Milliseconds give_up_after{1000};    ///< from Submit to the decision
    std::uint32_t refusals_to_shut = 3;  ///< in a row, then refuse at once
  };

  /// Counters for metrics. Immutable value type.
  struct Counters {
    std::uint64_t claims = 0;     ///< claims taken
    std::uint64_t writes = 0;     ///< batches handed out
    std::uint64_t refused = 0;    ///< claims refused at Submit
    std::uint64_t conflicts = 0;  ///< batches that met a held key

    auto operator<=>(const Counters&) const = default;
  };

  /// Some claims to write in one transaction.
  struct Batch {
    std::uint64_t number = 0;          ///< for OnResult
    std::vector<ClaimRequest> claims;  ///< distinct keys
  };

  explicit ClaimBatcher(Options options) : options_(options) {}

  /// Takes a claim. Returns false when it is refused: it is not made.
  bool Submit(ClaimRequest claim, MonoTime now);

  /// The next batch to write, if one may be written now.
  std::optional<Batch> NextBatch(MonoTime now);

  /// Takes a batch's result; returns the claims that ended by it.
  std::vector<ClaimDecision> OnResult(std::uint64_t number,
                                      const BatchResult& result, MonoTime now);

  /// Gives up claims whose time is over; returns them.
  std::vector<ClaimDecision> Expire(MonoTime now);

  /// When NextBatch or Expire may next have something to do; nothing while no
  /// claim waits.
  std::optional<MonoTime> NextWakeTime() const;

  const Counters& counters() const { return counters_; }
  Milliseconds pause() const { return pause_; }
  std::size_t waiting() const { return claims_.size(); }

 private:
  struct Claim {
    ClaimRequest request;
    ClaimMachine machine;
    MonoTime give_up{};
  };

  void End(std::uint64_t id, std::vector<ClaimDecision>& decisions);
  void AdaptPause(BatchResult::Kind kind);
  bool shut() const { return refusals_in_row_ >= options_.refusals_to_shut; }

  Options options_;
  std::map<std::uint64_t, Claim> claims_;  ///< by id
  std::deque<std::uint64_t> queue_;        ///< ids that wait to be written
  std::map<std::uint64_t, std::vector<std::uint64_t>>
      in_flight_;                              ///< ids by batch
  std::map<std::string, std::uint64_t> busy_;  ///< keys being written
  std::uint64_t next_batch_ = 1;
  MonoTime next_write_{};
  Milliseconds pause_{2};
  std::uint32_t refusals_in_row_ = 0;
  Counters counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CLAIMS_CLAIM_BATCHER_H_
