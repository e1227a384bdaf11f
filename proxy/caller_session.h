#ifndef CAMPHORHILL_PROXY_CALLER_SESSION_H_
#define CAMPHORHILL_PROXY_CALLER_SESSION_H_

#include "proxy/http_session.h"

namespace camphor {

/// Serves the requests of one caller connection. Must be used from one thread.
class CallerSession : public HttpSession {
 public:
  CallerSession(ProxyContext& context, tcp::socket socket);
  ~CallerSession() override;

 protected:
  asio::awaitable<bool> Serve(RequestParser& parser) override;
  CallerLimits Limits() override;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CALLER_SESSION_H_
