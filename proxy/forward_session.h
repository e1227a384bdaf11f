#ifndef CAMPHORHILL_PROXY_FORWARD_SESSION_H_
#define CAMPHORHILL_PROXY_FORWARD_SESSION_H_

#include <memory>
#include <string>

#include "proxy/http_session.h"
#include "proxy/inbound_body.h"
#include "proxy/placed_request.h"

namespace camphor {

class LocalRun;

/// One connection of another host's proxy: its requests run on targets of this
/// host. Nothing is served before the other end proved the mesh key. One
/// thread.
class ForwardSession : public HttpSession {
 public:
  ForwardSession(ProxyContext& context, tcp::socket socket);
  ~ForwardSession() override;

 protected:
  asio::awaitable<bool> Serve(RequestParser& parser) override;

 private:
  asio::awaitable<bool> AnswerHello(const http::request_header<>& header);
  asio::awaitable<bool> AnswerPing();
  asio::awaitable<bool> RefuseStranger();
  bool CheckProof(const http::request_header<>& header);
  PlacedRequest MakeRequest(const http::request_header<>& header) const;
  asio::awaitable<bool> RunRequest(PlacedRequest request, InboundBody& body,
                                   bool keep);
  void ReportRefusal(const LocalRun& run, ProxyError error) const;
  void SendHeartbeat();

  std::string client_nonce_;
  std::string server_nonce_;
  bool proved_ = false;
  ProgressTimer heartbeat_;  ///< next interim answer
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_FORWARD_SESSION_H_
