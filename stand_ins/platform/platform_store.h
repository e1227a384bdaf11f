#ifndef CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STORE_H_
#define CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/platform_client.h"

namespace camphor {

/// In-memory tables and objects of the platform stand-in.
///
/// Not thread-safe: transactions are atomic because one thread owns the store.
class PlatformStore {
 public:
  /// Returns the row, or std::nullopt if absent. Must be called from one
  /// thread.
  std::optional<TableRow> Read(const std::string& table,
                               const std::string& key) const;

  /// Returns at most `limit` rows of a table with keys not less than `from`, in
  /// key order. Sets `more` if further rows follow. Must be called from one
  /// thread.
  std::vector<TableRow> Page(const std::string& table, const std::string& from,
                             std::size_t limit, bool& more) const;

  /// Returns the rows of a table that changed after the revision, in the order
  /// of their last change, or std::nullopt if these changes are no longer
  /// retained. Must be called from one thread.
  std::optional<std::vector<TableRow>> Changes(const std::string& table,
                                               std::uint64_t after) const;

  /// Discards the change history. Must be called from one thread.
  void DropHistory();

  /// Latest revision of any row. Must be called from one thread.
  std::uint64_t revision() const { return last_revision_; }

  /// Applies all writes if all conditions hold, otherwise none. Returns the
  /// current state of the rows whose condition failed (revision 0 if absent).
  /// Must be called from one thread.
  std::vector<TableRow> Transact(const TableTransaction& transaction);

  /// Must be called from one thread.
  void PutObject(const std::string& key, std::string bytes);

  /// Returns the object, or std::nullopt if absent. Must be called from one
  /// thread.
  std::optional<std::string> GetObject(const std::string& key) const;

 private:
  using RowKey = std::pair<std::string, std::string>;

  std::map<RowKey, TableRow> rows_;
  std::map<RowKey, TableRow> changes_;  ///< last change of each row
  std::uint64_t dropped_revision_ = 0;  ///< changes up to it are discarded
  std::map<std::string, std::string> objects_;
  std::uint64_t last_revision_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STORE_H_
