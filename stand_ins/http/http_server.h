#ifndef CAMPHORHILL_STAND_INS_HTTP_HTTP_SERVER_H_
#define CAMPHORHILL_STAND_INS_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "stand_ins/http/http_message.h"

namespace camphor {

/// One request that awaits its response. Copies refer to the same request.
class HttpExchange {
 public:
  struct State;

  explicit HttpExchange(std::shared_ptr<State> state);

  /// Thread-safe.
  const HttpRequest& request() const;

  /// Sends the response. Later calls of Respond or Abandon have no effect. Must
  /// be called on the server's thread.
  void Respond(HttpResponse response) const;

  /// Closes the connection without a response. Must be called on the server's
  /// thread.
  void Abandon() const;

  /// Returns true if the peer closed the connection before the response. Must
  /// be called on the server's thread.
  bool cancelled() const;

 private:
  std::shared_ptr<State> state_;
};

/// Small HTTP/1.1 server for the stand-ins that runs on its own thread.
///
/// The handler runs on the server's thread and may respond immediately or
/// later.
class HttpServer {
 public:
  struct Options {
    Endpoint listen{.address = "127.0.0.1",
                    .port = 0};               ///< port 0: any free port
    std::size_t max_body_bytes = 64UL << 20;  ///< larger requests are rejected
    std::function<void(const HttpExchange&)>
        handle{};  ///< called for each request
  };

  explicit HttpServer(Options options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens and starts the thread. Returns false and sets last_reason if the
  /// address cannot be bound. Must be called from one thread.
  bool Start();

  /// Closes every connection and joins the thread. Must be called from one
  /// thread other than the server's.
  void Stop();

  /// Runs the action on the server's thread after the delay. Thread-safe.
  void After(Milliseconds delay, std::function<void()> action);

  /// Bound address. Valid after Start. Thread-safe.
  Endpoint endpoint() const;

  /// Reason for the last failure. Must be called from one thread.
  const std::string& last_reason() const;

 private:
  struct State;
  class Session;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_HTTP_SERVER_H_
