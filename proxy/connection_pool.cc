#include "proxy/connection_pool.h"

#include <algorithm>
#include <utility>

#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/mesh_proof.h"
#include "proxy/progress_timer.h"

namespace camphor {
namespace {

using EmptyRequest = http::request<http::empty_body>;
using ShortResponse = http::response<http::string_body>;

EmptyRequest ControlRequest(std::string_view control) {
  EmptyRequest request(http::verb::get, "/", 11);
  request.set(http::field::host, "proxy");
  request.set(kControlHeader, control);
  return request;
}

}  // namespace

ConnectionPool::Lease::Lease(std::shared_ptr<ConnectionPool> pool,
                             std::unique_ptr<Connection> connection)
    : pool_(std::move(pool)), connection_(std::move(connection)) {}

ConnectionPool::Lease& ConnectionPool::Lease::operator=(
    Lease&& other) noexcept {
  if (this != &other) {
    Drop();
    pool_ = std::move(other.pool_);
    connection_ = std::move(other.connection_);
  }
  return *this;
}

ConnectionPool::Lease::~Lease() { Drop(); }

void ConnectionPool::Lease::Reuse() {
  if (connection_) pool_->ReturnIdle(std::move(connection_));
  connection_.reset();
}

void ConnectionPool::Lease::Drop() {
  if (!connection_) return;
  connection_.reset();
  pool_->OnClosed();
}

ConnectionPool::ConnectionPool(Options options)
    : options_(std::move(options)),
      last_used_(std::chrono::steady_clock::now()),
      random_(std::random_device()()) {
  if (options_.reconnect) reconnect_.emplace(*options_.reconnect);
}

asio::awaitable<ConnectionPool::Acquired> ConnectionPool::Acquire() {
  last_used_ = std::chrono::steady_clock::now();
  std::size_t closed_by_peer = 0;
  while (!idle_.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle_.back());
    idle_.pop_back();
    const bool expired = connection->usable_until <= last_used_;
    if (!expired && connection->IsQuiet()) {
      peak_leased_ = std::max(peak_leased_, open_ - idle_.size());
      Acquired acquired;
      acquired.lease = Lease(shared_from_this(), std::move(connection));
      co_return acquired;
    }
    if (!expired) ++closed_by_peer;
    OnClosed();
  }
  ReportIfAllLost(closed_by_peer);
  Acquired acquired = co_await Connect();
  peak_leased_ = std::max(peak_leased_, open_ - idle_.size());
  co_return acquired;
}

asio::awaitable<ConnectionPool::Failure> ConnectionPool::Probe() {
  Connection connection(options_.executor);
  const std::optional<tcp::endpoint> endpoint =
      ToTcpEndpoint(options_.endpoint);
  if (!endpoint) co_return Failure::kRefused;
  bool late = false;
  ProgressTimer timer(options_.executor, [&] {
    late = true;
    connection.Close();
  });
  timer.Set(options_.connect_timeout);
  const auto [error] =
      co_await connection.socket.async_connect(*endpoint, kAsTuple);
  if (late) co_return Failure::kTimeout;
  co_return error ? Failure::kRefused : Failure::kNone;
}

asio::awaitable<ConnectionPool::Acquired> ConnectionPool::Connect() {
  // A host that is behind must not be kept there by the connects of all others:
  // after a failure only one tries at a time, after a pause.
  const bool alone = failing_;
  if (alone &&
      (connecting_alone_ || std::chrono::steady_clock::now() < next_connect_)) {
    Acquired paused;
    paused.failure = Failure::kPaused;
    co_return paused;
  }
  if (alone) connecting_alone_ = true;
  Acquired acquired = co_await ConnectOnce();
  if (alone) connecting_alone_ = false;
  if (acquired.lease) {
    failing_ = false;
    if (reconnect_) reconnect_->Reset();
  } else if (reconnect_ && acquired.failure != Failure::kFull &&
             (alone || !failing_)) {
    failing_ = true;
    next_connect_ =
        std::chrono::steady_clock::now() + reconnect_->Next(random_);
  }
  co_return acquired;
}

asio::awaitable<ConnectionPool::Acquired> ConnectionPool::ConnectOnce() {
  Acquired acquired;
  if (open_ >= options_.max_connections) {
    acquired.failure = Failure::kFull;
    co_return acquired;
  }
  const std::optional<tcp::endpoint> endpoint =
      ToTcpEndpoint(options_.endpoint);
  if (!endpoint) {
    acquired.failure = Failure::kRefused;
    co_return acquired;
  }

  // Counted before connecting, so that concurrent calls stay within the limit.
  ++open_;
  Lease lease(shared_from_this(),
              std::make_unique<Connection>(options_.executor));
  bool late = false;
  ProgressTimer timer(options_.executor, [&] {
    late = true;
    lease->Close();
  });
  timer.Set(options_.connect_timeout);
  const auto [error] =
      co_await lease->socket.async_connect(*endpoint, kAsTuple);
  if (error) {
    acquired.failure = late ? Failure::kTimeout : Failure::kRefused;
    co_return acquired;
  }
  beast::error_code ignored;
  lease->socket.set_option(tcp::no_delay(true), ignored);
  if (options_.on_connect) options_.on_connect();
  if (!options_.mesh_key.empty()) {
    const bool authenticated = co_await Authenticate(*lease);
    if (!authenticated) {
      acquired.failure = late ? Failure::kTimeout : Failure::kBadProof;
      co_return acquired;
    }
  }
  acquired.lease = std::move(lease);
  co_return acquired;
}

asio::awaitable<bool> ConnectionPool::Authenticate(Connection& connection) {
  const std::string nonce = MeshProof::MakeNonce();
  EmptyRequest hello = ControlRequest(kHelloControl);
  hello.set(kNonceHeader, nonce);
  const auto [write_error, written] =
      co_await http::async_write(connection.socket, hello, kAsTuple);
  if (write_error) co_return false;
  ShortResponse response;
  const auto [read_error, read] = co_await http::async_read(
      connection.socket, connection.buffer, response, kAsTuple);
  if (read_error) co_return false;
  const std::string_view server = HeaderValue(response, kNonceHeader);
  const std::string expected =
      MeshProof::ServerProof(options_.mesh_key, nonce, server);
  if (!MeshProof::Equal(HeaderValue(response, kProofHeader), expected)) {
    co_return false;
  }
  connection.proof = MeshProof::ClientProof(options_.mesh_key, nonce, server);
  co_return true;
}

asio::awaitable<bool> ConnectionPool::Ping(Connection& connection) {
  ProgressTimer timer(options_.executor, [&] { connection.Close(); });
  timer.Set(options_.connect_timeout);
  EmptyRequest ping = ControlRequest(kPingControl);
  if (!connection.proof.empty()) {
    ping.set(kProofHeader, std::exchange(connection.proof, {}));
  }
  const auto [write_error, written] =
      co_await http::async_write(connection.socket, ping, kAsTuple);
  if (write_error) co_return false;
  ShortResponse response;
  const auto [read_error, read] = co_await http::async_read(
      connection.socket, connection.buffer, response, kAsTuple);
  co_return !read_error && response.keep_alive();
}

asio::awaitable<void> ConnectionPool::Maintain() {
  const auto self = shared_from_this();
  const MonoTime now = std::chrono::steady_clock::now();
  const std::size_t kept = std::max<std::size_t>(options_.warm, peak_leased_);
  peak_leased_ -= (peak_leased_ + 9) / 10;

  // The connection at the front has been idle longest.
  while (idle_.size() > kept) {
    idle_.erase(idle_.begin());
    OnClosed();
  }
  std::size_t closed_by_peer = 0;
  std::erase_if(idle_, [&](const std::unique_ptr<Connection>& connection) {
    const bool expired = connection->usable_until <= now;
    const bool closed = expired || !connection->IsQuiet();
    if (closed && !expired) ++closed_by_peer;
    if (closed) OnClosed();
    return closed;
  });
  ReportIfAllLost(closed_by_peer);
  while (!options_.mesh_key.empty() && !idle_.empty() &&
         idle_.front()->idle_since + options_.ping_interval < now) {
    Lease lease(self, std::move(idle_.front()));
    idle_.erase(idle_.begin());
    const bool alive = co_await Ping(*lease);
    if (alive) {
      lease.Reuse();
    } else if (options_.on_unresponsive) {
      options_.on_unresponsive();
    }
  }
  while (!closed_ && open_ < options_.warm) {
    Acquired acquired = co_await Connect();
    if (!acquired.lease) break;
    acquired.lease.Reuse();
  }
}

void ConnectionPool::ReportIfAllLost(std::size_t closed_by_peer) {
  if (closed_by_peer > 0 && open_ == 0 && options_.on_all_lost)
    options_.on_all_lost();
}

void ConnectionPool::Close() {
  closed_ = true;
  open_ -= idle_.size();
  idle_.clear();
}

void ConnectionPool::ReturnIdle(std::unique_ptr<Connection> connection) {
  if (closed_) {
    OnClosed();
    return;
  }
  connection->idle_since = std::chrono::steady_clock::now();
  idle_.push_back(std::move(connection));
}

}  // namespace camphor
