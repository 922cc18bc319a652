#include "ryefold/core/configuration/node.h"

#include <algorithm>
#include <utility>

#include "archive.h"
#include "census.h"
#include "context.h"
#include "follower.h"
#include "gossip.h"
#include "publisher.h"

namespace ryefold::core::configuration {

std::string ChangeKey(uint64_t revision) {
  constexpr size_t kDigits = 12;
  const std::string digits = std::to_string(revision);
  const size_t pad = kDigits - std::min(kDigits, digits.size());
  return "ryefold/change/" + std::string(pad, '0') + digits;
}

std::string SnapshotKey() { return "ryefold/snapshot"; }

class Node::Impl {
 public:
  explicit Impl(NodeOptions options)
      : context_(std::move(options)),
        gossip_(&context_),
        follower_(&context_),
        publisher_(&context_, &gossip_),
        census_(&context_),
        history_(&context_),
        snapshots_(&context_) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    context_.actions = actions;
    std::visit([this, now](const auto& e) { On(now, e); }, event);
    Advance(now);
    context_.actions = nullptr;
  }

  TimePoint next_deadline() const {
    return std::min({gossip_.next_deadline(), follower_.next_deadline(),
                     publisher_.next_deadline(), census_.next_deadline(),
                     history_.next_deadline(), snapshots_.next_deadline(),
                     context_.members.next_expiry(),
                     context_.apply_members_at()});
  }

  const Context& context() const { return context_; }
  NodeView View(TimePoint now) const;

 private:
  void On(TimePoint now, const Started&);
  void On(TimePoint now, const Leaving&) {
    gossip_.Announce(now, membership::MemberState::kLeaving);
  }
  void On(TimePoint now, const StoreAnswered& event) {
    context_.StoreReturned(now, event.call, &event.answer);
  }
  void On(TimePoint now, const StoreFailed& event) {
    context_.StoreReturned(now, event.call, nullptr);
  }
  void On(TimePoint now, const PeerCalled& event);
  void On(TimePoint now, const PeerAnswered& event) {
    context_.PeerReturned(now, event.call, &event.answer);
  }
  void On(TimePoint now, const PeerFailed& event) {
    context_.PeerReturned(now, event.call, nullptr);
  }
  void On(TimePoint now, const PublishArrived& event) {
    publisher_.Arrived(now, event);
  }
  void On(TimePoint now, const ForceArrived& event) {
    census_.Arrived(now, event);
  }
  void On(TimePoint now, const HistoryArrived& event) {
    history_.Arrived(now, event);
  }
  void On(TimePoint, const Tick&) {}
  void Advance(TimePoint now);

  Context context_;
  Gossip gossip_;
  Follower follower_;
  Publisher publisher_;
  Census census_;
  History history_;
  SnapshotWriter snapshots_;
};

void Node::Impl::On(TimePoint now, const Started&) {
  context_.started = now;
  context_.peer_heard = now;
  context_.store_heard = now;
  // Not a claim to have seen it: that would spread to peers.
  context_.store_seen = now - std::chrono::seconds(15);
  gossip_.Start(now);
  follower_.Start(now);
}

void Node::Impl::On(TimePoint now, const PeerCalled& event) {
  if (const auto* exchange = std::get_if<Exchange>(&event.request)) {
    context_.Emit(ReplyToPeer{event.tag, gossip_.Answer(now, *exchange)});
  } else if (const auto* query = std::get_if<ForceQuery>(&event.request)) {
    census_.Query(now, event.tag, *query);
  }
}

void Node::Impl::Advance(TimePoint now) {
  if (context_.members.next_expiry() <= now && context_.members.Expire(now)) {
    context_.MembersTouched(now);
  }
  context_.ApplyMembers(now);
  publisher_.PeersHeard(now);
  follower_.Tick(now);
  publisher_.Tick(now);
  census_.Tick(now);
  history_.Tick(now);
  snapshots_.Tick(now);
  if (context_.news) {
    context_.news = false;
    gossip_.NewsSoon(now);
  }
  gossip_.Tick(now);
}

NodeView Node::Impl::View(TimePoint now) const {
  NodeView view = context_.counters;
  view.revision = context_.documents.revision();
  view.list_version = context_.members.version();
  view.ready = context_.Ready(now);
  view.watching = follower_.OnDuty(now);
  view.documents = context_.documents.all().size();
  for (const auto& [name, member] : context_.merged) {
    const bool instance = member.kind == membership::MemberKind::kInstance;
    ++(instance ? view.instances : view.databases);
  }
  return view;
}

Node::Node(NodeOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
Node::~Node() = default;

void Node::Handle(TimePoint now, const Event& event,
                  std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

TimePoint Node::next_deadline() const { return impl_->next_deadline(); }

bool Node::ready(TimePoint now) const { return impl_->context().Ready(now); }

uint64_t Node::revision() const {
  return impl_->context().documents.revision();
}

const std::map<std::string, Document>& Node::documents() const {
  return impl_->context().documents.all();
}

std::vector<membership::Member> Node::members() const {
  std::vector<membership::Member> all;
  all.reserve(impl_->context().merged.size());
  for (const auto& [name, member] : impl_->context().merged) {
    all.push_back(member);
  }
  return all;
}

uint64_t Node::list_version() const {
  return impl_->context().members.version();
}

NodeView Node::view(TimePoint now) const { return impl_->View(now); }

}  // namespace ryefold::core::configuration
