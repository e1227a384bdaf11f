#ifndef CAMPHORHILL_CORE_BASE_ENDPOINT_H_
#define CAMPHORHILL_CORE_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphor {

/// An IP number with a port. Immutable value type.
struct Endpoint {
  std::string address;     ///< IP number in text form, never a host name
  std::uint16_t port = 0;  ///< TCP port; 0 means not set

  /// Reads "address:port". Returns nothing when the text is not of that form or
  /// the port is out of range. Thread safety: any thread.
  static std::optional<Endpoint> Parse(std::string_view text);

  /// The form that Parse reads. Thread safety: value type.
  std::string ToString() const;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_ENDPOINT_H_
