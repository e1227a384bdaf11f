#include "ctl/http/node_client.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <utility>

namespace camphor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kUnavailable = 503;
constexpr unsigned kMinStatus = 100;
constexpr std::uint64_t kMaxBodyBytes = 256ULL * 1024 * 1024;

http::request<http::string_body> MakeRequest(const NodeRequest& request,
                                             const Endpoint& node,
                                             const std::string& token) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.path);
  message.version(11);
  message.set(http::field::host, node.ToString());
  message.set(http::field::connection, "close");
  if (!token.empty()) {
    message.set(http::field::authorization, "Bearer " + token);
  }
  if (!request.if_match.empty()) {
    message.set(http::field::if_match, request.if_match);
  }
  if (!request.operation_id.empty()) {
    message.set("Operation-Id", request.operation_id);
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

/// Runs one asynchronous operation to completion; the expiry timer of the
/// stream limits its duration.
beast::error_code RunStep(
    asio::io_context& context,
    const std::function<void(std::function<void(beast::error_code)>)>& start) {
  beast::error_code result;
  start([&result](beast::error_code error) { result = error; });
  context.restart();
  context.run();
  return result;
}

}  // namespace

NodeClient::NodeClient(Options options) : options_(std::move(options)) {}

std::optional<NodeResponse> NodeClient::Send(const NodeRequest& request) {
  last_reason_.clear();
  outcome_unknown_ = false;
  std::optional<NodeResponse> refused;
  for (std::size_t attempt = 0; attempt < options_.nodes.size(); ++attempt) {
    const std::size_t index = (preferred_ + attempt) % options_.nodes.size();
    std::optional<NodeResponse> response =
        SendTo(options_.nodes[index], request);
    if (!response.has_value()) continue;
    // 503 means that the node cannot reach the platform or is stopping; another
    // node may be able to serve the request.
    if (response->status == kUnavailable) {
      refused = std::move(response);
      continue;
    }
    preferred_ = index;
    return response;
  }
  return refused;
}

std::optional<NodeResponse> NodeClient::SendTo(const Endpoint& node,
                                               const NodeRequest& request) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  beast::error_code error;
  const auto address = asio::ip::make_address(node.address, error);
  const asio::ip::tcp::endpoint endpoint(address, node.port);
  const auto message = MakeRequest(request, node, options_.token);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  const auto step = [&](const auto& start) {
    if (error) return;
    stream.expires_after(options_.timeout);
    error = RunStep(context, start);
  };

  step([&](auto done) { stream.async_connect(endpoint, done); });
  const bool connected = !error;
  step([&](auto done) {
    http::async_write(
        stream, message,
        [done](beast::error_code code, std::size_t) { done(code); });
  });
  step([&](auto done) {
    http::async_read(
        stream, buffer, parser,
        [done](beast::error_code code, std::size_t) { done(code); });
  });
  // A response without a length may have been cut short.
  const bool is_response =
      !parser.need_eof() && parser.get().result_int() >= kMinStatus;
  if (!error && !is_response) error = http::error::partial_message;
  if (error) {
    last_reason_ +=
        fmt::format("{}node {}: {}", last_reason_.empty() ? "" : "; ",
                    node.ToString(), error.message());
    outcome_unknown_ = outcome_unknown_ || connected;
    return std::nullopt;
  }
  return NodeResponse{.status = parser.get().result_int(),
                      .body = std::move(parser.get().body()),
                      .node = node};
}

}  // namespace camphor
