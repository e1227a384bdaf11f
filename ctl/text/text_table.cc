#include "ctl/text/text_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace camphor {

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  rows_.push_back(std::move(row));
}

std::string TextTable::ToText() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t column = 0; column < widths.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < widths.size(); ++column) {
      line += fmt::format("{:<{}}  ", row[column], widths[column]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace camphor
