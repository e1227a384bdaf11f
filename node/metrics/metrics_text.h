#ifndef CAMPHORHILL_NODE_METRICS_METRICS_TEXT_H_
#define CAMPHORHILL_NODE_METRICS_METRICS_TEXT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphor {

/// Builds metrics in the Prometheus text format.
///
/// Add all series of one metric one after the other: its help and type stand
/// before the first.
class MetricsText {
 public:
  using Labels = std::vector<std::pair<std::string_view, std::string>>;

  /// Adds a value that may go up and down. Thread safety: one thread.
  void Gauge(std::string_view name, std::string_view help, double value,
             const Labels& labels = {});

  /// Adds a value that only rises while the process runs. Thread safety: one
  /// thread.
  void Counter(std::string_view name, std::string_view help, double value,
               const Labels& labels = {});

  /// The text so far. Thread safety: one thread.
  const std::string& text() const { return text_; }

 private:
  void Add(std::string_view type, std::string_view name, std::string_view help,
           double value, const Labels& labels);

  std::string text_;
  std::string last_name_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_METRICS_TEXT_H_
