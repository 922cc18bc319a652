#include "ryefold/core/session/isolation.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::session {
namespace {

/// Number of timed-out instances after which others are probed. A single one
/// may just have lost power.
constexpr size_t kProbeThreshold = 2;
/// Instances probed per round, all of which have to time out. Statements go to
/// a few keepers, which may fail while the rest of the fleet is up, so probes
/// go to all instances. If half of a fleet has lost power, one instance in 256
/// probes eight failed ones by chance; its next probes correct that.
constexpr size_t kProbesPerRound = 8;
/// Interval between rounds of probes. Longer than the timeout of a probe, and
/// short compared with the one-second interval of readiness checks.
constexpr std::chrono::milliseconds kProbeInterval{200};

}  // namespace

void IsolationDetector::SetPeers(std::vector<std::string> peers) {
  peers_ = std::move(peers);
  next_peer_ = 0;
}

bool IsolationDetector::RecordResponse(TimePoint now) {
  last_contact_ = now;
  timed_out_.clear();
  pending_probes_.clear();
  return std::exchange(cut_off_, false);
}

bool IsolationDetector::RecordTimeout(const std::string& instance,
                                      TimePoint asked) {
  // Responses arrive early and timeouts late. Without this check, an instance
  // in the minority partition would count the timeouts of earlier probes
  // although another peer has responded since.
  if (asked <= last_contact_) return false;
  timed_out_.insert(instance);
  const bool last_pending =
      pending_probes_.erase(instance) > 0 && pending_probes_.empty();
  return last_pending && !std::exchange(cut_off_, true);
}

std::vector<std::string> IsolationDetector::TakeDueProbes(TimePoint now) {
  std::vector<std::string> probes;
  const size_t threshold = std::min(kProbeThreshold, peers_.size());
  if (threshold == 0 || timed_out_.size() < threshold) return probes;
  if (now < next_probe_time_) return probes;
  next_probe_time_ = now + kProbeInterval;
  const size_t count = std::min(kProbesPerRound, peers_.size());
  for (size_t i = 0; i < count; ++i) {
    probes.push_back(peers_[next_peer_++ % peers_.size()]);
  }
  pending_probes_.clear();
  pending_probes_.insert(probes.begin(), probes.end());
  return probes;
}

}  // namespace ryefold::core::session
