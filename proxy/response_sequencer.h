#ifndef CAMPHORHILL_PROXY_RESPONSE_SEQUENCER_H_
#define CAMPHORHILL_PROXY_RESPONSE_SEQUENCER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "core/base/buffer_account.h"
#include "proxy/asio_types.h"
#include "proxy/exchange.h"

namespace camphor {

/// Writes the responses of one connection in the order of its requests,
/// whatever the order in which they become available (HTTP pipelining).
///
/// The first unfinished response is written as it arrives. Bytes of the ones
/// behind it are buffered up to a limit per connection and one per proxy, and
/// as far as the buffer budget of the proxy goes; beyond that their writers
/// wait, which stops reading from their targets. Must be used from one thread.
class ResponseSequencer {
 public:
  struct Options {
    asio::any_io_executor executor{};  ///< of the connection
    Exchange::Receiver write{};        ///< writes to the connection
    std::size_t max_buffered = 0;      ///< bytes buffered for this connection
    std::size_t max_buffered_by_proxy = 0;  ///< bytes buffered by all
                                            ///< connections of the proxy
    std::uint64_t* buffered_by_proxy =
        nullptr;                       ///< bytes that the proxy buffers now
    BufferAccount* account = nullptr;  ///< of the connection
    std::function<void()> on_empty{};  ///< called when no response is pending
  };

  /// Response to one request. Created by Append().
  class Response;
  using ResponsePtr = std::shared_ptr<Response>;

  /// @pre `write` and the pointer are set and outlive this.
  explicit ResponseSequencer(Options options);
  ~ResponseSequencer();
  ResponseSequencer(const ResponseSequencer&) = delete;
  ResponseSequencer& operator=(const ResponseSequencer&) = delete;

  /// Adds the response to the next request of the connection.
  ResponsePtr Append();

  /// Writes or buffers bytes of a response. Fails after Break().
  /// @pre `response` has not ended.
  asio::awaitable<beast::error_code> Write(
      ResponsePtr response, std::span<const asio::const_buffer> bytes);

  /// Discards the buffered bytes of a response of which nothing was written
  /// yet, so that another one can take its place. Returns false if it is too
  /// late for that.
  bool Retract(const ResponsePtr& response);

  /// Ends a response and writes the buffered ones that are due now. If it is
  /// incomplete, no response behind it can be delivered, so Break() is called
  /// once those before it are written. Returns false after Break().
  asio::awaitable<bool> End(ResponsePtr response, bool complete);

  /// Fails pending and further writes.
  void Break();

  /// Waits until a response ends or Break() is called.
  asio::awaitable<void> WaitForChange();

  /// Returns true if no response is pending behind this one.
  bool IsLast(const ResponsePtr& response) const;

  /// Returns the number of responses that are not yet written completely.
  std::size_t pending() const { return responses_.size(); }

  bool broken() const { return broken_; }

 private:
  bool IsFirst(const ResponsePtr& response) const;
  bool Buffer(Response& response, std::span<const asio::const_buffer> bytes);
  void Release(std::size_t size);
  asio::awaitable<void> Flush();
  asio::awaitable<beast::error_code> WriteNow(
      std::span<const asio::const_buffer> bytes);

  Options options_;
  asio::steady_timer changed_;  ///< cancelled to wake all waiting coroutines
  std::deque<ResponsePtr> responses_;
  std::size_t buffered_ = 0;
  bool writing_ = false;
  bool broken_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_RESPONSE_SEQUENCER_H_
