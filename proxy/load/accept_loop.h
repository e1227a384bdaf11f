#ifndef CAMPHORHILL_PROXY_LOAD_ACCEPT_LOOP_H_
#define CAMPHORHILL_PROXY_LOAD_ACCEPT_LOOP_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "core/base/time.h"
#include "proxy/asio_types.h"
#include "proxy/load/batch_limit.h"

namespace camphor {

/// Accepts the connections of one listener and decides when each is served.
///
/// Each turn of the loop takes all connections that wait, so that the queue of
/// the operating system does not outlive its callers, and closes those that
/// their peers have given up. Of the others a limited number is begun in each
/// turn: in order while the thread has time; while its turns are long, fewer,
/// and the newest first, whose callers will wait longest. Those that have
/// waited too long are refused at once. Must be used from the thread of the
/// acceptor.
class AcceptLoop {
 public:
  struct Options {
    tcp::acceptor* acceptor = nullptr;          ///< must outlive the loop
    std::function<void(tcp::socket)> serve{};   ///< begins to serve
    std::function<void(tcp::socket)> refuse{};  ///< refuses without serving
    std::function<void(tcp::socket&, bool abandoned)>
        on_accepted{};  ///< called with each accepted connection, and whether
                        ///< its peer has closed it already; may be null
    std::function<void()> on_no_descriptors{};  ///< called when no descriptor
                                                ///< is left; may be null
    bool closes_abandoned = true;  ///< connections that their peers have closed
                                   ///< are not served
    Milliseconds longest_wait{250};  ///< after which a connection is refused
    std::size_t most_pending = 256;  ///< connections that wait to be served; a
                                     ///< further one displaces the oldest
    BatchLimit::Options batch{};     ///< connections begun in one turn
  };

  /// @pre options.acceptor, serve and refuse are set.
  explicit AcceptLoop(Options options);

  /// Accepts until the acceptor is closed, then serves those that wait.
  /// @pre the acceptor is open and non-blocking.
  asio::awaitable<void> Run();

 private:
  struct Pending {
    tcp::socket socket;
    MonoTime accepted{};
  };

  asio::awaitable<beast::error_code> AcceptFirst();
  beast::error_code AcceptWaiting();
  asio::awaitable<void> Pause(beast::error_code error);
  asio::awaitable<void> AwaitTurn(MonoTime begin);
  void Add(tcp::socket socket);
  void RefuseOldest();
  tcp::socket TakeNext();
  void ServeSome();
  void ServeAll();

  Options options_;
  BatchLimit limit_;
  std::deque<Pending> pending_;  ///< newest at the back
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_ACCEPT_LOOP_H_
