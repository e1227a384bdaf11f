#include "core/replication/poison_record.h"

#include <cassert>

namespace camphor {
namespace {

constexpr std::size_t kMinDeathsToBlock = 2;
/// Bounds the record and, with it, the block: 64 times the first one.
constexpr std::size_t kMaxDeaths = 8;
constexpr std::chrono::minutes kFirstBlock{10};
/// A single death may have other causes than the request.
constexpr std::chrono::minutes kSingleDeathRetention{10};
/// A request that comes back within this time needs only one more death.
constexpr std::chrono::hours kRetentionAfterBlock{24};

}  // namespace

PoisonRecord PoisonRecord::Merge(const PoisonRecord& left,
                                 const PoisonRecord& right) {
  assert(left.fingerprint == right.fingerprint);
  PoisonRecord merged = left;
  merged.deaths.insert(right.deaths.begin(), right.deaths.end());
  while (merged.deaths.size() > kMaxDeaths)
    merged.deaths.erase(merged.deaths.begin());
  return merged;
}

WallTime PoisonRecord::BlockedUntil() const {
  if (deaths.size() < kMinDeathsToBlock) return {};
  const std::size_t doublings = deaths.size() - kMinDeathsToBlock;
  return deaths.rbegin()->at + kFirstBlock * (1 << doublings);
}

WallTime PoisonRecord::Expires() const {
  if (deaths.empty()) return {};
  if (deaths.size() < kMinDeathsToBlock)
    return deaths.rbegin()->at + kSingleDeathRetention;
  return BlockedUntil() + kRetentionAfterBlock;
}

}  // namespace camphor
