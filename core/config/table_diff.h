#ifndef CAMPHORHILL_CORE_CONFIG_TABLE_DIFF_H_
#define CAMPHORHILL_CORE_CONFIG_TABLE_DIFF_H_

#include <compare>
#include <string>
#include <vector>

#include "core/config/config_snapshot.h"

namespace camphor {

/// One field whose value differs between two rows. Immutable value type.
struct FieldChange {
  std::string field;   ///< name of the field, for example "slots_per_target"
  std::string before;  ///< old value as JSON text; empty if absent
  std::string after;   ///< new value as JSON text; empty if absent

  auto operator<=>(const FieldChange&) const = default;
};

/// One row of a table that was added, removed or changed. Immutable value type.
struct RowChange {
  enum class Kind { kAdded, kRemoved, kChanged };

  std::string table;                  ///< "routes" or "pools"
  std::string name;                   ///< name of the row
  Kind kind = Kind::kChanged;         ///< type of the change
  std::vector<FieldChange> fields{};  ///< changed fields; all fields if the row
                                      ///< was added or removed

  auto operator<=>(const RowChange&) const = default;
};

/// Differences between two snapshots, shown to operators. Immutable value type.
struct TableDiff {
  std::vector<RowChange> rows{};  ///< routes first, each table sorted by name

  /// Compares the routes and pools of two snapshots and ignores their versions.
  /// Thread-safe.
  static TableDiff Between(const ConfigSnapshot& before,
                           const ConfigSnapshot& after);

  /// Returns one line per row, marked "+", "-" or "~", and one per changed
  /// field. Empty if there are no differences. Thread-safe.
  std::string ToText() const;

  /// Returns the rows as a JSON list of {"table","name","kind","fields"}.
  /// Thread-safe.
  std::string ToJson() const;

  auto operator<=>(const TableDiff&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_TABLE_DIFF_H_
