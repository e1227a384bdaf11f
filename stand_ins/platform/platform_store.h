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

  /// Rows whose key has the prefix, in key order. Thread safety: one thread.
  std::vector<TableRow> Scan(const std::string& table,
                             const std::string& prefix) const;

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
  std::map<std::string, std::string> objects_;
  std::uint64_t last_revision_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_PLATFORM_PLATFORM_STORE_H_
