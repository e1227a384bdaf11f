#ifndef CAMPHORHILL_PROXY_REMOTE_RUN_H_
#define CAMPHORHILL_PROXY_REMOTE_RUN_H_

#include <memory>
#include <optional>

#include "core/routing/effective_routing.h"
#include "proxy/connection_pool.h"
#include "proxy/placed_request.h"
#include "proxy/proxy_context.h"

namespace camphor {

/// Runs a request on a target of another host, through that host's proxy, which
/// manages the target's slots and reports whether the request ran. Must be used
/// from one thread.
class RemoteRun : public RequestRun {
 public:
  /// @pre `target` is not local.
  RemoteRun(ProxyContext& context, PlacedRequest request,
            const RoutedTarget& target);

  asio::awaitable<std::optional<ProxyError>> Begin() override;
  asio::awaitable<void> End(bool cut) override;
  Exchange& exchange() override { return *exchange_; }
  std::optional<LoadReport> load_report() const override {
    return load_report_;
  }

 private:
  void SetInternalHeaders();
  asio::awaitable<std::optional<ProxyError>> ReadResponse();

  ProxyContext& context_;
  PlacedRequest request_;
  Endpoint forward_;
  ConnectionPool::Lease lease_;
  std::optional<Exchange> exchange_;
  std::optional<LoadReport> load_report_;  ///< sent by the other host
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_REMOTE_RUN_H_
