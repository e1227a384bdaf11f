#include "stand_ins/target/target_faults.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/json_fields.h"

namespace camphor {
namespace {

constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kMaxMs = 3'600'000;
constexpr std::int64_t kMaxInFlight = 100'000;

TargetFault ReadFault(JsonFields& fields) {
  TargetFault fault;
  fault.prefix = fields.String("prefix", fault.prefix);
  fault.error_ppm = static_cast<std::uint32_t>(
      fields.Integer("error_ppm", 0, kMillion, fault.error_ppm));
  fault.delay =
      Milliseconds(fields.Integer("delay_ms", 0, kMaxMs, fault.delay.count()));
  fault.above_in_flight = static_cast<std::uint32_t>(fields.Integer(
      "above_in_flight", 0, kMaxInFlight, fault.above_in_flight));
  fault.after =
      Milliseconds(fields.Integer("after_ms", 0, kMaxMs, fault.after.count()));
  return fault;
}

}  // namespace

std::optional<TargetFaults> TargetFaults::Decode(std::string_view text,
                                                 std::string& reason) {
  const auto document = ParseJsonWithComments(text, reason);
  if (!document) return std::nullopt;
  if (!document->is_object()) {
    reason = "the body must be a JSON object";
    return std::nullopt;
  }
  TargetFaults faults;
  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  fields.Objects("faults", [&](JsonFields& row) {
    faults.faults.push_back(ReadFault(row));
  });
  faults.healthy = fields.Boolean("healthy", faults.healthy);
  fields.Finish();
  if (errors.empty()) return faults;
  reason = errors.front().field + " " + errors.front().message;
  return std::nullopt;
}

TargetFault TargetFaults::Match(std::string_view path, std::uint32_t in_flight,
                                Milliseconds since_set) const {
  TargetFault sum;
  for (const TargetFault& fault : faults) {
    if (!path.starts_with(fault.prefix) || since_set < fault.after ||
        in_flight <= fault.above_in_flight) {
      continue;
    }
    sum.error_ppm = std::max(sum.error_ppm, fault.error_ppm);
    sum.delay += fault.delay;
  }
  return sum;
}

}  // namespace camphor
