#include "performance_test/rollout/trial_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace camphor {
namespace {

/// Totals over a set of rollouts.
struct Totals {
  std::size_t good = 0;
  std::size_t good_in_time = 0;
  std::size_t good_rolled_back = 0;
  std::size_t bad = 0;
  std::size_t bad_rolled_back = 0;
  std::size_t gross = 0;
  std::size_t gross_rolled_back = 0;
  std::vector<double> bad_shares{};
  std::vector<double> new_shares{};
  std::vector<double> bad_requests{};
  std::vector<double> rollback_delays{};
};

void AddResult(Totals& totals, const RolloutKind& kind,
               const TrialResult& result) {
  if (!kind.bad) {
    totals.good += 1;
    totals.good_in_time += result.in_time ? 1 : 0;
    totals.good_rolled_back += result.rolled_back ? 1 : 0;
    return;
  }
  totals.bad += 1;
  totals.bad_rolled_back += result.rolled_back ? 1 : 0;
  if (kind.gross) {
    totals.gross += 1;
    totals.gross_rolled_back += result.rolled_back ? 1 : 0;
  }
  totals.bad_shares.push_back(result.bad_share);
  totals.new_shares.push_back(result.new_share);
  totals.bad_requests.push_back(static_cast<double>(result.bad_requests));
  if (result.rolled_back)
    totals.rollback_delays.push_back(result.rollback_delay_s);
}

double Ratio(std::size_t part, std::size_t all) {
  return all == 0 ? 1 : static_cast<double>(part) / static_cast<double>(all);
}

}  // namespace

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  const double rank =
      std::ceil(fraction * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::max(rank, 0.0))];
}

void TrialSummary::Add(const RolloutKind& kind, std::size_t index,
                       const TrialResult& result) {
  Row& row = rows_[kind.name];
  row.kind = kind;
  row.results.push_back(result);
  row.indices.push_back(index);
}

std::string TrialSummary::Table() const {
  std::string table = fmt::format(
      "{:<24}{:>5}{:>8}{:>11}{:>11}{:>11}{:>10}{:>10}\n", "kind", "n", "right",
      "share_p50", "share_p99", "bad_req50", "back_s50", "back_s99");
  for (const auto& [name, row] : rows_) {
    Totals totals;
    for (const TrialResult& result : row.results) {
      AddResult(totals, row.kind, result);
    }
    const double correct = row.kind.bad
                               ? Ratio(totals.bad_rolled_back, totals.bad)
                               : Ratio(totals.good_in_time, totals.good);
    table += fmt::format(
        "{:<24}{:>5}{:>8.3f}{:>10.3f}%{:>10.3f}%{:>11.0f}{:>10.0f}{:>10.0f}\n",
        name, row.results.size(), correct,
        100 * Quantile(totals.bad_shares, 0.5),
        100 * Quantile(totals.bad_shares, 0.99),
        Quantile(totals.bad_requests, 0.5),
        Quantile(totals.rollback_delays, 0.5),
        Quantile(totals.rollback_delays, 0.99));
  }
  return table;
}

std::string TrialSummary::Line() const {
  Totals totals;
  for (const auto& [name, row] : rows_) {
    for (const TrialResult& result : row.results) {
      AddResult(totals, row.kind, result);
    }
  }
  return fmt::format(
      "moves={} good={} good_in_time={:.4f} good_taken_back={:.4f} bad={} "
      "bad_taken_back={:.4f} bad_share_p99={:.5f} new_share_p50={:.5f} "
      "new_share_p99={:.5f} bad_requests_p50={:.0f} "
      "take_back_s_p50={:.0f} take_back_s_p99={:.0f} "
      "gross_taken_back={:.4f} mild_taken_back={:.4f}",
      totals.good + totals.bad, totals.good,
      Ratio(totals.good_in_time, totals.good),
      totals.good == 0 ? 0 : Ratio(totals.good_rolled_back, totals.good),
      totals.bad, Ratio(totals.bad_rolled_back, totals.bad),
      Quantile(totals.bad_shares, 0.99), Quantile(totals.new_shares, 0.5),
      Quantile(totals.new_shares, 0.99), Quantile(totals.bad_requests, 0.5),
      Quantile(totals.rollback_delays, 0.5),
      Quantile(totals.rollback_delays, 0.99),
      Ratio(totals.gross_rolled_back, totals.gross),
      Ratio(totals.bad_rolled_back - totals.gross_rolled_back,
            totals.bad - totals.gross));
}

std::string TrialSummary::WrongDecisions() const {
  std::string lines;
  for (const auto& [name, row] : rows_) {
    for (std::size_t entry = 0; entry < row.results.size(); ++entry) {
      const TrialResult& result = row.results[entry];
      if (row.kind.bad ? result.rolled_back : result.in_time) continue;
      const std::string_view outcome = result.rolled_back ? "rolled back"
                                       : result.ended     ? "done"
                                                          : "not ended";
      lines +=
          fmt::format("{} index={}: {}: {}: {}\n", name, row.indices[entry],
                      outcome, result.reason.signal, result.reason.sentence);
    }
  }
  return lines;
}

}  // namespace camphor
