#include "harness/fuzz/request_fuzzer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "harness/fuzz/random_choice.h"

namespace camphor {
namespace {

constexpr std::size_t kMaxConnections = 8;
constexpr std::size_t kMaxRequests = 5;
constexpr std::size_t kMaxPieces = 12;
constexpr std::size_t kMaxBody = 6000;
constexpr std::size_t kMaxLargeAnswer = 200'000;
constexpr std::size_t kMaxShown = 400;

/// A request in parts, so that mutations can change one of them.
struct RequestParts {
  std::string line{};                 ///< request line without its end
  std::vector<std::string> fields{};  ///< header lines without their ends
  std::string body{};                 ///< with the framing of chunks

  std::string Join() const {
    std::string text = line + "\r\n";
    for (const std::string& field : fields) text += field + "\r\n";
    return text + "\r\n" + body;
  }
};

std::string RandomBytes(RandomChoice& choice, std::size_t count) {
  // Bytes on which parsers of HTTP decide are more likely than others.
  constexpr std::string_view kDelimiters("\r\n\t :;,\"0\0aF\x7f\xff\0", 15);
  std::string bytes;
  while (bytes.size() < count) {
    bytes.push_back(choice.Chance(60) ? choice.OneOf(kDelimiters)
                                      : static_cast<char>(choice.Index(256)));
  }
  return bytes;
}

std::string Chunked(RandomChoice& choice, std::string_view content) {
  constexpr std::array<std::string_view, 5> kExtensions = {
      "", ";a", ";name=value", ";q=\"a;b\"", ";x=1;y=2"};
  std::string body;
  while (!content.empty()) {
    const std::size_t size = choice.Between(1, content.size());
    body +=
        fmt::format("{}{:x}{}\r\n{}\r\n", choice.Chance(20) ? "00" : "", size,
                    choice.OneOf(kExtensions), content.substr(0, size));
    content.remove_prefix(size);
  }
  body += fmt::format("0{}\r\n", choice.OneOf(kExtensions));
  if (choice.Chance(30)) body += "X-Checksum: 1234\r\nX-Other: b\r\n";
  return body + "\r\n";
}

/// Returns a body; some contain a request that a receiver which loses the
/// framing would run.
std::string MakeContent(RandomChoice& choice, FuzzedRequest& request) {
  if (!choice.Chance(30)) {
    const std::size_t size = choice.Chance(10)
                                 ? choice.Between(kMaxBody, kFuzzBodyBytes)
                                 : choice.Index(kMaxBody);
    return std::string(size, 'x');
  }
  request.smuggled_id = "smuggled-" + request.id;
  return fmt::format(
      "{}GET {}/inner HTTP/1.1\r\nX-Request-Id: {}\r\nHost: h\r\n\r\n",
      choice.Chance(50) ? "0\r\n\r\n" : "", kFuzzServedPath,
      request.smuggled_id);
}

void AddBody(RandomChoice& choice, RequestParts& parts,
             FuzzedRequest& request) {
  const std::string content = MakeContent(choice, request);
  if (choice.Chance(15)) {
    parts.fields.emplace_back("Expect: 100-continue");
    request.expects_continue = true;
  }
  if (choice.Chance(50)) {
    parts.fields.emplace_back(choice.Chance(50) ? "Transfer-Encoding: chunked"
                                                : "transfer-encoding:Chunked");
    parts.body = Chunked(choice, content);
  } else {
    parts.fields.push_back(fmt::format("Content-Length: {}", content.size()));
    parts.body = content;
  }
}

std::string MakeTarget(RandomChoice& choice, const FuzzedRequest& request,
                       RequestParts& parts) {
  const std::size_t kind = choice.Index(100);
  if (kind < 60) {
    constexpr std::array<std::string_view, 6> kTails = {
        "", "/1", "/a/b?c=d&e", "?q=%20%2f", "/%00%ff", "//..//x;p=1"};
    return std::string(kFuzzServedPath).append(choice.OneOf(kTails));
  }
  if (kind < 75) {
    if (choice.Chance(80))
      parts.fields.push_back("Idempotency-Key: key-" + request.id);
    return kFuzzOncePath;
  }
  if (kind < 90) {
    if (choice.Chance(70)) {
      parts.fields.push_back(
          fmt::format("X-Fuzzed-Team-Key: {}",
                      choice.Chance(50) ? "fuzz-key" : "other-key"));
    }
    return kFuzzKeyedPath;
  }
  return choice.Chance(80) ? "/nowhere" : "*";
}

RequestParts MakeRequest(RandomChoice& choice, FuzzedRequest& request) {
  constexpr std::array<std::string_view, 10> kMethods = {
      "GET",    "GET",     "GET",   "POST", "POST",
      "DELETE", "OPTIONS", "PATCH", "HEAD", "BREW"};
  constexpr std::array<std::string_view, 6> kConnections = {
      "keep-alive", "close",          "Keep-Alive, X-Hop",
      "x-hop",      "content-length", "host, transfer-encoding"};
  constexpr std::array<std::string_view, 8> kOthers = {
      "X-Hop: 1",         "Accept:*/*",   "cookie:\t a=b; c=\"d\" ",
      "X-Empty:",         "TE: trailers", "X-Camphor-Deadline-Ms: 20000",
      "X-Text: \xc3\xa9", "Keep-Alive: 5"};
  RequestParts parts;
  // The id comes first, so that a mutation which ends the header early seldom
  // leaves it to the next message.
  parts.fields = {"X-Request-Id: " + request.id, "Host: h"};
  const std::string method(choice.OneOf(kMethods));
  request.head = method == "HEAD";
  const std::string target = MakeTarget(choice, request, parts);
  parts.line = fmt::format("{} {} HTTP/1.1", method, target);

  request.answer_bytes =
      choice.Chance(8) ? choice.Index(kMaxLargeAnswer) : choice.Index(200);
  parts.fields.push_back(
      fmt::format("X-Answer-Bytes: {}", request.answer_bytes));
  if (choice.Chance(25)) parts.fields.emplace_back("X-Answer-Chunked: 1");
  if (choice.Chance(30)) {
    parts.fields.push_back(fmt::format("X-Work-Ms: {}", choice.Index(20)));
  }
  if (choice.Chance(20)) {
    parts.fields.push_back(
        fmt::format("Connection: {}", choice.OneOf(kConnections)));
  }
  for (std::size_t more = choice.Index(4); more > 0; --more)
    parts.fields.emplace_back(choice.OneOf(kOthers));
  if (choice.Chance(method == "GET" || method == "HEAD" ? 10 : 70))
    AddBody(choice, parts, request);
  return parts;
}

std::string ShortLines(std::size_t count) {
  std::string lines;
  for (std::size_t index = 0; index < count; ++index) lines += "a:\r\n";
  return lines;
}

void MutateLine(RandomChoice& choice, RequestParts& parts) {
  const std::vector<std::string> lines = {
      "GET /served HTTP/1.0",
      "GET /served HTTP/2.0",
      "GET /served HTTP/1.2",
      "GET /served http/1.1",
      "GET /served",
      "GET",
      "",
      "GET  /served HTTP/1.1",
      "GET\t/served\tHTTP/1.1",
      "GET /served HTTP/1.1 ",
      "GET http://h/served HTTP/1.1",
      "CONNECT h:80 HTTP/1.1",
      "GET /served#part HTTP/1.1",
      "GET /served/\x01\x80 HTTP/1.1",
      "PRI * HTTP/2.0",
      "G(T /served HTTP/1.1",
      "GET " + std::string(kFuzzHeaderBytes, '/') + " HTTP/1.1",
      std::string(2 * kFuzzHeaderBytes, 'A')};
  parts.line = choice.OneOf(lines);
}

void MutateFields(RandomChoice& choice, RequestParts& parts) {
  const std::vector<std::string> fields = {
      "Host: other",
      "X-Space : 1",
      "X-Fold: a\r\n b",
      "no colon",
      ": no name",
      std::string("X-Nul: a\0b", 10),
      "X-Cr: a\rb",
      "X-Lf: a\nX-After: b",
      "X-\xe9: 1",
      "X-Long: " + std::string(kFuzzHeaderBytes, 'v'),
      ShortLines(3000) + "X-Last: 1",
      "Expect: 200-maybe",
      "Expect: 100-continue\r\nExpect: 100-continue",
      "Idempotency-Key: a\r\nIdempotency-Key: b",
      "Idempotency-Key: " + std::string(300, 'k'),
      "X-Camphor-Deadline-Ms: -1",
      "X-Camphor-Deadline-Ms: 0",
      "X-Camphor-Control: hello",
      "Connection: upgrade\r\nUpgrade: h2c",
      "Connection: ,,\"x,;",
      "Connection: close, x-request-id, host"};
  if (choice.Chance(10)) {
    std::erase(parts.fields, "Host: h");
    return;
  }
  parts.fields.insert(
      parts.fields.begin() +
          static_cast<std::ptrdiff_t>(choice.Between(1, parts.fields.size())),
      choice.OneOf(fields));
}

/// Changes what tells the length of the body.
void MutateLength(RandomChoice& choice, RequestParts& parts) {
  const std::vector<std::string> fields = {
      "Content-Length: -1",
      "Content-Length: +5",
      "Content-Length: 0x10",
      "Content-Length: 5, 5",
      "Content-Length: 18446744073709551616",
      "Content-Length: 18446744073709551615",
      "Content-Length: 5 5",
      "Content-Length:",
      fmt::format("Content-Length: {}", kFuzzBodyBytes + 1),
      fmt::format("Content-Length: {}", parts.body.size() + 1),
      fmt::format("Content-Length: {}", parts.body.size() / 2),
      "Content-Length: 3\r\nContent-Length: 3",
      "Content-Length: 3\r\nContent-Length: 4",
      "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding: chunked, chunked",
      "Transfer-Encoding: identity",
      "Transfer-Encoding: xchunked",
      "Transfer-Encoding: \vchunked",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nContent-Length: 4"};
  if (choice.Chance(50)) {
    std::erase_if(parts.fields, [](const std::string& field) {
      return field.starts_with("Content-Length") ||
             field.starts_with("Transfer-Encoding") ||
             field.starts_with("transfer-encoding");
    });
  }
  parts.fields.push_back(choice.OneOf(fields));
}

void MutateChunks(RandomChoice& choice, RequestParts& parts) {
  const std::vector<std::string> bodies = {
      "g\r\nx\r\n0\r\n\r\n",
      "-5\r\nhello\r\n0\r\n\r\n",
      "ffffffffffffffffff\r\nx",
      "ffffffffffffffff\r\nx",
      "0x5\r\nhello\r\n0\r\n\r\n",
      " 5\r\nhello\r\n0\r\n\r\n",
      "5 \r\nhello\r\n0\r\n\r\n",
      "\r\nhello\r\n0\r\n\r\n",
      "5\r\nhello0\r\n\r\n",
      "5\nhello\n0\n\n",
      "5\r\nhelloworld\r\n0\r\n\r\n",
      "5;" + std::string(2 * kFuzzHeaderBytes, 'e') + "\r\nhello\r\n0\r\n\r\n",
      "5;a=\"\r\nhello\r\n0\r\n\r\n",
      "5;\x01\x7f\r\nhello\r\n0\r\n\r\n",
      "0\r\nno colon\r\n\r\n",
      "0\r\n: b\r\n\r\n",
      "0\r\n" + ShortLines(4000) + "\r\n",
      "0\r\nX-Long: " + std::string(2 * kFuzzHeaderBytes, 't') + "\r\n\r\n",
      "0\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n",
      fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", kFuzzBodyBytes + 1,
                  std::string(kFuzzBodyBytes + 1, 'x'))};
  std::erase_if(parts.fields, [](const std::string& field) {
    return field.starts_with("Content-Length");
  });
  parts.fields.emplace_back("Transfer-Encoding: chunked");
  parts.body = choice.OneOf(bodies);
}

void MutateBytes(RandomChoice& choice, std::string& text) {
  for (std::size_t change = choice.Between(1, 6); change > 0; --change) {
    if (text.empty()) return;
    const std::size_t at = choice.Index(text.size());
    const std::size_t length = choice.Between(1, 16);
    switch (choice.Index(5)) {
      case 0:
        text[at] = static_cast<char>(choice.Index(256));
        break;
      case 1:
        text.insert(at, RandomBytes(choice, length));
        break;
      case 2:
        text.erase(at, length);
        break;
      case 3:
        text.insert(at, text.substr(choice.Index(text.size()), 4 * length));
        break;
      default:
        text.replace(at, std::min(length, text.size() - at),
                     RandomBytes(choice, length));
    }
  }
}

std::string Mutate(RandomChoice& choice, RequestParts parts) {
  std::string text;
  switch (choice.Index(6)) {
    case 0:
      MutateLine(choice, parts);
      return parts.Join();
    case 1:
      MutateFields(choice, parts);
      return parts.Join();
    case 2:
      MutateLength(choice, parts);
      return parts.Join();
    case 3:
      MutateChunks(choice, parts);
      return parts.Join();
    case 4:
      text = parts.Join();
      return text.substr(0, choice.Index(text.size()));
    default:
      text = parts.Join();
      MutateBytes(choice, text);
      return text;
  }
}

FuzzedConnection MakeConnection(RandomChoice& choice,
                                const std::string& prefix) {
  FuzzedConnection connection;
  const bool mutated = choice.Chance(60);
  const std::size_t requests = choice.Between(1, kMaxRequests);
  const std::size_t first_mutated = mutated ? choice.Index(requests) : requests;
  connection.well_formed = first_mutated;
  connection.reads_late = choice.Chance(15);
  for (std::size_t index = 0; index < requests; ++index) {
    FuzzedRequest request{.id = fmt::format("{}-{}", prefix, index)};
    const RequestParts parts = MakeRequest(choice, request);
    const bool mutate =
        index == first_mutated || (index > first_mutated && choice.Chance(30));
    connection.bytes += mutate ? Mutate(choice, parts) : parts.Join();
    connection.requests.push_back(std::move(request));
  }
  return connection;
}

/// Appends the steps of one connection: its bytes in pieces, cut off or not.
std::vector<FuzzStep> MakeSteps(RandomChoice& choice, std::size_t connection,
                                std::size_t size) {
  constexpr std::array kCuts = {FuzzStep::Kind::kHalfClose,
                                FuzzStep::Kind::kClose, FuzzStep::Kind::kReset};
  const bool cut = choice.Chance(35);
  const std::size_t end =
      cut && choice.Chance(80) ? choice.Index(size + 1) : size;
  std::vector<std::size_t> offsets{end};
  for (std::size_t piece = choice.Index(kMaxPieces); piece > 0; --piece)
    offsets.push_back(choice.Index(end + 1));
  if (choice.Chance(10)) {
    // A run of single bytes.
    const std::size_t first = choice.Index(end + 1);
    for (std::size_t at = first; at < std::min(first + 60, end); ++at)
      offsets.push_back(at);
  }
  std::ranges::sort(offsets);
  std::vector<FuzzStep> steps;
  std::size_t sent = 0;
  for (const std::size_t offset : offsets) {
    if (offset == sent) continue;
    steps.push_back({.connection = connection, .count = offset - sent});
    sent = offset;
  }
  if (cut)
    steps.push_back({.kind = choice.OneOf(kCuts), .connection = connection});
  return steps;
}

std::string Escape(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes.substr(0, kMaxShown)) {
    if (byte == '\r') {
      text += "\\r";
    } else if (byte == '\n') {
      text += "\\n";
    } else if (byte >= ' ' && byte <= '~') {
      text.push_back(byte);
    } else {
      text += fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
    }
  }
  if (bytes.size() > kMaxShown)
    text += fmt::format("... ({} bytes)", bytes.size());
  return text;
}

}  // namespace

FuzzCase MakeFuzzCase(std::uint64_t seed, std::uint64_t round,
                      const std::string& prefix) {
  RandomChoice choice(seed, round);
  FuzzCase made;
  std::vector<std::vector<FuzzStep>> waiting;
  const std::size_t connections = choice.Between(2, kMaxConnections);
  for (std::size_t index = 0; index < connections; ++index) {
    made.connections.push_back(
        MakeConnection(choice, fmt::format("{}-{}-{}", prefix, round, index)));
    waiting.push_back(
        MakeSteps(choice, index, made.connections.back().bytes.size()));
    std::ranges::reverse(waiting.back());
  }
  while (true) {
    std::erase_if(waiting, [](const auto& steps) { return steps.empty(); });
    if (waiting.empty()) return made;
    std::vector<FuzzStep>& next = waiting[choice.Index(waiting.size())];
    made.steps.push_back(next.back());
    next.pop_back();
    if (choice.Chance(10)) {
      made.steps.push_back(
          {.kind = FuzzStep::Kind::kPause, .count = choice.Between(1, 5)});
    }
  }
}

std::string DescribeFuzzCase(const FuzzCase& fuzz_case, std::size_t steps) {
  std::string text;
  std::vector<std::size_t> sent(fuzz_case.connections.size());
  for (const FuzzStep& step : fuzz_case.steps) {
    if (steps-- == 0) break;
    const std::size_t index = step.connection;
    switch (step.kind) {
      case FuzzStep::Kind::kSend: {
        const std::string_view bytes = fuzz_case.connections[index].bytes;
        text += fmt::format("  {}: send {}\n", index,
                            Escape(bytes.substr(sent[index], step.count)));
        sent[index] += step.count;
        break;
      }
      case FuzzStep::Kind::kPause:
        text += fmt::format("  pause {} ms\n", step.count);
        break;
      case FuzzStep::Kind::kHalfClose:
        text += fmt::format("  {}: half-close\n", index);
        break;
      case FuzzStep::Kind::kClose:
        text += fmt::format("  {}: close\n", index);
        break;
      case FuzzStep::Kind::kReset:
        text += fmt::format("  {}: reset\n", index);
        break;
    }
  }
  return text;
}

}  // namespace camphor
