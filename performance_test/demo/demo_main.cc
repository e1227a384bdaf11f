#include <filesystem>

#include "performance_test/demo/demo_story.h"

int main() {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  camphor::DemoStory story(self.parent_path().string());
  return story.Tell() ? 0 : 1;
}
