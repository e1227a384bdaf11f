#include "core/config/team_table.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>

#include "core/config/priority.h"

namespace camphor {
namespace {

constexpr double kMaxRate = 1e9;
constexpr std::size_t kDigestLength = 64;

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         std::ranges::all_of(text, [](char letter) {
           return (letter >= '0' && letter <= '9') ||
                  (letter >= 'a' && letter <= 'f');
         });
}

}  // namespace

TeamTable::TeamTable(std::vector<TeamSpec> teams) : teams_(std::move(teams)) {
  std::ranges::sort(teams_, {}, &TeamSpec::name);
  for (std::size_t index = 0; index < teams_.size(); ++index) {
    std::ranges::sort(teams_[index].key_digests);
    for (const Digest& digest : teams_[index].key_digests)
      keys_.push_back({.digest = digest, .team = index});
  }
  std::ranges::sort(keys_);
}

const TeamSpec* TeamTable::FindByKey(std::string_view key) const {
  // The order of the digests reveals nothing about the keys.
  const Digest digest = Digest::Of(key);
  const auto found =
      std::ranges::lower_bound(keys_, digest, {}, &KeyEntry::digest);
  if (found == keys_.end() || found->digest.hex().size() != kDigestLength)
    return nullptr;
  const bool equal = CRYPTO_memcmp(found->digest.hex().data(),
                                   digest.hex().data(), kDigestLength) == 0;
  return equal ? &teams_[found->team] : nullptr;
}

const TeamSpec* TeamTable::FindAmbiguousTeam() const {
  const auto found = std::ranges::adjacent_find(keys_, {}, &KeyEntry::digest);
  return found == keys_.end() ? nullptr : &teams_[found->team];
}

TeamSpec ReadTeam(JsonFields& fields) {
  TeamSpec team{.name = TeamName(fields.String("name"))};
  for (std::string& digest : fields.Strings("key_digests")) {
    if (!IsDigest(digest))
      fields.Report("key_digests", "must be SHA-256 digests in hexadecimal");
    team.key_digests.push_back(Digest::FromHex(std::move(digest)));
  }
  team.priority = static_cast<std::uint32_t>(
      fields.Integer("priority", 0, kLowestPriority, 0));
  team.requests_per_second =
      fields.Number("requests_per_second", 0, kMaxRate, 0);
  team.burst = fields.Number("burst", 0, kMaxRate, 0);
  return team;
}

boost::json::object WriteTeam(const TeamSpec& team) {
  boost::json::array digests;
  for (const Digest& digest : team.key_digests)
    digests.emplace_back(digest.hex());
  boost::json::object out{{"name", team.name.value()},
                          {"key_digests", std::move(digests)}};
  if (team.priority > 0) out["priority"] = team.priority;
  if (team.requests_per_second > 0)
    out["requests_per_second"] = team.requests_per_second;
  if (team.burst > 0) out["burst"] = team.burst;
  return out;
}

}  // namespace camphor
