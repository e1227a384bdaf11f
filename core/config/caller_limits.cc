#include "core/config/caller_limits.h"

#include <boost/json.hpp>

namespace camphor {
namespace {

constexpr std::int64_t kMaxHeaderBytes = 1LL << 20;
constexpr std::int64_t kMaxBodyBytes = 1LL << 40;
constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

}  // namespace

CallerLimits CallerLimits::Read(JsonFields& fields) {
  const CallerLimits defaults;
  CallerLimits limits;
  limits.header_bytes = static_cast<std::uint32_t>(fields.Integer(
      "header_bytes", 256, kMaxHeaderBytes, defaults.header_bytes));
  limits.body_bytes = static_cast<std::uint64_t>(
      fields.Integer("body_bytes", 0, kMaxBodyBytes,
                     static_cast<std::int64_t>(defaults.body_bytes)));
  limits.header_timeout = Milliseconds(fields.Integer(
      "header_timeout_ms", 1, kMaxTimeoutMs, defaults.header_timeout.count()));
  limits.idle_timeout = Milliseconds(fields.Integer(
      "idle_timeout_ms", 1, kMaxTimeoutMs, defaults.idle_timeout.count()));
  return limits;
}

boost::json::object CallerLimits::Write() const {
  return {{"header_bytes", header_bytes},
          {"body_bytes", body_bytes},
          {"header_timeout_ms", header_timeout.count()},
          {"idle_timeout_ms", idle_timeout.count()}};
}

}  // namespace camphor
