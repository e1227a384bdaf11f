#include "node/admin/admin_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url.hpp>
#include <chrono>
#include <deque>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

#include "core/base/buffer_account.h"
#include "core/base/buffer_budget.h"
#include "proxy/load/accept_loop.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeadersTooLarge = 431;
constexpr unsigned kUnavailable = 503;

constexpr std::size_t kReadBytes = 4096;
/// What a connection needs besides its header and body: its object, timers and
/// a small response.
constexpr std::uint64_t kSessionBytes = 8 * 1024;
/// What the library allocates for each header field besides its text.
constexpr std::uint64_t kFieldBytes = 96;

MonoTime Now() { return std::chrono::steady_clock::now(); }

/// Returns the decoded path of a request target without its query, or an empty
/// optional if the target is malformed.
std::optional<std::string> DecodePath(beast::string_view target) {
  const auto url =
      boost::urls::parse_origin_form({target.data(), target.size()});
  if (!url.has_value()) return std::nullopt;
  return url->path();
}

/// Distinguishes malformed requests from connection failures.
bool IsParseError(const beast::error_code& error) {
  return error.category() ==
         http::make_error_code(http::error::body_limit).category();
}

AdminResponse ParseErrorResponse(const beast::error_code& error) {
  if (error == http::error::body_limit) {
    return AdminError(kTooLarge, "too_large", "the body is too large");
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return AdminError(kHeadersTooLarge, "too_large",
                      "the headers are too large");
  }
  return AdminError(kBadRequest, "malformed",
                    "the request is malformed: " + error.message());
}

}  // namespace

struct AdminServer::State {
  explicit State(Options opts)
      : options(std::move(opts)), buffers({.bytes = options.buffer_bytes}) {}

  // Declared before the context: sessions that the context destroys use these.
  std::atomic<std::uint32_t> open{0};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> yielded{0};
  std::atomic<std::uint64_t> buffers_refused{0};
  Options options;
  BufferBudget buffers;
  asio::io_context context{1};
  std::deque<Tcp::acceptor> acceptors;
  std::deque<AcceptLoop> accept_loops;
  std::thread thread;
  Endpoint endpoint;
  std::string last_reason;

  AcceptLoop::Options AcceptOptions(Tcp::acceptor& acceptor);
  void Admit(Tcp::socket socket);
  void OnLimit(ProxyLimit limit) const {
    if (options.on_limit) options.on_limit(limit);
  }
  bool Listen(const Endpoint& on);
};

/// One connection; its pending handlers keep it alive.
class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, State& state)
      : stream_(std::move(socket)),
        state_(state),
        account_(
            {.budget = &state.buffers,
             .may_yield = [this] { return waiting_; },
             .yield = [this](BufferAccount::Yield reason) { Yield(reason); }}),
        charge_(account_) {
    ++state_.open;
    buffer_.max_size(state_.options.header_bytes + kReadBytes);
  }

  ~Session() { --state_.open; }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Takes what every connection needs of the buffers. Returns false if they
  /// are short.
  bool Admit() {
    account_.BeginHold(Now());
    return account_.Grow(kSessionBytes + buffer_.max_size(), Now());
  }

  /// Starts reading the next request.
  void Read() {
    parser_.emplace();
    parser_->header_limit(state_.options.header_bytes);
    parser_->body_limit(state_.options.body_bytes);
    stream_.expires_after(state_.options.timeout);
    account_.BeginHold(Now());
    waiting_ = true;
    ReadSome();
  }

 private:
  void ReadSome() {
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& error,
                                    std::size_t bytes) {
          self->account_.OnProgress(bytes);
          self->OnRead(error);
        });
  }

  void OnRead(const beast::error_code& error) {
    if (error == http::error::end_of_stream) return Close();
    if (error && !IsParseError(error)) return;
    if (error) {
      keep_alive_ = false;
      return Write(ParseErrorResponse(error));
    }
    if (account_.yielded()) return;
    if (!charge_.Resize(RequestBytes(), Now())) return RefuseForBuffers();
    if (!parser_->is_done()) return ReadSome();
    waiting_ = false;
    Dispatch();
  }

  /// Memory of the request as far as it was read.
  std::uint64_t RequestBytes() const {
    const auto& message = parser_->get();
    const auto fields = static_cast<std::uint64_t>(
        std::distance(message.begin(), message.end()));
    // Without a length, the body's capacity doubles as it grows.
    const std::uint64_t factor = parser_->chunked() ? 2 : 1;
    return fields * kFieldBytes + factor * message.body().size();
  }

  void RefuseForBuffers() {
    ++state_.buffers_refused;
    state_.OnLimit(ProxyLimit::kBuffersRefused);
    keep_alive_ = false;
    parser_.emplace();
    charge_.Resize(0, Now());
    Write(AdminError(kUnavailable, "buffers_full",
                     "the buffers of this host are full"));
  }

  void Yield(BufferAccount::Yield reason) {
    ++state_.yielded;
    state_.OnLimit(reason == BufferAccount::Yield::kPlace
                       ? ProxyLimit::kConnectionsYielded
                       : ProxyLimit::kBuffersYielded);
    stream_.close();
  }

  void Dispatch() {
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    const std::optional<std::string> path = DecodePath(message.target());
    if (!path.has_value()) {
      return Write(AdminError(kBadRequest, "malformed",
                              "the request target is malformed"));
    }
    beast::error_code error;
    const auto peer = stream_.socket().remote_endpoint(error);
    AdminRequest request{
        .method = std::string(message.method_string()),
        .path = *path,
        .body = std::move(message.body()),
        .authorization = std::string(message[http::field::authorization]),
        .if_match = std::string(message[http::field::if_match]),
        .operation_id = std::string(message["Operation-Id"]),
        .from_loopback = !error && IsLocalPeer(peer.address())};
    // The response may be sent, and the callback destroyed, on another thread.
    state_.options.handle(
        request, [self = OwnFromAnyThread()](AdminResponse response) {
          asio::post(self->stream_.get_executor(),
                     [self, response = std::move(response)]() mutable {
                       self->Write(std::move(response));
                     });
        });
  }

  /// Returns an owner that may be released on any thread. The session uses the
  /// buffers of its server until it is destroyed, so the owner hands its
  /// reference to the thread of the server.
  std::shared_ptr<Session> OwnFromAnyThread() {
    return {this, [self = shared_from_this()](Session* session) mutable {
              asio::post(session->stream_.get_executor(),
                         [owned = std::move(self)] {});
            }};
  }

  /// Whether the peer is on this host.
  bool IsLocalPeer(const asio::ip::address& peer) {
    beast::error_code error;
    const auto own = stream_.socket().local_endpoint(error);
    return peer.is_loopback() || (!error && own.address() == peer);
  }

  void Write(AdminResponse response) {
    // A small response is part of what every connection holds.
    const std::size_t size = response.body.size();
    if (!account_.yielded() && size > kReadBytes &&
        !charge_.Resize(size, Now())) {
      return RefuseForBuffers();
    }
    ++state_.requests;
    response_ = {};
    response_.result(response.status);
    response_.set(http::field::server, "camphord");
    response_.set(http::field::content_type, response.content_type);
    if (!response.etag.empty()) response_.set(http::field::etag, response.etag);
    if (!response.allow.empty()) {
      response_.set(http::field::allow, response.allow);
    }
    response_.body() = std::move(response.body);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    stream_.expires_after(state_.options.timeout);
    account_.BeginHold(Now());
    waiting_ = true;
    http::async_write(stream_, response_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t bytes) {
                        self->account_.OnProgress(bytes);
                        self->OnWrite(error);
                      });
  }

  void OnWrite(const beast::error_code& error) {
    if (error) return;
    if (!keep_alive_) return Close();
    response_ = {};
    parser_.reset();
    charge_.Resize(0, Now());
    Read();
  }

  void Close() {
    beast::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool keep_alive_ = true;
  bool waiting_ = false;  ///< for the peer to send or to read
  State& state_;
  BufferAccount account_;
  BufferAccount::Charge charge_;  ///< for the request, then for the response
};

AcceptLoop::Options AdminServer::State::AcceptOptions(Tcp::acceptor& acceptor) {
  // Operators and targets are served late rather than refused, and what a
  // target says counts also if it has left since.
  return {.acceptor = &acceptor,
          .serve = [this](Tcp::socket socket) { Admit(std::move(socket)); },
          .refuse =
              [this](const Tcp::socket&) {
                ++refused;
                OnLimit(ProxyLimit::kOverloaded);
              },
          .on_no_descriptors = [this] { buffers.YieldConnection(0, Now()); },
          .closes_abandoned = false,
          .longest_wait = options.timeout};
}

void AdminServer::State::Admit(Tcp::socket socket) {
  if (open >= options.connections && !buffers.YieldConnection(0, Now())) {
    ++refused;
    return OnLimit(ProxyLimit::kConnectionsRefused);
  }
  const auto session = std::make_shared<Session>(std::move(socket), *this);
  if (session->Admit()) return session->Read();
  ++buffers_refused;
  OnLimit(ProxyLimit::kBuffersRefused);
}

bool AdminServer::State::Listen(const Endpoint& on) {
  Tcp::acceptor& acceptor = acceptors.emplace_back(context);
  beast::error_code error;
  const Tcp::endpoint listen(asio::ip::make_address(on.address, error),
                             on.port);
  if (!error) acceptor.open(listen.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(listen, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (!error) acceptor.non_blocking(true, error);
  if (!error) return true;
  last_reason = "cannot listen on " + on.ToString() + ": " + error.message();
  return false;
}

AdminServer::AdminServer(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

AdminServer::~AdminServer() { Stop(); }

bool AdminServer::Start() {
  State& state = *state_;
  if (!state.Listen(state.options.listen)) return false;
  for (const Endpoint& endpoint : state.options.additional_listen)
    if (!state.Listen(endpoint)) return false;
  const auto bound = state.acceptors.front().local_endpoint();
  state.endpoint = {.address = bound.address().to_string(),
                    .port = bound.port()};
  for (Tcp::acceptor& acceptor : state.acceptors) {
    AcceptLoop& loop =
        state.accept_loops.emplace_back(state.AcceptOptions(acceptor));
    asio::co_spawn(state.context, loop.Run(), asio::detached);
  }
  state.thread = std::thread([&state] { state.context.run(); });
  return true;
}

void AdminServer::Stop() {
  State& state = *state_;
  if (!state.thread.joinable()) return;
  asio::post(state.context, [&state] {
    beast::error_code ignored;
    for (Tcp::acceptor& acceptor : state.acceptors) acceptor.close(ignored);
    state.context.stop();
  });
  state.thread.join();
}

Endpoint AdminServer::endpoint() const { return state_->endpoint; }

std::uint64_t AdminServer::requests() const { return state_->requests; }

std::uint64_t AdminServer::connections_refused() const {
  return state_->refused;
}

std::uint64_t AdminServer::connections_yielded() const {
  return state_->yielded;
}

std::uint64_t AdminServer::buffers_refused() const {
  return state_->buffers_refused;
}

const std::string& AdminServer::last_reason() const {
  return state_->last_reason;
}

}  // namespace camphor
