#include "proxy/header_rules.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

#include "proxy/header_names.h"

namespace camphor {
namespace {

constexpr std::size_t kFingerprintedBodyBytes = 1024;
constexpr std::int64_t kMaxDeadlineMs = 24 * 3600 * 1000;

constexpr std::array kHopByHopHeaders = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::expect,
};

/// Headers that may change when a caller repeats a request, possibly through
/// another host.
constexpr std::array<std::string_view, 9> kVolatileHeaders = {
    "Host", "Idempotency-Key", "X-Request-Id",      "Traceparent", "Tracestate",
    "Date", "Content-Length",  "Transfer-Encoding", "Connection",
};

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsVolatile(std::string_view name) {
  return beast::iequals(name.substr(0, kInternalPrefix.size()),
                        beast::string_view(kInternalPrefix)) ||
         beast::iequals(name.substr(0, 5), "X-B3-") ||
         std::ranges::any_of(kVolatileHeaders, [name](std::string_view known) {
           return beast::iequals(known, name);
         });
}

}  // namespace

std::string_view HeaderValue(const http::fields& fields,
                             std::string_view name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view() : View(found->value());
}

std::optional<std::string> FindRequestHeaderError(
    const http::request_header<>& header) {
  // HTTP/1.0 cannot distinguish a truncated response from a complete one of
  // unknown length.
  if (header.version() != 11) return "only HTTP/1.1 is supported";
  const std::string_view path = View(header.target());
  if (!path.starts_with('/') && path != "*") {
    return "the request target must be a path";
  }
  if (path.find('#') != std::string_view::npos) {
    return "the request target must not have a fragment";
  }
  const std::size_t hosts = header.count(http::field::host);
  if (hosts != 1) {
    return "exactly one Host header is required";
  }

  // Request smuggling: parsers that disagree on the length see different
  // requests.
  const std::size_t lengths = header.count(http::field::content_length);
  const std::size_t encodings = header.count(http::field::transfer_encoding);
  if (lengths > 1 || (lengths == 1 && encodings > 0)) {
    return "conflicting or repeated body length headers";
  }
  if (lengths == 1 &&
      View(header[http::field::content_length])
              .find_first_not_of("0123456789") != std::string_view::npos) {
    return "Content-Length must be a single number";
  }
  if (encodings > 1 ||
      (encodings == 1 &&
       !beast::iequals(header[http::field::transfer_encoding], "chunked"))) {
    return "the only supported Transfer-Encoding is chunked";
  }
  return std::nullopt;
}

std::optional<std::string> FindResponseHeaderError(
    const ResponseParser& parser, const HeaderVocabulary* vocabulary) {
  const http::response_header<>& header = parser.get();
  if (header.result() == http::status::switching_protocols) {
    return "the target switched protocols";
  }
  if (header.count(http::field::content_length) > 1 ||
      (header.count(http::field::transfer_encoding) > 0 && !parser.chunked())) {
    return "ambiguous body length in the target's response";
  }
  // A response delimited by connection close looks like a truncated one, unless
  // targets are known to abort with a reset only.
  const bool unframed = vocabulary != nullptr && vocabulary->unframed_responses;
  if (parser.need_eof() && !unframed)
    return "no body length in the target's response";
  if (vocabulary == nullptr) return std::nullopt;
  const bool success = header.result_int() / 100 == 2;
  if (success && !vocabulary->receipt.empty() &&
      HeaderValue(header, vocabulary->receipt).empty()) {
    return "no receipt header in the target's successful response";
  }
  if (vocabulary->plain_bodies &&
      header.count(http::field::content_encoding) > 0) {
    return "Content-Encoding is not allowed in the target's response";
  }
  return std::nullopt;
}

std::string_view GetRequestId(const http::request_header<>& header,
                              const HeaderVocabulary& vocabulary) {
  constexpr std::string_view kUsualHeader = "X-Request-Id";
  if (vocabulary.request_id.empty()) return HeaderValue(header, kUsualHeader);
  return HeaderValue(header, vocabulary.request_id);
}

bool IsMarkedNotRun(const http::response_header<>& header,
                    const HeaderVocabulary& vocabulary) {
  if (!vocabulary.not_run.empty() &&
      !HeaderValue(header, vocabulary.not_run).empty()) {
    return true;
  }
  return !vocabulary.expected_target.empty() &&
         header.result() == http::status::misdirected_request;
}

std::optional<double> ReadRequestLimit(const http::response_header<>& header,
                                       const HeaderVocabulary& vocabulary) {
  if (vocabulary.request_limit.empty()) return std::nullopt;
  const std::string_view text = HeaderValue(header, vocabulary.request_limit);
  double limit = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), limit);
  const bool readable = error == std::errc() &&
                        end == text.data() + text.size() &&
                        std::isfinite(limit) && limit >= 0;
  return readable ? std::optional(limit) : std::nullopt;
}

bool IsMarkedLeaving(const http::response_header<>& header,
                     const HeaderVocabulary& vocabulary) {
  return !vocabulary.leaving.empty() &&
         HeaderValue(header, vocabulary.leaving) == "1";
}

Milliseconds ReadKeepAliveTimeout(const http::response_header<>& header) {
  constexpr Milliseconds kNeverTold = std::chrono::hours(24);
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text = View(header[http::field::keep_alive]);
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) return kNeverTold;
  const std::string_view digits = text.substr(at + kTimeout.size());
  std::int64_t seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  // A fifth is kept as margin for a request in transit when the timeout
  // expires.
  return std::min<Milliseconds>(Seconds(seconds) * 4 / 5, kNeverTold);
}

void RemoveHopByHopHeaders(http::fields& fields) {
  // The Connection header lists further hop-by-hop headers.
  std::vector<std::string> named;
  for (const auto& token : http::token_list(fields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& name : named) {
    if (beast::iequals(name, "Content-Length") ||
        beast::iequals(name, "Host")) {
      continue;
    }
    fields.erase(name);
  }
  for (const http::field field : kHopByHopHeaders) fields.erase(field);
}

void RemoveInternalHeaders(http::fields& fields) {
  for (auto field = fields.begin(); field != fields.end();) {
    const std::string_view name = View(field->name_string());
    const bool internal = beast::iequals(name.substr(0, kInternalPrefix.size()),
                                         beast::string_view(kInternalPrefix));
    field = internal ? fields.erase(field) : std::next(field);
  }
}

std::optional<Milliseconds> ReadDeadline(const http::fields& fields,
                                         std::string_view name,
                                         Milliseconds fallback) {
  const auto found = fields.find(name);
  if (found == fields.end()) return fallback;
  const std::string_view text = View(found->value());
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size() ||
      milliseconds < 0 || milliseconds > kMaxDeadlineMs) {
    return std::nullopt;
  }
  return Milliseconds(milliseconds);
}

std::uint64_t RequestFingerprint(const http::request_header<>& header,
                                 std::string_view body_prefix) {
  const std::string_view body = body_prefix.substr(0, kFingerprintedBodyBytes);
  const std::string_view method = View(header.method_string());
  const std::string_view path = View(header.target());
  std::uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
  hash = XXH3_64bits_withSeed(body.data(), body.size(), hash);

  // Summed, so that the order of the headers does not matter.
  std::uint64_t headers = 0;
  for (const auto& field : header) {
    const std::string_view name = View(field.name_string());
    if (IsVolatile(name)) continue;
    std::uint64_t seed = 0;
    for (const char letter : name) {
      seed = seed * 131 + static_cast<unsigned char>(letter | 0x20);
    }
    headers +=
        XXH3_64bits_withSeed(field.value().data(), field.value().size(), seed);
  }
  return XXH3_64bits_withSeed(&headers, sizeof headers, hash);
}

}  // namespace camphor
