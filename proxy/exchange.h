#ifndef CAMPHORHILL_PROXY_EXCHANGE_H_
#define CAMPHORHILL_PROXY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "core/base/time.h"
#include "proxy/asio_types.h"
#include "proxy/connection.h"
#include "proxy/header_vocabulary.h"
#include "proxy/inbound_body.h"
#include "proxy/request_control.h"

namespace camphor {

/// Sends one request on one connection and relays its response, with a
/// fixed-size buffer for each direction. Must be used from one thread.
///
/// Await Send, then either Relay or Discard. Await Join before destruction.
class Exchange {
 public:
  struct Options {
    Connection* connection = nullptr;   ///< used exclusively by this exchange
    RequestControl* control = nullptr;  ///< deadline and cancellation
    InboundBody* body = nullptr;        ///< request body
    bool await_continue =
        false;  ///< send "Expect: 100-continue" and hold back a body that is
                ///< not fully buffered until the peer asks for it
    Milliseconds silence_timeout{
        0};  ///< maximum time between interim responses, and
             ///< before the final response header; 0: no limit
    Milliseconds abandon_after{0};  ///< if not even an interim response arrived
                                    ///< by then, call `may_abandon`; 0: never
    std::function<bool()>
        may_abandon{};  ///< returns true if this attempt may be aborted
    const HeaderVocabulary* vocabulary =
        nullptr;  ///< non-null: the peer is a target, whose responses are
                  ///< validated
  };

  enum class SendResult : std::uint8_t {
    kResponse,          ///< the response header was received
    kNotSent,           ///< no byte of the request was sent
    kConnectionBroken,  ///< the connection broke after at least one byte was
                        ///< sent
    kSilenceTimeout,    ///< the peer exceeded `silence_timeout`
    kAbandoned,         ///< aborted after may_abandon returned true
    kStopped,    ///< stopped by the deadline or a disconnected caller; see
                 ///< RequestControl
    kBadAnswer,  ///< the response is invalid and cannot be relayed
  };

  enum class RelayResult : std::uint8_t {
    kComplete,   ///< the complete response was relayed
    kTruncated,  ///< the response ended early; the receiver's connection must
                 ///< be closed
    kStopped,    ///< stopped by the deadline or a disconnected caller
    kReceiverLost,  ///< writing to the receiver failed
  };

  /// Destination of a response: writes all of the given bytes.
  using Receiver = std::function<asio::awaitable<beast::error_code>(
      std::span<const asio::const_buffer>)>;

  /// @pre every pointer is set and outlives this.
  explicit Exchange(Options options);

  /// Sends the request and awaits the response header. Framing headers of
  /// `header` are replaced.
  asio::awaitable<SendResult> Send(http::request_header<> header);

  /// Returns the response header. @pre Send returned kResponse.
  const http::response_header<>& response() const { return response_->get(); }

  /// Reads the response body in advance if its length is known and small, so
  /// that a response that breaks off is noticed before any of it is relayed.
  /// Returns false if it broke off. @pre Send returned kResponse.
  asio::awaitable<bool> ReadSmallBody();

  /// Relays the response body, with `header` in place of the received one.
  asio::awaitable<RelayResult> Relay(http::response_header<> header,
                                     Receiver receiver);

  /// After the complete response: waits until the rest of the request body is
  /// sent too, or cannot be. A target that responds before it has read the body
  /// and keeps the connection still reads the rest.
  asio::awaitable<void> FinishBody();

  /// Reads and discards a short response body. Returns false when reading fails
  /// or the body is too long.
  asio::awaitable<bool> Discard();

  /// Stops a running body transfer. Closes the connection if the transfer is
  /// still running.
  asio::awaitable<void> Join();

  /// Returns true when the connection can be reused.
  bool reusable() const;

 private:
  asio::awaitable<bool> SendHeader();
  asio::awaitable<SendResult> ReadResponseHeader();
  asio::awaitable<bool> SkipMismatchedResponse();
  bool IsResponseToOtherRequest() const;
  bool IsRequestIdMissing() const;
  asio::awaitable<beast::error_code> ReadBodySome(std::span<char> chunk,
                                                  std::size_t& size);
  bool WasReset() const;
  asio::awaitable<void> PumpBody();
  void StartPump();
  SendResult Failure(SendResult otherwise) const;

  Options options_;
  std::string request_id_;
  std::optional<http::request<http::buffer_body>> request_;
  std::optional<http::request_serializer<http::buffer_body>> serializer_;
  std::optional<ResponseParser> response_;
  std::string small_body_;  ///< the whole body, if it was read in advance
  std::unique_ptr<char[]> pump_buffer_;
  asio::steady_timer pump_ended_;
  std::size_t bytes_sent_ = 0;
  bool is_head_request_ = false;
  bool body_held_back_ = false;
  bool prefix_held_back_ = false;
  bool pumping_ = false;
  bool pump_failed_ = false;  ///< a write of the request body failed
  bool request_complete_ = false;
  bool response_started_ = false;  ///< the final response header was received
  bool response_complete_ = false;
  bool skipped_mismatched_response_ =
      false;  ///< a response to another request was received
  bool received_header_ = false;  ///< at least one response header was received
  bool silence_timed_out_ = false;
  bool abandoned_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_EXCHANGE_H_
