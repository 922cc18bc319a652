#pragma once

// State shared by the components of a node: documents, members, calls in flight
// and the state of peers.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "documents.h"
#include "member_list.h"
#include "ryefold/core/configuration/node.h"

namespace ryefold::core::configuration {

/// Called once with the answer to a call, or with null if the call failed.
using StoreCallback = std::function<void(TimePoint, const StoreAnswer*)>;
using PeerCallback = std::function<void(TimePoint, const PeerAnswer*)>;

/// The state of one peer as of its last message.
struct PeerState {
  uint64_t revision = 0;
  /// The peer is not selected before this time because a call to it failed.
  TimePoint retry_at;
};

class Context {
 public:
  explicit Context(NodeOptions node_options);

  // ---- calls ----
  /// A `timeout` of zero selects the default timeout, also below.
  void CallStore(TimePoint now, StoreRequest request, StoreCallback done,
                 std::chrono::milliseconds timeout = {});
  /// `name` may be empty for a seed.
  void CallPeer(TimePoint now, const std::string& name,
                const std::string& address, PeerRequest request,
                PeerCallback done, std::chrono::milliseconds timeout = {});
  void CompleteStoreCall(TimePoint now, CallId call, const StoreAnswer* answer);
  void CompletePeerCall(TimePoint now, CallId call, const PeerAnswer* answer);
  void Emit(Action action) { actions->push_back(std::move(action)); }

  // ---- changes ----
  void ReportChangedKeys(const Documents::Keys& keys);
  /// Schedules ApplyMembers after the list or the notices have changed.
  void ScheduleMemberUpdate(TimePoint now);
  void ApplyMembers(TimePoint now);
  TimePoint apply_members_at() const { return apply_members_at_; }

  // ---- peers and members ----
  bool IsReady(TimePoint now) const;
  SyncState CurrentSyncState(TimePoint now) const;
  /// Live instances other than this one, ordered by name.
  const std::vector<std::string>& other_instances() const {
    return other_instances_;
  }
  /// The predecessors and successors of this instance on several rings; on each
  /// ring a different hash orders all instances. Updates cross such a graph in
  /// few steps, each instance has the same number of links, and a replaced
  /// instance affects only its neighbours.
  const std::vector<std::string>& neighbours() const { return neighbours_; }
  std::string AddressOf(const std::string& name) const;
  /// Position of this instance in the order of store watchers.
  size_t StoreRank() const { return store_rank_; }
  void RecordPeerState(TimePoint now, const std::string& name,
                       const SyncState& sync_state);

  uint64_t RandomBelow(uint64_t below) {
    return below == 0 ? 0 : random_() % below;
  }
  std::chrono::milliseconds WithJitter(std::chrono::milliseconds length);

  const NodeOptions options;
  Documents documents;
  MemberList members;
  std::map<std::string, membership::Member> merged_members;
  std::unordered_map<std::string, PeerState> peers;
  std::vector<Action>* actions = nullptr;
  NodeView counters;
  /// An update exists that has not been pushed to peers.
  bool has_updates = false;
  /// The next change has been cleared from the store, so that a snapshot must
  /// be loaded.
  bool needs_snapshot = false;
  TimePoint started_at;
  TimePoint last_peer_contact;
  TimePoint last_store_contact;
  /// Time of the last response of the store to any instance, as far as this
  /// instance has learned.
  TimePoint last_fleet_store_contact;

 private:
  void ChooseNeighbours();

  std::vector<std::string> other_instances_;
  std::vector<std::string> neighbours_;
  size_t store_rank_ = 0;
  TimePoint apply_members_at_ = TimePoint::max();
  TimePoint members_applied_;
  bool list_applied_ = false;
  CallId next_call_ = 1;
  std::unordered_map<CallId, StoreCallback> store_calls_;
  struct PeerPending {
    std::string name;
    PeerCallback done;
  };
  std::unordered_map<CallId, PeerPending> peer_calls_;
  std::mt19937_64 random_;
};

}  // namespace ryefold::core::configuration
