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

/// Headers by which a target selects what it does. Callers may change all
/// others between repetitions.
constexpr std::array kSelectingHeaders = {
    http::field::accept,           http::field::accept_encoding,
    http::field::accept_language,  http::field::authorization,
    http::field::content_encoding, http::field::content_type,
    http::field::cookie,           http::field::if_match,
    http::field::if_none_match,    http::field::range,
};

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

/// Hashes a sequence of texts, none of which can run into the next.
class TextHasher {
 public:
  TextHasher& Add(std::string_view text) {
    hash_ = XXH3_64bits_withSeed(text.data(), text.size(), hash_);
    return *this;
  }

  std::uint64_t hash() const { return hash_; }

 private:
  std::uint64_t hash_ = 0;
};

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

std::uint64_t RequestFingerprint(const RequestIdentity& identity) {
  const http::request_header<>& header = identity.header;
  TextHasher text;
  text.Add(identity.route)
      .Add(identity.caller)
      .Add(View(header.method_string()))
      .Add(View(header.target()))
      .Add(identity.body_prefix);
  if (identity.body_length) text.Add(std::to_string(*identity.body_length));
  for (const http::field name : kSelectingHeaders) {
    const auto [first, last] = header.equal_range(name);
    for (auto field = first; field != last; ++field)
      text.Add(View(http::to_string(name))).Add(View(field->value()));
  }
  return text.hash();
}

}  // namespace camphor
