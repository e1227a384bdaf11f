#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_CODEC_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_error.h"
#include "core/config/config_snapshot.h"
#include "core/config/table_rows.h"

namespace camphor {

/// Encodes and decodes configuration snapshots as JSON, and validates them.
///
/// A document has the form {"routes": [...], "pools": [...], "limits": {...}},
/// where "limits", "teams" and "evacuated_domains" are optional, and may
/// contain comments. The encoding is canonical: equal tables have equal bytes
/// and therefore equal digests.
///
/// If a call returns std::nullopt, last_reason() has the first error and
/// errors() all of them, so that an operator can fix them at once.
///
/// Not thread-safe, except for the static methods.
class ConfigCodec {
 public:
  /// Parses and validates a document, and assigns `version` to the result.
  /// Errors: invalid syntax, unknown or invalid fields, duplicate names,
  /// references to undefined pools.
  std::optional<ConfigSnapshot> Decode(std::string_view text,
                                       ConfigVersion version);

  /// Decodes a document that another host has accepted and checks that its
  /// canonical encoding has the digest of `head`. Unknown fields of routes are
  /// kept, so that a host accepts and passes on tables of a later version.
  /// Errors: as Decode(), and digest mismatch.
  std::optional<ConfigSnapshot> DecodeVerified(std::string_view text,
                                               const ConfigHead& head);

  /// Validates and sorts tables that were not read by Decode(), and assigns
  /// `version` to the result. Errors: duplicate names, references to undefined
  /// pools.
  std::optional<ConfigSnapshot> BuildSnapshot(ConfigSnapshot tables,
                                              ConfigVersion version);

  /// As BuildSnapshot(), and checks that the result has the digest of `head`.
  /// Errors: as BuildSnapshot(), and digest mismatch.
  std::optional<ConfigSnapshot> BuildVerifiedSnapshot(ConfigSnapshot tables,
                                                      const ConfigHead& head);

  /// Returns the canonical encoding, which does not include the version.
  /// Thread-safe.
  static std::string Encode(const ConfigSnapshot& snapshot);

  /// First error of the last call that returned std::nullopt.
  const ConfigError& last_reason() const { return last_reason_; }

  /// All errors of the last call.
  const std::vector<ConfigError>& errors() const { return errors_; }

  /// Returns the digest of the canonical encoding. Thread-safe.
  static Digest ComputeDigest(const ConfigSnapshot& snapshot);

 private:
  std::optional<ConfigSnapshot> Read(std::string_view text,
                                     ConfigVersion version,
                                     UnknownFields unknown);
  std::optional<ConfigSnapshot> Fail();
  std::optional<ConfigSnapshot> Verify(std::optional<ConfigSnapshot> snapshot,
                                       const ConfigHead& head);

  ConfigError last_reason_;
  std::vector<ConfigError> errors_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_CODEC_H_
