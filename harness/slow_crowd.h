#ifndef CAMPHORHILL_HARNESS_SLOW_CROWD_H_
#define CAMPHORHILL_HARNESS_SLOW_CROWD_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// Many connections that send or read one byte at a time, on a thread of its
/// own, for tests of what a process does with such peers.
///
/// The public methods must be called from one thread, except for those marked
/// as thread-safe.
class SlowCrowd {
 public:
  struct Options {
    Endpoint to{};               ///< listener to connect to
    unsigned connections = 1;    ///< connections to open
    std::string start{};         ///< sent as fast as the connection takes it
    std::string drip{};          ///< sent after `start`, one byte in each
                                 ///< `interval`, repeated; empty: nothing
    bool reads = false;          ///< reads one byte in each `interval`
    Milliseconds interval{50};   ///< pause of each connection between bytes
    bool small_window = false;   ///< asks for a small receive window, so that
                                 ///< few unread bytes fill the connection
    Milliseconds reconnect{-1};  ///< pause before a connection that the peer
                                 ///< closed is replaced; negative: never
  };

  explicit SlowCrowd(Options options);

  /// Closes all connections.
  ~SlowCrowd();
  SlowCrowd(const SlowCrowd&) = delete;
  SlowCrowd& operator=(const SlowCrowd&) = delete;

  /// Opens the connections and keeps them busy in the background.
  /// @pre not started before.
  void Start();

  /// Returns once each connection was opened and has sent as much of `start` as
  /// the peer took. @pre Start() was called.
  void AwaitStarted() const;

  /// Closes all connections and joins the thread.
  void Stop();

  /// Number of connections opened so far, replacements included. Thread-safe.
  std::uint64_t opened() const { return opened_; }

 private:
  struct Member {
    int socket = -1;        ///< -1: closed
    std::size_t sent = 0;   ///< bytes of `start` sent so far
    std::size_t drips = 0;  ///< bytes of `drip` sent so far
    MonoTime connect_at{};  ///< when to connect, if closed
  };

  void Run();
  void Turn(Member& member, MonoTime now);
  bool Connect(Member& member);
  bool IsClosedByPeer(const Member& member) const;
  bool Send(Member& member) const;
  void Close(Member& member, MonoTime now) const;

  Options options_;
  std::vector<Member> members_;  ///< used by the thread
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> opened_{0};
  std::atomic<unsigned> rounds_{0};  ///< of all connections
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SLOW_CROWD_H_
