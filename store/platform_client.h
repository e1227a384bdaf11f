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
  std::string table;  ///< table that it stands in
  std::string key;    ///< unique within the table
  std::string value;  ///< opaque to the service
  std::uint64_t revision =
      0;  ///< rises with each write of the row; 0 means the row is not there
  bool removed = false;  ///< in a list of changes: the row is gone

  auto operator<=>(const TableRow&) const = default;
};

/// A row's revision that a transaction depends on. Immutable value type.
struct RowCondition {
  std::string table;  ///< table of the row
  std::string key;    ///< key of the row
  std::uint64_t revision =
      0;  ///< revision that it must have; 0: it must not be there

  auto operator<=>(const RowCondition&) const = default;
};

/// One write of a transaction. Immutable value type.
struct RowWrite {
  std::string table;                 ///< table of the row
  std::string key;                   ///< key of the row
  std::optional<std::string> value;  ///< new value; nothing deletes the row

  auto operator<=>(const RowWrite&) const = default;
};

/// Writes that take effect together if all the conditions hold. Immutable value
/// type.
struct TableTransaction {
  std::vector<RowCondition> conditions{};  ///< all must hold
  std::vector<RowWrite> writes{};          ///< all or none take effect

  auto operator<=>(const TableTransaction&) const = default;
};

/// What is known of a platform call when it ends.
enum class PlatformStatus : std::uint8_t {
  kOk,           ///< took effect, or read
  kNotFound,     ///< no such row or object
  kConflict,     ///< a condition did not hold: nothing was written
  kUnavailable,  ///< refused before it took effect: nothing was written
  kCompacted,    ///< the changes asked for are no longer kept: read the rows
  kUnknown,      ///< no answer: a write may or may not have taken effect
};

/// The answer to a platform call. Immutable value type.
struct PlatformResponse {
  PlatformStatus status = PlatformStatus::kUnknown;  ///< what is known
  std::vector<TableRow> rows{};  ///< rows read, or those that broke a condition
  bool more = false;             ///< the table has further rows after these
  std::uint64_t revision = 0;    ///< newest revision of any row of the service
  std::string object{};          ///< the object's bytes
  std::string reason{};          ///< one sentence when the status is not kOk

  auto operator<=>(const PlatformResponse&) const = default;
};

using PlatformCallback = std::function<void(const PlatformResponse&)>;

/// Calls to the platform's table service and object store.
///
/// Callbacks run on the implementation's own thread, each exactly once, also at
/// Stop. Tests use a fake.
class PlatformClient {
 public:
  virtual ~PlatformClient() = default;

  /// Reads one row. Errors: kNotFound, kUnavailable, kUnknown. Thread safety:
  /// any thread.
  virtual void Read(std::string table, std::string key,
                    PlatformCallback done) = 0;

  /// Reads every row of a table whose key has the prefix, in key order. Thread
  /// safety: any thread.
  virtual void Scan(std::string table, std::string prefix,
                    PlatformCallback done) = 0;

  /// Reads at most `limit` rows of a table whose key is not below `from`, in
  /// key order. Thread safety: any thread.
  virtual void Page(std::string table, std::string from, std::size_t limit,
                    PlatformCallback done) = 0;

  /// Answers with the rows of a table that changed after the given revision, as
  /// soon as there is one, or with none after `wait`. Errors: kCompacted
  /// besides those of Read. Thread safety: any thread.
  virtual void Watch(std::string table, std::uint64_t after, Milliseconds wait,
                     PlatformCallback done) = 0;

  /// Runs a transaction. kUnknown must be settled by reading back. Thread
  /// safety: any thread.
  virtual void Transact(TableTransaction transaction,
                        PlatformCallback done) = 0;

  /// Stores an object under its key; storing the same bytes again does no harm.
  /// Thread safety: any thread.
  virtual void PutObject(std::string key, std::string bytes,
                         PlatformCallback done) = 0;

  /// Reads an object. Thread safety: any thread.
  virtual void GetObject(std::string key, PlatformCallback done) = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_PLATFORM_CLIENT_H_
