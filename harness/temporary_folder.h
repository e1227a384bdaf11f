#ifndef CAMPHORHILL_HARNESS_TEMPORARY_FOLDER_H_
#define CAMPHORHILL_HARNESS_TEMPORARY_FOLDER_H_

#include <filesystem>
#include <string>

namespace camphor {

/// A folder that is removed when this goes, unless it is kept.
class TemporaryFolder {
 public:
  /// Creates a folder whose name begins with the prefix. Thread safety: any
  /// thread.
  explicit TemporaryFolder(const std::string& prefix);
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Leaves the folder where it is. Thread safety: one thread.
  void Keep() { kept_ = true; }

  /// Writes a file in the folder and gives its path. Thread safety: any thread.
  std::string Write(const std::string& name, const std::string& text) const;

  /// Path of the folder. Thread safety: any thread.
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
  bool kept_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_TEMPORARY_FOLDER_H_
