#ifndef CAMPHORHILL_STORE_CLAIM_STORE_H_
#define CAMPHORHILL_STORE_CLAIM_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "core/claims/claim_batcher.h"
#include "core/claims/claim_status.h"
#include "store/platform_client.h"

namespace camphor {

/// Claims idempotency keys in the platform's table `claims`, many in one
/// transaction.
///
/// A claim's row has a token that no other claim has, so that an answer that
/// was lost is settled by writing the same claim again: it either takes effect
/// or meets its own token. Callbacks run on the platform client's thread or on
/// that of `schedule`, each exactly once.
class ClaimStore {
 public:
  struct Options {
    PlatformClient* client = nullptr;  ///< outlives this
    std::function<void(Milliseconds, std::function<void()>)>
        schedule{};                    ///< calls back after a delay
    std::string owner{};               ///< unique to this start of this process
    ClaimBatcher::Options batching{};  ///< limits
  };

  /// @pre options.client and options.schedule are set, options.owner is not
  /// empty.
  explicit ClaimStore(Options options);
  ~ClaimStore();

  /// Claims a key. Thread safety: any thread.
  void Claim(std::string key, std::uint64_t fingerprint,
             const std::function<void(ClaimStatus)>& done);

  /// Gives back a claim of this process that was granted and not used. Calls
  /// back with true once no claim of this process stands under the key. Thread
  /// safety: any thread.
  void Release(const std::string& key, const std::function<void(bool)>& done);

  /// Counters so far. Thread safety: any thread.
  ClaimBatcher::Counters counters() const;

  /// Prometheus text. Thread safety: any thread.
  std::string MetricsText() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_CLAIM_STORE_H_
