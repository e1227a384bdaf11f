#ifndef CAMPHORHILL_STAND_INS_HTTP_HTTP_CONNECTION_H_
#define CAMPHORHILL_STAND_INS_HTTP_HTTP_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "stand_ins/http/http_message.h"

namespace camphor {

/// Blocking HTTP/1.1 client that uses one keep-alive connection.
///
/// For the stand-ins, the harness and the tests only; camphord has its own
/// client.
class HttpConnection {
 public:
  /// Connects on the first call. `source` is the local address to bind; empty
  /// lets the system choose.
  explicit HttpConnection(Endpoint peer, std::string source = "");
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends the request and waits for the complete response. Returns
  /// std::nullopt, sets last_reason and closes the connection on an error or
  /// time-out. Never sends a request twice. Must be called from one thread.
  std::optional<HttpResponse> Call(const HttpRequest& request,
                                   Milliseconds timeout = Milliseconds(2000));

  /// Returns true if the last failed call had sent no bytes. Must be called
  /// from one thread.
  bool nothing_sent() const;

  /// Reason for the last failure. Must be called from one thread.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_HTTP_CONNECTION_H_
