#ifndef CAMPHORHILL_PROXY_HOST_POOLS_H_
#define CAMPHORHILL_PROXY_HOST_POOLS_H_

#include <map>
#include <memory>

#include "core/base/endpoint.h"
#include "proxy/connection_pool.h"

namespace camphor {

struct ProxyContext;

/// Connections to the proxies of other hosts. One thread.
class HostPools {
 public:
  explicit HostPools(ProxyContext& context) : context_(context) {}

  /// The pool of a host's forward listener; made when it is not there.
  std::shared_ptr<ConnectionPool> Find(const Endpoint& forward);

  /// Keeps the pools in shape. Call each second.
  void Maintain();

  /// Closes every idle connection.
  void Close();

  const std::map<Endpoint, std::shared_ptr<ConnectionPool>>& pools() const {
    return pools_;
  }

 private:
  ProxyContext& context_;
  std::map<Endpoint, std::shared_ptr<ConnectionPool>> pools_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HOST_POOLS_H_
