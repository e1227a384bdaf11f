#include "stand_ins/platform/platform_stand_in.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/json_fields.h"
#include "platform/platform_codec.h"

namespace camphor {
namespace {

constexpr std::string_view kRowsPath = "/api/rows-get";
constexpr std::string_view kFeedPath = "/api/rows-feed";
constexpr std::string_view kTransactionsPath = "/api/rows-tx";
constexpr std::string_view kPutPath = "/api/blob-put/";
constexpr std::string_view kGetPath = "/api/blob-get/";
constexpr std::uint64_t kMaxRows = 500;
constexpr std::uint64_t kMaxWaitMs = 30'000;
constexpr std::int64_t kMaxDelayMs = 3'600'000;
constexpr std::int64_t kMaxPerSecond = std::numeric_limits<std::int32_t>::max();

HttpResponse Text(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

// A 503 response guarantees that the call had no effect.
HttpResponse Refusal(std::string reason) {
  return Text(503, std::move(reason));
}

HttpResponse RateLimited() { return Text(429, "rate limit exceeded"); }

std::string_view RequestPath(const HttpRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

// Returns the decoded value of a query parameter, or std::nullopt if absent.
std::optional<std::string> QueryField(const HttpRequest& request,
                                      std::string_view name) {
  const auto url = boost::urls::parse_origin_form(request.target);
  if (!url) return std::nullopt;
  const auto params = url->params();
  const auto found = params.find({name.data(), name.size()});
  if (found == params.end()) return std::nullopt;
  return std::string((*found).value);
}

std::uint64_t QueryNumber(const HttpRequest& request, std::string_view name,
                          std::uint64_t fallback) {
  const std::string text = QueryField(request, name).value_or("");
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && !text.empty() ? number : fallback;
}

std::optional<PlatformStandIn::Mode> ParseMode(std::string_view text) {
  using Mode = PlatformStandIn::Mode;
  if (text == "up") return Mode::kUp;
  if (text == "out") return Mode::kOut;
  if (text == "slow") return Mode::kSlow;
  if (text == "lose_answers") return Mode::kLoseAnswers;
  if (text == "silent") return Mode::kSilent;
  if (text == "late") return Mode::kLate;
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

  // Refuse before any effect, since a 503 or 429 response guarantees that there
  // was none.
  if (mode_ == Mode::kSilent) return;
  if (mode_ == Mode::kOut) {
    ++counters_["refused"];
    return exchange.Respond(Refusal("the platform is unavailable"));
  }
  const bool reads = request.method == "GET";
  ++counters_[reads ? "reads" : "writes"];
  if (!(reads ? reads_ : writes_).Admit(std::chrono::steady_clock::now())) {
    ++counters_["refused"];
    return exchange.Respond(RateLimited());
  }
  if (mode_ == Mode::kLate) {
    ++counters_["lost"];
    exchange.Abandon();
    return server_.After(delay_, [this, request = exchange.request()] {
      Apply(request);
      NotifyWatchers();
    });
  }
  server_.After(mode_ == Mode::kSlow ? delay_ : Milliseconds(0),
                [this, exchange] { Serve(exchange); });
}

void PlatformStandIn::Serve(const HttpExchange& exchange) {
  if (RequestPath(exchange.request()) == kFeedPath) return Watch(exchange);
  HttpResponse response = Apply(exchange.request());
  if (mode_ == Mode::kLoseAnswers) {
    ++counters_["lost"];
    exchange.Abandon();
  } else {
    exchange.Respond(std::move(response));
  }
  NotifyWatchers();
}

HttpResponse PlatformStandIn::Apply(const HttpRequest& request) {
  const std::string_view path = RequestPath(request);
  if (path == kTransactionsPath && request.method == "POST")
    return ApplyTransaction(request);
  if (path == kRowsPath && request.method == "GET") return ReadRows(request);
  const bool put = path.starts_with(kPutPath) && request.method == "PUT";
  const bool get = path.starts_with(kGetPath) && request.method == "GET";
  if (put || get) {
    const auto key = PlatformCodec::DecodeKey(
        path.substr(put ? kPutPath.size() : kGetPath.size()));
    if (key) return ApplyObject(request, *key);
  }
  return Text(400, "unknown call: " + request.method + " " + request.target);
}

HttpResponse PlatformStandIn::ReadRows(const HttpRequest& request) {
  const auto table = QueryField(request, "table");
  if (!table) return Text(400, "query parameter table is missing");
  const std::uint64_t limit =
      std::min(QueryNumber(request, "limit", kMaxRows), kMaxRows);
  RowList list{.revision = store_.revision()};
  list.rows = store_.Page(*table, QueryField(request, "from").value_or(""),
                          static_cast<std::size_t>(limit), list.more);
  return Text(200, PlatformCodec::EncodeRows(list));
}

HttpResponse PlatformStandIn::Changes(const std::string& table,
                                      std::uint64_t after) const {
  auto rows = store_.Changes(table, after);
  if (!rows)
    return Text(410, "changes after this revision are no longer retained");
  return Text(200, PlatformCodec::EncodeRows({.rows = std::move(*rows),
                                              .revision = store_.revision()}));
}

void PlatformStandIn::Watch(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string table = QueryField(request, "table").value_or("");
  const std::uint64_t after = QueryNumber(request, "after", 0);
  const auto rows = store_.Changes(table, after);
  if (!rows || !rows->empty()) return exchange.Respond(Changes(table, after));
  const std::uint64_t id = next_watcher_++;
  watchers_.push_back(
      {.exchange = exchange, .table = table, .after = after, .id = id});
  const Milliseconds wait(static_cast<std::int64_t>(
      std::min(QueryNumber(request, "waitMs", 0), kMaxWaitMs)));
  server_.After(wait, [this, id] {
    const auto found = std::ranges::find(watchers_, id, &Watcher::id);
    if (found == watchers_.end()) return;
    found->exchange.Respond(Changes(found->table, found->after));
    watchers_.erase(found);
  });
}

void PlatformStandIn::NotifyWatchers() {
  std::erase_if(watchers_, [this](const Watcher& watcher) {
    const auto rows = store_.Changes(watcher.table, watcher.after);
    if (rows && rows->empty()) return false;
    watcher.exchange.Respond(Changes(watcher.table, watcher.after));
    return true;
  });
}

HttpResponse PlatformStandIn::ApplyTransaction(const HttpRequest& request) {
  std::string reason;
  const auto transaction =
      PlatformCodec::DecodeTransaction(request.body, reason);
  if (!transaction) return Text(400, reason);
  const std::vector<TableRow> failed_rows = store_.Transact(*transaction);
  if (!failed_rows.empty()) {
    ++counters_["conflicts"];
    return Text(412, PlatformCodec::EncodeRows(
                         {.rows = failed_rows, .revision = store_.revision()}));
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
  const std::optional<Mode> mode = ParseMode(fields.String("mode", "up"));
  if (!mode)
    fields.Report("mode",
                  "must be up, out, slow, lose_answers, silent or late");
  const bool compact = fields.Boolean("drop_history", false);
  const Milliseconds delay(
      fields.Integer("delay_ms", 0, kMaxDelayMs, delay_.count()));
  const auto reads =
      fields.Integer("reads_per_s", 0, kMaxPerSecond, reads_.per_s);
  const auto writes =
      fields.Integer("writes_per_s", 0, kMaxPerSecond, writes_.per_s);
  fields.Finish();
  if (!errors.empty())
    return Text(400, errors.front().field + " " + errors.front().message);
  if (compact) store_.DropHistory();
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
