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
/// Each claim's row holds a unique token. If the response to a write is lost,
/// the same claim is written again: it either takes effect or conflicts with
/// its own token, which shows that the first write took effect. Each callback
/// runs exactly once: on the platform client's thread, on that of `schedule`,
/// or on the calling thread if the claim is refused at once.
class ClaimStore {
 public:
  struct Options {
    PlatformClient* client = nullptr;  ///< must outlive this object
    std::function<void(Milliseconds, std::function<void()>)>
        schedule{};                    ///< runs a function after a delay
    std::string owner{};               ///< unique to this run of the process
    ClaimBatcher::Options batching{};  ///< limits and timing of batches
  };

  /// @pre options.client and options.schedule are set, options.owner is not
  /// empty.
  explicit ClaimStore(Options options);
  ~ClaimStore();

  /// Claims a key. Thread-safe.
  void Claim(std::string key, std::uint64_t fingerprint,
             const std::function<void(ClaimStatus)>& done);

  /// Deletes a granted claim of this process that was not used. Calls `done`
  /// with true if the key has no claim afterwards, and with false if the claim
  /// belongs to another process or its deletion is not confirmed. Thread-safe.
  void Release(const std::string& key, const std::function<void(bool)>& done);

  /// Counters since construction. Thread-safe.
  ClaimBatcher::Counters counters() const;

  /// Metrics in the Prometheus text format. Thread-safe.
  std::string MetricsText() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_CLAIM_STORE_H_
