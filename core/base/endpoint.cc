#include "core/base/endpoint.h"

#include <fmt/format.h>

#include <charconv>

namespace camphor {

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size())
    return std::nullopt;
  return Endpoint{.address = std::string(text.substr(0, colon)), .port = port};
}

std::string Endpoint::ToString() const {
  return fmt::format("{}:{}", address, port);
}

}  // namespace camphor
