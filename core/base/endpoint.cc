#include "core/base/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <utility>

namespace camphor {
namespace {

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> ignored{};
  return inet_pton(AF_INET, text.c_str(), ignored.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), ignored.data()) == 1;
}

}  // namespace

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size())
    return std::nullopt;
  std::string address(text.substr(0, colon));
  if (!IsIpAddress(address)) return std::nullopt;
  return Endpoint{.address = std::move(address), .port = port};
}

std::string Endpoint::ToString() const {
  return fmt::format("{}:{}", address, port);
}

}  // namespace camphor
