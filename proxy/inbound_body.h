#ifndef CAMPHORHILL_PROXY_INBOUND_BODY_H_
#define CAMPHORHILL_PROXY_INBOUND_BODY_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "proxy/asio_types.h"
#include "proxy/progress_timer.h"

namespace camphor {

/// The body of a request that comes in: its beginning is kept so that it can be
/// sent again, the rest is read piece by piece. One thread.
class InboundBody {
 public:
  struct Options {
    tcp::socket* socket = nullptr;         ///< where it comes from
    beast::flat_buffer* buffer = nullptr;  ///< bytes read beyond the header
    RequestParser* parser = nullptr;       ///< has the whole header
    ProgressTimer* progress = nullptr;     ///< closes the socket on a stall
    Milliseconds stall_limit{5000};        ///< longest pause
    std::function<void()> on_whole{};      ///< the last byte was read
  };

  /// @pre every pointer is set and outlives this.
  explicit InboundBody(Options options);

  /// Reads until the body is whole or `limit` bytes are kept. Returns false
  /// when the sender broke off.
  asio::awaitable<bool> Prefetch(std::size_t limit);

  /// Reads a piece beyond the prefix; 0 bytes when there is no more. Returns
  /// nothing when the sender broke off.
  asio::awaitable<std::optional<std::size_t>> ReadSome(std::span<char> piece);

  /// The bytes kept from the beginning.
  const std::string& prefix() const { return prefix_; }

  /// True when the prefix is all of the body.
  bool prefix_is_whole() const { return whole_ && !consumed_; }

  /// True when the last byte was read.
  bool whole() const { return whole_; }

  /// True when bytes beyond the prefix were handed out: it can not be sent
  /// again.
  bool consumed() const { return consumed_; }

  /// True when the sender sent more than the parser's limit.
  bool too_long() const { return too_long_; }

  /// Length that the header gives, if it does.
  std::optional<std::uint64_t> length() const;

  /// Interrupts a pending read.
  void CancelRead();

 private:
  void SetWhole();

  Options options_;
  std::string prefix_;
  bool whole_ = false;
  bool consumed_ = false;
  bool too_long_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_INBOUND_BODY_H_
