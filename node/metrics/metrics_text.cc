#include "node/metrics/metrics_text.h"

#include <fmt/format.h>

#include <iterator>

namespace camphor {
namespace {

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') escaped += '\\';
    escaped += character;
  }
  return escaped;
}

}  // namespace

void MetricsText::Gauge(std::string_view name, std::string_view help,
                        double value, const Labels& labels) {
  Add("gauge", name, help, value, labels);
}

void MetricsText::Counter(std::string_view name, std::string_view help,
                          double value, const Labels& labels) {
  Add("counter", name, help, value, labels);
}

void MetricsText::Add(std::string_view type, std::string_view name,
                      std::string_view help, double value,
                      const Labels& labels) {
  const auto out = std::back_inserter(text_);
  if (last_name_ != name) {
    fmt::format_to(out, "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
    last_name_ = name;
  }
  text_ += name;
  for (std::size_t index = 0; index < labels.size(); ++index) {
    fmt::format_to(out, "{}{}=\"{}\"", index == 0 ? '{' : ',',
                   labels[index].first, EscapeLabel(labels[index].second));
  }
  if (!labels.empty()) text_ += '}';
  fmt::format_to(out, " {}\n", value);
}

}  // namespace camphor
