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

constexpr std::chrono::seconds kAvoid{2};
/// Changes of members within this time are applied together: when a region or
/// the whole fleet restarts, hundreds of notices arrive in a second, and each
/// time all groups' orders are worked out anew.
constexpr std::chrono::milliseconds kMembersInterval{300};

uint64_t Hash(const std::string& a, const std::string& b) {
  const std::string joined = a + '\n' + b;
  return XXH64(joined.data(), joined.size(), 0);
}

}  // namespace

Context::Context(NodeOptions node_options)
    : options(std::move(node_options)),
      random_(options.seed ^ Hash(options.self.name, "random")) {}

void Context::CallStore(TimePoint now, StoreRequest request, StoreDone done,
                        std::chrono::milliseconds patience) {
  if (patience.count() == 0) patience = options.store_timeout;
  TimePoint deadline = now + patience;
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
                       PeerDone done, std::chrono::milliseconds patience) {
  if (patience.count() == 0) patience = options.peer_timeout;
  const CallId call = next_call_++;
  peer_calls_.emplace(call, PeerPending{name, std::move(done)});
  ++counters.peer_calls;
  Emit(configuration::CallPeer{call, name, address, std::move(request),
                               now + patience});
}

void Context::StoreReturned(TimePoint now, CallId call,
                            const StoreAnswer* answer) {
  const auto found = store_calls_.find(call);
  if (found == store_calls_.end()) return;
  const StoreDone done = std::move(found->second);
  store_calls_.erase(found);
  if (answer != nullptr) {
    store_heard = now;
    store_seen = now;
  } else {
    ++counters.store_failures;
  }
  done(now, answer);
}

void Context::PeerReturned(TimePoint now, CallId call,
                           const PeerAnswer* answer) {
  const auto found = peer_calls_.find(call);
  if (found == peer_calls_.end()) return;
  const PeerPending pending = std::move(found->second);
  peer_calls_.erase(found);
  if (answer == nullptr) {
    ++counters.peer_failures;
    if (!pending.name.empty()) peers[pending.name].avoid_until = now + kAvoid;
  }
  pending.done(now, answer);
}

void Context::DocumentsApplied(const Documents::Keys& keys) {
  if (keys.empty()) return;
  news = true;
  Emit(DocumentsChanged{documents.revision(), keys});
}

void Context::ApplyMembers(TimePoint now) {
  if (apply_members_at_ > now) return;
  apply_members_at_ = TimePoint::max();
  members_applied_ = now;
  auto all = members.merged();
  news = true;
  // Mostly a notice that the list has caught up with, or the reverse.
  if (all == merged) return;
  merged = std::move(all);
  others_.clear();
  store_rank_ = 0;
  const std::string duty = "store watch";
  const uint64_t own = Hash(duty, options.self.name);
  for (const auto& [name, member] : merged) {
    if (member.kind != MemberKind::kInstance || name == options.self.name ||
        member.state != MemberState::kLive) {
      continue;
    }
    others_.push_back(name);
    if (Hash(duty, name) > own) ++store_rank_;
  }
  std::erase_if(
      peers, [this](const auto& peer) { return !merged.contains(peer.first); });
  ChooseNeighbours();
  Emit(MembersChanged{});
}

void Context::MembersTouched(TimePoint now) {
  // The first list is applied at once: nothing works without it.
  const bool first = !list_applied_ && members.version() > 0;
  list_applied_ = list_applied_ || first;
  const TimePoint due = first ? now : members_applied_ + kMembersInterval;
  apply_members_at_ = std::min(apply_members_at_, std::max(now, due));
}

void Context::ChooseNeighbours() {
  std::set<std::string> chosen;
  for (size_t ring = 0; ring < options.neighbours / 2; ++ring) {
    const std::string salt = "ring" + std::to_string(ring);
    const uint64_t own = Hash(salt, options.self.name);
    const std::string* after = nullptr;
    const std::string* before = nullptr;
    uint64_t way_after = 0;
    uint64_t way_before = 0;
    for (const std::string& name : others_) {
      // Unsigned differences wrap around, which closes the ring.
      const uint64_t way = Hash(salt, name) - own;
      if (after == nullptr || way < way_after) {
        after = &name;
        way_after = way;
      }
      if (before == nullptr || way > way_before) {
        before = &name;
        way_before = way;
      }
    }
    if (after != nullptr) chosen.insert({*after, *before});
  }
  neighbours_.assign(chosen.begin(), chosen.end());
}

std::string Context::AddressOf(const std::string& name) const {
  const auto found = merged.find(name);
  return found == merged.end() ? std::string() : found->second.peer_address;
}

bool Context::Ready(TimePoint now) const {
  if (!documents.known()) return false;
  return now - std::max(peer_heard, store_heard) <= options.silence;
}

Standing Context::StandingNow(TimePoint now) const {
  Standing standing;
  standing.revision = documents.revision();
  standing.list_version = members.version();
  standing.known = documents.known();
  standing.ready = Ready(now);
  standing.store_age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - store_seen);
  standing.have_documents = documents.have();
  return standing;
}

void Context::Heard(TimePoint now, const std::string& name,
                    const Standing& standing) {
  // A new instance knows nothing itself: two that are cut off from all others,
  // one old and one new, must not take each other for the fleet. Those that
  // know something count even when not ready, or a fleet that had lost touch
  // for a moment during an outage of the store would never be ready again.
  if (standing.known) peer_heard = now;
  store_seen = std::max(store_seen, now - standing.store_age);
  if (!name.empty()) peers[name].revision = standing.revision;
  // A peer that does not know what is in force itself can't vouch for an
  // empty or old state; one that does, at our revision, confirms ours.
  if (standing.ready && standing.revision == documents.revision()) {
    documents.MarkKnown();
  }
}

std::chrono::milliseconds Context::Jitter(std::chrono::milliseconds length) {
  const auto half = static_cast<uint64_t>(length.count() / 2);
  return length / 2 + std::chrono::milliseconds(Random(half + 1));
}

}  // namespace ryefold::core::configuration
