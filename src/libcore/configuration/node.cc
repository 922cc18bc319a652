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
        in_force_counter_(&context_),
        history_(&context_),
        snapshots_(&context_) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    context_.actions = actions;
    std::visit([this, now](const auto& e) { HandleEvent(now, e); }, event);
    Advance(now);
    context_.actions = nullptr;
  }

  TimePoint next_deadline() const {
    return std::min(
        {gossip_.next_deadline(), follower_.next_deadline(),
         publisher_.next_deadline(), in_force_counter_.next_deadline(),
         history_.next_deadline(), snapshots_.next_deadline(),
         context_.members.next_expiry(), context_.apply_members_at()});
  }

  const Context& context() const { return context_; }
  NodeView View(TimePoint now) const;

 private:
  void HandleEvent(TimePoint now, const Started&);
  void HandleEvent(TimePoint now, const Leaving&) {
    gossip_.AnnounceSelf(now, membership::MemberState::kLeaving);
  }
  void HandleEvent(TimePoint now, const StoreAnswered& event) {
    context_.CompleteStoreCall(now, event.call, &event.answer);
  }
  void HandleEvent(TimePoint now, const StoreFailed& event) {
    context_.CompleteStoreCall(now, event.call, nullptr);
  }
  void HandleEvent(TimePoint now, const PeerCalled& event);
  void HandleEvent(TimePoint now, const PeerAnswered& event) {
    context_.CompletePeerCall(now, event.call, &event.answer);
  }
  void HandleEvent(TimePoint now, const PeerFailed& event) {
    context_.CompletePeerCall(now, event.call, nullptr);
  }
  void HandleEvent(TimePoint now, const PublishRequested& event) {
    publisher_.HandleRequest(now, event);
  }
  void HandleEvent(TimePoint now, const InForceRequested& event) {
    in_force_counter_.HandleRequest(now, event);
  }
  void HandleEvent(TimePoint now, const HistoryRequested& event) {
    history_.HandleRequest(now, event);
  }
  void HandleEvent(TimePoint, const Tick&) {}
  void Advance(TimePoint now);

  Context context_;
  Gossip gossip_;
  Follower follower_;
  Publisher publisher_;
  InForceCounter in_force_counter_;
  HistoryReader history_;
  SnapshotWriter snapshots_;
};

void Node::Impl::HandleEvent(TimePoint now, const Started&) {
  context_.started_at = now;
  context_.last_peer_contact = now;
  context_.last_store_contact = now;
  // Starts in the past: exchanges report this time to peers, which would take a
  // recent value for a response of the store.
  context_.last_fleet_store_contact = now - std::chrono::seconds(15);
  gossip_.Start(now);
  follower_.Start(now);
}

void Node::Impl::HandleEvent(TimePoint now, const PeerCalled& event) {
  if (const auto* exchange = std::get_if<Exchange>(&event.request)) {
    context_.Emit(
        ReplyToPeer{event.tag, gossip_.HandleExchange(now, *exchange)});
  } else if (const auto* query = std::get_if<InForceQuery>(&event.request)) {
    in_force_counter_.HandleQuery(now, event.tag, *query);
  }
}

void Node::Impl::Advance(TimePoint now) {
  if (context_.members.next_expiry() <= now &&
      context_.members.ExpireNotices(now)) {
    context_.ScheduleMemberUpdate(now);
  }
  context_.ApplyMembers(now);
  publisher_.HandlePeerUpdates(now);
  follower_.Tick(now);
  publisher_.Tick(now);
  in_force_counter_.Tick(now);
  history_.Tick(now);
  snapshots_.Tick(now);
  if (context_.has_updates) {
    context_.has_updates = false;
    gossip_.SchedulePush(now);
  }
  gossip_.Tick(now);
}

NodeView Node::Impl::View(TimePoint now) const {
  NodeView view = context_.counters;
  view.revision = context_.documents.revision();
  view.list_version = context_.members.version();
  view.ready = context_.IsReady(now);
  view.watching = follower_.IsStoreWatcher(now);
  view.documents = context_.documents.all().size();
  for (const auto& [name, member] : context_.merged_members) {
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

bool Node::IsReady(TimePoint now) const {
  return impl_->context().IsReady(now);
}

uint64_t Node::revision() const {
  return impl_->context().documents.revision();
}

const std::map<std::string, Document>& Node::documents() const {
  return impl_->context().documents.all();
}

std::vector<membership::Member> Node::members() const {
  std::vector<membership::Member> all;
  all.reserve(impl_->context().merged_members.size());
  for (const auto& [name, member] : impl_->context().merged_members) {
    all.push_back(member);
  }
  return all;
}

uint64_t Node::list_version() const {
  return impl_->context().members.version();
}

NodeView Node::view(TimePoint now) const { return impl_->View(now); }

}  // namespace ryefold::core::configuration
