#include "performance_test/convergence/convergence_report.h"

#include <algorithm>

namespace camphor {
namespace {

// Returns the time from which the convergence of an edit is measured on a host
// that served it at `served`: the sending of the edit, or a later restart of
// the host.
EventTime MeasureFrom(const std::vector<EventTime>& restarts, EventTime sent,
                      EventTime served) {
  EventTime begin = sent;
  for (const EventTime restart : restarts)
    if (restart <= served) begin = std::max(begin, restart);
  return begin;
}

std::vector<ServingEvent> ServingEventsOnHost(const History& history,
                                              const std::string& host) {
  std::vector<ServingEvent> events;
  for (const ServingEvent& event : history.serving)
    if (event.host == host) events.push_back(event);
  std::ranges::sort(events, {}, &ServingEvent::at);
  return events;
}

std::uint64_t CountReversions(const std::vector<ServingEvent>& events) {
  std::uint64_t count = 0;
  std::uint64_t highest = 0;
  for (const ServingEvent& event : events) {
    if (event.version < highest) ++count;
    highest = std::max(highest, event.version);
  }
  return count;
}

}  // namespace

ConvergenceReport ConvergenceReport::Of(const History& history,
                                        const std::vector<std::string>& hosts,
                                        const RestartTimes& restarts) {
  ConvergenceReport report;
  std::uint64_t newest = 0;
  for (const EditEvent& edit : history.edits)
    if (edit.outcome == EditOutcome::kAccepted)
      newest = std::max(newest, edit.version);

  for (const std::string& host : hosts) {
    const std::vector<ServingEvent> events = ServingEventsOnHost(history, host);
    const auto found = restarts.find(host);
    const std::vector<EventTime> host_restarts =
        found == restarts.end() ? std::vector<EventTime>{} : found->second;
    report.reversions += CountReversions(events);
    if (events.empty() || events.back().version < newest) ++report.stale_hosts;
    for (const EditEvent& edit : history.edits) {
      if (edit.outcome != EditOutcome::kAccepted) continue;
      const auto served =
          std::ranges::find_if(events, [&](const ServingEvent& event) {
            return event.at >= edit.sent && event.version >= edit.version;
          });
      if (served == events.end()) {
        ++report.never;
        continue;
      }
      const EventTime took =
          served->at - MeasureFrom(host_restarts, edit.sent, served->at);
      report.times_ms.push_back(static_cast<double>(took.count()) / 1000);
    }
  }
  std::ranges::sort(report.times_ms);
  return report;
}

double ConvergenceReport::Quantile(double fraction) const {
  if (times_ms.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(times_ms.size() - 1));
  return times_ms[index];
}

}  // namespace camphor
