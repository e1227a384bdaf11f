#include "core/membership/target_announcement.h"

#include <boost/json.hpp>
#include <string>
#include <utility>

namespace camphor {
namespace {

constexpr std::int64_t kMaxSlots = 10000;
constexpr std::int64_t kMaxWarmingMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxUnixMs = 1LL << 53;
constexpr std::int64_t kMaxSequence = 1LL << 53;

std::optional<boost::json::value> ReadObject(std::string_view text,
                                             std::vector<FieldError>& errors) {
  std::string reason;
  std::optional<boost::json::value> document =
      ParseJsonWithComments(text, reason);
  if (document.has_value() && document->is_object()) return document;
  errors.push_back({.field = {},
                    .message = document.has_value()
                                   ? "the body must be a JSON object"
                                   : reason});
  return std::nullopt;
}

Endpoint ReadAddress(JsonFields& fields) {
  const std::string address = fields.String("address");
  const std::optional<Endpoint> endpoint = Endpoint::Parse(address);
  if (endpoint.has_value() && endpoint->port != 0) return *endpoint;
  if (!address.empty()) {
    fields.Report("address",
                  "must be an IP address with a port, such as 127.0.0.1:8080");
  }
  return {};
}

}  // namespace

std::optional<TargetAnnouncement> TargetAnnouncement::Parse(
    std::string_view text, std::vector<FieldError>& errors) {
  const std::optional<boost::json::value> document = ReadObject(text, errors);
  if (!document.has_value()) return std::nullopt;
  TargetAnnouncement announcement;
  JsonFields fields(document->get_object(), "", errors);
  announcement.id = TargetId(fields.String("id"));
  announcement.pool = PoolName(fields.String("pool"));
  announcement.version = TargetVersion(fields.String("version"));
  announcement.address = ReadAddress(fields);
  announcement.slots = static_cast<std::uint32_t>(
      fields.Integer("slots", 1, kMaxSlots, announcement.slots));
  announcement.warm = fields.Boolean("warm", announcement.warm);
  fields.Finish();
  if (!errors.empty()) return std::nullopt;
  return announcement;
}

std::optional<TargetAnnouncement> TargetAnnouncement::ParseReport(
    TargetId id, std::string_view text, std::vector<FieldError>& errors) {
  const std::optional<boost::json::value> document = ReadObject(text, errors);
  if (!document.has_value()) return std::nullopt;
  TargetAnnouncement announcement{.id = std::move(id)};
  JsonFields fields(document->get_object(), "", errors);
  announcement.pool = PoolName(fields.String("pool"));
  announcement.version = TargetVersion(fields.String("version"));
  announcement.address = ReadAddress(fields);
  announcement.slots =
      static_cast<std::uint32_t>(fields.Integer("slots", 1, kMaxSlots));
  announcement.warm = fields.Integer("warming_ms", 0, kMaxWarmingMs, 0) == 0;
  const std::string state = fields.String("state");
  announcement.leaving = state == "draining";
  if (state != "ready" && state != "draining" && !state.empty())
    fields.Report("state", "must be ready or draining");
  announcement.started_ms =
      static_cast<std::uint64_t>(fields.Integer("born", 0, kMaxUnixMs, 0));
  announcement.sequence =
      static_cast<std::uint64_t>(fields.Integer("sequence", 0, kMaxSequence));
  if (!errors.empty()) return std::nullopt;
  return announcement;
}

}  // namespace camphor
