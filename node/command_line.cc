#include "node/command_line.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>

namespace camphor {

std::optional<CommandLine> CommandLine::Parse(int argc, const char** argv,
                                              std::string& reason) {
  char* settings_file = nullptr;
  int check = 0;
  int version = 0;
  const std::array<poptOption, 5> table = {{
      {"settings", 's', POPT_ARG_STRING, &settings_file, 0,
       "read the settings from FILE (JSON with comments)", "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check, 0,
       "check the settings and exit: 0 if they are valid, 2 if not", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("camphord", argc, argv, table.data(), 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "--settings FILE [--check]");

  const int result = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> owned(settings_file,
                                                          &std::free);
  if (result < -1) {
    reason = std::string(poptBadOption(context.get(), 0)) + ": " +
             poptStrerror(result);
    return std::nullopt;
  }
  if (const char* rest = poptGetArg(context.get()); rest != nullptr) {
    reason = std::string(rest) + ": unexpected argument";
    return std::nullopt;
  }
  if (settings_file == nullptr && version == 0) {
    reason = "--settings is required";
    return std::nullopt;
  }
  return CommandLine{
      .settings_file = settings_file == nullptr ? "" : settings_file,
      .check = check != 0,
      .version = version != 0};
}

}  // namespace camphor
