#pragma once

// What the parts of a node share: documents, members, calls under way, and
// what is known of peers.

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

/// Continues when a call has been answered; the pointer is null when not.
using StoreDone = std::function<void(TimePoint, const StoreAnswer*)>;
using PeerDone = std::function<void(TimePoint, const PeerAnswer*)>;

/// What is known of one peer from its last words.
struct PeerState {
  uint64_t revision = 0;
  /// Not chosen before this time, having failed to answer.
  TimePoint avoid_until;
};

class Context {
 public:
  explicit Context(NodeOptions node_options);

  // ---- calls ----
  /// `patience` zero means the usual, here and below.
  void CallStore(TimePoint now, StoreRequest request, StoreDone done,
                 std::chrono::milliseconds patience = {});
  /// `name` may be empty for a seed.
  void CallPeer(TimePoint now, const std::string& name,
                const std::string& address, PeerRequest request, PeerDone done,
                std::chrono::milliseconds patience = {});
  void StoreReturned(TimePoint now, CallId call, const StoreAnswer* answer);
  void PeerReturned(TimePoint now, CallId call, const PeerAnswer* answer);
  void Emit(Action action) { actions->push_back(std::move(action)); }

  // ---- what changed ----
  void DocumentsApplied(const Documents::Keys& keys);
  /// The list or the notices have changed; applied at once or soon.
  void MembersTouched(TimePoint now);
  void ApplyMembers(TimePoint now);
  TimePoint apply_members_at() const { return apply_members_at_; }

  // ---- who is there ----
  bool Ready(TimePoint now) const;
  Standing StandingNow(TimePoint now) const;
  /// Live instances other than this one, in order of name.
  const std::vector<std::string>& others() const { return others_; }
  /// Peers that this one keeps links to: those before and after it on some
  /// rings, on each of which a hash places all instances anew. News crosses
  /// such a graph in a few steps, everybody has the same number of links, and
  /// a replaced instance changes only those beside it.
  const std::vector<std::string>& neighbours() const { return neighbours_; }
  std::string AddressOf(const std::string& name) const;
  /// Place of this instance in the order in which they wait on the store.
  size_t StoreRank() const { return store_rank_; }
  void Heard(TimePoint now, const std::string& name, const Standing& standing);

  uint64_t Random(uint64_t below) { return below == 0 ? 0 : random_() % below; }
  std::chrono::milliseconds Jitter(std::chrono::milliseconds length);

  const NodeOptions options;
  Documents documents;
  MemberList members;
  std::map<std::string, membership::Member> merged;
  std::unordered_map<std::string, PeerState> peers;
  std::vector<Action>* actions = nullptr;
  NodeView counters;
  /// There is something that peers may not have yet.
  bool news = false;
  /// The next change has been cleared from the store: a snapshot is needed.
  bool far_behind = false;
  TimePoint started;
  TimePoint peer_heard;
  TimePoint store_heard;
  /// When the store last answered any instance, as far as is known.
  TimePoint store_seen;

 private:
  void ChooseNeighbours();

  std::vector<std::string> others_;
  std::vector<std::string> neighbours_;
  size_t store_rank_ = 0;
  TimePoint apply_members_at_ = TimePoint::max();
  TimePoint members_applied_;
  bool list_applied_ = false;
  CallId next_call_ = 1;
  std::unordered_map<CallId, StoreDone> store_calls_;
  struct PeerPending {
    std::string name;
    PeerDone done;
  };
  std::unordered_map<CallId, PeerPending> peer_calls_;
  std::mt19937_64 random_;
};

}  // namespace ryefold::core::configuration
