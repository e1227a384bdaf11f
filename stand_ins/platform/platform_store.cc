#include "stand_ins/platform/platform_store.h"

namespace camphor {

std::optional<TableRow> PlatformStore::Read(const std::string& table,
                                            const std::string& key) const {
  const auto found = rows_.find({table, key});
  if (found == rows_.end()) return std::nullopt;
  return found->second;
}

std::vector<TableRow> PlatformStore::Scan(const std::string& table,
                                          const std::string& prefix) const {
  std::vector<TableRow> rows;
  for (auto row = rows_.lower_bound({table, prefix});
       row != rows_.end() && row->first.first == table &&
       row->first.second.starts_with(prefix);
       ++row) {
    rows.push_back(row->second);
  }
  return rows;
}

std::vector<TableRow> PlatformStore::Transact(
    const TableTransaction& transaction) {
  std::vector<TableRow> broken;
  for (const RowCondition& condition : transaction.conditions) {
    const TableRow row =
        Read(condition.table, condition.key)
            .value_or(TableRow{.table = condition.table, .key = condition.key});
    if (row.revision != condition.revision) broken.push_back(row);
  }
  if (!broken.empty()) return broken;

  // One revision for the whole transaction, never used again.
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
