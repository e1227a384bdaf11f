#ifndef CAMPHORHILL_STAND_INS_HTTP_HTTP_MESSAGE_H_
#define CAMPHORHILL_STAND_INS_HTTP_HTTP_MESSAGE_H_

#include <compare>
#include <map>
#include <string>

#include "core/base/time.h"

namespace camphor {

/// Header fields by lower-case name.
using HttpFields = std::map<std::string, std::string>;

/// A whole HTTP request. Immutable value type.
struct HttpRequest {
  std::string method{};  ///< upper case
  std::string target{};  ///< path with query, percent-encoded as sent
  HttpFields fields{};   ///< header fields
  std::string body{};    ///< whole body

  /// The field of the given lower-case name, or the fallback. Thread safety:
  /// value type.
  std::string Field(const std::string& name,
                    const std::string& fallback = "") const {
    const auto found = fields.find(name);
    return found == fields.end() ? fallback : found->second;
  }

  auto operator<=>(const HttpRequest&) const = default;
};

/// A whole HTTP answer. Immutable value type.
struct HttpResponse {
  int status = 200;      ///< status code
  HttpFields fields{};   ///< header fields
  std::string body{};    ///< whole body
  bool chunked = false;  ///< sent in chunks in place of a content length

  auto operator<=>(const HttpResponse&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_HTTP_MESSAGE_H_
