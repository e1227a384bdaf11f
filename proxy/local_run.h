#ifndef CAMPHORHILL_PROXY_LOCAL_RUN_H_
#define CAMPHORHILL_PROXY_LOCAL_RUN_H_

#include <memory>
#include <optional>

#include "proxy/connection_pool.h"
#include "proxy/local_targets.h"
#include "proxy/placed_request.h"
#include "proxy/proxy_context.h"

namespace camphor {

/// Runs a request on a target of this host: poison check, claim, slot,
/// connection, exchange, in this order. Every refusal comes before a byte went
/// to the target. One thread.
class LocalRun : public RequestRun {
 public:
  LocalRun(ProxyContext& context, PlacedRequest request);

  asio::awaitable<std::optional<ProxyError>> Begin() override;
  asio::awaitable<void> End(bool cut) override;
  Exchange& exchange() override { return *exchange_; }

  /// What runs, and the slots of its target; null before it was found here.
  const PlacedRequest& request() const { return request_; }
  const ConcurrencyLimiter* gate() const {
    return target_ ? &target_->gate() : nullptr;
  }

  /// What the caller names the request by.
  const std::string& request_id() const { return request_id_; }

 private:
  std::optional<ProxyError> CheckPoison();
  asio::awaitable<std::optional<ProxyError>> Admit();
  asio::awaitable<std::optional<ProxyError>> Claim();
  asio::awaitable<ProxyError> GiveClaimBack(ProxyError error);
  asio::awaitable<std::optional<ProxyError>> Connect();
  asio::awaitable<std::optional<ProxyError>> Send();
  void SetTargetHeaders();
  asio::awaitable<std::optional<ProxyError>> ReadRefusal();
  asio::awaitable<ProxyError> FindDeath();
  std::optional<ProxyError> Stopped() const;

  ProxyContext& context_;
  PlacedRequest request_;
  std::string request_id_;
  std::shared_ptr<LocalTarget> target_;
  ConnectionPool::Lease lease_;
  std::optional<Exchange> exchange_;
  MonoTime sent_at_{};
  bool has_slot_ = false;
  bool has_claim_ = false;
  bool tracked_ = false;
  bool answered_ = false;
  bool refused_ = false;  ///< the target said that it did not run it
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOCAL_RUN_H_
