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

/// A claim to be written. Immutable value type.
struct ClaimRequest {
  std::uint64_t id = 0;  ///< unique within the process
  std::string key;       ///< idempotency key
  std::string owner;     ///< token that is unique to this claim
  std::string value;     ///< value to store under the key

  auto operator<=>(const ClaimRequest&) const = default;
};

/// Final result of a claim. Immutable value type.
struct ClaimDecision {
  std::uint64_t id = 0;  ///< id of the claim
  ClaimMachine::State state = ClaimMachine::State::kUnknown;  ///< final state

  auto operator<=>(const ClaimDecision&) const = default;
};

/// Result of writing a batch. Immutable value type.
struct BatchResult {
  enum class Kind : std::uint8_t {
    kCommitted,   ///< all claims of the batch were written
    kConflict,    ///< nothing was written; `held` has the conflicting keys
    kNotApplied,  ///< refused; nothing was written
    kNoResponse,  ///< may or may not have been committed
  };

  Kind kind = Kind::kNoResponse;              ///< kind of result
  std::map<std::string, std::string> held{};  ///< owner by key, if kConflict

  auto operator<=>(const BatchResult&) const = default;
};

/// Batches claims into few writes (group commit), retries claims whose write
/// got no response, and adapts the write rate to the capacity of the platform.
///
/// A write that is refused or gets no response doubles the pause between writes
/// and a successful one shortens it, so that many hosts converge on a fair
/// share. After several
/// consecutive refusals a circuit breaker opens: new claims are rejected
/// immediately while a single write in flight probes the platform. Not
/// thread-safe; the current time is passed in.
class ClaimBatcher {
 public:
  struct Options {
    std::size_t max_pending = 4096;       ///< maximum number of claims
    std::size_t max_batch_size = 128;     ///< maximum claims per write
    std::size_t max_in_flight = 2;        ///< maximum concurrent writes
    Milliseconds min_pause{2};            ///< lower bound of the pause
    Milliseconds max_pause{1000};         ///< upper bound of the pause
    Milliseconds decision_timeout{1000};  ///< maximum time after Submit
    std::uint32_t refusals_to_open = 3;   ///< consecutive, to open the breaker
  };

  /// Counters for metrics. Immutable value type.
  struct Counters {
    std::uint64_t claims = 0;     ///< claims accepted by Submit
    std::uint64_t writes = 0;     ///< batches returned by NextBatch
    std::uint64_t refused = 0;    ///< claims rejected by Submit
    std::uint64_t conflicts = 0;  ///< batches with a key already held

    auto operator<=>(const Counters&) const = default;
  };

  /// Claims to write in one transaction.
  struct Batch {
    std::uint64_t number = 0;          ///< identifies the batch in OnResult
    std::vector<ClaimRequest> claims;  ///< with distinct keys
  };

  explicit ClaimBatcher(Options options) : options_(options) {}

  /// Enqueues a claim. Returns false if it is rejected, in which case it is
  /// never written.
  bool Submit(ClaimRequest claim, MonoTime now);

  /// Returns the next batch; std::nullopt if nothing may be written now.
  std::optional<Batch> NextBatch(MonoTime now);

  /// Processes the result of a batch. Returns the claims that it has decided.
  std::vector<ClaimDecision> OnResult(std::uint64_t number,
                                      const BatchResult& result, MonoTime now);

  /// Ends the claims whose time limit has passed, and returns them.
  std::vector<ClaimDecision> Expire(MonoTime now);

  /// Returns when to call NextBatch or Expire next; std::nullopt if there are
  /// no claims.
  std::optional<MonoTime> NextWakeTime() const;

  const Counters& counters() const { return counters_; }
  Milliseconds pause() const { return pause_; }
  std::size_t waiting() const { return claims_.size(); }

 private:
  struct Claim {
    ClaimRequest request;
    ClaimMachine machine;
    MonoTime expires_at{};
  };

  void Finish(std::uint64_t id, std::vector<ClaimDecision>& decisions);
  void AdaptPause(BatchResult::Kind kind);
  bool circuit_open() const {
    return consecutive_refusals_ >= options_.refusals_to_open;
  }

  Options options_;
  std::map<std::uint64_t, Claim> claims_;  ///< by id
  std::deque<std::uint64_t> queue_;        ///< ids of claims to be written
  std::map<std::uint64_t, std::vector<std::uint64_t>>
      in_flight_;                                        ///< ids by batch
  std::map<std::string, std::uint64_t> keys_in_flight_;  ///< claim id by key
  std::uint64_t next_batch_ = 1;
  MonoTime next_write_{};
  Milliseconds pause_{2};
  std::uint32_t consecutive_refusals_ = 0;
  Counters counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CLAIMS_CLAIM_BATCHER_H_
