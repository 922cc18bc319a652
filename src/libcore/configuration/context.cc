#include "context.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using membership::Member;
using membership::MemberKind;
using membership::MemberState;

constexpr std::chrono::seconds kRetryDelay{2};
/// Changes of members within this interval are applied together. When a region
/// or the whole fleet restarts, hundreds of notices arrive within a second, and
/// each application recomputes the keeper order of all groups.
constexpr std::chrono::milliseconds kMemberUpdateInterval{300};

uint64_t Hash(const std::string& a, const std::string& b) {
  const std::string joined = a + '\n' + b;
  return XXH64(joined.data(), joined.size(), 0);
}

}  // namespace

Context::Context(NodeOptions node_options)
    : options(std::move(node_options)),
      random_(options.seed ^ Hash(options.self.name, "random")) {}

void Context::CallStore(TimePoint now, StoreRequest request, StoreCallback done,
                        std::chrono::milliseconds timeout) {
  if (timeout.count() == 0) timeout = options.store_timeout;
  TimePoint deadline = now + timeout;
  if (const auto* watch = std::get_if<StoreWatch>(&request)) {
    deadline += watch->wait;
  }
  const CallId call = next_call_++;
  store_calls_.emplace(call, std::move(done));
  ++counters.store_calls;
  Emit(StoreCall{call, std::move(request), deadline});
}

void Context::CallPeer(TimePoint now, const std::string& name,
                       const std::string& address, PeerRequest request,
                       PeerCallback done, std::chrono::milliseconds timeout) {
  if (timeout.count() == 0) timeout = options.peer_timeout;
  const CallId call = next_call_++;
  peer_calls_.emplace(call, PeerPending{name, std::move(done)});
  ++counters.peer_calls;
  Emit(configuration::CallPeer{call, name, address, std::move(request),
                               now + timeout});
}

void Context::CompleteStoreCall(TimePoint now, CallId call,
                                const StoreAnswer* answer) {
  const auto found = store_calls_.find(call);
  if (found == store_calls_.end()) return;
  const StoreCallback done = std::move(found->second);
  store_calls_.erase(found);
  if (answer != nullptr) {
    last_store_contact = now;
    last_fleet_store_contact = now;
  } else {
    ++counters.store_failures;
  }
  done(now, answer);
}

void Context::CompletePeerCall(TimePoint now, CallId call,
                               const PeerAnswer* answer) {
  const auto found = peer_calls_.find(call);
  if (found == peer_calls_.end()) return;
  const PeerPending pending = std::move(found->second);
  peer_calls_.erase(found);
  if (answer == nullptr) {
    ++counters.peer_failures;
    if (!pending.name.empty()) peers[pending.name].retry_at = now + kRetryDelay;
  }
  pending.done(now, answer);
}

void Context::ReportChangedKeys(const Documents::Keys& keys) {
  if (keys.empty()) return;
  has_updates = true;
  Emit(DocumentsChanged{documents.revision(), keys});
}

void Context::ApplyMembers(TimePoint now) {
  if (apply_members_at_ > now) return;
  apply_members_at_ = TimePoint::max();
  members_applied_ = now;
  auto all = members.MergedMembers();
  has_updates = true;
  // Often a notice and the list agree, and the merged list is unchanged.
  if (all == merged_members) return;
  merged_members = std::move(all);
  other_instances_.clear();
  store_rank_ = 0;
  const std::string watch_salt = "store watch";
  const uint64_t own = Hash(watch_salt, options.self.name);
  for (const auto& [name, member] : merged_members) {
    if (member.kind != MemberKind::kInstance || name == options.self.name ||
        member.state != MemberState::kLive) {
      continue;
    }
    other_instances_.push_back(name);
    if (Hash(watch_salt, name) > own) ++store_rank_;
  }
  std::erase_if(peers, [this](const auto& peer) {
    return !merged_members.contains(peer.first);
  });
  ChooseNeighbours();
  Emit(MembersChanged{});
}

void Context::ScheduleMemberUpdate(TimePoint now) {
  // The first list is applied at once: no other part can work without it.
  const bool first = !list_applied_ && members.version() > 0;
  list_applied_ = list_applied_ || first;
  const TimePoint due = first ? now : members_applied_ + kMemberUpdateInterval;
  apply_members_at_ = std::min(apply_members_at_, std::max(now, due));
}

void Context::ChooseNeighbours() {
  std::set<std::string> chosen;
  for (size_t ring = 0; ring < options.neighbour_count / 2; ++ring) {
    const std::string salt = "ring" + std::to_string(ring);
    const uint64_t own = Hash(salt, options.self.name);
    const std::string* after = nullptr;
    const std::string* before = nullptr;
    uint64_t distance_after = 0;
    uint64_t distance_before = 0;
    for (const std::string& name : other_instances_) {
      // Unsigned differences wrap around, which closes the ring.
      const uint64_t distance = Hash(salt, name) - own;
      if (after == nullptr || distance < distance_after) {
        after = &name;
        distance_after = distance;
      }
      if (before == nullptr || distance > distance_before) {
        before = &name;
        distance_before = distance;
      }
    }
    if (after != nullptr) chosen.insert({*after, *before});
  }
  neighbours_.assign(chosen.begin(), chosen.end());
}

std::string Context::AddressOf(const std::string& name) const {
  const auto found = merged_members.find(name);
  return found == merged_members.end() ? std::string()
                                       : found->second.peer_address;
}

bool Context::IsReady(TimePoint now) const {
  if (!documents.IsLoaded()) return false;
  return now - std::max(last_peer_contact, last_store_contact) <=
         options.contact_timeout;
}

SyncState Context::CurrentSyncState(TimePoint now) const {
  SyncState sync_state;
  sync_state.revision = documents.revision();
  sync_state.list_version = members.version();
  sync_state.known = documents.IsLoaded();
  sync_state.ready = IsReady(now);
  sync_state.store_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - last_fleet_store_contact);
  sync_state.have_documents = documents.received_through();
  return sync_state;
}

void Context::RecordPeerState(TimePoint now, const std::string& name,
                              const SyncState& sync_state) {
  // A peer without a complete state does not count as contact: an outdated and
  // a new instance that are both isolated from all others would otherwise
  // consider each other ready. A peer that has one counts even if it is not
  // ready; otherwise a fleet that lost contact briefly during a store outage
  // could never become ready again.
  if (sync_state.known) last_peer_contact = now;
  last_fleet_store_contact =
      std::max(last_fleet_store_contact, now - sync_state.store_age);
  if (!name.empty()) peers[name].revision = sync_state.revision;
  // Only a ready peer can confirm an empty or old state. A ready peer at the
  // same revision confirms the local state.
  if (sync_state.ready && sync_state.revision == documents.revision()) {
    documents.MarkLoaded();
  }
}

std::chrono::milliseconds Context::WithJitter(
    std::chrono::milliseconds length) {
  const auto half = static_cast<uint64_t>(length.count() / 2);
  return length / 2 + std::chrono::milliseconds(RandomBelow(half + 1));
}

}  // namespace ryefold::core::configuration
