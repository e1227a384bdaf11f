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

/// Finds other hosts through a table of the platform: writes where this host's
/// mesh listens, then reads the rows that follow its own, as on a ring.
///
/// Of two hosts that start together, the one whose write comes second reads the
/// other's row, so that all find together. A host that stays alone reads again.
/// Owned by the decisions thread; time is passed in.
class HostDirectory {
 public:
  struct Options {
    HostId host;                         ///< this host
    Endpoint mesh{};                     ///< where its mesh listens
    PlatformClient* platform = nullptr;  ///< outlives this
    LogSink* log = nullptr;              ///< outlives this
    std::size_t rows = 32;               ///< rows that one read asks for
    std::size_t enough = 4;  ///< other hosts that suffice to join the mesh
    Milliseconds read_again{1000};  ///< between two reads of a lone host
    Backoff::Options retry{.max_delay =
                               Milliseconds(2000)};  ///< after failed calls
    std::uint64_t random_seed = 1;  ///< makes the jitter repeatable
    std::function<void(const std::vector<Endpoint>&)>
        found{};  ///< takes meshes of other hosts
    std::function<void(std::function<void()>)>
        post{};  ///< runs a task on the decisions thread
  };

  /// @pre every hook and pointer is set.
  explicit HostDirectory(Options options);

  /// Starts the call that is due; `alone` says that this host has no peer.
  /// Thread safety: the decisions thread.
  void Tick(bool alone, MonoTime now);

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
  std::uint64_t failures_ = 0;  ///< since the last answer
  Step step_ = Step::kWrite;
  bool under_way_ = false;
  bool found_dead_ = false;  ///< hosts found before did not answer
  MonoTime now_{};
  MonoTime next_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_HOST_DIRECTORY_H_
