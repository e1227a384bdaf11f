#include "harness/history/edit_order.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace camphor {
namespace {

using EditsByVersion = std::map<std::uint64_t, const EditEvent*>;

// Returns the accepted edits by version; reports wrong and duplicate versions.
EditsByVersion AcceptedEdits(const std::vector<EditEvent>& edits,
                             std::vector<std::string>& violations) {
  EditsByVersion accepted;
  for (const EditEvent& edit : edits) {
    if (edit.outcome != EditOutcome::kAccepted) continue;
    if (edit.version != edit.base + 1) {
      violations.push_back(fmt::format("{} created version {} on base {}",
                                       edit.editor, edit.version, edit.base));
    }
    if (!accepted.emplace(edit.version, &edit).second) {
      violations.push_back(
          fmt::format("version {} was created twice", edit.version));
    }
  }
  return accepted;
}

// An edit that ended before another began must have the lower version.
void CheckRealTime(const EditsByVersion& accepted,
                   std::vector<std::string>& violations) {
  EventTime latest_sent{};
  std::uint64_t latest_version = 0;
  for (const auto& [version, edit] : accepted) {
    if (edit->ended < latest_sent) {
      violations.push_back(
          fmt::format("version {} was accepted before version {} was sent",
                      version, latest_version));
    }
    if (edit->sent > latest_sent) {
      latest_sent = edit->sent;
      latest_version = version;
    }
  }
}

// A version without an accepted edit must be explained by an edit of unknown
// outcome on the preceding version that was sent before the next accepted edit
// ended.
void CheckGaps(const std::vector<EditEvent>& edits,
               const EditsByVersion& accepted,
               std::vector<std::string>& violations) {
  if (accepted.empty()) return;
  std::uint64_t first = accepted.begin()->first;
  for (const EditEvent& edit : edits) first = std::min(first, edit.base + 1);
  for (std::uint64_t version = first; version < accepted.rbegin()->first;
       ++version) {
    if (accepted.contains(version)) continue;
    const EventTime next_ended = accepted.upper_bound(version)->second->ended;
    const bool explained =
        std::ranges::any_of(edits, [&](const EditEvent& edit) {
          return edit.outcome == EditOutcome::kUnknown &&
                 edit.base + 1 == version && edit.sent <= next_ended;
        });
    if (!explained) {
      violations.push_back(fmt::format(
          "no edit created version {}, which is below an accepted version",
          version));
    }
  }
}

// A conflict requires a competing edit on the same base that was sent before
// the conflict was returned.
void CheckConflicts(const std::vector<EditEvent>& edits,
                    const EditsByVersion& accepted,
                    std::vector<std::string>& violations) {
  for (const EditEvent& edit : edits) {
    if (edit.outcome != EditOutcome::kConflict) continue;
    const auto competitor = accepted.find(edit.base + 1);
    const bool by_accepted =
        competitor != accepted.end() && competitor->second->sent <= edit.ended;
    const bool by_unknown =
        std::ranges::any_of(edits, [&](const EditEvent& other) {
          return other.outcome == EditOutcome::kUnknown &&
                 other.base == edit.base && other.sent <= edit.ended;
        });
    if (by_accepted || by_unknown) continue;
    violations.push_back(
        fmt::format("{} had a conflict on base {} without a competing edit",
                    edit.editor, edit.base));
  }
}

}  // namespace

std::vector<std::string> CheckEditOrder(const std::vector<EditEvent>& edits) {
  std::vector<std::string> violations;
  const EditsByVersion accepted = AcceptedEdits(edits, violations);
  CheckRealTime(accepted, violations);
  CheckGaps(edits, accepted, violations);
  CheckConflicts(edits, accepted, violations);
  return violations;
}

}  // namespace camphor
