#include "core/base/json_fields.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace camphor {
namespace {

TEST(JsonFieldsString, ControlCharacter_IsRejected) {
  std::string reason;
  const auto document = ParseJsonWithComments(
      R"({"name": "a\u0000b", "list": ["c\nd"], "sound": "é"})", reason);
  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  fields.String("name");
  fields.Strings("list");
  EXPECT_EQ(fields.String("sound"), "é");
  ASSERT_EQ(errors.size(), 2U);
  EXPECT_EQ(errors[0].field, "name");
  EXPECT_EQ(errors[1].field, "list");
}

}  // namespace
}  // namespace camphor
