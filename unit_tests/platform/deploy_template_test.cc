#include <gtest/gtest.h>

#include <string>

#include "unit_tests/source_file.h"

namespace camphor {
namespace {

TEST(DeployTemplate, PollersPerDomain_AtLeastTwo) {
  // The platform may reject one of the pollers while it serves the operator.
  const std::string text = ReadSourceFile("deploy/settings.json.template");
  const std::string key = "\"pollers_per_domain\": ";
  const std::size_t at = text.find(key);
  ASSERT_NE(at, std::string::npos);
  EXPECT_GE(std::stoi(text.substr(at + key.size())), 2);
}

TEST(DeployTemplate, StrictRevocation_SetsTheBoundOnlyWhereItIsAsked) {
  const std::string text = ReadSourceFile("deploy/settings.json.template");
  EXPECT_NE(text.find("{{#bounds.strictRevoke}}\"teams\": "
                      "{\"revoke_within_ms\": {{bounds.revokeMs}}},"
                      "{{/bounds.strictRevoke}}"),
            std::string::npos);
}

}  // namespace
}  // namespace camphor
