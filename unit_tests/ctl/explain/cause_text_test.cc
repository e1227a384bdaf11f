#include "ctl/explain/cause_text.h"

#include <gtest/gtest.h>

#include "proxy/error_response.h"

namespace camphor {
namespace {

TEST(CauseOf, EveryReasonOfTheProxy_HasASentence) {
  for (int error = 0; error <= static_cast<int>(ProxyError::kCallerGone);
       ++error) {
    LogLine line;
    line.fields["reason"] =
        GetErrorTraits(static_cast<ProxyError>(error)).reason;
    EXPECT_EQ(CauseOf(line).find("ended with the reason"), std::string::npos)
        << line.Field("reason");
  }
}

TEST(CauseOf, AnswerOfTheTarget_NamesItsStatus) {
  LogLine line;
  line.fields["status"] = "500";
  EXPECT_NE(CauseOf(line).find("answered 500"), std::string::npos);
}

}  // namespace
}  // namespace camphor
