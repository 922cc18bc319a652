#include "ryefold/core/session/isolation.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::session {
namespace {

/// Silent instances after which others are probed: one may just have lost
/// power.
constexpr size_t kDoubtful = 2;
/// Instances probed at a time, all of which have to keep silent. Statements go
/// to a few keepers, which may be gone while the rest of the fleet is there, so
/// these are drawn from all. Where half of a fleet has lost power, one instance
/// in 256 finds eight that are silent, and the next probes put it right.
constexpr size_t kProbes = 8;
/// Pause between probes; longer than the time each has for its answer, and
/// short beside the second at which balancers ask whether an instance is ready.
constexpr std::chrono::milliseconds kProbePause{200};

}  // namespace

void Isolation::SetOthers(std::vector<std::string> others) {
  others_ = std::move(others);
  next_ = 0;
}

bool Isolation::Heard(TimePoint now) {
  heard_at_ = now;
  silent_.clear();
  unanswered_.clear();
  return std::exchange(cut_off_, false);
}

bool Isolation::Silent(const std::string& instance, TimePoint asked) {
  // Answers come at once and silences late. Without this an instance on the
  // smaller side of a partition would count the silences of many probes whose
  // first had long been answered.
  if (asked <= heard_at_) return false;
  silent_.insert(instance);
  const bool last = unanswered_.erase(instance) > 0 && unanswered_.empty();
  return last && !std::exchange(cut_off_, true);
}

std::vector<std::string> Isolation::ProbesDue(TimePoint now) {
  std::vector<std::string> probes;
  const size_t doubtful = std::min(kDoubtful, others_.size());
  if (doubtful == 0 || silent_.size() < doubtful) return probes;
  if (now < probe_not_before_) return probes;
  probe_not_before_ = now + kProbePause;
  const size_t count = std::min(kProbes, others_.size());
  for (size_t i = 0; i < count; ++i) {
    probes.push_back(others_[next_++ % others_.size()]);
  }
  unanswered_.clear();
  unanswered_.insert(probes.begin(), probes.end());
  return probes;
}

}  // namespace ryefold::core::session
