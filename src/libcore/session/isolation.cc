#include "ryefold/core/session/isolation.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::session {
namespace {

/// Silent instances after which others are probed: one or two may just have
/// lost power.
constexpr size_t kDoubtful = 2;
/// Different instances in a row that have to keep silent. Where half of a fleet
/// has lost power, one instance in 256 finds eight such, and the next probes
/// put it right.
constexpr size_t kEnough = 8;
/// Instances probed at a time: with the doubtful ones they are enough.
constexpr size_t kProbes = 6;
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
  return std::exchange(cut_off_, false);
}

bool Isolation::Silent(const std::string& instance, TimePoint asked) {
  // Answers come at once and silences late. Without this an instance on the
  // smaller side of a partition would count the silences of many probes whose
  // first had long been answered.
  if (asked <= heard_at_) return false;
  silent_.insert(instance);
  const size_t needed = std::min(kEnough, others_.size());
  if (cut_off_ || needed < kDoubtful || silent_.size() < needed) return false;
  cut_off_ = true;
  return true;
}

std::vector<std::string> Isolation::ProbesDue(TimePoint now) {
  std::vector<std::string> probes;
  if (silent_.size() < kDoubtful || now < probe_not_before_) return probes;
  probe_not_before_ = now + kProbePause;
  // Those that are known to be silent are passed over at first; a cut heals for
  // all of them, so it does not matter who is asked later.
  for (size_t i = 0; i < others_.size() && probes.size() < kProbes; ++i) {
    const std::string& instance = others_[next_++ % others_.size()];
    if (!cut_off_ && silent_.count(instance) > 0) continue;
    probes.push_back(instance);
  }
  return probes;
}

}  // namespace ryefold::core::session
