#include <fmt/format.h>

#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include "performance_test/load/load_client.h"
#include "stand_ins/command_line.h"

namespace {

/// Parses "address:port,address:port". Returns an empty vector if any is
/// malformed.
std::vector<camphor::Endpoint> ReadEndpoints(const std::string& text) {
  std::vector<camphor::Endpoint> endpoints;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    const auto endpoint = camphor::Endpoint::Parse(part);
    if (!endpoint) return {};
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

}  // namespace

int main(int argc, const char** argv) {
  camphor::CommandLine line(
      {{.name = "to", .help = "comma-separated addresses of caller listeners"},
       {.name = "rate", .help = "requests per second", .fallback = "100"},
       {.name = "seconds", .help = "duration", .fallback = "10"},
       {.name = "path", .help = "path and query", .fallback = "/work"},
       {.name = "method", .help = "method", .fallback = "GET"},
       {.name = "keyed",
        .help = "1 to send an idempotency key",
        .fallback = "0"},
       {.name = "answer-bytes",
        .help = "length of each response body",
        .fallback = "256"},
       {.name = "work-ms", .help = "duration of each run", .fallback = "0"},
       {.name = "deadline-ms",
        .help = "deadline sent to the proxy",
        .fallback = "1000"},
       {.name = "concurrency",
        .help = "maximum requests in flight",
        .fallback = "4096"},
       {.name = "id-prefix",
        .help = "makes request ids unique",
        .fallback = "r"}});
  const bool parsed = line.Parse(argc, argv);
  const std::vector<camphor::Endpoint> endpoints =
      ReadEndpoints(line.Text("to"));
  const auto rate = line.Number("rate");
  const auto seconds = line.Number("seconds");
  const auto bytes = line.Number("answer-bytes");
  const auto work = line.Number("work-ms");
  const auto deadline = line.Number("deadline-ms");
  const auto concurrency = line.Number("concurrency");
  if (!parsed || endpoints.empty() || !rate || *rate < 1 || !seconds ||
      *seconds < 1 || !bytes || !work || !deadline || !concurrency) {
    fmt::print(stderr, "camphor_load: bad command line: {}\n",
               line.last_reason());
    return 2;
  }
  camphor::LoadClient client(
      {.endpoints = endpoints,
       .rate = static_cast<double>(*rate),
       .path = line.Text("path"),
       .method = line.Text("method"),
       .id_prefix = line.Text("id-prefix"),
       .keyed = line.Text("keyed") == "1",
       .answer_bytes = static_cast<std::size_t>(*bytes),
       .work_ms = static_cast<std::uint32_t>(*work),
       .deadline = camphor::Milliseconds(*deadline),
       .max_in_flight = static_cast<std::size_t>(*concurrency)});
  client.Run(camphor::Seconds(*seconds));
  const camphor::LoadReport& report = client.report();
  fmt::print("{}\n", report.ToString(static_cast<double>(*seconds)));
  const bool valid = report.wrong == 0 && report.truncated == 0;
  return valid ? 0 : 1;
}
