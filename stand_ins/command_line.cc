#include "stand_ins/command_line.h"

#include <popt.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace camphor {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

CommandLine::CommandLine(std::vector<Option> options)
    : options_(std::move(options)) {
  for (const Option& option : options_) values_[option.name] = option.fallback;
}

bool CommandLine::Parse(int argc, const char** argv) {
  std::vector<poptOption> table;
  int number = 0;
  for (const Option& option : options_) {
    table.push_back(poptOption{option.name.c_str(), '\0', POPT_ARG_STRING,
                               nullptr, ++number, option.help.c_str(),
                               "VALUE"});
  }
  const poptOption closing[] = {POPT_AUTOHELP POPT_TABLEEND};
  table.insert(table.end(), std::begin(closing), std::end(closing));
  poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
  int found = 0;
  while ((found = poptGetNextOpt(context)) > 0) {
    char* value = poptGetOptArg(context);
    values_[options_[found - 1].name] = value;
    std::free(value);
  }
  const bool valid = found == -1 && poptPeekArg(context) == nullptr;
  if (!valid) {
    last_reason_ = found == -1
                       ? std::string("positional arguments are not supported")
                       : std::string(poptBadOption(context, 0)) + ": " +
                             poptStrerror(found);
  }
  poptFreeContext(context);
  return valid;
}

const std::string& CommandLine::Text(const std::string& name) const {
  return values_.at(name);
}

std::optional<long> CommandLine::Number(const std::string& name) const {
  const std::string& text = Text(name);
  long number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

void BlockStopSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int number = 0;
  sigwait(&signals, &number);
}

}  // namespace camphor
