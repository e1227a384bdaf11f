#include "core/config/rollout_key.h"

#include <fmt/format.h>

#include <cassert>
#include <charconv>
#include <string>
#include <string_view>

namespace camphor {
namespace {

/// Removes the part after the last slash, and the slash, from `text` and
/// returns that part. Returns std::nullopt if there is no slash.
std::optional<std::string_view> PopLastPart(std::string_view& text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const std::string_view last = text.substr(slash + 1);
  text = text.substr(0, slash);
  return last;
}

}  // namespace

RolloutId RolloutKey::id() const {
  return RolloutId(fmt::format("{}/{}/{}/{}", pool.value(), from.value(),
                               to.value(), attempt));
}

std::optional<RolloutKey> RolloutKey::Parse(const RolloutId& id) {
  std::string_view rest = id.value();
  const auto attempt = PopLastPart(rest);
  const auto to = attempt ? PopLastPart(rest) : std::nullopt;
  const auto from = to ? PopLastPart(rest) : std::nullopt;
  if (!from) return std::nullopt;
  RolloutKey key{.pool = PoolName(std::string(rest)),
                 .from = TargetVersion(std::string(*from)),
                 .to = TargetVersion(std::string(*to))};
  const char* end = attempt->data() + attempt->size();
  const auto parsed = std::from_chars(attempt->data(), end, key.attempt);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return key;
}

RolloutKey RolloutKey::FromPool(const PoolSpec& pool) {
  assert(pool.rollout.has_value());
  return {.pool = pool.name,
          .from = pool.version,
          .to = pool.rollout->version,
          .attempt = pool.rollout->attempt};
}

}  // namespace camphor
