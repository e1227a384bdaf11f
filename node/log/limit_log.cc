#include "node/log/limit_log.h"

#include <cassert>

namespace camphor {

LimitLog::LimitLog(Options options)
    : options_(options), budget_(options.budget) {
  assert(options_.log != nullptr);
}

void LimitLog::Write(ProxyLimit limit, MonoTime now) {
  Write(ProxyLimitText(limit), now);
}

void LimitLog::Write(std::string_view text, MonoTime now) {
  if (!budget_.Take(1, now)) {
    ++suppressed_;
    return;
  }
  options_.log->Log(LogLevel::kWarning, options_.part, text,
                    {{"left_out", suppressed_}});
}

}  // namespace camphor
