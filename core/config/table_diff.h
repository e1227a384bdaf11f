#ifndef CAMPHORHILL_CORE_CONFIG_TABLE_DIFF_H_
#define CAMPHORHILL_CORE_CONFIG_TABLE_DIFF_H_

#include <compare>
#include <string>
#include <vector>

#include "core/config/config_snapshot.h"

namespace camphor {

/// One field of a row that has another value. Immutable value type.
struct FieldChange {
  std::string field;   ///< name of the field, for example "slots_per_target"
  std::string before;  ///< JSON text of the old value; empty when not there
  std::string after;   ///< JSON text of the new value; empty when not there

  auto operator<=>(const FieldChange&) const = default;
};

/// One row of a table that was added, removed or changed. Immutable value type.
struct RowChange {
  enum class Kind { kAdded, kRemoved, kChanged };

  std::string table;                  ///< "routes" or "pools"
  std::string name;                   ///< name of the row
  Kind kind = Kind::kChanged;         ///< what happened to it
  std::vector<FieldChange> fields{};  ///< what differs; all fields of an added
                                      ///< or removed row

  auto operator<=>(const RowChange&) const = default;
};

/// What differs between two snapshots, for operators. Immutable value type.
struct TableDiff {
  std::vector<RowChange> rows{};  ///< routes first, each table sorted by name

  /// Compares the tables of two snapshots; versions do not count. Thread
  /// safety: any thread.
  static TableDiff Between(const ConfigSnapshot& before,
                           const ConfigSnapshot& after);

  /// One line a row and field, as "+", "-" or "~"; empty when nothing differs.
  /// Thread safety: any thread.
  std::string ToText() const;

  /// The rows as JSON text, a list of {"table","name","kind","fields"}. Thread
  /// safety: any thread.
  std::string ToJson() const;

  auto operator<=>(const TableDiff&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_TABLE_DIFF_H_
