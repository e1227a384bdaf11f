#include "harness/load/request_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "stand_ins/http/http_connection.h"
#include "stand_ins/target/answer_body.h"

namespace camphor {

RequestLoad::RequestLoad(Options options) : options_(std::move(options)) {}

RequestLoad::~RequestLoad() { Stop(); }

void RequestLoad::Start() {
  for (unsigned caller = 0; caller < options_.callers; ++caller)
    callers_.emplace_back([this, caller] { RunCaller(caller); });
}

void RequestLoad::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopping_changed_.notify_all();
  for (std::thread& caller : callers_) caller.join();
  callers_.clear();
}

std::uint64_t RequestLoad::Count(CallOutcome outcome) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint64_t>(
      std::ranges::count(calls_, outcome, &CallEvent::outcome));
}

std::uint64_t RequestLoad::total() const {
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

bool RequestLoad::WaitForStop() {
  std::unique_lock lock(mutex_);
  return stopping_changed_.wait_for(lock, options_.pause,
                                    [this] { return stopping_; });
}

void RequestLoad::RunCaller(unsigned caller) {
  std::vector<std::unique_ptr<HttpConnection>> owned;
  std::vector<HttpConnection*> connections;
  for (const auto& [host, endpoint] : options_.hosts) {
    owned.push_back(std::make_unique<HttpConnection>(endpoint));
    connections.push_back(owned.back().get());
  }
  unsigned host = caller;
  for (std::uint64_t number = 0; !WaitForStop(); ++number) {
    const std::string id =
        fmt::format("{}-{}-{}", options_.name, caller, number);
    const std::string key = options_.keyed ? "key-" + id : "";
    const unsigned attempts = options_.keyed ? options_.attempts : 1;
    for (unsigned attempt = 0; attempt < attempts; ++attempt) {
      const std::string request =
          attempt == 0 ? id : fmt::format("{}-again{}", id, attempt);
      CallEvent call = SendOne(host++, request, key, connections);
      const bool answered = call.outcome == CallOutcome::kAnswered;
      const std::lock_guard lock(mutex_);
      calls_.push_back(std::move(call));
      if (answered || stopping_) break;
    }
  }
}

CallEvent RequestLoad::SendOne(
    unsigned host_index, const std::string& request, const std::string& key,
    std::vector<HttpConnection*>& connections) const {
  const std::size_t index = host_index % connections.size();
  const std::string& host =
      std::next(options_.hosts.begin(), static_cast<std::ptrdiff_t>(index))
          ->first;
  HttpRequest message{
      .method = options_.method,
      .target = options_.path,
      .fields = {{"X-Request-Id", request},
                 {"X-Work-Ms", std::to_string(options_.work.count())},
                 {"X-Answer-Bytes", std::to_string(options_.answer_bytes)}},
      .body = options_.method == "GET" ? "" : "body of " + request};
  if (!key.empty()) message.fields["Idempotency-Key"] = key;
  CallEvent call{.sent = EventNow(),
                 .host = host,
                 .path = options_.path,
                 .request = request,
                 .key = key};
  const auto answer = connections[index]->Call(message, options_.timeout);
  call.ended = EventNow();
  if (!answer) return call;
  call.status = answer->status;
  call.outcome = ClassifyResponse(*answer, request, options_.answer_bytes);
  if (const auto target = answer->fields.find("x-target-id");
      target != answer->fields.end()) {
    call.target = target->second;
  }
  return call;
}

CallOutcome ClassifyResponse(const HttpResponse& answer,
                             const std::string& request,
                             std::uint64_t answer_bytes) {
  const auto field = [&](const std::string& name) {
    const auto found = answer.fields.find(name);
    return found == answer.fields.end() ? std::string() : found->second;
  };
  if (field("x-camphor-not-run") == "true") return CallOutcome::kNotRun;
  if (answer.status != 200) return CallOutcome::kFailed;
  const std::string whole = AnswerBody(request, answer_bytes);
  if (answer.body == whole && field("x-request-id") == request)
    return CallOutcome::kAnswered;
  return whole.starts_with(answer.body) && field("x-request-id") == request
             ? CallOutcome::kTruncated
             : CallOutcome::kWrongResponse;
}

EventTime EventNow() {
  return std::chrono::duration_cast<EventTime>(
      std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace camphor
