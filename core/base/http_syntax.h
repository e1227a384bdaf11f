#ifndef CAMPHORHILL_CORE_BASE_HTTP_SYNTAX_H_
#define CAMPHORHILL_CORE_BASE_HTTP_SYNTAX_H_

#include <string_view>

namespace camphor {

/// Returns true for a token of HTTP (RFC 9110, 5.6.2), such as a method or the
/// name of a header. Thread-safe.
bool IsHttpToken(std::string_view text);

/// Returns true for the value of a header: no control characters besides tabs.
/// Thread-safe.
bool IsHttpFieldValue(std::string_view text);

/// Returns true for text without spaces and control characters. Thread-safe.
bool IsVisibleText(std::string_view text);

/// Returns true for the name of the Host header, in any case. Thread-safe.
bool IsHostFieldName(std::string_view name);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_HTTP_SYNTAX_H_
