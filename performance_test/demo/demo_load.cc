#include "performance_test/demo/demo_load.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "stand_ins/http/http_connection.h"
#include "stand_ins/target/answer_body.h"

namespace camphor {
namespace {

constexpr std::size_t kAnswerBytes = 256;
constexpr Milliseconds kCallTimeout{3000};

}  // namespace

DemoLoad::DemoLoad(Options options) : options_(std::move(options)) {
  for (unsigned caller = 0; caller < options_.callers; ++caller) {
    threads_.emplace_back([this, caller] { Run(caller); });
  }
}

DemoLoad::~DemoLoad() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
}

DemoCounts DemoLoad::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

void DemoLoad::Run(unsigned caller) {
  std::vector<std::unique_ptr<HttpConnection>> connections;
  for (const Endpoint& host : options_.hosts) {
    connections.push_back(std::make_unique<HttpConnection>(host));
  }
  for (std::uint64_t number = caller; !stopping_; ++number) {
    const std::string id = fmt::format("demo-{}-{}", caller, number);
    const std::string& path = options_.paths[number % options_.paths.size()];
    const auto answer = connections[number % connections.size()]->Call(
        {.method = "GET",
         .target = path,
         .fields = {{"host", "demo"},
                    {"x-request-id", id},
                    {"x-answer-bytes", std::to_string(kAnswerBytes)}}},
        kCallTimeout);
    {
      const std::lock_guard lock(mutex_);
      ++counts_.sent;
      if (!answer.has_value()) {
        ++counts_.no_answer;
      } else {
        const auto field = [&](const std::string& name) {
          const auto found = answer->fields.find(name);
          return found == answer->fields.end() ? "" : found->second;
        };
        const std::string version = field("x-camphor-version");
        if (!version.empty()) ++counts_.by_version[version];
        if (answer->status == 200) {
          const bool correct = answer->body == AnswerBody(id, kAnswerBytes);
          ++(correct ? counts_.answered : counts_.wrong);
        } else if (field("x-camphor-not-run") == "true") {
          ++counts_.refused;
        } else {
          ++counts_.errors;
        }
      }
    }
    std::this_thread::sleep_for(options_.pause);
  }
}

DemoCounts Difference(const DemoCounts& before, const DemoCounts& after) {
  DemoCounts difference{.sent = after.sent - before.sent,
                        .answered = after.answered - before.answered,
                        .wrong = after.wrong - before.wrong,
                        .errors = after.errors - before.errors,
                        .refused = after.refused - before.refused,
                        .no_answer = after.no_answer - before.no_answer};
  for (const auto& [version, count] : after.by_version) {
    const auto found = before.by_version.find(version);
    difference.by_version[version] =
        count - (found == before.by_version.end() ? 0 : found->second);
  }
  return difference;
}

}  // namespace camphor
