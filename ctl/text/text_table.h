#ifndef CAMPHORHILL_CTL_TEXT_TEXT_TABLE_H_
#define CAMPHORHILL_CTL_TEXT_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace camphor {

/// Lays out rows of text in columns for people.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Adds a row. @pre as many cells as the header has. Thread safety: one
  /// thread.
  void Add(std::vector<std::string> row);

  /// The table, each line ended; columns are as wide as their widest cell.
  /// Thread safety: one thread.
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_TEXT_TEXT_TABLE_H_
