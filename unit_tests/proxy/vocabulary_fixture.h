#ifndef CAMPHORHILL_UNIT_TESTS_PROXY_VOCABULARY_FIXTURE_H_
#define CAMPHORHILL_UNIT_TESTS_PROXY_VOCABULARY_FIXTURE_H_

#include <optional>
#include <string>

#include "unit_tests/proxy/scripted_target.h"
#include "unit_tests/proxy/two_hosts.h"

namespace camphor {

/// Two hosts whose callers and targets use header names of the test's own, and
/// a scripted target.
class ProxyVocabulary : public TwoHosts {
 protected:
  ProxyVocabulary() {
    vocabulary_ = {.deadline = "T-Deadline",
                   .attempt = {},
                   .request_id = "T-Id",
                   .expected_target = "T-Expected",
                   .caller_pool = "T-Caller",
                   .team_key = "T-Key",
                   .team = "T-Team",
                   .not_run = "T-Not-Run",
                   .receipt = "T-Receipt",
                   .request_limit = "T-Limit",
                   .leaving = "T-Leaving",
                   .plain_bodies = true,
                   .unframed_responses = true,
                   .fractional_retry_after = true};
  }

  void Start(const std::string& host, ScriptedTarget::Script script) {
    target_.emplace(std::move(script));
    AddTargetAt(host, "t1", target_->endpoint());
    StartHosts({.retry_after = Milliseconds(50)});
  }

  void TearDown() override {
    TwoHosts::TearDown();
    target_.reset();
  }

  std::optional<HttpResponse> Get(const std::string& id) {
    return Call({.method = "GET",
                 .target = "/post/x",
                 .fields = {{"t-id", id}, {"t-deadline", "2000"}}});
  }

  std::optional<ScriptedTarget> target_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_PROXY_VOCABULARY_FIXTURE_H_
