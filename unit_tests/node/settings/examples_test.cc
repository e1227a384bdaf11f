#include <gtest/gtest.h>

#include <string>

#include "core/config/config_codec.h"
#include "node/settings/settings.h"
#include "unit_tests/source_file.h"

namespace camphor {
namespace {

std::string ReadExample(const std::string& name) {
  return ReadSourceFile("examples/" + name);
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

}  // namespace
}  // namespace camphor
