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

/// Tables and objects of the platform stand-in, in memory.
///
/// Transactions are atomic since one thread owns the store.
class PlatformStore {
 public:
  /// The row, if it is there. Thread safety: one thread.
  std::optional<TableRow> Read(const std::string& table,
                               const std::string& key) const;

  /// At most `limit` rows of a table whose key is not below `from`, in key
  /// order; `more` says whether others follow. Thread safety: one thread.
  std::vector<TableRow> Page(const std::string& table, const std::string& from,
                             std::size_t limit, bool& more) const;

  /// Rows of a table that changed after the revision, in the order of their
  /// last changes. Returns nothing when these are no longer kept. Thread
  /// safety: one thread.
  std::optional<std::vector<TableRow>> Changes(const std::string& table,
                                               std::uint64_t after) const;

  /// Forgets the changes so far. Thread safety: one thread.
  void DropHistory();

  /// Newest revision of any row. Thread safety: one thread.
  std::uint64_t revision() const { return last_revision_; }

  /// Applies the writes if all conditions hold, else nothing. Returns the rows
  /// that broke a condition as they stand (revision 0 when not there). Thread
  /// safety: one thread.
  std::vector<TableRow> Transact(const TableTransaction& transaction);

  /// Stores an object. Thread safety: one thread.
  void PutObject(const std::string& key, std::string bytes);

  /// The object, if it is there. Thread safety: one thread.
  std::optional<std::string> GetObject(const std::string& key) const;

 private:
  using RowKey = std::pair<std::string, std::string>;

  std::map<RowKey, TableRow> rows_;
  std::map<RowKey, TableRow> changes_;  ///< last change of each row
  std::uint64_t forgotten_ = 0;         ///< changes up to it are no longer kept
  std::map<std::string, std::string> objects_;
  std::uint64_t last_revision_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STORE_H_
