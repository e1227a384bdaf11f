#ifndef CAMPHORHILL_PROXY_INBOUND_BODY_H_
#define CAMPHORHILL_PROXY_INBOUND_BODY_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "core/base/buffer_account.h"
#include "proxy/asio_types.h"
#include "proxy/progress_timer.h"

namespace camphor {

/// Body of an incoming request. A prefix is buffered so that it can be sent
/// again; the rest is streamed. Must be used from one thread.
class InboundBody {
 public:
  struct Options {
    tcp::socket* socket = nullptr;         ///< connection of the sender
    beast::flat_buffer* buffer = nullptr;  ///< bytes read after the header
    RequestParser* parser = nullptr;       ///< parser that has read the header
    ProgressTimer* progress = nullptr;     ///< stops reading on a stall
    asio::cancellation_signal* read_stop = nullptr;  ///< stops reading
    BufferAccount* account = nullptr;  ///< of the sender's connection
    Milliseconds stall_limit{5000};    ///< read timeout
    std::function<void()>
        on_complete{};  ///< called after the last byte was read
  };

  /// @pre every pointer is set and outlives this.
  explicit InboundBody(Options options);

  /// Reads until the body is complete or `limit` bytes are buffered. Returns
  /// false when the sender disconnects or stalls, the body is malformed or
  /// exceeds its limit, or no buffers are free.
  asio::awaitable<bool> Prefetch(std::size_t limit);

  /// Reads a chunk after the prefix; returns 0 at the end of the body,
  /// std::nullopt when reading fails.
  asio::awaitable<std::optional<std::size_t>> ReadSome(std::span<char> chunk);

  const std::string& prefix() const { return prefix_; }

  /// Returns true when the prefix is the complete body.
  bool prefix_is_complete() const { return complete_ && !consumed_; }

  /// Returns true when the last byte was read.
  bool complete() const { return complete_; }

  /// Returns true when bytes after the prefix were read: the body cannot be
  /// sent again.
  bool consumed() const { return consumed_; }

  /// Returns true when the body exceeds the parser's limit.
  bool too_long() const { return too_long_; }

  /// Returns true when reading failed because the body is malformed.
  bool malformed() const { return malformed_; }

  /// Returns true when Prefetch() failed because no buffers are free.
  bool out_of_buffers() const { return out_of_buffers_; }

  /// Returns true when reading failed because the sender closed or reset the
  /// connection.
  bool sender_left() const { return sender_left_; }

  /// Returns the Content-Length, if present.
  std::optional<std::uint64_t> length() const;

  /// Stops a pending read.
  void StopRead();

 private:
  void SetComplete();

  Options options_;
  BufferAccount::Charge charge_;  ///< for the prefix
  std::string prefix_;
  bool complete_ = false;
  bool consumed_ = false;
  bool too_long_ = false;
  bool malformed_ = false;
  bool out_of_buffers_ = false;
  bool sender_left_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_INBOUND_BODY_H_
