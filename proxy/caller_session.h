#ifndef CAMPHORHILL_PROXY_CALLER_SESSION_H_
#define CAMPHORHILL_PROXY_CALLER_SESSION_H_

#include <memory>
#include <set>
#include <string>

#include "core/base/time.h"
#include "proxy/http_session.h"
#include "proxy/response_sequencer.h"

namespace camphor {

/// Serves the requests of one caller connection. Must be used from one thread.
///
/// Requests that arrive before earlier ones are answered (HTTP pipelining) run
/// at the same time if their routes are repeatable, up to a limit; a request
/// that must not be repeated starts once all earlier ones are answered. The
/// responses are written in the order of the requests.
class CallerSession : public HttpSession {
 public:
  static constexpr SessionGroup kGroup = SessionGroup::kCallers;

  /// Returns true if a new connection can be accepted. Closes another one for
  /// it if necessary.
  static bool HasPlace(ProxyContext& context, MonoTime now);

  /// Refuses a connection that is not served: a request that has arrived gets
  /// an error response that it was not run, and the connection is closed.
  static void Refuse(ProxyContext& context, tcp::socket socket);

  CallerSession(ProxyContext& context, tcp::socket socket);
  ~CallerSession() override;

  void Close() override;

 protected:
  asio::awaitable<bool> Serve(std::unique_ptr<RequestParser> parser) override;
  CallerLimits Limits() override;
  bool IsIdle() const override { return responses_.pending() == 0; }
  bool MayYield() const override;
  asio::awaitable<void> AwaitResponses() override;
  void OnDisconnect() override;
  asio::awaitable<bool> WriteError(ErrorReply reply) override;

 private:
  struct ReceivedRequest;

  std::optional<ErrorReply> Examine(ReceivedRequest& request) const;
  void ReportRefusal(const ReceivedRequest& request, ProxyError error) const;
  asio::awaitable<bool> ReadBody(ReceivedRequest& request);
  asio::awaitable<bool> RefuseForBuffers(const ReceivedRequest& request);
  bool ChargeRun(ReceivedRequest& request);
  asio::awaitable<bool> AwaitStart(bool repeatable);
  asio::awaitable<void> Answer(std::shared_ptr<ReceivedRequest> received);
  asio::awaitable<bool> AppendError(
      const ResponseSequencer::ResponsePtr& response, const ErrorReply& reply);
  bool KeepsOpen(const ResponseSequencer::ResponsePtr& response, bool keep);

  ResponseSequencer responses_;
  std::set<std::shared_ptr<RequestControl>> controls_;  ///< of running requests
  bool closing_ = false;  ///< a response announced the end of the connection
  bool streaming_body_ = false;  ///< the body of the running request is being
                                 ///< passed on
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CALLER_SESSION_H_
