#include "core/rollout/sequential_judge.h"

#include <algorithm>
#include <cmath>

namespace camphor {
namespace {

// Targets of the old version that were there from the start are warm.
constexpr Seconds kStartGrace{5};

}  // namespace

SequentialJudge::SequentialJudge(Options options) : options_(options) {}

void SequentialJudge::AddBlock(const EvidenceBlock& block) {
  if (!started_) started_ = block.end;
  lone_ = block.new_targets <= 1 || !options_.leave_one_out;
  for (const RouteBlock& route : SplitByRoute(block))
    AddRoute(route, block.end);
  EndBlock();
}

void SequentialJudge::AddRoute(const RouteBlock& route, MonoTime now) {
  RouteComparison& comparison =
      comparisons_.try_emplace(route.route, options_.comparison).first->second;
  Track& track = tracks_[route.route];
  const auto before = track.counts;
  comparison.Compare(
      route,
      [&](const TargetId& target, bool is_new) {
        return IsCold(target, is_new, now);
      },
      track.counts,
      [&](JudgeSignal signal, const TargetId& target, const LogRatios& ratios) {
        const auto index = static_cast<std::size_t>(signal);
        track.streams[index].Add(target, ratios);
        pooled_.streams[index].Add(target, ratios);
      });
  for (std::size_t signal = 0; signal < kJudgeSignals; ++signal) {
    SignalCounts& all = pooled_.counts[signal];
    const SignalCounts& one = track.counts[signal];
    all.new_requests += one.new_requests - before[signal].new_requests;
    all.new_hits += one.new_hits - before[signal].new_hits;
    all.old_requests += one.old_requests - before[signal].old_requests;
    all.old_hits += one.old_hits - before[signal].old_hits;
  }
}

void SequentialJudge::EndBlock() {
  const double threshold = Threshold();
  evidence_ = 0;
  const auto end_track = [&](Track& track) {
    for (EvidenceStream& stream : track.streams) {
      stream.EndBlock();
      evidence_ = std::max(evidence_, stream.Strength(lone_) / threshold);
    }
  };
  for (auto& [route, track] : tracks_) end_track(track);
  end_track(pooled_);
}

void SequentialJudge::ForgetTarget(const TargetId& target) {
  const auto forget = [&](Track& track) {
    for (EvidenceStream& stream : track.streams) stream.Forget(target);
  };
  for (auto& [route, track] : tracks_) forget(track);
  forget(pooled_);
  first_seen_.erase(target);
}

std::vector<EvidenceView> SequentialJudge::View() const {
  std::vector<EvidenceView> views;
  for (std::size_t signal = 0; signal < kJudgeSignals; ++signal) {
    views.push_back(ViewOf(RouteName(), pooled_, signal));
  }
  for (const auto& [route, track] : tracks_) {
    for (std::size_t signal = 0; signal < kJudgeSignals; ++signal) {
      views.push_back(ViewOf(route, track, signal));
    }
  }
  return views;
}

EvidenceView SequentialJudge::ViewOf(const RouteName& route, const Track& track,
                                     std::size_t signal) const {
  const SignalCounts& counts = track.counts[signal];
  return {.route = route,
          .signal = static_cast<JudgeSignal>(signal),
          .new_requests = counts.new_requests,
          .new_hits = counts.new_hits,
          .old_requests = counts.old_requests,
          .old_hits = counts.old_hits,
          .evidence = track.streams[signal].Strength(lone_) / Threshold()};
}

bool SequentialJudge::IsCold(const TargetId& target, bool is_new,
                             MonoTime now) {
  const auto [seen, first] = first_seen_.try_emplace(target, now);
  const bool from_start = seen->second <= *started_ + kStartGrace;
  if (!is_new && from_start) return false;
  return now < seen->second + options_.comparison.cold_start;
}

double SequentialJudge::Threshold() const {
  const auto streams =
      static_cast<double>(kJudgeSignals * (tracks_.size() + 1));
  return std::log(static_cast<double>(kEffectSizes.size()) * streams /
                  options_.false_alarm);
}

}  // namespace camphor
