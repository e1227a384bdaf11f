#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_ERROR_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_ERROR_H_

#include <compare>
#include <string>

namespace camphor {

/// Why a table, a snapshot or a delta was refused. Immutable value type.
struct ConfigError {
  enum class Kind {
    kNone,    ///< nothing failed yet
    kSyntax,  ///< the text is not JSON
    kField,  ///< a field is unknown, missing, of the wrong type or out of range
    kDuplicate,       ///< a name stands twice
    kMissingPool,     ///< a route names a pool that is not there
    kDigestMismatch,  ///< the bytes are not those that the digest names
    kMissingBase,     ///< a delta's base is not at hand
  };

  Kind kind = Kind::kNone;  ///< what sort of fault it is
  std::string field{};      ///< path of the field at fault, for example
                            ///< "pools[2].slots_per_target"
  std::string message{};    ///< one sentence for the operator

  /// "field: message", or the message alone. Thread safety: value type.
  std::string ToString() const {
    return field.empty() ? message : field + ": " + message;
  }

  auto operator<=>(const ConfigError&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_ERROR_H_
