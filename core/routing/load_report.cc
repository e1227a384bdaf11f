#include "core/routing/load_report.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <system_error>

namespace camphor {
namespace {

// A report beyond these values is not a plausible measurement.
constexpr std::uint64_t kMaxRequests = 1'000'000;
constexpr std::uint64_t kMaxServiceUs = 3'600'000'000;

}  // namespace

std::string LoadReport::ToString() const {
  return fmt::format("{} {} {} {}", running, waiting, service.count(),
                     class_service.count());
}

std::optional<LoadReport> LoadReport::Parse(std::string_view text) {
  std::array<std::uint64_t, 4> numbers{};
  for (std::size_t index = 0; index < numbers.size(); ++index) {
    if (index > 0) {
      if (text.empty() || text.front() != ' ') return std::nullopt;
      text.remove_prefix(1);
    }
    const auto [end, error] = std::from_chars(
        text.data(), text.data() + text.size(), numbers.at(index));
    if (error != std::errc()) return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  }
  const auto [running, waiting, service, class_service] = numbers;
  if (!text.empty() || running > kMaxRequests || waiting > kMaxRequests ||
      service == 0 || service > kMaxServiceUs || class_service > kMaxServiceUs)
    return std::nullopt;
  return LoadReport{
      .running = static_cast<std::uint32_t>(running),
      .waiting = static_cast<std::uint32_t>(waiting),
      .service = Microseconds(static_cast<std::int64_t>(service)),
      .class_service = Microseconds(static_cast<std::int64_t>(class_service))};
}

}  // namespace camphor
