#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_ERROR_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_ERROR_H_

#include <compare>
#include <string>

namespace camphor {

/// Validation error of a table, a snapshot or a delta. Immutable value type.
struct ConfigError {
  enum class Kind {
    kNone,    ///< no error
    kSyntax,  ///< the text is not valid JSON
    kField,  ///< a field is unknown, missing, of the wrong type or out of range
    kDuplicate,       ///< two rows of a table have the same name
    kMissingPool,     ///< a route refers to an undefined pool
    kDigestMismatch,  ///< the content does not match its digest
    kBaseMismatch,    ///< the base of a delta is not the given snapshot
  };

  Kind kind = Kind::kNone;  ///< category of the error
  std::string field{};      ///< path of the invalid field, for example
                            ///< "pools[2].slots_per_target"
  std::string message{};    ///< description for the operator

  /// Returns "field: message", or only the message if there is no field.
  /// Thread-safe.
  std::string ToString() const {
    return field.empty() ? message : field + ": " + message;
  }

  auto operator<=>(const ConfigError&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_ERROR_H_
