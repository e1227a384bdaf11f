#ifndef CAMPHORHILL_CORE_BASE_ENDPOINT_H_
#define CAMPHORHILL_CORE_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphor {

/// IP address and port. Immutable value type.
struct Endpoint {
  std::string address;     ///< numeric IP address, never a host name
  std::uint16_t port = 0;  ///< port number; 0: unset

  /// Parses "address:port". Returns std::nullopt if the text is malformed or
  /// the port is out of range. Thread-safe.
  static std::optional<Endpoint> Parse(std::string_view text);

  /// Returns the text form that Parse accepts.
  std::string ToString() const;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_ENDPOINT_H_
