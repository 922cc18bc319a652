#include "ryefold/core/session/own_commits.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::session {
namespace {

/// Returns an iterator to the commit in `group`, or the end.
template <class Commits>
auto FindCommit(Commits& commits, const std::string& group) {
  return std::find_if(
      commits.begin(), commits.end(),
      [&group](const auto& commit) { return commit.group == group; });
}

}  // namespace

void OwnCommits::ReplaceByTime(std::vector<Commit>::iterator commit) {
  forgotten_until_ = std::max(forgotten_until_, commit->acknowledged_at);
  commits_.erase(commit);
}

std::string OwnCommits::Record(TimePoint now, const std::string& group,
                               const std::optional<LogPosition>& position) {
  const auto found = FindCommit(commits_, group);
  const bool known = found != commits_.end();
  // Only another log under the group's name gives a later commit a lower
  // position; positions of the two cannot be compared.
  const bool usable =
      position.has_value() && !(known && *position < found->position);
  if (!usable) {
    if (known) commits_.erase(found);
    forgotten_until_ = std::max(forgotten_until_, now);
    return group;
  }
  if (known) {
    found->position = *position;
    found->acknowledged_at = now;
    return "";
  }
  std::string forgotten;
  if (commits_.size() == kMaxGroups) {
    const auto oldest = std::min_element(
        commits_.begin(), commits_.end(), [](const Commit& a, const Commit& b) {
          return a.acknowledged_at < b.acknowledged_at;
        });
    forgotten = oldest->group;
    ReplaceByTime(oldest);
  }
  commits_.push_back({group, *position, now});
  return forgotten;
}

void OwnCommits::ForgetPosition(const std::string& group) {
  const auto found = FindCommit(commits_, group);
  if (found != commits_.end()) ReplaceByTime(found);
}

OwnCommitRequirement OwnCommits::RequirementIn(const std::string& group) const {
  const auto found = FindCommit(commits_, group);
  OwnCommitRequirement requirement;
  if (found == commits_.end()) {
    requirement.all_until = forgotten_until_;
    return requirement;
  }
  requirement.position = found->position;
  requirement.acknowledged_at = found->acknowledged_at;
  return requirement;
}

}  // namespace ryefold::core::session
