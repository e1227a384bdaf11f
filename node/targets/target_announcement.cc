#include "node/targets/target_announcement.h"

#include <boost/json.hpp>
#include <string>

namespace camphor {
namespace {

constexpr std::int64_t kMostSlots = 10000;

}  // namespace

std::optional<TargetAnnouncement> TargetAnnouncement::Parse(
    std::string_view text, std::vector<FieldError>& errors) {
  std::string reason;
  const std::optional<boost::json::value> document =
      ParseJsonWithComments(text, reason);
  if (!document.has_value() || !document->is_object()) {
    errors.push_back({.field = {},
                      .message = document.has_value()
                                     ? "the body must be an object"
                                     : reason});
    return std::nullopt;
  }

  TargetAnnouncement announcement;
  JsonFields fields(document->get_object(), "", errors);
  announcement.id = TargetId(fields.String("id"));
  announcement.pool = PoolName(fields.String("pool"));
  announcement.version = TargetVersion(fields.String("version"));
  const std::string address = fields.String("address");
  const std::optional<Endpoint> endpoint = Endpoint::Parse(address);
  if (endpoint.has_value() && endpoint->port != 0) {
    announcement.address = *endpoint;
  } else if (!address.empty()) {
    fields.Report("address",
                  "must be an IP number with a port, like 127.0.0.1:8080");
  }
  announcement.slots = static_cast<std::uint32_t>(
      fields.Integer("slots", 1, kMostSlots, announcement.slots));
  announcement.warm = fields.Boolean("warm", announcement.warm);
  fields.Finish();
  if (!errors.empty()) return std::nullopt;
  return announcement;
}

}  // namespace camphor
