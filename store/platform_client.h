#ifndef CAMPHORHILL_STORE_PLATFORM_CLIENT_H_
#define CAMPHORHILL_STORE_PLATFORM_CLIENT_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// One row of the platform's table service. Immutable value type.
struct TableRow {
  std::string table;  ///< table that contains the row
  std::string key;    ///< unique within the table
  std::string value;  ///< opaque bytes
  std::uint64_t revision =
      0;  ///< increases with each write of the row; 0: the row does not exist
  bool removed = false;  ///< in a list of changes: the row was deleted

  auto operator<=>(const TableRow&) const = default;
};

/// Condition of a transaction on the revision of a row. Immutable value type.
struct RowCondition {
  std::string table;           ///< table of the row
  std::string key;             ///< key of the row
  std::uint64_t revision = 0;  ///< required revision; 0: the row must not exist

  auto operator<=>(const RowCondition&) const = default;
};

/// One write of a transaction. Immutable value type.
struct RowWrite {
  std::string table;  ///< table of the row
  std::string key;    ///< key of the row
  std::optional<std::string>
      value;  ///< new value; std::nullopt deletes the row

  auto operator<=>(const RowWrite&) const = default;
};

/// Writes that are applied atomically if all conditions hold. Immutable value
/// type.
struct TableTransaction {
  std::vector<RowCondition> conditions{};  ///< all must hold
  std::vector<RowWrite> writes{};          ///< applied all or none

  auto operator<=>(const TableTransaction&) const = default;
};

/// Outcome of a platform call.
enum class PlatformStatus : std::uint8_t {
  kOk,           ///< write applied, or data read
  kNotFound,     ///< no such row or object
  kConflict,     ///< a condition did not hold; nothing was written
  kUnavailable,  ///< not applied: not sent, or refused by the platform
  kCompacted,    ///< the requested changes are no longer kept; scan the table
  kUnknown,      ///< no response; a write may or may not have been applied
};

/// Response to a platform call. Immutable value type.
struct PlatformResponse {
  PlatformStatus status = PlatformStatus::kUnknown;  ///< outcome of the call
  std::vector<TableRow>
      rows{};         ///< rows read, or current rows of failed conditions
  bool more = false;  ///< whether the table has rows after these
  std::uint64_t revision = 0;  ///< latest revision of any row of the service
  std::string object{};        ///< bytes of the object
  std::string reason{};        ///< error message, unless the status is kOk

  auto operator<=>(const PlatformResponse&) const = default;
};

using PlatformCallback = std::function<void(const PlatformResponse&)>;

/// Asynchronous client of the platform's table service and object store.
///
/// Each callback runs exactly once, on the implementation's own thread unless
/// said otherwise, also when the client is stopped.
class PlatformClient {
 public:
  virtual ~PlatformClient() = default;

  /// Reads one row. Errors: kNotFound, kUnavailable, kUnknown.
  /// Thread-safe.
  virtual void Read(std::string table, std::string key,
                    PlatformCallback done) = 0;

  /// Reads all rows of a table whose key starts with the prefix, in key order.
  /// Thread-safe.
  virtual void Scan(std::string table, std::string prefix,
                    PlatformCallback done) = 0;

  /// Reads at most `limit` rows of a table, in key order, beginning with the
  /// first key that is not less than `from`. Thread-safe.
  virtual void Page(std::string table, std::string from, std::size_t limit,
                    PlatformCallback done) = 0;

  /// Long poll: responds with the rows of a table that changed after the given
  /// revision as soon as there are any, or with none after `wait`. Errors:
  /// kCompacted, kUnavailable, kUnknown. Thread-safe.
  virtual void Watch(std::string table, std::uint64_t after, Milliseconds wait,
                     PlatformCallback done) = 0;

  /// Runs a transaction. After kUnknown, the caller has to read the rows to
  /// learn whether it was applied. Errors: kConflict, kUnavailable, kUnknown.
  /// Thread-safe.
  virtual void Transact(TableTransaction transaction,
                        PlatformCallback done) = 0;

  /// Stores an object under its key. Idempotent for the same bytes.
  /// Thread-safe.
  virtual void PutObject(std::string key, std::string bytes,
                         PlatformCallback done) = 0;

  /// Reads an object. Thread-safe.
  virtual void GetObject(std::string key, PlatformCallback done) = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_PLATFORM_CLIENT_H_
