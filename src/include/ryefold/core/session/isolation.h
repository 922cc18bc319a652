#pragma once

// Detection of this instance being partitioned from all other instances.
//
// A network partition can cut off an instance that callers still reach. Each
// statement would then try one keeper after the other and fail at its deadline.
// The responses and timeouts of all peers together show the partition within a
// few tenths of a second. From then on the instance rejects statements
// immediately and reports itself as not ready to the load balancer.

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Decides whether this instance is cut off. A single response from any peer
/// clears the state, so an instance in the minority partition, or in a fleet
/// that lost half of its instances, does not stay cut off.
class IsolationDetector {
 public:
  /// Sets the other instances of the fleet.
  void SetPeers(std::vector<std::string> peers);

  /// Records a response of any peer, to a statement or a probe. Returns true if
  /// the instance was cut off until now.
  bool RecordResponse(TimePoint now);
  /// Records that `instance` did not respond to a request sent at `asked`.
  /// Ignored if any peer has responded since. Returns true if this instance is
  /// cut off from now on.
  bool RecordTimeout(const std::string& instance, TimePoint asked);

  bool cut_off() const { return cut_off_; }
  /// Time of the last response of any peer; the epoch if there was none.
  TimePoint last_contact() const { return last_contact_; }
  /// Number of instances that have timed out since the last response.
  size_t timed_out_count() const { return timed_out_.size(); }

  /// Returns the instances to probe now. Probes are due once a few instances
  /// have timed out, until one responds; all peers are probed in turn.
  std::vector<std::string> TakeDueProbes(TimePoint now);

 private:
  std::vector<std::string> peers_;
  /// Instances that have timed out since the last response of any peer.
  std::set<std::string> timed_out_;
  /// Instances of the last round of probes that have neither responded nor
  /// timed out.
  std::set<std::string> pending_probes_;
  bool cut_off_ = false;
  TimePoint last_contact_;
  TimePoint next_probe_time_;
  /// Index into `peers_` of the next instance to probe.
  size_t next_peer_ = 0;
};

}  // namespace ryefold::core::session
