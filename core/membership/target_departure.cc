#include "core/membership/target_departure.h"

#include <boost/json.hpp>
#include <utility>

#include "core/base/json_fields.h"

namespace camphor {
namespace {

constexpr std::int64_t kMaxUnixMs = 1LL << 53;

std::uint64_t ReadStartTime(JsonFields& fields, std::string_view key,
                            std::optional<std::int64_t> fallback) {
  return static_cast<std::uint64_t>(
      fields.Integer(key, 0, kMaxUnixMs, fallback));
}

}  // namespace

TargetDeparture TargetDeparture::Parse(TargetId id, std::string_view body) {
  TargetDeparture departure{.id = std::move(id)};
  std::string reason;
  const auto document = ParseJsonWithComments(body, reason);
  if (!document || !document->is_object()) return departure;
  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  departure.started_ms = ReadStartTime(fields, "born", 0);
  return departure;
}

std::string EncodeDepartures(const std::vector<TargetDeparture>& departures) {
  boost::json::array rows;
  for (const TargetDeparture& departure : departures) {
    rows.push_back(
        {{"id", departure.id.value()}, {"started_ms", departure.started_ms}});
  }
  return boost::json::serialize(
      boost::json::object{{"departures", std::move(rows)}});
}

std::optional<std::vector<TargetDeparture>> DecodeDepartures(
    std::string_view text) {
  std::string reason;
  const auto document = ParseJsonWithComments(text, reason);
  if (!document || !document->is_object()) return std::nullopt;
  std::vector<FieldError> errors;
  std::vector<TargetDeparture> departures;
  JsonFields fields(document->get_object(), "", errors);
  fields.Objects("departures", [&](JsonFields& row) {
    departures.push_back({.id = TargetId(row.String("id")),
                          .started_ms = ReadStartTime(row, "started_ms", {})});
  });
  if (!errors.empty()) return std::nullopt;
  return departures;
}

}  // namespace camphor
