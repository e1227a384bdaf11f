#ifndef CAMPHORHILL_PROXY_HTTP_SESSION_H_
#define CAMPHORHILL_PROXY_HTTP_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/config/caller_limits.h"
#include "proxy/asio_types.h"
#include "proxy/error_response.h"
#include "proxy/exchange.h"
#include "proxy/progress_timer.h"
#include "proxy/proxy_context.h"
#include "proxy/proxy_session.h"
#include "proxy/request_control.h"

namespace camphor {

/// Reads requests from one accepted connection, one after the other, within the
/// limits for headers and idle time. Subclasses serve them. One thread.
class HttpSession : public ProxySession,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(ProxyContext& context, tcp::socket socket);
  ~HttpSession() override;

  /// Serves until either end closes. Keeps itself alive.
  asio::awaitable<void> Run();

  void Close() override;

 protected:
  /// Serves one request whose header is whole. Returns true when the connection
  /// can take another one.
  virtual asio::awaitable<bool> Serve(RequestParser& parser) = 0;

  /// What this connection's sender may send.
  virtual CallerLimits Limits();

  /// Writes an error as the answer; `keep` says whether the connection goes on.
  /// Returns true when it does.
  asio::awaitable<bool> WriteError(ProxyError error, bool keep,
                                   std::string_view detail = {});

  /// Stops the request in flight when the sender goes away meanwhile. Call when
  /// its request was read whole.
  void WatchSender();

  /// Makes the control of the request now in flight; see RequestControl::Start.
  RequestControl& StartControl(MonoTime deadline, Milliseconds last_word);

  /// Ends the request in flight.
  void FinishControl();

  /// Where answers are written.
  Exchange::Receiver receiver();

  ProxyContext& context_;
  tcp::socket socket_;
  beast::flat_buffer buffer_;
  ProgressTimer progress_;
  std::shared_ptr<RequestControl> control_;
  bool stalled_ = false;  ///< the sender took too long

 private:
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<bool> ReadAndServe();

  bool idle_ = true;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HTTP_SESSION_H_
