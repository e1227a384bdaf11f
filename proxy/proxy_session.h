#ifndef CAMPHORHILL_PROXY_PROXY_SESSION_H_
#define CAMPHORHILL_PROXY_PROXY_SESSION_H_

namespace camphor {

/// An open connection accepted by a proxy.
class ProxySession {
 public:
  virtual ~ProxySession() = default;

  /// Closes the connection and cancels its current request. Must be called from
  /// the proxy thread.
  virtual void Close() = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_SESSION_H_
