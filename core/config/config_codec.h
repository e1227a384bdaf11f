#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_CODEC_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_error.h"
#include "core/config/config_snapshot.h"

namespace camphor {

/// Reads and writes the two tables as JSON, and checks them whole.
///
/// A document is {"routes": [...], "pools": [...], "limits": {...}}, the last
/// of which may be left out, and may hold comments. The
/// encoding is canonical: equal tables give equal bytes, and so equal digests.
/// Each call that returns nothing leaves the reason in last_reason(); errors()
/// then has every fault found, so that an operator can mend all of them at
/// once.
class ConfigCodec {
 public:
  /// Parses and validates a document. The version of the result is the one
  /// given. Thread safety: one thread per codec. Errors: syntax, fields,
  /// duplicates, missing pools.
  std::optional<ConfigSnapshot> Decode(std::string_view text,
                                       ConfigVersion version);

  /// Decodes and checks that the canonical encoding has the digest of the head.
  /// Thread safety: one thread per codec. Errors: those of Decode, and a digest
  /// mismatch.
  std::optional<ConfigSnapshot> DecodeVerified(std::string_view text,
                                               const ConfigHead& head);

  /// Checks rows that were read elsewhere, puts them in order and gives them a
  /// head of the version. Thread safety: one thread per codec. Errors:
  /// duplicates, missing pools.
  std::optional<ConfigSnapshot> BuildSnapshot(ConfigSnapshot tables,
                                              ConfigVersion version);

  /// The same, and checks that the result has the digest of the head. Thread
  /// safety: one thread per codec. Errors: those of BuildSnapshot, and a digest
  /// mismatch.
  std::optional<ConfigSnapshot> FinishVerified(ConfigSnapshot tables,
                                               const ConfigHead& head);

  /// Writes the canonical encoding, without the version. Thread safety: any
  /// thread.
  static std::string Encode(const ConfigSnapshot& snapshot);

  /// The first fault of the last call that returned nothing.
  const ConfigError& last_reason() const { return last_reason_; }

  /// Every fault of the last call.
  const std::vector<ConfigError>& errors() const { return errors_; }

  /// Digest of the canonical encoding. Thread safety: any thread.
  static Digest DigestOf(const ConfigSnapshot& snapshot);

 private:
  std::optional<ConfigSnapshot> Fail();
  std::optional<ConfigSnapshot> Verify(std::optional<ConfigSnapshot> snapshot,
                                       const ConfigHead& head);

  ConfigError last_reason_;
  std::vector<ConfigError> errors_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_CODEC_H_
