#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_HOST_DIRECTORY_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_HOST_DIRECTORY_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "core/base/backoff.h"
#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/base/time.h"
#include "node/log/log_sink.h"
#include "store/platform_client.h"

namespace camphor {

/// Discovers other hosts through a table of the platform: writes the mesh
/// endpoint of this host, then reads the rows whose keys follow its own,
/// wrapping around at the end of the table.
///
/// Each host writes before it reads. Of two hosts that start together, the one
/// that writes second therefore reads the other's row, so that all hosts join
/// one mesh. A host without peers reads again periodically. Must be used from
/// the decisions thread; the caller passes in the current time.
class HostDirectory {
 public:
  struct Options {
    HostId host;                         ///< this host
    Endpoint mesh{};                     ///< mesh endpoint of this host
    PlatformClient* platform = nullptr;  ///< must outlive this object
    LogSink* log = nullptr;              ///< must outlive this object
    std::size_t page_size = 32;          ///< rows per read
    std::size_t sufficient_hosts = 4;    ///< hosts needed to join the mesh
    Milliseconds reread_interval{1000};  ///< delay between reads
    Backoff::Options retry{
        .max_delay = Milliseconds(2000)};  ///< delays after failed calls
    std::uint64_t random_seed = 1;         ///< seed of the jitter
    std::function<void(const std::vector<Endpoint>&)>
        on_hosts_found{};  ///< receives mesh endpoints of other hosts
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
  };

  /// @pre All callbacks and pointers are set.
  explicit HostDirectory(Options options);

  /// Starts the next platform call if it is due. `isolated` is whether this
  /// host has no peer. Must be called from the decisions thread.
  void Tick(bool isolated, MonoTime now);

 private:
  enum class Step : std::uint8_t { kWrite, kReadNext, kReadFirst, kDone };

  void Write();
  void Read(std::string from);
  void OnWritten(const PlatformResponse& answer);
  void OnRead(const PlatformResponse& answer);
  void OnFailure(const PlatformResponse& answer);

  Options options_;
  Backoff retry_;
  std::mt19937_64 random_;
  std::uint64_t failures_ = 0;  ///< consecutive failed calls
  Step step_ = Step::kWrite;
  bool call_pending_ = false;  ///< a platform call is in flight
  bool found_hosts_unreachable_ =
      false;              ///< no host of the last read is a peer
  MonoTime now_{};        ///< time of the last tick
  MonoTime next_call_{};  ///< earliest time of the next call
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_HOST_DIRECTORY_H_
