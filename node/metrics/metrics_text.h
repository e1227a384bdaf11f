#ifndef CAMPHORHILL_NODE_METRICS_METRICS_TEXT_H_
#define CAMPHORHILL_NODE_METRICS_METRICS_TEXT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphor {

/// Builds metrics in the Prometheus text format.
///
/// All series of one metric must be added consecutively, because help and type
/// are written before the first.
class MetricsText {
 public:
  using Labels = std::vector<std::pair<std::string_view, std::string>>;

  /// Adds a gauge. Must be called from one thread.
  void Gauge(std::string_view name, std::string_view help, double value,
             const Labels& labels = {});

  /// Adds a counter, which must never decrease while the process runs. Must be
  /// called from one thread.
  void Counter(std::string_view name, std::string_view help, double value,
               const Labels& labels = {});

  /// Text of the metrics added so far. Must be called from one thread.
  const std::string& text() const { return text_; }

 private:
  void Add(std::string_view type, std::string_view name, std::string_view help,
           double value, const Labels& labels);

  std::string text_;
  std::string last_name_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_METRICS_TEXT_H_
