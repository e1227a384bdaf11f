#ifndef CAMPHORHILL_CORE_BASE_BUFFER_BUDGET_H_
#define CAMPHORHILL_CORE_BASE_BUFFER_BUDGET_H_

#include <cstdint>
#include <set>

#include "core/base/time.h"

namespace camphor {

class BufferAccount;

/// Divides a fixed amount of buffer memory among connections, each of which has
/// a BufferAccount.
///
/// When it runs short, connections that wait for their peer yield, the ones
/// that hold the most for the longest and progress least first. Designed for a
/// few thousand connections, most of which may belong to callers that send or
/// read slowly on purpose: choosing takes time proportional to the number of
/// connections. The current time is passed in. Must be used from one thread.
class BufferBudget {
 public:
  struct Options {
    std::uint64_t bytes = 0;      ///< memory to divide
    Milliseconds min_hold{1000};  ///< a connection keeps what it holds at least
                                  ///< this long, so that a burst of ordinary
                                  ///< requests does not displace itself
  };

  explicit BufferBudget(Options options);
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /// Makes the connection of the group that waits for its peer, holds the most
  /// for the longest and progresses least yield its place. Returns false if
  /// none may yield.
  bool YieldConnection(std::uint32_t group, MonoTime now);

  /// Bytes held by all accounts.
  std::uint64_t used() const { return used_; }

  /// Bytes that can be divided.
  std::uint64_t total() const { return options_.bytes; }

 private:
  friend class BufferAccount;

  bool Take(const BufferAccount& account, std::uint64_t bytes, MonoTime now);
  BufferAccount* FindYielding(const BufferAccount* except, MonoTime now,
                              const std::uint32_t* group) const;

  Options options_;
  std::uint64_t used_ = 0;
  std::set<BufferAccount*> accounts_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_BUFFER_BUDGET_H_
