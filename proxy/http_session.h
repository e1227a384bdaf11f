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

/// Reads requests sequentially from one accepted connection, within the limits
/// for headers and idle time. Subclasses serve them. Must be used from one
/// thread.
class HttpSession : public ProxySession,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(ProxyContext& context, tcp::socket socket);
  ~HttpSession() override;

  /// Serves requests until either end closes. Keeps this object alive
  /// meanwhile.
  asio::awaitable<void> Run();

  void Close() override;

 protected:
  /// Serves one request after its header was read. Returns true when the
  /// connection can be reused.
  virtual asio::awaitable<bool> Serve(RequestParser& parser) = 0;

  /// Returns the limits for this connection.
  virtual CallerLimits Limits();

  /// Writes an error response. `keep` requests keep-alive. Returns true when
  /// the connection stays open.
  asio::awaitable<bool> WriteError(ProxyError error, bool keep,
                                   std::string_view detail = {});

  /// Stops the current request when the sender disconnects. Call after the
  /// request was read completely.
  void WatchForDisconnect();

  /// Creates the control of the current request; see RequestControl::Start.
  RequestControl& StartControl(MonoTime deadline, Milliseconds deadline_grace);

  /// Finishes the current request and stops watching for a disconnect.
  void FinishControl();

  /// Returns the destination of responses.
  Exchange::Receiver receiver();

  ProxyContext& context_;
  tcp::socket socket_;
  beast::flat_buffer buffer_;
  ProgressTimer progress_;
  std::shared_ptr<RequestControl> control_;
  bool stalled_ = false;  ///< the sender exceeded a timeout

 private:
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<bool> ReadAndServe();

  bool idle_ = true;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HTTP_SESSION_H_
