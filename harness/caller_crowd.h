#ifndef CAMPHORHILL_HARNESS_CALLER_CROWD_H_
#define CAMPHORHILL_HARNESS_CALLER_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/base/endpoint.h"

namespace camphor {

/// Many connections that send the same bytes and then stay open without
/// reading, for tests of what a process does with such callers.
///
/// Must be used from one thread.
class CallerCrowd {
 public:
  struct Options {
    Endpoint to{};             ///< listener to connect to
    unsigned connections = 1;  ///< connections to open
    std::string bytes{};       ///< what each connection sends
    std::size_t piece_bytes =
        0;  ///< bytes sent by a connection before the next one has its turn;
            ///< 0: as much as the connection takes
  };

  explicit CallerCrowd(Options options);

  /// Closes all connections.
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /// Connects and sends until each connection has sent everything, was closed
  /// by the peer, or no connection takes any more bytes. The connections stay
  /// open.
  void Play();

 private:
  struct Member {
    int socket = -1;       ///< -1: closed
    std::size_t sent = 0;  ///< bytes sent so far
  };

  bool Connect(Member& member) const;
  bool Send(Member& member) const;

  Options options_;
  std::vector<Member> members_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_CALLER_CROWD_H_
