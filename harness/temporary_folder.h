#ifndef CAMPHORHILL_HARNESS_TEMPORARY_FOLDER_H_
#define CAMPHORHILL_HARNESS_TEMPORARY_FOLDER_H_

#include <filesystem>
#include <string>

namespace camphor {

/// A temporary folder that is removed on destruction, unless Keep() was called.
class TemporaryFolder {
 public:
  /// Creates a folder with this name prefix. On failure path() is empty.
  /// Thread-safe.
  explicit TemporaryFolder(const std::string& prefix);
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Disables the removal of the folder. Must be called from one thread.
  void Keep() { kept_ = true; }

  /// Writes a file in the folder and returns its path. Thread-safe.
  std::string Write(const std::string& name, const std::string& text) const;

  /// Path of the folder. Thread-safe.
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
  bool kept_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_TEMPORARY_FOLDER_H_
