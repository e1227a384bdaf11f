#ifndef CAMPHORHILL_PROXY_HTTP_SESSION_H_
#define CAMPHORHILL_PROXY_HTTP_SESSION_H_

#include <memory>
#include <optional>
#include <string_view>

#include "core/base/buffer_account.h"
#include "core/config/caller_limits.h"
#include "core/routing/load_report.h"
#include "proxy/asio_types.h"
#include "proxy/error_response.h"
#include "proxy/exchange.h"
#include "proxy/inbound_body.h"
#include "proxy/progress_timer.h"
#include "proxy/proxy_context.h"
#include "proxy/proxy_session.h"
#include "proxy/request_control.h"

namespace camphor {

/// Reads requests from one accepted connection, within the limits for headers
/// and idle time. Subclasses serve them. Must be used from one thread.
class HttpSession : public ProxySession,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(ProxyContext& context, tcp::socket socket, SessionGroup group);
  ~HttpSession() override;

  /// Takes what every session needs of the buffer budget. Returns false if it
  /// is short; then the session must not run.
  bool Admit();

  /// Serves requests until either end closes. Keeps this object alive
  /// meanwhile.
  asio::awaitable<void> Run();

  void Close() override;

 protected:
  /// Serves one request after its header was read. Returns true when the next
  /// request can be read.
  virtual asio::awaitable<bool> Serve(
      std::unique_ptr<RequestParser> parser) = 0;

  /// Returns the limits for this connection.
  virtual CallerLimits Limits();

  /// Returns true if no response is pending, so that the idle timeout applies.
  virtual bool IsIdle() const { return true; }

  /// Returns true while the session waits for its peer, so that it may be
  /// closed when others need its buffers or its place.
  virtual bool MayYield() const;

  /// Waits until the pending responses are written.
  virtual asio::awaitable<void> AwaitResponses() { co_return; }

  /// Stops the requests of a sender that disconnected.
  virtual void OnDisconnect();

  /// An error response. Holds only trivial types: GCC 12 destroys others twice
  /// when they are part of a temporary in a co_await expression.
  struct ErrorReply {
    ProxyError error = ProxyError::kBadRequest;
    bool keep = false;          ///< the connection can be used further
    bool head_request = false;  ///< a response to HEAD has no body
    std::string_view detail{};  ///< replaces the default message
    std::optional<Milliseconds>
        retry_after{};  ///< replaces the limit of that name
    std::optional<LoadReport>
        load{};  ///< sent to the host of the caller; never to a caller
  };

  /// Writes an error response. Returns true when the connection stays open.
  virtual asio::awaitable<bool> WriteError(ErrorReply reply);

  /// Creates an error response.
  http::response<http::string_body> MakeError(const ErrorReply& reply) const;

  /// Calls OnDisconnect() if the sender disconnects before it sends more. For
  /// use while nothing is read.
  void WatchForDisconnect();

  /// Returns true if the peer has closed or reset its connection. Unlike a
  /// read, this also detects a close behind unread bytes.
  bool IsPeerClosed();

  /// Calls OnDisconnect() if the sender disconnects before the rest of a body
  /// is read. Ends with the first read, or with StopWatchingBody().
  void WatchBodySender(const InboundBody& body);
  void StopWatchingBody();

  /// Reads no further requests. The one that is being read is not served.
  void StopReading();

  /// Starts the idle timeout if the session waits for a request.
  void RestartIdleTimeout();

  /// Creates the control of the current request; see RequestControl::Start.
  RequestControl& StartControl(MonoTime deadline, Milliseconds deadline_grace);

  /// Finishes the current request and stops watching for a disconnect.
  void FinishControl();

  /// Returns the destination of responses.
  Exchange::Receiver receiver();

  ProxyContext& context_;
  tcp::socket socket_;
  BufferAccount account_;  ///< what this session holds of the buffer budget
  BufferAccount::Charge head_charge_;  ///< for the header that was read last
  beast::flat_buffer buffer_;
  ProgressTimer body_watch_;      ///< looks for a disconnect; see
                                  ///< WatchBodySender()
  ProgressTimer read_progress_;   ///< stops reading on a stall
  ProgressTimer write_progress_;  ///< cancels socket operations on a stall
  asio::cancellation_signal read_stop_;
  std::shared_ptr<RequestControl> control_;
  bool stalled_ = false;  ///< the sender exceeded a read timeout

 private:
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<bool> ReadAndServe();
  asio::awaitable<beast::error_code> ReadHeader(RequestParser& parser);
  beast::error_code AccountHeader(const RequestParser& parser,
                                  std::size_t parsed);
  void OnYield(BufferAccount::Yield reason);
  void CheckBodySender();
  asio::awaitable<void> OnReadError(beast::error_code error);
  asio::awaitable<void> CloseGracefully();

  bool idle_ = true;  ///< waiting for the first byte of a request
  bool reading_ended_ = false;
  const InboundBody* watched_body_ = nullptr;  ///< see WatchBodySender()
  bool watching_ = false;  ///< WatchForDisconnect() is waiting
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HTTP_SESSION_H_
