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

/// One request that waits for its answer. Copies name the same request.
class HttpExchange {
 public:
  struct State;

  explicit HttpExchange(std::shared_ptr<State> state);

  /// The request. Thread safety: any thread.
  const HttpRequest& request() const;

  /// Sends the answer; only the first answer counts. Thread safety: the
  /// server's thread.
  void Respond(HttpResponse response) const;

  /// Closes the connection in place of an answer. Thread safety: the server's
  /// thread.
  void Abandon() const;

  /// True when the peer has closed its connection before the answer. Thread
  /// safety: the server's thread.
  bool cancelled() const;

 private:
  std::shared_ptr<State> state_;
};

/// Small HTTP/1.1 server of the stand-ins, on one thread of its own.
///
/// The handler runs on the server's thread and answers at once or later.
class HttpServer {
 public:
  struct Options {
    Endpoint listen{.address = "127.0.0.1", .port = 0};  ///< port 0 takes any
    std::size_t most_body_bytes = 64UL << 20;  ///< larger requests are refused
    std::function<void(const HttpExchange&)> handle{};  ///< takes each request
  };

  explicit HttpServer(Options options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens and starts the thread. Returns false, with last_reason set, when
  /// the address can not be had. Thread safety: one thread.
  bool Start();

  /// Closes every connection and joins the thread. Thread safety: one thread,
  /// not the server's.
  void Stop();

  /// Runs the action on the server's thread after the delay. Thread safety: any
  /// thread.
  void After(Milliseconds delay, std::function<void()> action);

  /// Address in use after Start. Thread safety: any thread.
  Endpoint endpoint() const;

  /// Why the last call failed. Thread safety: one thread.
  const std::string& last_reason() const;

 private:
  struct State;
  class Session;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_HTTP_SERVER_H_
