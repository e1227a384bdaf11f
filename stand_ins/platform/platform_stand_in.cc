#include "stand_ins/platform/platform_stand_in.h"

#include <boost/json.hpp>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/json_fields.h"
#include "platform/platform_codec.h"

namespace camphor {
namespace {

constexpr std::string_view kTablesPath = "/v1/tables/";
constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kTransactionsPath = "/v1/transactions";
constexpr std::int64_t kLongestDelayMs = 3'600'000;
constexpr std::int64_t kMostPerSecond =
    std::numeric_limits<std::int32_t>::max();

HttpResponse Text(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

HttpResponse Refusal(std::string reason) {
  return {.status = 503,
          .fields = {{"X-Not-Applied", "true"}},
          .body = std::move(reason)};
}

std::optional<PlatformStandIn::Mode> ModeOf(std::string_view text) {
  using Mode = PlatformStandIn::Mode;
  if (text == "up") return Mode::kUp;
  if (text == "out") return Mode::kOut;
  if (text == "slow") return Mode::kSlow;
  if (text == "lose_answers") return Mode::kLoseAnswers;
  if (text == "silent") return Mode::kSilent;
  return std::nullopt;
}

}  // namespace

bool PlatformStandIn::Limit::Admit(MonoTime now) {
  if (now - since >= Seconds(1)) {
    since = now;
    used = 0;
  }
  if (used >= per_s) return false;
  ++used;
  return true;
}

PlatformStandIn::PlatformStandIn(const Options& options)
    : reads_{.per_s = options.reads_per_s},
      writes_{.per_s = options.writes_per_s},
      server_({.listen = options.listen,
               .handle = [this](const HttpExchange& exchange) {
                 Handle(exchange);
               }}) {}

bool PlatformStandIn::Start() { return server_.Start(); }

void PlatformStandIn::Stop() { server_.Stop(); }

Endpoint PlatformStandIn::endpoint() const { return server_.endpoint(); }

const std::string& PlatformStandIn::last_reason() const {
  return server_.last_reason();
}

void PlatformStandIn::Handle(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == "/control/counters")
    return exchange.Respond(Counters());
  if (request.target == "/control") return exchange.Respond(Control(request));

  // Refuse before any effect, so that the refusal may say so.
  if (mode_ == Mode::kSilent) return;
  if (mode_ == Mode::kOut) {
    ++counters_["refused"];
    return exchange.Respond(Refusal("the platform is out"));
  }
  const bool reads = request.method == "GET";
  ++counters_[reads ? "reads" : "writes"];
  if (!(reads ? reads_ : writes_).Admit(std::chrono::steady_clock::now())) {
    ++counters_["refused"];
    return exchange.Respond(Refusal("the limit of calls a second is reached"));
  }
  server_.After(mode_ == Mode::kSlow ? delay_ : Milliseconds(0),
                [this, exchange] { Serve(exchange); });
}

void PlatformStandIn::Serve(const HttpExchange& exchange) {
  HttpResponse response = Apply(exchange.request());
  if (mode_ == Mode::kLoseAnswers) {
    ++counters_["lost"];
    return exchange.Abandon();
  }
  exchange.Respond(std::move(response));
}

HttpResponse PlatformStandIn::Apply(const HttpRequest& request) {
  const std::string& target = request.target;
  if (target == kTransactionsPath && request.method == "POST")
    return ApplyTransaction(request);
  if (target.starts_with(kTablesPath) && request.method == "GET")
    return ApplyTables(request, target.substr(kTablesPath.size()));
  if (target.starts_with(kObjectsPath)) {
    const auto key =
        PlatformCodec::DecodeKey(target.substr(kObjectsPath.size()));
    if (key) return ApplyObject(request, *key);
  }
  return Text(400, "no such call: " + request.method + " " + target);
}

HttpResponse PlatformStandIn::ApplyTables(const HttpRequest& /*request*/,
                                          const std::string& rest) {
  const std::size_t slash = rest.find('/');
  const std::string table = rest.substr(0, slash);
  const std::string path =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  constexpr std::string_view kPrefixQuery = "rows?prefix=";
  constexpr std::string_view kRow = "rows/";
  if (path == "rows")
    return Text(200, PlatformCodec::EncodeRows(store_.Scan(table, "")));
  if (path.starts_with(kPrefixQuery)) {
    const auto prefix =
        PlatformCodec::DecodeKey(path.substr(kPrefixQuery.size()));
    if (!prefix) return Text(400, "the prefix is not percent-encoded");
    return Text(200, PlatformCodec::EncodeRows(store_.Scan(table, *prefix)));
  }
  if (!path.starts_with(kRow)) return Text(400, "no such path");
  const auto key = PlatformCodec::DecodeKey(path.substr(kRow.size()));
  if (!key) return Text(400, "the key is not percent-encoded");
  const std::optional<TableRow> row = store_.Read(table, *key);
  if (!row) return Text(404, "no such row");
  return Text(200, PlatformCodec::EncodeRow(*row));
}

HttpResponse PlatformStandIn::ApplyTransaction(const HttpRequest& request) {
  std::string reason;
  const auto transaction =
      PlatformCodec::DecodeTransaction(request.body, reason);
  if (!transaction) return Text(400, reason);
  const std::vector<TableRow> broken = store_.Transact(*transaction);
  if (!broken.empty()) {
    ++counters_["conflicts"];
    return Text(409, PlatformCodec::EncodeRows(broken));
  }
  counters_["rows_written"] += transaction->writes.size();
  return Text(200, "{}");
}

HttpResponse PlatformStandIn::ApplyObject(const HttpRequest& request,
                                          const std::string& key) {
  if (request.method == "PUT") {
    store_.PutObject(key, request.body);
    ++counters_["objects_written"];
    return Text(200, "");
  }
  std::optional<std::string> bytes = store_.GetObject(key);
  if (!bytes) return Text(404, "no such object");
  return Text(200, std::move(*bytes));
}

HttpResponse PlatformStandIn::Control(const HttpRequest& request) {
  std::string reason;
  const auto document = ParseJsonWithComments(request.body, reason);
  if (!document || !document->is_object()) return Text(400, reason);
  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  const std::optional<Mode> mode = ModeOf(fields.String("mode", "up"));
  if (!mode)
    fields.Report("mode", "must be up, out, slow, lose_answers or silent");
  const Milliseconds delay(
      fields.Integer("delay_ms", 0, kLongestDelayMs, delay_.count()));
  const auto reads =
      fields.Integer("reads_per_s", 0, kMostPerSecond, reads_.per_s);
  const auto writes =
      fields.Integer("writes_per_s", 0, kMostPerSecond, writes_.per_s);
  fields.Finish();
  if (!errors.empty())
    return Text(400, errors.front().field + " " + errors.front().message);
  mode_ = *mode;
  delay_ = delay;
  reads_.per_s = static_cast<std::uint32_t>(reads);
  writes_.per_s = static_cast<std::uint32_t>(writes);
  return Text(200, "{}");
}

HttpResponse PlatformStandIn::Counters() const {
  boost::json::object out;
  for (const char* name : {"reads", "writes", "refused", "lost", "conflicts",
                           "rows_written", "objects_written"}) {
    const auto found = counters_.find(name);
    out[name] = found == counters_.end() ? 0 : found->second;
  }
  return Text(200, boost::json::serialize(out));
}

}  // namespace camphor
