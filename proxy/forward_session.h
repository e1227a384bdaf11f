#ifndef CAMPHORHILL_PROXY_FORWARD_SESSION_H_
#define CAMPHORHILL_PROXY_FORWARD_SESSION_H_

#include <memory>
#include <string>

#include "core/base/pending_handshakes.h"
#include "proxy/http_session.h"
#include "proxy/inbound_body.h"
#include "proxy/placed_request.h"

namespace camphor {

class LocalRun;

/// Serves one connection from another host's proxy; runs its requests on
/// targets of this host. Rejects requests until the peer has proved that it
/// holds the mesh key, and closes the connection if that takes too long or if
/// too many peers have not done so. Must be used from one thread.
class ForwardSession : public HttpSession {
 public:
  static constexpr SessionGroup kGroup = SessionGroup::kHandshakes;

  /// Returns true if a new connection can be accepted; see
  /// CallerSession::HasPlace.
  static bool HasPlace(ProxyContext& context, MonoTime now);

  /// Refuses a connection that is not served: the other host learns at once
  /// that its request was not received.
  static void Refuse(ProxyContext& /*context*/, tcp::socket /*socket*/) {}

  ForwardSession(ProxyContext& context, tcp::socket socket);
  ~ForwardSession() override;

 protected:
  asio::awaitable<bool> Serve(std::unique_ptr<RequestParser> parser) override;

 private:
  asio::awaitable<bool> HandleHello(const http::request_header<>& header);
  asio::awaitable<bool> HandlePing();
  asio::awaitable<bool> RejectUnauthenticated();
  asio::awaitable<void> RefuseForBuffers();
  bool VerifyProof(const http::request_header<>& header);
  bool AdmitHost();
  void AbandonHandshake(ProxyLimit limit);
  asio::awaitable<bool> WriteControl(
      http::response<http::empty_body>& response);
  PlacedRequest MakeRequest(const http::request_header<>& header) const;
  asio::awaitable<bool> RunRequest(PlacedRequest request, InboundBody& body,
                                   bool keep);
  void ReportRefusal(const LocalRun& run, ProxyError error) const;
  void SendHeartbeat();

  std::string client_nonce_;
  std::string server_nonce_;
  bool authenticated_ = false;
  PendingHandshakes::Place handshake_;  ///< held until authenticated
  ProgressTimer handshake_limit_;       ///< closes the connection unless
                                        ///< authenticated by then
  ProgressTimer heartbeat_;             ///< sends the next interim response
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_FORWARD_SESSION_H_
