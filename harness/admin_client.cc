#include "harness/admin_client.h"

#include <boost/json.hpp>
#include <utility>

namespace camphor {
namespace {

// The member "version" of the body or of its "error" object; 0 if absent.
std::uint64_t ParseVersion(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  if (error || !document.is_object()) return 0;
  const boost::json::object* object = &document.get_object();
  if (const boost::json::value* inner = object->if_contains("error");
      inner != nullptr && inner->is_object()) {
    object = &inner->get_object();
  }
  const boost::json::value* version = object->if_contains("version");
  if (version == nullptr || !version->is_number()) return 0;
  const auto number = version->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

}  // namespace

AdminClient::AdminClient(Endpoint admin, std::string operator_token)
    : connection_(std::move(admin)),
      operator_token_(std::move(operator_token)) {}

std::optional<std::string> AdminClient::Get(const std::string& path,
                                            Milliseconds timeout) {
  auto answer = connection_.Call({.method = "GET", .target = path}, timeout);
  if (!answer) {
    last_reason_ = connection_.last_reason();
    return std::nullopt;
  }
  if (answer->status != 200) {
    last_reason_ = path + " answered " + std::to_string(answer->status);
    return std::nullopt;
  }
  return std::move(answer->body);
}

AdminClient::EditResult AdminClient::PutConfig(const std::string& tables,
                                               std::uint64_t base_version,
                                               Milliseconds timeout) {
  const auto answer = connection_.Call(
      {.method = "PUT",
       .target = "/v1/config",
       .fields = {{"Authorization", "Bearer " + operator_token_},
                  {"If-Match", std::to_string(base_version)},
                  {"Content-Type", "application/json"}},
       .body = tables},
      timeout);
  if (!answer) return {.body = connection_.last_reason()};
  return {.status = answer->status,
          .version = ParseVersion(answer->body),
          .body = answer->body};
}

int AdminClient::Post(const std::string& path) {
  const auto answer = connection_.Call(
      {.method = "POST",
       .target = path,
       .fields = {{"Authorization", "Bearer " + operator_token_}}});
  return answer ? answer->status : 0;
}

std::optional<std::uint64_t> AdminClient::Version() {
  const auto body = Get("/v1/status");
  if (!body) return std::nullopt;
  return ParseVersion(*body);
}

bool AdminClient::Ready() { return Get("/readyz").has_value(); }

}  // namespace camphor
