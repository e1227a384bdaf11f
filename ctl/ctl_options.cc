#include "ctl/ctl_options.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string_view>

namespace camphor {
namespace {

using OwnedText = std::unique_ptr<char, decltype(&std::free)>;

/// Option values written by popt, which leaves ownership of the strings to its
/// user.
struct RawOptions {
  char* nodes = nullptr;
  char* token_file = nullptr;
  char* operation_id = nullptr;
  char* base = nullptr;
  char* logs = nullptr;
  char* method = nullptr;
  char* host = nullptr;
  char* path = nullptr;
  char** headers = nullptr;  ///< ends with a null pointer
  char* file = nullptr;
  int timeout_s = 120;
  int json = 0;
  int dry_run = 0;
  int wait = 0;
  int help = 0;
  int version = 0;
};

std::string TakeString(char* text) {
  const OwnedText owned(text, &std::free);
  return owned == nullptr ? std::string() : std::string(owned.get());
}

std::vector<std::string> TakeStrings(char** texts) {
  std::vector<std::string> strings;
  if (texts == nullptr) return strings;
  for (char** text = texts; *text != nullptr; ++text)
    strings.push_back(TakeString(*text));
  std::free(texts);
  return strings;
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) return std::nullopt;
  return number;
}

std::string ReadEnvironment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? "" : value;
}

bool ReadNodes(std::string_view list, CtlOptions& options,
               std::string& reason) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    const std::string_view text = list.substr(0, end);
    const std::optional<Endpoint> node = Endpoint::Parse(text);
    if (!node.has_value() || node->port == 0) {
      reason = "--nodes: " + std::string(text) +
               " is not an IP address with a port, such as 10.0.0.1:7003";
      return false;
    }
    options.nodes.push_back(*node);
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return true;
}

bool ReadToken(const std::string& file, CtlOptions& options,
               std::string& reason) {
  if (file.empty()) {
    options.token = ReadEnvironment("CAMPHOR_TOKEN");
    return true;
  }
  std::ifstream input(file);
  if (!std::getline(input, options.token) || options.token.empty()) {
    reason = "--token-file: " + file + " has no token in its first line";
    return false;
  }
  return true;
}

}  // namespace

std::optional<CtlOptions> CtlOptions::Parse(int argc, const char** argv,
                                            std::string& reason) {
  RawOptions raw;
  const std::array<poptOption, 17> table = {{
      {"nodes", 'n', POPT_ARG_STRING, &raw.nodes, 0, nullptr, nullptr},
      {"token-file", 't', POPT_ARG_STRING, &raw.token_file, 0, nullptr,
       nullptr},
      {"operation-id", 0, POPT_ARG_STRING, &raw.operation_id, 0, nullptr,
       nullptr},
      {"base", 0, POPT_ARG_STRING, &raw.base, 0, nullptr, nullptr},
      {"logs", 0, POPT_ARG_STRING, &raw.logs, 0, nullptr, nullptr},
      {"method", 0, POPT_ARG_STRING, &raw.method, 0, nullptr, nullptr},
      {"host", 0, POPT_ARG_STRING, &raw.host, 0, nullptr, nullptr},
      {"path", 0, POPT_ARG_STRING, &raw.path, 0, nullptr, nullptr},
      {"header", 0, POPT_ARG_ARGV, &raw.headers, 0, nullptr, nullptr},
      {"file", 0, POPT_ARG_STRING, &raw.file, 0, nullptr, nullptr},
      {"timeout", 0, POPT_ARG_INT, &raw.timeout_s, 0, nullptr, nullptr},
      {"json", 'j', POPT_ARG_NONE, &raw.json, 0, nullptr, nullptr},
      {"dry-run", 0, POPT_ARG_NONE, &raw.dry_run, 0, nullptr, nullptr},
      {"wait", 'w', POPT_ARG_NONE, &raw.wait, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &raw.help, 0, nullptr, nullptr},
      {"version", 'V', POPT_ARG_NONE, &raw.version, 0, nullptr, nullptr},
      POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("camphorctl", argc, argv, table.data(), 0),
      &poptFreeContext);
  const int result = poptGetNextOpt(context.get());

  CtlOptions options;
  std::string nodes = TakeString(raw.nodes);
  const std::string token_file = TakeString(raw.token_file);
  options.operation_id = TakeString(raw.operation_id);
  const std::string base = TakeString(raw.base);
  options.method = TakeString(raw.method);
  options.host = TakeString(raw.host);
  options.path = TakeString(raw.path);
  options.headers = TakeStrings(raw.headers);
  options.file = TakeString(raw.file);
  if (raw.logs != nullptr) options.logs = TakeString(raw.logs);
  if (result < -1) {
    reason = std::string(poptBadOption(context.get(), 0)) + ": " +
             poptStrerror(result);
    return std::nullopt;
  }
  if (!base.empty()) {
    options.base = ParseNumber(base);
    if (!options.base.has_value()) {
      reason = "--base: " + base + " is not a version number";
      return std::nullopt;
    }
  }
  if (raw.timeout_s < 1) {
    reason = "--timeout: must be at least 1 second";
    return std::nullopt;
  }
  options.timeout = Seconds(raw.timeout_s);
  options.json = raw.json != 0;
  options.dry_run = raw.dry_run != 0;
  options.wait = raw.wait != 0;
  options.help = raw.help != 0;
  options.version = raw.version != 0;
  while (const char* argument = poptGetArg(context.get())) {
    options.arguments.emplace_back(argument);
  }
  if (nodes.empty()) nodes = ReadEnvironment("CAMPHOR_NODES");
  if (!ReadNodes(nodes, options, reason)) return std::nullopt;
  if (!ReadToken(token_file, options, reason)) return std::nullopt;
  return options;
}

}  // namespace camphor
