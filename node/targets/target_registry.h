#ifndef CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_
#define CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_

#include <map>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/membership/target_announcement.h"
#include "core/replication/host_record.h"

namespace camphor {

/// Keeps the targets of this host while they renew their leases.
///
/// Owned by the decisions thread; time is passed in. A target that leaves, or
/// whose lease lapses, stays listed as leaving for a while, so that every host
/// hears that it goes before it is forgotten.
class TargetRegistry {
 public:
  struct Options {
    Milliseconds lease{6000};  ///< lapses when not renewed this long
    Milliseconds warming_limit{
        60000};  ///< longest time that a target may call itself cold
    Milliseconds leaving_kept{
        10000};                ///< time that a leaving target stays listed
    std::uint32_t most = 256;  ///< targets at most
  };

  explicit TargetRegistry(Options options) : options_(options) {}

  /// Adds a target or takes its new word. Returns false when there are too many
  /// targets. Thread safety: one thread.
  bool Announce(const TargetAnnouncement& announcement, MonoTime now);

  /// Takes a periodic report, which announces, renews or leaves. A report that
  /// is older than what is known, or of an earlier run of the target, changes
  /// nothing. `changed` says whether the list of targets did. Thread safety:
  /// one thread.
  enum class Taken : std::uint8_t { kRenewed, kChanged, kStale, kTooMany };
  Taken Report(const TargetAnnouncement& report, MonoTime now);

  /// Extends a lease. Returns false when the target is not known or leaves: it
  /// must announce itself again. Thread safety: one thread.
  bool Renew(const TargetId& id, MonoTime now);

  /// The target gets no new work from now on. Returns false when it is not
  /// known. Thread safety: one thread.
  bool Leave(const TargetId& id, MonoTime now);

  /// Ends lapsed leases and cold starts. Returns true when anything changed.
  /// Thread safety: one thread.
  bool Expire(MonoTime now);

  /// The targets as the host record lists them, sorted by id. Thread safety:
  /// one thread.
  std::vector<TargetInfo> targets() const;

  /// Addresses of the targets that take work. Thread safety: one thread.
  std::map<TargetId, Endpoint> addresses() const;

 private:
  struct Entry {
    TargetAnnouncement announcement;             ///< its newest word
    TargetStatus status = TargetStatus::kReady;  ///< whether it takes work
    MonoTime first_seen;  ///< when this run of it announced itself
    MonoTime renewed;     ///< when it renewed last
    MonoTime left_at{};   ///< when it began to leave
  };

  Options options_;
  std::map<TargetId, Entry> entries_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_
