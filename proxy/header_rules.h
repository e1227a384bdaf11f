#ifndef CAMPHORHILL_PROXY_HEADER_RULES_H_
#define CAMPHORHILL_PROXY_HEADER_RULES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "proxy/asio_types.h"
#include "proxy/header_vocabulary.h"

namespace camphor {

/// Returns a view of a header's value, or an empty view when the header is
/// absent. Thread-safe.
std::string_view HeaderValue(const http::fields& fields, std::string_view name);

/// Returns true if a response status says that the target failed. Thread-safe.
constexpr bool IsServerError(unsigned status) { return status >= 500; }

/// Validates a request header. Returns a message when it is unsafe to forward:
/// conflicting or repeated lengths, unknown transfer encodings, a missing or
/// repeated Host, an absolute or empty path. Returns std::nullopt when it is
/// valid. Thread-safe.
std::optional<std::string> FindRequestHeaderError(
    const http::request_header<>& header);

/// Validates a response header. Returns a message when the response cannot be
/// relayed: its framing does not define its end, or, by the vocabulary, it does
/// not come from the target. `vocabulary` is null for a response of another
/// host. Returns std::nullopt when it is valid. Thread-safe.
std::optional<std::string> FindResponseHeaderError(
    const ResponseParser& parser, const HeaderVocabulary* vocabulary);

/// Returns the caller's request id, or an empty view when there is none.
/// Thread-safe.
std::string_view GetRequestId(const http::request_header<>& header,
                              const HeaderVocabulary& vocabulary);

/// Returns true when a target's response states that it did not run the
/// request. Thread-safe.
bool IsMarkedNotRun(const http::response_header<>& header,
                    const HeaderVocabulary& vocabulary);

/// Returns the requests per second to which the target limits all hosts
/// together; std::nullopt if it names no limit, or none that can be read.
/// Thread-safe.
std::optional<double> ReadRequestLimit(const http::response_header<>& header,
                                       const HeaderVocabulary& vocabulary);

/// Returns true when the target says that it is leaving. Thread-safe.
bool IsMarkedLeaving(const http::response_header<>& header,
                     const HeaderVocabulary& vocabulary);

/// Returns the peer's keep-alive timeout, less a margin; one day when the
/// response does not give one. Thread-safe.
Milliseconds ReadKeepAliveTimeout(const http::response_header<>& header);

/// Removes hop-by-hop headers. Not thread-safe for the same message.
void RemoveHopByHopHeaders(http::fields& fields);

/// Removes all headers reserved for proxies. Not thread-safe for the same
/// message.
void RemoveInternalHeaders(http::fields& fields);

/// Parses a deadline header. Returns std::nullopt when the value is not a
/// number of milliseconds, and `fallback` when the header is absent.
/// Thread-safe.
std::optional<Milliseconds> ReadDeadline(const http::fields& fields,
                                         std::string_view name,
                                         Milliseconds fallback);

/// What identifies a request when its caller repeats it, through whichever
/// host. Holds views.
struct RequestIdentity {
  std::string_view route;   ///< name of its route
  std::string_view caller;  ///< pool of the caller; empty if unknown
  const http::request_header<>& header;
  std::string_view body_prefix;  ///< its body, or the beginning of a long one
  std::optional<std::uint64_t>
      body_length{};  ///< length of its body, if known in advance
};

/// Returns a hash of a request's identity. Of the headers, it covers those that
/// select what is done; ids, deadlines, tracing and transport headers differ
/// between repetitions. Thread-safe.
std::uint64_t RequestFingerprint(const RequestIdentity& identity);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEADER_RULES_H_
