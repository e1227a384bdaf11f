#include "harness/temporary_folder.h"

#include <cstdlib>
#include <fstream>

namespace camphor {

TemporaryFolder::TemporaryFolder(const std::string& prefix) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / (prefix + "XXXXXX")).string();
  // If this fails, the empty path makes every later write fail, which users
  // check.
  if (mkdtemp(pattern.data()) != nullptr) path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  if (!kept_ && !path_.empty()) std::filesystem::remove_all(path_, ignored);
}

std::string TemporaryFolder::Write(const std::string& name,
                                   const std::string& text) const {
  const std::filesystem::path file = path_ / name;
  std::ofstream(file) << text;
  return file.string();
}

}  // namespace camphor
