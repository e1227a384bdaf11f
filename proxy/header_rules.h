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

/// A header's value as a view; empty when it is not there. Thread safety: value
/// type.
std::string_view HeaderValue(const http::fields& fields, std::string_view name);

/// Says what makes a caller's request header unsafe to pass on: conflicting or
/// repeated lengths, unknown transfer encodings, a missing or repeated host, an
/// absolute or empty path. Returns nothing when it is sound. Thread safety: any
/// thread.
std::optional<std::string> FindFaultOfRequest(
    const http::request_header<>& header);

/// Says why an answer can not be passed on: its framing does not tell where it
/// ends, or by the vocabulary, which is null for another host's answer, it does
/// not come from the target. Returns nothing when it is sound. Thread safety:
/// any thread.
std::optional<std::string> FindFaultOfAnswer(
    const AnswerParser& parser, const HeaderVocabulary* vocabulary);

/// What the caller names its request by; empty when it does not. Thread safety:
/// any thread.
std::string_view RequestIdOf(const http::request_header<>& header,
                             const HeaderVocabulary& vocabulary);

/// True when a target's answer says that it did not run the request. Thread
/// safety: any thread.
bool SaysNotRun(const http::response_header<>& header,
                const HeaderVocabulary& vocabulary);

/// How long the sender of an answer keeps its connection open when nothing is
/// sent, less a margin; a day when it does not say. Thread safety: any thread.
Milliseconds IdleTimeOf(const http::response_header<>& header);

/// Removes the headers that hold for one connection only. Thread safety: one
/// thread per message.
void RemoveHopByHopHeaders(http::fields& fields);

/// Removes every header that only proxies may set. Thread safety: one thread
/// per message.
void RemoveInternalHeaders(http::fields& fields);

/// Reads the deadline that the sender set. Returns nothing when the header is
/// there but is not a number of milliseconds; `fallback` when it is not there.
/// Thread safety: any thread.
std::optional<Milliseconds> ReadDeadline(const http::fields& fields,
                                         std::string_view name,
                                         Milliseconds fallback);

/// Hash that tells a poison request when it is sent again: method, path,
/// headers that stay the same when a caller repeats itself, and the beginning
/// of the body. Thread safety: any thread.
std::uint64_t RequestFingerprint(const http::request_header<>& header,
                                 std::string_view body_prefix);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEADER_RULES_H_
