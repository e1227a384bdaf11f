#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "core/config/config_codec.h"
#include "node/settings/settings.h"

namespace camphor {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream input(std::filesystem::path(CAMPHOR_SOURCE_DIR) / path);
  return {std::istreambuf_iterator<char>(input), {}};
}

std::string ReadExample(const std::string& name) {
  return ReadFile(std::filesystem::path("examples") / name);
}

TEST(Examples, Settings_AreAccepted) {
  SettingsReader reader;
  EXPECT_TRUE(reader.Read(ReadExample("camphord.json")).has_value());
  EXPECT_TRUE(reader.errors().empty());
}

TEST(Examples, Tables_AreAccepted) {
  ConfigCodec codec;
  EXPECT_TRUE(codec.Decode(ReadExample("tables.json"), 0).has_value())
      << codec.last_reason().ToString();
}

TEST(DeployTemplate, PollersPerDomain_AtLeastTwo) {
  // The platform may reject one of the pollers while it serves the operator.
  const std::string text = ReadFile("deploy/settings.json.template");
  const std::string key = "\"pollers_per_domain\": ";
  const std::size_t at = text.find(key);
  ASSERT_NE(at, std::string::npos);
  EXPECT_GE(std::stoi(text.substr(at + key.size())), 2);
}

TEST(DeployTemplate, StrictRevocation_SetsTheBoundOnlyWhereItIsAsked) {
  const std::string text = ReadFile("deploy/settings.json.template");
  EXPECT_NE(text.find("{{#bounds.strictRevoke}}\"teams\": "
                      "{\"revoke_within_ms\": {{bounds.revokeMs}}},"
                      "{{/bounds.strictRevoke}}"),
            std::string::npos);
}

}  // namespace
}  // namespace camphor
