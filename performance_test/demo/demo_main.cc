#include <filesystem>

#include "performance_test/demo/demo_scenario.h"

int main() {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  camphor::DemoScenario scenario(self.parent_path().string());
  return scenario.Run() ? 0 : 1;
}
