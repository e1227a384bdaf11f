#include "core/replication/record_hash.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <iterator>
#include <string_view>

namespace camphor {
namespace {

constexpr std::uint64_t kHostSeed = 1;
constexpr std::uint64_t kRolloutSeed = 2;
constexpr std::uint64_t kPoisonSeed = 3;
constexpr std::uint64_t kIncarnationSeed = 4;
constexpr std::uint64_t kRingSeed = 1000;

// Hashes a sequence of fields, separated by zero bytes.
class FieldHasher {
 public:
  template <typename Value>
  FieldHasher& Add(const Value& value) {
    fmt::format_to(std::back_inserter(buffer_), "{}", value);
    buffer_.push_back('\0');
    return *this;
  }

  std::uint64_t Hash(std::uint64_t seed) const {
    return XXH64(buffer_.data(), buffer_.size(), seed);
  }

 private:
  fmt::memory_buffer buffer_;
};

std::uint64_t HashString(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

std::uint64_t KeyHash(const HostId& host) {
  return HashString(host.value(), kHostSeed);
}

std::uint64_t KeyHash(const RolloutId& rollout) {
  return HashString(rollout.value(), kRolloutSeed);
}

std::uint64_t KeyHash(std::uint64_t poison_fingerprint) {
  return FieldHasher().Add(poison_fingerprint).Hash(kPoisonSeed);
}

std::uint64_t ContentHash(const HostRecord& record) {
  FieldHasher text;
  text.Add(record.host.value())
      .Add(record.incarnation)
      .Add(record.sequence)
      .Add(static_cast<unsigned>(record.status))
      .Add(record.domain.value())
      .Add(record.mesh.ToString())
      .Add(record.forward.ToString())
      .Add(record.platform_lost);
  for (const TargetInfo& target : record.targets) {
    text.Add(target.id.value())
        .Add(target.pool.value())
        .Add(target.version.value())
        .Add(target.slots)
        .Add(static_cast<unsigned>(target.status));
  }
  return text.Hash(kHostSeed);
}

std::uint64_t ContentHash(const RolloutRecord& record) {
  return FieldHasher()
      .Add(record.id.value())
      .Add(static_cast<unsigned>(record.stage))
      .Add(record.share_ppm)
      .Add(record.stage_since.time_since_epoch().count())
      .Add(record.ordered_at.time_since_epoch().count())
      .Add(record.hurry)
      .Add(record.recorded)
      .Add(record.reason.signal)
      .Add(record.reason.route.value())
      .Add(record.reason.new_requests)
      .Add(record.reason.old_requests)
      .Add(record.reason.sentence)
      .Hash(kRolloutSeed);
}

std::uint64_t ContentHash(const PoisonRecord& record) {
  FieldHasher text;
  text.Add(record.fingerprint);
  for (const TargetDeath& death : record.deaths) {
    text.Add(death.target.value()).Add(death.at.time_since_epoch().count());
  }
  return text.Hash(kPoisonSeed);
}

std::uint32_t IncarnationHash(const HostId& host, std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(
      FieldHasher().Add(host.value()).Add(incarnation).Hash(kIncarnationSeed));
}

std::uint64_t RingPosition(const HostId& host, std::uint32_t ring) {
  return HashString(host.value(), kRingSeed + ring);
}

}  // namespace camphor
