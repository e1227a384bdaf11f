#include "ctl/explain/cause_text.h"

#include <gtest/gtest.h>

#include "proxy/error_response.h"

namespace camphor {
namespace {

TEST(DescribeCause, EveryProxyReason_HasSentence) {
  for (int error = 0; error <= static_cast<int>(ProxyError::kCallerGone);
       ++error) {
    LogLine line;
    line.fields["reason"] =
        GetErrorTraits(static_cast<ProxyError>(error)).reason;
    EXPECT_EQ(DescribeCause(line).find("ended with the reason"),
              std::string::npos)
        << line.Field("reason");
  }
}

TEST(DescribeCause, TargetResponse_NamesStatus) {
  LogLine line;
  line.fields["status"] = "500";
  EXPECT_NE(DescribeCause(line).find("answered 500"), std::string::npos);
}

TEST(DescribeCause, RequestSentAhead_NamesResponsesBeforeIt) {
  LogLine line;
  line.fields["reason"] = "deadline";
  EXPECT_EQ(DescribeCause(line).find("behind"), std::string::npos);
  line.fields["behind"] = "3";
  EXPECT_NE(DescribeCause(line).find("behind 3 unanswered requests"),
            std::string::npos);
}

}  // namespace
}  // namespace camphor
