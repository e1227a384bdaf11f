#include "ctl/commands/command.h"

#include <fmt/core.h>

#include <boost/json.hpp>
#include <boost/url.hpp>

namespace camphor {
namespace {

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kLastSuccess = 299;
constexpr double kPpmPerPercent = 10'000;

/// Formats an error response with its invalid fields; returns the plain body if
/// it is not a JSON error.
std::string ErrorText(const NodeResponse& response) {
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  const boost::json::value* details =
      !error && body.is_object() ? body.as_object().if_contains("error")
                                 : nullptr;
  if (details == nullptr || !details->is_object()) return response.body;
  std::string text = MemberText(*details, "message");
  const boost::json::value* fields = details->as_object().if_contains("fields");
  if (fields == nullptr || !fields->is_array()) return text;
  for (const boost::json::value& field : fields->as_array()) {
    text += "\n  " + MemberText(field, "field") + ": " +
            MemberText(field, "message");
  }
  return text;
}

}  // namespace

void PrintError(const std::string& message) {
  fmt::print(stderr, "camphorctl: {}\n", message);
}

int ReportUsageError(const std::string& message) {
  PrintError(message + "; try camphorctl --help");
  return kCtlInvalid;
}

int ReportFailure(const CommandContext& context,
                  const std::optional<NodeResponse>& response) {
  constexpr unsigned kBadRequest = 400;
  if (!response.has_value()) {
    PrintError("no node answered: " + context.client.last_reason());
    return kCtlFailed;
  }
  PrintError(fmt::format("node {} answered {}: {}", response->node.ToString(),
                         response->status, ErrorText(*response)));
  return response->status == kBadRequest ? kCtlInvalid : kCtlFailed;
}

std::optional<boost::json::value> Call(CommandContext& context,
                                       const NodeRequest& request, int& exit) {
  const std::optional<NodeResponse> response = context.client.Send(request);
  if (!response.has_value() || response->status < kFirstSuccess ||
      response->status > kLastSuccess) {
    exit = ReportFailure(context, response);
    return std::nullopt;
  }
  boost::json::error_code error;
  boost::json::value body = boost::json::parse(response->body, error);
  if (!error) return body;
  PrintError("node " + response->node.ToString() +
             " returned invalid JSON: " + error.message());
  exit = kCtlFailed;
  return std::nullopt;
}

std::string MemberText(const boost::json::value& object,
                       const std::string& key) {
  const boost::json::value* found =
      object.is_object() ? object.as_object().if_contains(key) : nullptr;
  if (found == nullptr) return "";
  if (found->is_string()) return std::string(found->as_string());
  return boost::json::serialize(*found);
}

std::uint64_t MemberNumber(const boost::json::value& object,
                           const std::string& key) {
  const boost::json::value* found =
      object.is_object() ? object.as_object().if_contains(key) : nullptr;
  if (found == nullptr || !found->is_number()) return 0;
  boost::json::error_code error;
  const auto number = found->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

std::string RolloutPath(const std::string& id) {
  // Slashes are not encoded: the API expects the id as several path segments.
  boost::urls::grammar::lut_chars plain = boost::urls::unreserved_chars;
  return "/v1/rollouts/" + boost::urls::encode(id, plain + '/');
}

std::string ShareText(std::uint64_t share_ppm) {
  return fmt::format("{:.4g}%",
                     static_cast<double>(share_ppm) / kPpmPerPercent);
}

}  // namespace camphor
