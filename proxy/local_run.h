#ifndef CAMPHORHILL_PROXY_LOCAL_RUN_H_
#define CAMPHORHILL_PROXY_LOCAL_RUN_H_

#include <memory>
#include <optional>

#include "proxy/connection_pool.h"
#include "proxy/local_targets.h"
#include "proxy/placed_request.h"
#include "proxy/proxy_context.h"

namespace camphor {

/// Runs a request on a target of this host, in this order: poison check,
/// idempotency claim, slot, connection, exchange. All refusals by the proxy
/// happen before any byte is sent to the target. Must be used from one thread.
class LocalRun : public RequestRun {
 public:
  LocalRun(ProxyContext& context, PlacedRequest request);

  asio::awaitable<std::optional<ProxyError>> Begin() override;
  asio::awaitable<void> End(bool cut) override;
  Exchange& exchange() override { return *exchange_; }
  std::optional<LoadReport> load_report() const override;

  /// The request, and the slot gate of its target; null until the target is
  /// found.
  const PlacedRequest& request() const { return request_; }
  const ConcurrencyLimiter* gate() const {
    return target_ ? &target_->gate() : nullptr;
  }

  /// Request id given by the caller.
  const std::string& request_id() const { return request_id_; }

 private:
  std::optional<ProxyError> CheckPoison();
  asio::awaitable<std::optional<ProxyError>> Admit();
  std::optional<ProxyError> CheckEvacuation() const;
  std::optional<ProxyError> AcquireLimits();
  std::optional<ProxyError> AcquireColdLimit();
  asio::awaitable<std::optional<ProxyError>> Claim();
  asio::awaitable<ProxyError> ReleaseClaim(ProxyError error);
  asio::awaitable<std::optional<ProxyError>> Connect();
  asio::awaitable<std::optional<ProxyError>> Send();
  void SetTargetHeaders();
  void ReadStatement();
  asio::awaitable<std::optional<ProxyError>> ReadRefusal();
  asio::awaitable<std::optional<ProxyError>> ReadSmallBody();
  /// Returns true if the refusal may be a repetition of one of an earlier
  /// request on this connection: it proves nothing about this request.
  bool MayBeEarlierRefusal(const http::response_header<>& response) const;
  asio::awaitable<ProxyError> DetectTargetDeath();
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
  bool refused_by_target_ =
      false;  ///< the target stated that it did not run the request
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOCAL_RUN_H_
