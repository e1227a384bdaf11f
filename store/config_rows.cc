#include "store/config_rows.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <limits>
#include <vector>

#include "core/base/json_fields.h"

namespace camphor {

std::string ObjectKey(const Digest& digest) { return "config/" + digest.hex(); }

std::string VersionKey(ConfigVersion version) {
  return fmt::format("{:020}", version);
}

std::string EncodeHead(const ConfigHead& head) {
  return boost::json::serialize(boost::json::object{
      {"version", head.version}, {"digest", head.digest.hex()}});
}

std::optional<ConfigHead> DecodeHead(const std::string& text) {
  std::string reason;
  const auto document = ParseJsonWithComments(text, reason);
  if (!document || !document->is_object()) return std::nullopt;
  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  const std::int64_t version =
      fields.Integer("version", 1, std::numeric_limits<std::int64_t>::max());
  const std::string digest = fields.String("digest");
  if (!errors.empty()) return std::nullopt;
  return ConfigHead{.version = static_cast<ConfigVersion>(version),
                    .digest = Digest::FromHex(digest)};
}

}  // namespace camphor
