#include "stand_ins/http/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "stand_ins/http/listener.h"

namespace camphor {
namespace {

constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return std::tolower(letter);
  });
  return lower;
}

HttpRequest ReadRequest(const http::request<http::string_body>& message) {
  HttpRequest request{.method = std::string(message.method_string()),
                      .target = std::string(message.target()),
                      .body = message.body()};
  for (const auto& field : message) {
    request.fields[LowerCase(field.name_string())] = field.value();
  }
  return request;
}

}  // namespace

struct HttpExchange::State {
  HttpRequest request;
  bool cancelled = false;
  bool answered = false;
  std::function<void(std::optional<HttpResponse>)> answer;
};

HttpExchange::HttpExchange(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

const HttpRequest& HttpExchange::request() const { return state_->request; }

void HttpExchange::Respond(HttpResponse response) const {
  if (std::exchange(state_->answered, true)) return;
  state_->answer(std::move(response));
}

void HttpExchange::Abandon() const {
  if (std::exchange(state_->answered, true)) return;
  state_->answer(std::nullopt);
}

bool HttpExchange::cancelled() const { return state_->cancelled; }

struct HttpServer::State {
  explicit State(Options options_in)
      : options(std::move(options_in)), acceptor(context) {}

  void Accept();

  Options options;
  std::string last_reason;
  asio::io_context context{1};
  tcp::acceptor acceptor;
  Endpoint endpoint;
  std::set<std::shared_ptr<Session>> sessions;
  std::thread thread;
};

// One connection. Reads a request, waits for its response, writes it, and
// repeats.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(State& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {}

  void Read() {
    parser_.emplace();
    // More than the 16,384 bytes that operators usually allow callers, since
    // hosts add headers of their own. The library's default is 8 KiB.
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(server_.options.max_body_bytes);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) return self->Close();
          self->Handle();
        });
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    if (exchange_) exchange_->cancelled = true;
    server_.sessions.erase(shared_from_this());
  }

 private:
  void Handle() {
    keep_alive_ = parser_->get().keep_alive();
    exchange_ = std::make_shared<HttpExchange::State>();
    exchange_->request = ReadRequest(parser_->get());
    exchange_->answer =
        [weak = weak_from_this()](std::optional<HttpResponse> response) {
          if (const auto self = weak.lock()) self->Write(std::move(response));
        };
    WatchForPeerClose();
    server_.options.handle(HttpExchange(exchange_));
  }

  // A connection that becomes readable without data has been closed by the
  // peer.
  void WatchForPeerClose() {
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), exchange = exchange_](error_code error) {
          if (error || exchange->answered) return;
          char byte = 0;
          error_code peeked;
          self->socket_.non_blocking(true, peeked);
          const std::size_t count = self->socket_.receive(
              asio::buffer(&byte, 1), tcp::socket::message_peek, peeked);
          if (count == 0 && peeked != asio::error::would_block) self->Close();
        });
  }

  void Write(std::optional<HttpResponse> response) {
    if (!response || !socket_.is_open()) return Close();
    message_ = {};
    message_.version(11);
    message_.result(static_cast<unsigned>(response->status));
    for (const auto& [name, value] : response->fields)
      message_.set(name, value);
    message_.keep_alive(keep_alive_);
    const bool chunked = response->chunked;
    message_.body() = std::move(response->body);
    if (exchange_->request.method == "HEAD") {
      message_.content_length(message_.body().size());
      message_.body().clear();
    } else if (chunked) {
      message_.chunked(true);
    } else {
      message_.prepare_payload();
    }
    http::async_write(
        socket_, message_,
        [self = shared_from_this()](error_code error, std::size_t) {
          self->exchange_.reset();
          if (error || !self->keep_alive_) return self->Close();
          self->Read();
        });
  }

  State& server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> message_;
  std::shared_ptr<HttpExchange::State> exchange_;
  bool keep_alive_ = true;
};

void HttpServer::State::Accept() {
  acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions.insert(session);
      session->Read();
    }
    Accept();
  });
}

HttpServer::HttpServer(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

HttpServer::~HttpServer() { Stop(); }

bool HttpServer::Start() {
  state_->endpoint = OpenListener(state_->acceptor, state_->options.listen,
                                  state_->last_reason);
  if (state_->endpoint.port == 0) return false;
  state_->Accept();
  state_->thread = std::thread([this] { state_->context.run(); });
  return true;
}

void HttpServer::Stop() {
  if (!state_->thread.joinable()) return;
  asio::post(state_->context, [this] {
    error_code ignored;
    state_->acceptor.close(ignored);
    while (!state_->sessions.empty()) {
      const std::shared_ptr<Session> session = *state_->sessions.begin();
      session->Close();
    }
    state_->context.stop();
  });
  state_->thread.join();
}

void HttpServer::After(Milliseconds delay, std::function<void()> action) {
  asio::post(state_->context, [this, delay, action = std::move(action)] {
    if (delay.count() == 0) return action();
    auto timer = std::make_shared<asio::steady_timer>(state_->context, delay);
    timer->async_wait([timer, action](error_code error) {
      if (!error) action();
    });
  });
}

Endpoint HttpServer::endpoint() const { return state_->endpoint; }

const std::string& HttpServer::last_reason() const {
  return state_->last_reason;
}

}  // namespace camphor
