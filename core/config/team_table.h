#ifndef CAMPHORHILL_CORE_CONFIG_TEAM_TABLE_H_
#define CAMPHORHILL_CORE_CONFIG_TEAM_TABLE_H_

#include <boost/json/fwd.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/base/digest.h"
#include "core/base/identifier.h"
#include "core/base/json_fields.h"

namespace camphor {

/// One row of the teams table: who may send requests, and how many. Holds
/// digests in place of API keys, which are secret. Immutable value type.
struct TeamSpec {
  TeamName name;                      ///< unique within the table
  std::vector<Digest> key_digests{};  ///< of its API keys, sorted
  std::uint32_t priority = 0;      ///< goes before the priority of the route; 0
                                   ///< is highest
  double requests_per_second = 0;  ///< quota over all hosts; 0: unlimited
  double burst = 0;  ///< requests beyond the rate that the quota allows at once

  auto operator<=>(const TeamSpec&) const = default;
};

/// Teams of a configuration, with an index of their keys. Immutable value type.
/// All methods are thread-safe.
class TeamTable {
 public:
  TeamTable() = default;

  /// Sorts the teams and indexes their keys.
  explicit TeamTable(std::vector<TeamSpec> teams);

  /// Returns the teams, sorted by name.
  const std::vector<TeamSpec>& teams() const { return teams_; }

  bool empty() const { return teams_.empty(); }

  /// Returns the team that the API key belongs to, or nullptr. The time it
  /// takes does not depend on how much of a key was guessed.
  const TeamSpec* FindByKey(std::string_view key) const;

  /// Returns the first team that shares a key with another one or lists a key
  /// twice, or nullptr.
  const TeamSpec* FindAmbiguousTeam() const;

  auto operator<=>(const TeamTable&) const = default;

 private:
  struct KeyEntry {
    Digest digest;
    std::size_t team = 0;  ///< index into teams_

    auto operator<=>(const KeyEntry&) const = default;
  };

  std::vector<TeamSpec> teams_;
  std::vector<KeyEntry> keys_;  ///< sorted by digest
};

/// Reads one row of the teams table, which lists digests of keys. Invalid
/// fields are added to the errors of `fields`, which must not be used by other
/// threads meanwhile.
TeamSpec ReadTeam(JsonFields& fields);

/// Writes a team in the canonical form of the format that ReadTeam() reads.
/// Thread-safe.
boost::json::object WriteTeam(const TeamSpec& team);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_TEAM_TABLE_H_
