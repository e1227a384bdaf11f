#ifndef CAMPHORHILL_STAND_INS_HTTP_HTTP_MESSAGE_H_
#define CAMPHORHILL_STAND_INS_HTTP_HTTP_MESSAGE_H_

#include <compare>
#include <map>
#include <string>

#include "core/base/time.h"

namespace camphor {

/// Header fields by lower-case name.
using HttpFields = std::map<std::string, std::string>;

/// A complete HTTP request. Immutable value type.
struct HttpRequest {
  std::string method{};  ///< upper case
  std::string target{};  ///< path with query, percent-encoded as sent
  HttpFields fields{};   ///< header fields
  std::string body{};    ///< complete body

  /// Returns the value of the field with the given lower-case name, or the
  /// fallback. Thread-safe.
  std::string Field(const std::string& name,
                    const std::string& fallback = "") const {
    const auto found = fields.find(name);
    return found == fields.end() ? fallback : found->second;
  }

  auto operator<=>(const HttpRequest&) const = default;
};

/// A complete HTTP response. Immutable value type.
struct HttpResponse {
  int status = 200;      ///< status code
  HttpFields fields{};   ///< header fields
  std::string body{};    ///< complete body
  bool chunked = false;  ///< uses chunked transfer encoding

  auto operator<=>(const HttpResponse&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_HTTP_HTTP_MESSAGE_H_
