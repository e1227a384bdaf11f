#include "ctl/commands/preview_request.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

#include "core/base/http_syntax.h"

namespace camphor {
namespace {

/// Longer heads are refused by every host (`maxHeaderBytes`).
constexpr std::size_t kMaxHeadBytes = 64 * 1024;

/// Returns true for a path without spaces and control characters.
bool IsPath(std::string_view text) {
  return text.starts_with('/') && IsVisibleText(text);
}

/// Returns true for a host name or address, with or without a port.
bool IsHost(std::string_view text) {
  return !text.empty() && IsVisibleText(text) &&
         text.find('/') == std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpaces = " \t";
  const std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpaces) + 1 - first);
}

struct Header {
  std::string_view name;
  std::string_view value;
};

/// Splits "Name: value"; std::nullopt if the line is not of this form.
std::optional<Header> SplitHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const Header header{.name = line.substr(0, colon),
                      .value = Trim(line.substr(colon + 1))};
  if (!IsHttpToken(header.name) || !IsHttpFieldValue(header.value))
    return std::nullopt;
  return header;
}

/// Adds a header. The values of a repeated one become a list. Names that differ
/// only in case stay apart; the host compares them.
void Add(const Header& header, boost::json::object& headers) {
  boost::json::value& member = headers[header.name];
  if (member.is_null()) {
    member = boost::json::string(header.value);
    return;
  }
  if (member.is_string())
    member = boost::json::array{boost::json::string(member.get_string())};
  member.get_array().push_back(boost::json::string(header.value));
}

}  // namespace

std::optional<boost::json::object> MakePreviewBody(const CtlOptions& options,
                                                   std::string& reason) {
  const std::string method = options.method.empty() ? "GET" : options.method;
  if (!IsHttpToken(method)) {
    reason = "--method: must be a method, such as GET";
    return std::nullopt;
  }
  if (!IsHost(options.host)) {
    reason = options.host.empty() ? "--host: is required"
                                  : "--host: must be a host name or address";
    return std::nullopt;
  }
  if (!IsPath(options.path)) {
    reason = options.path.empty()
                 ? "--path: is required"
                 : "--path: must start with / and must not contain spaces";
    return std::nullopt;
  }
  boost::json::object headers;
  for (std::size_t index = 0; index < options.headers.size(); ++index) {
    const std::optional<Header> header = SplitHeader(options.headers[index]);
    if (!header) {
      reason =
          fmt::format("--header: number {} must be \"Name: value\"", index + 1);
      return std::nullopt;
    }
    if (IsHostFieldName(header->name)) {
      reason = "--header: use --host for the Host header";
      return std::nullopt;
    }
    Add(*header, headers);
  }
  return boost::json::object{{"method", method},
                             {"host", options.host},
                             {"path", options.path},
                             {"headers", std::move(headers)}};
}

std::optional<boost::json::object> ReadRequestHead(std::istream& input,
                                                   std::string& reason) {
  std::string line;
  std::size_t number = 0;
  std::size_t bytes = 0;
  // Texts of the file may be keys, so that messages hold the line's number.
  const auto fail = [&](std::string_view problem) {
    reason = fmt::format("line {}: {}", number, problem);
    return std::nullopt;
  };
  const auto next = [&] {
    if (!std::getline(input, line)) return false;
    ++number;
    bytes += line.size() + 1;
    if (line.ends_with('\r')) line.pop_back();
    return true;
  };
  if (!next()) {
    reason = "line 1: a request line is required";
    return std::nullopt;
  }
  constexpr std::string_view kRequestLine =
      "must be a request line, such as GET /path HTTP/1.1";
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string::npos || first == last) return fail(kRequestLine);
  const std::string method = line.substr(0, first);
  const std::string path = line.substr(first + 1, last - first - 1);
  if (!IsHttpToken(method)) return fail(kRequestLine);
  if (line.substr(last + 1) != "HTTP/1.1")
    return fail("the version must be HTTP/1.1");
  if (!IsPath(path))
    return fail("the path must start with / and must not contain spaces");

  boost::json::object headers;
  std::string host;
  while (next() && !line.empty()) {
    if (bytes > kMaxHeadBytes) return fail("the head is longer than 64 KiB");
    const std::optional<Header> header = SplitHeader(line);
    if (!header) return fail("must be a header, such as Name: value");
    if (!IsHostFieldName(header->name)) {
      Add(*header, headers);
      continue;
    }
    if (!host.empty()) return fail("there must be only one Host header");
    if (!IsHost(header->value))
      return fail("the Host header must be a host name or address");
    host = header->value;
  }
  if (host.empty()) return fail("the head ends without a Host header");
  return boost::json::object{{"method", method},
                             {"host", host},
                             {"path", path},
                             {"headers", std::move(headers)}};
}

}  // namespace camphor
