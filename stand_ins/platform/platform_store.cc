#include "stand_ins/platform/platform_store.h"

#include <algorithm>

namespace camphor {

std::optional<TableRow> PlatformStore::Read(const std::string& table,
                                            const std::string& key) const {
  const auto found = rows_.find({table, key});
  if (found == rows_.end()) return std::nullopt;
  return found->second;
}

std::vector<TableRow> PlatformStore::Page(const std::string& table,
                                          const std::string& from,
                                          std::size_t limit, bool& more) const {
  std::vector<TableRow> rows;
  auto row = rows_.lower_bound({table, from});
  const auto in_table = [&] {
    return row != rows_.end() && row->first.first == table;
  };
  for (; in_table() && rows.size() < limit; ++row) rows.push_back(row->second);
  more = in_table();
  return rows;
}

std::optional<std::vector<TableRow>> PlatformStore::Changes(
    const std::string& table, std::uint64_t after) const {
  if (after < dropped_revision_) return std::nullopt;
  std::vector<TableRow> rows;
  for (const auto& [key, row] : changes_) {
    if (key.first == table && row.revision > after) rows.push_back(row);
  }
  std::ranges::sort(rows, {}, &TableRow::revision);
  return rows;
}

void PlatformStore::DropHistory() {
  dropped_revision_ = last_revision_;
  changes_.clear();
}

std::vector<TableRow> PlatformStore::Transact(
    const TableTransaction& transaction) {
  std::vector<TableRow> failed_rows;
  for (const RowCondition& condition : transaction.conditions) {
    const TableRow row =
        Read(condition.table, condition.key)
            .value_or(TableRow{.table = condition.table, .key = condition.key});
    if (row.revision != condition.revision) failed_rows.push_back(row);
  }
  if (!failed_rows.empty()) return failed_rows;

  // All writes of the transaction share one revision, which is never reused.
  ++last_revision_;
  for (const RowWrite& write : transaction.writes) {
    const RowKey key{write.table, write.key};
    if (write.value) {
      rows_[key] = {.table = write.table,
                    .key = write.key,
                    .value = *write.value,
                    .revision = last_revision_};
    } else {
      rows_.erase(key);
    }
    changes_[key] = write.value ? rows_.at(key)
                                : TableRow{.table = write.table,
                                           .key = write.key,
                                           .revision = last_revision_,
                                           .removed = true};
  }
  return {};
}

void PlatformStore::PutObject(const std::string& key, std::string bytes) {
  objects_[key] = std::move(bytes);
}

std::optional<std::string> PlatformStore::GetObject(
    const std::string& key) const {
  const auto found = objects_.find(key);
  if (found == objects_.end()) return std::nullopt;
  return found->second;
}

}  // namespace camphor
