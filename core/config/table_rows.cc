#include "core/config/table_rows.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <optional>

#include "core/base/json_fields.h"
#include "core/base/wall_time_text.h"
#include "core/config/priority.h"

namespace camphor {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 10 * 60 * 1000;
constexpr std::int64_t kMaxBakeSeconds = 7 * 24 * 3600;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxAttempts = 1'000'000;
constexpr std::int64_t kMaxRolloutAttempts = 1LL << 53;
constexpr std::int64_t kMaxRolloutMs = 7LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr double kMaxColdRate = 1e6;

// Shares are rounded to a millionth, so that they keep their digest however
// often they are written and read: the parser reads numbers of up to 15 digits
// exactly, but about one in ten of the random doubles from 0 to 1 as another
// one.
constexpr double kShareSteps = 1e6;

RolloutSpec ReadRollout(JsonFields& fields) {
  const RolloutSpec defaults;
  RolloutSpec rollout;
  rollout.version = TargetVersion(fields.String("version"));
  rollout.allowed =
      Milliseconds(fields.Integer("allowed_ms", 0, kMaxRolloutMs, 0));
  if (rollout.allowed.count() == 0) {
    const std::optional<WallTime> complete_by =
        ParseWallTime(fields.String("complete_by"));
    if (!complete_by)
      fields.Report("complete_by",
                    "must be a time such as 2027-03-31T18:00:00Z");
    rollout.complete_by = complete_by.value_or(WallTime{});
  }
  rollout.bake = Seconds(
      fields.Integer("bake_s", 0, kMaxBakeSeconds, defaults.bake.count()));
  rollout.attempt = static_cast<std::uint64_t>(
      fields.Integer("attempt", 1, kMaxRolloutAttempts,
                     static_cast<std::int64_t>(defaults.attempt)));
  return rollout;
}

boost::json::object WriteRollout(const RolloutSpec& rollout) {
  boost::json::object out{{"version", rollout.version.value()},
                          {"bake_s", rollout.bake.count()},
                          {"attempt", rollout.attempt}};
  if (rollout.allowed.count() > 0) {
    out["allowed_ms"] = rollout.allowed.count();
  } else {
    out["complete_by"] = FormatWallTime(rollout.complete_by);
  }
  return out;
}

std::uint32_t ReadCount(JsonFields& fields, std::string_view key,
                        std::int64_t min, std::int64_t max,
                        std::uint32_t fallback) {
  return static_cast<std::uint32_t>(fields.Integer(key, min, max, fallback));
}

}  // namespace

RouteRule ReadRoute(JsonFields& fields, UnknownFields unknown) {
  const RouteRule defaults;
  RouteRule rule;
  rule.name = RouteName(fields.String("name"));
  rule.host = fields.String("host", "");
  rule.path_prefix = fields.String("path_prefix", defaults.path_prefix, 2048);
  if (!rule.path_prefix.starts_with('/'))
    fields.Report("path_prefix", "must begin with /");
  rule.methods = fields.Strings("methods");
  std::ranges::sort(rule.methods);
  fields.Objects("split", [&](JsonFields& inner) {
    PoolShare share{.pool = PoolName(inner.String("pool"))};
    share.weight = ReadCount(inner, "weight", 0, kMaxWeight, 0);
    rule.split.push_back(std::move(share));
  });
  rule.pool = rule.split.empty() ? PoolName(fields.String("pool"))
                                 : rule.split.front().pool;
  rule.timeout = Milliseconds(
      fields.Integer("timeout_ms", 1, kMaxTimeoutMs, defaults.timeout.count()));
  rule.repeatable = fields.Boolean("repeatable", defaults.repeatable);
  rule.at_most_once = fields.Boolean("at_most_once", defaults.at_most_once);
  rule.attempts = ReadCount(fields, "attempts", 0, kMaxAttempts, 0);
  rule.target_latency =
      Milliseconds(fields.Integer("target_latency_ms", 0, kMaxTimeoutMs, 0));
  rule.priority = ReadCount(fields, "priority", 0, kLowestPriority, 0);
  rule.is_public = fields.Boolean("public", defaults.is_public);
  if (const auto share = fields.OptionalNumber("hedge_share", 0, 1))
    rule.hedge_share = std::round(*share * kShareSteps) / kShareSteps;
  if (unknown == UnknownFields::kKeep) {
    const boost::json::object rest = fields.TakeUnread();
    if (!rest.empty()) rule.unknown_fields = boost::json::serialize(rest);
  }
  if (rule.repeatable && rule.at_most_once)
    fields.Report("at_most_once", "cannot be combined with repeatable");
  return rule;
}

PoolSpec ReadPool(JsonFields& fields) {
  const PoolSpec defaults;
  PoolSpec pool;
  pool.name = PoolName(fields.String("name"));
  pool.version = TargetVersion(fields.String("version", ""));
  fields.Object("rollout",
                [&](JsonFields& inner) { pool.rollout = ReadRollout(inner); });
  if (pool.rollout && pool.rollout->version == pool.version) {
    fields.Report("rollout", "must have a different version than the pool");
  }
  pool.slots_per_target = ReadCount(fields, "slots_per_target", 1, kMaxSlots,
                                    defaults.slots_per_target);
  pool.connections_per_target =
      ReadCount(fields, "connections_per_target", 1, kMaxSlots,
                defaults.connections_per_target);
  pool.queue_per_target = ReadCount(fields, "queue_per_target", 0, kMaxSlots,
                                    defaults.queue_per_target);
  pool.max_ejected_percent = ReadCount(fields, "max_ejected_percent", 0, 100,
                                       defaults.max_ejected_percent);
  pool.cold_requests_per_second =
      fields.Number("cold_requests_per_second", 0, kMaxColdRate,
                    defaults.cold_requests_per_second);
  return pool;
}

boost::json::object WriteRoute(const RouteRule& rule) {
  boost::json::object out;
  out["name"] = rule.name.value();
  if (!rule.host.empty()) out["host"] = rule.host;
  out["path_prefix"] = rule.path_prefix;
  if (!rule.methods.empty())
    out["methods"] = boost::json::value_from(rule.methods);
  if (rule.split.empty()) {
    out["pool"] = rule.pool.value();
  } else {
    boost::json::array split;
    for (const PoolShare& share : rule.split) {
      split.push_back(boost::json::object{{"pool", share.pool.value()},
                                          {"weight", share.weight}});
    }
    out["split"] = std::move(split);
  }
  out["timeout_ms"] = rule.timeout.count();
  out["repeatable"] = rule.repeatable;
  out["at_most_once"] = rule.at_most_once;
  if (rule.attempts > 0) out["attempts"] = rule.attempts;
  if (rule.target_latency.count() > 0)
    out["target_latency_ms"] = rule.target_latency.count();
  if (rule.priority > 0) out["priority"] = rule.priority;
  if (rule.is_public) out["public"] = true;
  if (rule.hedge_share) out["hedge_share"] = *rule.hedge_share;
  if (!rule.unknown_fields.empty()) {
    const boost::json::value rest = boost::json::parse(rule.unknown_fields);
    for (const auto& member : rest.as_object())
      out[member.key()] = member.value();
  }
  return out;
}

boost::json::object WritePool(const PoolSpec& pool) {
  boost::json::object out;
  out["name"] = pool.name.value();
  if (!pool.version.empty()) out["version"] = pool.version.value();
  if (pool.rollout) out["rollout"] = WriteRollout(*pool.rollout);
  out["slots_per_target"] = pool.slots_per_target;
  out["connections_per_target"] = pool.connections_per_target;
  out["queue_per_target"] = pool.queue_per_target;
  out["max_ejected_percent"] = pool.max_ejected_percent;
  if (pool.cold_requests_per_second > 0)
    out["cold_requests_per_second"] = pool.cold_requests_per_second;
  return out;
}

}  // namespace camphor
