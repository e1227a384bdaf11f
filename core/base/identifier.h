#ifndef CAMPHORHILL_CORE_BASE_IDENTIFIER_H_
#define CAMPHORHILL_CORE_BASE_IDENTIFIER_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace camphor {

/// Strongly typed name: names of different kinds are distinct types and cannot
/// be confused. Use the aliases below, for example `PoolName("billing")`.
/// Immutable value type.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;

  explicit Identifier(std::string value) : value_(std::move(value)) {}

  /// Returns the text; empty if default-constructed.
  const std::string& value() const { return value_; }

  bool empty() const { return value_.empty(); }

  auto operator<=>(const Identifier&) const = default;

 private:
  std::string value_;
};

using HostId = Identifier<struct HostIdTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using TargetId = Identifier<struct TargetIdTag>;
using TargetVersion = Identifier<struct TargetVersionTag>;
using PoolName = Identifier<struct PoolNameTag>;
using RouteName = Identifier<struct RouteNameTag>;
using TeamName = Identifier<struct TeamNameTag>;
using RolloutId = Identifier<struct RolloutIdTag>;

}  // namespace camphor

template <typename Tag>
struct std::hash<camphor::Identifier<Tag>> {
  std::size_t operator()(const camphor::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // CAMPHORHILL_CORE_BASE_IDENTIFIER_H_
