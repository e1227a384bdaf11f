#ifndef CAMPHORHILL_PROXY_CONNECTION_POOL_H_
#define CAMPHORHILL_PROXY_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "proxy/connection.h"

namespace camphor {

/// Keeps connections to one endpoint: the one used last is used next, those
/// that are closed or went silent are replaced, and there are never more than
/// the limit. One thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  struct Options {
    asio::any_io_executor executor{};    ///< of the proxy thread
    Endpoint endpoint{};                 ///< where to connect
    std::uint32_t most = 100;            ///< connections at most
    std::uint32_t warm = 1;              ///< idle ones that are kept ready
    Milliseconds connect_timeout{500};   ///< longest time to connect
    Milliseconds probe_idle{2000};       ///< idle ones are looked at this often
    std::string mesh_key{};              ///< set: the endpoint is another host
    std::function<void()> on_connect{};  ///< a connection was opened
    std::function<void()> on_silent{};   ///< a connection had gone silent
  };

  enum class Failure : std::uint8_t {
    kNone,      ///< there is a connection
    kFull,      ///< the limit is reached
    kRefused,   ///< nothing listens there
    kTimeout,   ///< no answer in time
    kBadProof,  ///< the other end does not hold the mesh key
  };

  /// Holds one connection of a pool; closes it unless it is given back.
  /// Movable.
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

    /// Gives the connection back for the next request. @pre its last answer was
    /// read whole.
    void Reuse();

    /// Closes the connection.
    void Drop();

   private:
    std::shared_ptr<ConnectionPool> pool_;
    std::unique_ptr<Connection> connection_;
  };

  /// A connection, or why there is none.
  struct Acquired {
    Lease lease{};                     ///< empty on a failure
    Failure failure = Failure::kNone;  ///< why
  };

  explicit ConnectionPool(Options options);

  /// Takes a quiet idle connection or opens one.
  asio::awaitable<Acquired> Acquire();

  /// Opens one connection to learn whether anything listens there.
  asio::awaitable<Failure> Probe();

  /// Looks at idle connections: drops the closed and the surplus, asks those
  /// that lead to a host for a sign of life, opens some to keep warm. Call each
  /// second.
  asio::awaitable<void> Maintain();

  /// Closes the idle connections and takes none back.
  void Close();

  std::size_t open() const { return open_; }
  std::size_t idle() const { return idle_.size(); }
  const Endpoint& endpoint() const { return options_.endpoint; }
  MonoTime last_used() const { return last_used_; }

 private:
  asio::awaitable<Acquired> Connect();
  asio::awaitable<bool> Greet(Connection& connection);
  asio::awaitable<bool> Ping(Connection& connection);
  void GiveBack(std::unique_ptr<Connection> connection);
  void Forget() { --open_; }

  Options options_;
  std::vector<std::unique_ptr<Connection>> idle_;  ///< used last at the back
  std::size_t open_ = 0;                           ///< idle and leased ones
  std::size_t peak_leased_ = 0;                    ///< lately; decays
  MonoTime last_used_{};
  bool closed_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CONNECTION_POOL_H_
