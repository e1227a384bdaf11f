#ifndef CAMPHORHILL_PROXY_CONNECTION_POOL_H_
#define CAMPHORHILL_PROXY_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/base/backoff.h"
#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "proxy/connection.h"

namespace camphor {

/// Pools connections to one endpoint. Reuses the most recently used connection,
/// replaces closed and unresponsive ones, and enforces a connection limit. Must
/// be used from one thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  struct Options {
    asio::any_io_executor executor{};  ///< executor of the proxy thread
    Endpoint endpoint{};               ///< where to connect
    std::uint32_t max_connections =
        100;                 ///< maximum number of open connections
    std::uint32_t warm = 1;  ///< minimum number of connections kept open
    Milliseconds connect_timeout{500};  ///< connect timeout
    Milliseconds ping_interval{
        2000};  ///< ping interval of idle connections to hosts
    std::optional<Backoff::Options>
        reconnect{};  ///< pauses after failed connects; std::nullopt: none
    std::string mesh_key{};  ///< non-empty: the endpoint is another host, and
                             ///< both ends prove that they hold this key
    std::function<void()>
        on_connect{};  ///< called when a connection was opened
    std::function<void()>
        on_unresponsive{};  ///< called when an idle connection failed a ping
    std::function<void()>
        on_all_lost{};  ///< called when the peer has closed every connection
  };

  enum class Failure : std::uint8_t {
    kNone,      ///< no failure
    kFull,      ///< connection limit reached
    kRefused,   ///< connect failed
    kTimeout,   ///< connect timed out
    kPaused,    ///< connecting failed a moment ago
    kBadProof,  ///< the peer failed to prove that it holds the mesh key
  };

  /// Owns one connection of a pool; closes it unless Reuse is called. Movable.
  class Lease {
   public:
    Lease() = default;
    Lease(std::shared_ptr<ConnectionPool> pool,
          std::unique_ptr<Connection> connection);
    Lease(Lease&& other) noexcept = default;
    Lease& operator=(Lease&& other) noexcept;
    ~Lease();

    explicit operator bool() const { return connection_ != nullptr; }
    Connection& operator*() const { return *connection_; }
    Connection* operator->() const { return connection_.get(); }

    /// Returns the connection to the pool. @pre its last response was read
    /// completely.
    void Reuse();

    void Drop();

   private:
    std::shared_ptr<ConnectionPool> pool_;
    std::unique_ptr<Connection> connection_;
  };

  /// A connection, or the reason why there is none.
  struct Acquired {
    Lease lease{};  ///< empty on failure
    Failure failure = Failure::kNone;
  };

  explicit ConnectionPool(Options options);

  /// Returns a usable idle connection or opens a new one.
  asio::awaitable<Acquired> Acquire();

  /// Opens and closes a connection to check whether the endpoint accepts
  /// connections.
  asio::awaitable<Failure> Probe();

  /// Maintains the idle connections: closes surplus and dead ones, pings idle
  /// connections to hosts, and opens connections up to `warm`. Call once a
  /// second.
  asio::awaitable<void> Maintain();

  /// Closes the idle connections; leased ones are closed when returned.
  void Close();

  std::size_t open() const { return open_; }
  std::size_t idle() const { return idle_.size(); }
  const Endpoint& endpoint() const { return options_.endpoint; }
  MonoTime last_used() const { return last_used_; }

 private:
  asio::awaitable<Acquired> Connect();
  asio::awaitable<Acquired> ConnectOnce();
  asio::awaitable<bool> Authenticate(Connection& connection);
  asio::awaitable<bool> Ping(Connection& connection);
  void ReturnIdle(std::unique_ptr<Connection> connection);
  void OnClosed() { --open_; }
  void ReportIfAllLost(std::size_t closed_by_peer);

  Options options_;
  std::vector<std::unique_ptr<Connection>>
      idle_;                     ///< most recently used at the back
  std::size_t open_ = 0;         ///< idle and leased connections
  std::size_t peak_leased_ = 0;  ///< recent peak number of leased connections;
                                 ///< decays by a tenth per Maintain
  MonoTime last_used_{};
  bool closed_ = false;
  std::optional<Backoff> reconnect_;
  std::minstd_rand random_;
  bool failing_ = false;           ///< the last connect failed
  bool connecting_alone_ = false;  ///< while failing_: a connect is running
  MonoTime next_connect_{};        ///< while failing_: not before
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CONNECTION_POOL_H_
