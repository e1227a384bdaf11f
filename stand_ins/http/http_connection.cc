#include "stand_ins/http/http_connection.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <limits>
#include <utility>

namespace camphor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

http::request<http::string_body> ToMessage(const HttpRequest& request,
                                           const Endpoint& peer) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, peer.ToString());
  for (const auto& [name, value] : request.fields) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

HttpResponse FromMessage(http::response<http::string_body> message) {
  HttpResponse response{.status = static_cast<int>(message.result_int()),
                        .chunked = message.chunked()};
  for (const auto& field : message) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
      return static_cast<char>(std::tolower(letter));
    });
    response.fields[name] = field.value();
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

struct HttpConnection::State {
  // Runs the pending operation to completion and returns its error.
  error_code Run() {
    context.restart();
    context.run();
    return error;
  }

  std::optional<HttpResponse> Fail(const std::string& step) {
    last_reason = step + " " + peer.ToString() + ": " + error.message();
    stream.close();
    buffer.clear();
    return std::nullopt;
  }

  // An idle connection that is readable has been closed by the peer.
  bool IsUsable() {
    if (!stream.socket().is_open()) return false;
    char byte = 0;
    error_code peeked;
    stream.socket().non_blocking(true, peeked);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                            peeked);
    if (peeked == asio::error::would_block) return true;
    stream.close();
    buffer.clear();
    return false;
  }

  bool Connect() {
    const tcp::endpoint endpoint(asio::ip::make_address(peer.address, error),
                                 peer.port);
    if (!error) stream.socket().open(endpoint.protocol(), error);
    if (!error && !source.empty()) {
      stream.socket().bind({asio::ip::make_address(source, error), 0}, error);
    }
    if (error) return false;
    stream.async_connect(endpoint,
                         [this](error_code result) { error = result; });
    if (Run()) return false;
    error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    return true;
  }

  Endpoint peer;
  std::string source;
  asio::io_context context{1};
  beast::tcp_stream stream{context};
  beast::flat_buffer buffer;
  error_code error;
  bool nothing_sent = true;
  std::string last_reason;
};

HttpConnection::HttpConnection(Endpoint peer, std::string source)
    : state_(std::make_unique<State>()) {
  state_->peer = std::move(peer);
  state_->source = std::move(source);
}

HttpConnection::~HttpConnection() = default;

std::optional<HttpResponse> HttpConnection::Call(const HttpRequest& request,
                                                 Milliseconds timeout) {
  State& state = *state_;
  state.error = {};
  state.nothing_sent = true;
  state.stream.expires_after(timeout);
  if (!state.IsUsable() && !state.Connect())
    return state.Fail("cannot connect to");

  // Once a write has begun, it is unknown whether the server ran the request.
  state.nothing_sent = false;
  state.stream.expires_after(timeout);
  const http::request<http::string_body> message =
      ToMessage(request, state.peer);
  http::async_write(state.stream, message, [&](error_code result, std::size_t) {
    state.error = result;
  });
  if (state.Run()) return state.Fail("cannot send to");
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (request.method == "HEAD") parser.skip(true);
  http::async_read(
      state.stream, state.buffer, parser,
      [&](error_code result, std::size_t) { state.error = result; });
  if (state.Run()) return state.Fail("no complete response from");
  if (!parser.get().keep_alive()) state.stream.close();
  return FromMessage(parser.release());
}

bool HttpConnection::nothing_sent() const { return state_->nothing_sent; }

const std::string& HttpConnection::last_reason() const {
  return state_->last_reason;
}

}  // namespace camphor
