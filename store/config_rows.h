#ifndef CAMPHORHILL_STORE_CONFIG_ROWS_H_
#define CAMPHORHILL_STORE_CONFIG_ROWS_H_

#include <optional>
#include <string>

#include "core/config/config_head.h"

namespace camphor {

/// Names of the platform's tables and keys that hold accepted configurations.
inline constexpr const char* kConfigTable = "config";
inline constexpr const char* kHeadKey = "head";
inline constexpr const char* kOperationsTable = "config_ops";
inline constexpr const char* kVersionsTable = "config_versions";

/// Key of the object that holds a snapshot. Thread-safe.
std::string ObjectKey(const Digest& digest);

/// Key of a version in kVersionsTable; zero-padded, so that keys sort by
/// number. Thread-safe.
std::string VersionKey(ConfigVersion version);

/// Encodes a head as the value of a row. Thread-safe.
std::string EncodeHead(const ConfigHead& head);

/// Decodes a value written by EncodeHead; std::nullopt if it is malformed.
/// Thread-safe.
std::optional<ConfigHead> DecodeHead(const std::string& text);

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_CONFIG_ROWS_H_
