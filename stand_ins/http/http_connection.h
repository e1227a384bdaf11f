#ifndef CAMPHORHILL_STAND_INS_HTTP_HTTP_CONNECTION_H_
#define CAMPHORHILL_STAND_INS_HTTP_HTTP_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "stand_ins/http/http_message.h"

namespace camphor {

/// Blocking HTTP/1.1 client over one connection that is kept while it works.
///
/// Used by the stand-ins, the harness and the tests; the product has its own.
class HttpConnection {
 public:
  /// Connects on the first call. `source` binds the near address, if set.
  explicit HttpConnection(Endpoint peer, std::string source = "");
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends the request and waits for the whole answer. Returns nothing, with
  /// last_reason set and the connection closed, when none came in time. Never
  /// sends a request twice. Thread safety: one thread.
  std::optional<HttpResponse> Call(const HttpRequest& request,
                                   Milliseconds timeout = Milliseconds(2000));

  /// True when the last failed call had sent nothing. Thread safety: one
  /// thread.
  bool nothing_sent() const;

  /// Why the last call failed. Thread safety: one thread.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_HTTP_CONNECTION_H_
