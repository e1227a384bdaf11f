#ifndef CAMPHORHILL_STORE_CONFIG_ROWS_H_
#define CAMPHORHILL_STORE_CONFIG_ROWS_H_

#include <optional>
#include <string>

#include "core/config/config_head.h"

namespace camphor {

/// Tables and keys under which accepted configurations stand at the platform.
inline constexpr const char* kConfigTable = "config";
inline constexpr const char* kHeadKey = "head";
inline constexpr const char* kOperationsTable = "config_ops";
inline constexpr const char* kVersionsTable = "config_versions";

/// Key of the object that holds a snapshot. Thread safety: any thread.
std::string ObjectKey(const Digest& digest);

/// Key of a version in the table of versions; sorts by number. Thread safety:
/// any thread.
std::string VersionKey(ConfigVersion version);

/// Value of a row that names a head. Thread safety: any thread.
std::string EncodeHead(const ConfigHead& head);

/// Reads what EncodeHead wrote; nothing when it is malformed. Thread safety:
/// any thread.
std::optional<ConfigHead> DecodeHead(const std::string& text);

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_CONFIG_ROWS_H_
