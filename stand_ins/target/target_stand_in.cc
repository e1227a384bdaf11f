#include "stand_ins/target/target_stand_in.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>
#include <utility>

#include "core/base/digest.h"
#include "stand_ins/target/answer_body.h"

namespace camphor {
namespace {

constexpr std::uint64_t kMillion = 1'000'000;
constexpr std::uint64_t kMaxAnswerBytes = 256UL << 20;

MonoTime Now() { return std::chrono::steady_clock::now(); }

// Returns the header field as an integer, or the fallback if it is not one.
std::uint64_t NumberField(const HttpRequest& request, const std::string& name,
                          std::uint64_t fallback) {
  const std::string text = request.Field(name);
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? number
                                                                  : fallback;
}

HttpResponse Refusal(std::string reason) {
  return {.status = 503,
          .fields = {{"X-Camphor-Not-Run", "true"}, {"Retry-After", "1"}},
          .body = std::move(reason)};
}

}  // namespace

TargetStandIn::TargetStandIn(Options options)
    : options_(std::move(options)),
      started_at_(Now()),
      faults_set_at_(Now()),
      server_({.listen = options_.listen,
               .handle = [this](const HttpExchange& exchange) {
                 Handle(exchange);
               }}) {}

bool TargetStandIn::Start() { return server_.Start(); }

void TargetStandIn::Stop() { server_.Stop(); }

bool TargetStandIn::Idle(Milliseconds quiet) const {
  const MonoTime last{MonoTime::duration(last_request_.load())};
  return in_flight_.load() == 0 && Now() - last >= quiet;
}

Endpoint TargetStandIn::endpoint() const { return server_.endpoint(); }

const std::string& TargetStandIn::last_reason() const {
  return server_.last_reason();
}

void TargetStandIn::Handle(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == "/control") return exchange.Respond(Control(request));
  if (request.target == "/control/runs") return exchange.Respond(Runs());
  if (request.target == "/load") return exchange.Respond(Load());
  if (request.target == "/healthz") {
    return exchange.Respond({.status = faults_.healthy ? 200 : 503});
  }
  last_request_ = Now().time_since_epoch().count();

  // Refuse before the run is counted: a refusal guarantees that the request did
  // not run.
  if (in_flight_.load() >= options_.slots) {
    ++shed_;
    return exchange.Respond(Refusal("all slots are in use"));
  }
  if (NumberField(request, "x-camphor-deadline-ms", 1) == 0) {
    ++shed_;
    return exchange.Respond(Refusal("the deadline has passed"));
  }
  Run(exchange);
}

void TargetStandIn::Run(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  RecordRun(request);
  if (!request.Field("x-crash-me").empty()) options_.crash();
  const std::uint32_t in_flight = ++in_flight_;
  const TargetFault fault = faults_.Match(
      request.target, in_flight,
      std::chrono::duration_cast<Milliseconds>(Now() - faults_set_at_));
  Milliseconds work(static_cast<std::int64_t>(
      NumberField(request, "x-work-ms",
                  static_cast<std::uint64_t>(options_.work.count()))));
  work += fault.delay;
  if (Now() - started_at_ < options_.cold_start) work += options_.cold_delay;
  const bool failed = ShouldFail(fault.error_ppm);
  server_.After(work, [this, exchange, failed] { Finish(exchange, failed); });
}

void TargetStandIn::Finish(const HttpExchange& exchange, bool failed) {
  --in_flight_;
  last_request_ = Now().time_since_epoch().count();
  if (exchange.cancelled()) {
    ++cancelled_;
    return;
  }
  const HttpRequest& request = exchange.request();
  const std::string id = request.Field("x-request-id");
  HttpResponse response{
      .status = failed ? 500 : 200,
      .fields = {{"X-Target-Id", options_.id},
                 {"X-Target-Version", options_.version},
                 {"X-Request-Id", id},
                 {"X-Body-Digest", Digest::Of(request.body).hex()}},
      .chunked = !request.Field("x-answer-chunked").empty()};
  const std::string default_body = AnswerBody(id, id.size() + 11);
  const std::uint64_t bytes =
      NumberField(request, "x-answer-bytes", default_body.size());
  response.body = AnswerBody(id, std::min(bytes, kMaxAnswerBytes));
  exchange.Respond(std::move(response));
}

void TargetStandIn::RecordRun(const HttpRequest& request) {
  const std::string key = request.Field("idempotency-key");
  const std::string id = request.Field("x-request-id");
  ++run_count_;
  ++runs_[{key, id}];
  if (!options_.history) return;
  fmt::print(stderr,
             "target_stand_in history: event=run t_us={} target={} key={} "
             "request={}\n",
             std::chrono::duration_cast<Microseconds>(Now().time_since_epoch())
                 .count(),
             options_.id, key, id);
}

// Spreads failures evenly, so that the same requests fail in each run.
bool TargetStandIn::ShouldFail(std::uint32_t error_ppm) {
  error_credit_ += error_ppm;
  if (error_credit_ < kMillion) return false;
  error_credit_ -= kMillion;
  return true;
}

bool TargetStandIn::SetFaults(const std::string& text, std::string& reason) {
  const auto faults = TargetFaults::Decode(text, reason);
  if (!faults) return false;
  faults_ = *faults;
  faults_set_at_ = Now();
  return true;
}

HttpResponse TargetStandIn::Control(const HttpRequest& request) {
  std::string reason;
  if (!SetFaults(request.body, reason)) return {.status = 400, .body = reason};
  return {.body = "{}"};
}

HttpResponse TargetStandIn::Runs() const {
  boost::json::array list;
  for (const auto& [run, count] : runs_) {
    list.push_back(boost::json::object{
        {"key", run.first}, {"request", run.second}, {"count", count}});
  }
  return {.body = boost::json::serialize(
              boost::json::object{{"target", options_.id},
                                  {"total", run_count_},
                                  {"runs", std::move(list)}})};
}

HttpResponse TargetStandIn::Load() const {
  return {.body = boost::json::serialize(
              boost::json::object{{"in_flight", in_flight_.load()},
                                  {"slots", options_.slots},
                                  {"runs", run_count_},
                                  {"shed", shed_},
                                  {"cancelled", cancelled_}})};
}

}  // namespace camphor
