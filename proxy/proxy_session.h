#ifndef CAMPHORHILL_PROXY_PROXY_SESSION_H_
#define CAMPHORHILL_PROXY_PROXY_SESSION_H_

namespace camphor {

/// One open connection that a proxy accepted.
class ProxySession {
 public:
  virtual ~ProxySession() = default;

  /// Ends it at once; a request in flight is cancelled. One thread.
  virtual void Close() = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_SESSION_H_
