#ifndef CAMPHORHILL_PROXY_HOST_POOLS_H_
#define CAMPHORHILL_PROXY_HOST_POOLS_H_

#include <map>
#include <memory>

#include "core/base/endpoint.h"
#include "proxy/connection_pool.h"

namespace camphor {

struct ProxyContext;

/// Connection pools to the proxies of other hosts. Must be used from one
/// thread.
class HostPools {
 public:
  explicit HostPools(ProxyContext& context) : context_(context) {}

  /// Returns the pool of a host's forward listener, creating it if needed.
  std::shared_ptr<ConnectionPool> Find(const Endpoint& forward);

  /// Maintains all pools and removes unused ones. Call once a second.
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
