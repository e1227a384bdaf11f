#ifndef CAMPHORHILL_CTL_TEXT_TEXT_TABLE_H_
#define CAMPHORHILL_CTL_TEXT_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace camphor {

/// Formats rows of text as a table with aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Adds a row. @pre `row` has as many cells as the header. Must be called
  /// from one thread.
  void Add(std::vector<std::string> row);

  /// Returns the table with a newline after each row. Each column is as wide as
  /// its widest cell. Must be called from one thread.
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_TEXT_TEXT_TABLE_H_
