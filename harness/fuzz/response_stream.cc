#include "harness/fuzz/response_stream.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <limits>

#include "harness/load/request_load.h"

namespace camphor {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kShownBytes = 200;

using Parser = http::response_parser<http::string_body>;

HttpResponse ReadResponse(const Parser& parser) {
  HttpResponse response{.status = static_cast<int>(parser.get().result_int()),
                        .body = parser.get().body(),
                        .chunked = parser.chunked()};
  for (const auto& field : parser.get()) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
      return std::tolower(letter);
    });
    response.fields[name] = field.value();
  }
  return response;
}

}  // namespace

void ResponseStream::Add(std::string_view bytes) {
  bytes_ += bytes;
  while (violations_.empty() && !bytes_.empty() && ParseNext(false)) continue;
}

void ResponseStream::Finish(StreamEnd end, bool sent_all) {
  while (violations_.empty() && !bytes_.empty() && ParseNext(true)) continue;
  if (!violations_.empty() || end != StreamEnd::kClosed) return;
  if (!bytes_.empty()) {
    Report("the response is truncated");
  } else if (sent_all && !connection_.mutated() && !closes_ &&
             responses_ < connection_.requests.size()) {
    Report("the connection was closed without a response");
  }
}

// Parses the next response. Returns false if it is incomplete or malformed.
bool ResponseStream::ParseNext(bool ended) {
  if (closes_) {
    Report("bytes after a response that announced a close");
    return false;
  }
  const bool own = has_own_request();
  Parser parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (own && connection_.requests[responses_].head) parser.skip(true);
  std::string_view rest = bytes_;
  while (!parser.is_done()) {
    // Behind a mutated request it is unknown which response belongs to HEAD.
    const bool header_only =
        !own && parser.is_header_done() && parser.get().body().empty() &&
        (rest.empty() ? ended : rest.starts_with("HTTP/1.1 "));
    if (header_only && connection_.bytes.find("HEAD") != std::string::npos)
      break;
    // The header is parsed by itself, for the check above.
    parser.eager(parser.is_header_done());
    boost::system::error_code error;
    const std::size_t used =
        parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
    rest.remove_prefix(used);
    if (error == http::error::need_more ||
        (!error && used == 0 && !parser.is_done()))
      return false;
    if (error) {
      Report("malformed response: " + error.message());
      return false;
    }
    if (parser.is_header_done() && parser.need_eof() && !parser.is_done()) {
      Report("a response without a length");
      return false;
    }
  }
  const int status = static_cast<int>(parser.get().result_int());
  if (parser.get().version() != 11) Report("the version is not HTTP/1.1");
  if (status < 200) {
    const bool expected =
        !own || connection_.requests[responses_].expects_continue;
    if (status != 100 || !expected) Report("unexpected interim response");
    bytes_.erase(0, bytes_.size() - rest.size());
    return violations_.empty();
  }
  OnResponse(ReadResponse(parser), !parser.get().keep_alive());
  bytes_.erase(0, bytes_.size() - rest.size());
  return violations_.empty();
}

void ResponseStream::OnResponse(const HttpResponse& response, bool closes) {
  const bool own = has_own_request();
  // The response to the first mutated request is known to be its own, too.
  if (responses_ <= connection_.well_formed &&
      responses_ < connection_.requests.size()) {
    const FuzzedRequest& request = connection_.requests[responses_];
    const CallOutcome outcome =
        ClassifyResponse(response, request.id, request.answer_bytes);
    if (outcome == CallOutcome::kNotRun) refused_.push_back(request.id);
    if (own && response.status == 200) {
      const auto id = response.fields.find("x-request-id");
      const bool is_own =
          request.head ? id != response.fields.end() && id->second == request.id
                       : outcome == CallOutcome::kAnswered;
      if (is_own) {
        ++answered_;
      } else {
        Report("the response of another request to " + request.id);
      }
    }
  } else if (!connection_.mutated()) {
    Report("more responses than requests");
  }
  closes_ = closes;
  ++responses_;
}

void ResponseStream::Report(const std::string& what) {
  const std::string_view rest = bytes_;
  violations_.push_back(fmt::format("{}, response {}: {}", what, responses_,
                                    rest.substr(0, kShownBytes)));
}

}  // namespace camphor
