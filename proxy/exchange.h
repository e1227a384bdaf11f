#ifndef CAMPHORHILL_PROXY_EXCHANGE_H_
#define CAMPHORHILL_PROXY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "proxy/asio_types.h"
#include "proxy/connection.h"
#include "proxy/header_vocabulary.h"
#include "proxy/inbound_body.h"
#include "proxy/progress_timer.h"
#include "proxy/request_control.h"

namespace camphor {

/// Sends one request on one connection and passes its answer on, with a fixed
/// buffer for each direction. One thread.
///
/// Await Send, then either Relay or Discard; await Join before it is destroyed.
class Exchange {
 public:
  struct Options {
    Connection* connection = nullptr;   ///< carries nothing else meanwhile
    RequestControl* control = nullptr;  ///< interrupts it
    InboundBody* body = nullptr;        ///< what follows the header
    bool await_continue = false;  ///< hold back a body that is not whole until
                                  ///< the other end asks for it
    Milliseconds silence{0};      ///< longest pause before the answer's header;
                                  ///< 0: none
    Milliseconds abandon_after{0};  ///< if nothing at all came by then, ask
                                    ///< `may_abandon`; 0: never
    std::function<bool()> may_abandon{};  ///< true: give this attempt up
    const HeaderVocabulary* vocabulary =
        nullptr;  ///< set: the other end is a target, whose answers are checked
  };

  enum class Sent : std::uint8_t {
    kAnswer,     ///< the answer's header is here
    kNothing,    ///< not a byte was sent
    kBroken,     ///< the connection broke after a byte was sent
    kSilent,     ///< the other end said nothing for too long
    kAbandoned,  ///< given up as may_abandon allowed
    kStopped,    ///< deadline or caller gone, see the control
    kBadAnswer,  ///< the answer can not be passed on
  };

  enum class Relayed : std::uint8_t {
    kWhole,    ///< the whole answer was passed on
    kCut,      ///< it ended too soon: the receiver must not take it as whole
    kStopped,  ///< deadline or caller gone
    kLost,     ///< the receiver's connection broke
  };

  /// Where an answer goes.
  struct Receiver {
    tcp::socket* socket = nullptr;      ///< of the caller or the other host
    ProgressTimer* progress = nullptr;  ///< closes the socket on a stall
    Milliseconds stall_limit{5000};     ///< longest pause of a write
  };

  /// @pre every pointer is set and outlives this.
  explicit Exchange(Options options);

  /// Sends the request and awaits the header of its answer. Framing headers of
  /// `header` are replaced.
  asio::awaitable<Sent> Send(http::request_header<> header);

  /// The answer's header. @pre Send gave kAnswer.
  const http::response_header<>& answer() const { return answer_->get(); }

  /// Passes the answer on under the given header.
  asio::awaitable<Relayed> Relay(http::response_header<> header,
                                 Receiver receiver);

  /// Reads a short answer to its end; false when that does not work.
  asio::awaitable<bool> Discard();

  /// Ends what still runs. The connection is closed unless all of the request
  /// was sent and all of the answer read.
  asio::awaitable<void> Join();

  /// True when the connection can carry another request.
  bool reusable() const;

 private:
  asio::awaitable<bool> SendHeader();
  asio::awaitable<Sent> ReadAnswerHeader();
  asio::awaitable<bool> SkipForeignAnswer();
  bool IsForeign() const;
  bool LacksRequestId() const;
  asio::awaitable<void> PumpBody();
  void StartPump();
  Sent Failure(Sent otherwise) const;

  Options options_;
  std::string request_id_;
  std::optional<http::request<http::buffer_body>> request_;
  std::optional<http::request_serializer<http::buffer_body>> serializer_;
  std::optional<AnswerParser> answer_;
  std::unique_ptr<char[]> pump_buffer_;
  asio::steady_timer pump_ended_;
  std::size_t bytes_sent_ = 0;
  bool head_ = false;
  bool body_held_back_ = false;
  bool prefix_held_back_ = false;
  bool pumping_ = false;
  bool request_whole_ = false;
  bool answer_whole_ = false;
  bool met_foreign_ = false;  ///< an answer to another request came here
  bool heard_ = false;        ///< the other end sent something
  bool silent_ = false;
  bool abandoned_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_EXCHANGE_H_
