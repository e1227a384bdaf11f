#include "core/config/rollout_key.h"

#include <fmt/format.h>

#include <cassert>
#include <charconv>
#include <string>
#include <string_view>

namespace camphor {
namespace {

/// Cuts what stands behind the last slash off `text`; nothing without one.
std::optional<std::string_view> CutLast(std::string_view& text) {
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
  const auto attempt = CutLast(rest);
  const auto to = attempt ? CutLast(rest) : std::nullopt;
  const auto from = to ? CutLast(rest) : std::nullopt;
  if (!from) return std::nullopt;
  RolloutKey key{.pool = PoolName(std::string(rest)),
                 .from = TargetVersion(std::string(*from)),
                 .to = TargetVersion(std::string(*to))};
  const char* end = attempt->data() + attempt->size();
  const auto read = std::from_chars(attempt->data(), end, key.attempt);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
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
