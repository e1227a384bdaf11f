#include "harness/history/edit_order.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace camphor {
namespace {

using EditsByVersion = std::map<std::uint64_t, const EditEvent*>;

// Accepted edits by the version that each made; reports versions made twice.
EditsByVersion AcceptedEdits(const std::vector<EditEvent>& edits,
                             std::vector<std::string>& violations) {
  EditsByVersion accepted;
  for (const EditEvent& edit : edits) {
    if (edit.outcome != EditOutcome::kAccepted) continue;
    if (edit.version != edit.base + 1) {
      violations.push_back(fmt::format("{} made version {} on base {}",
                                       edit.editor, edit.version, edit.base));
    }
    if (!accepted.emplace(edit.version, &edit).second) {
      violations.push_back(
          fmt::format("version {} was made twice", edit.version));
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

// Unknown edits on the version's base that were sent early enough may have made
// a version that nobody was told of. Each explains one version.
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
      violations.push_back(
          fmt::format("nobody made version {}, below accepted ones", version));
    }
  }
}

// A conflict needs an edit that overtook it before it ended.
void CheckConflicts(const std::vector<EditEvent>& edits,
                    const EditsByVersion& accepted,
                    std::vector<std::string>& violations) {
  for (const EditEvent& edit : edits) {
    if (edit.outcome != EditOutcome::kConflict) continue;
    const auto overtaker = accepted.find(edit.base + 1);
    const bool by_accepted =
        overtaker != accepted.end() && overtaker->second->sent <= edit.ended;
    const bool by_unknown =
        std::ranges::any_of(edits, [&](const EditEvent& other) {
          return other.outcome == EditOutcome::kUnknown &&
                 other.base == edit.base && other.sent <= edit.ended;
        });
    if (by_accepted || by_unknown) continue;
    violations.push_back(
        fmt::format("{} had a conflict on base {}, which nobody overtook",
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
