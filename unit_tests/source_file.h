#ifndef CAMPHORHILL_UNIT_TESTS_SOURCE_FILE_H_
#define CAMPHORHILL_UNIT_TESTS_SOURCE_FILE_H_

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace camphor {

/// Returns the contents of a file of the repository, empty if there is none.
inline std::string ReadSourceFile(const std::filesystem::path& path) {
  std::ifstream input(std::filesystem::path(CAMPHOR_SOURCE_DIR) / path);
  return {std::istreambuf_iterator<char>(input), {}};
}

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_SOURCE_FILE_H_
