#include "gossip.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

/// Updates within this interval are pushed together, which bounds the number of
/// messages in a burst of changes.
constexpr milliseconds kPushInterval{50};
/// One exchange in this number goes to any instance instead of a neighbour, so
/// that a fault in the selection of neighbours cannot partition the fleet
/// permanently.
constexpr uint64_t kRandomPeerRounds = 16;
/// Fraction (1/n) of the call timeout that one peer has to send documents
/// before another peer is asked.
constexpr int kFetchTimeoutDivisor = 3;
/// Number of exchanges after which an instance that the list omits renews its
/// notice.
constexpr uint64_t kNoticeRenewalRounds = 60;
/// Maximum number of consecutive own exchanges that a peer's exchange may
/// replace.
constexpr int kMaxPostponements = 2;
/// Factor by which exchanges are more frequent until a state is loaded.
constexpr int kUnloadedRateFactor = 8;
/// Maximum number of notices that wait to be forwarded.
constexpr size_t kMaxPendingNotices = 32;

}  // namespace

void Gossip::Start(TimePoint now) {
  next_exchange_ = now;
  AnnounceSelf(now, context_->options.self.state);
}

void Gossip::AnnounceSelf(TimePoint now, membership::MemberState state) {
  Notice notice;
  notice.member = context_->options.self;
  notice.member.state = state;
  notice.sequence = context_->options.incarnation + notice_count_++;
  announced_member_ = notice.member;
  context_->members.ApplyNotice(now, notice);
  notices_.push_back(notice);
  context_->ScheduleMemberUpdate(now);
}

void Gossip::SchedulePush(TimePoint now) {
  next_push_ = std::min(next_push_, std::max(now, last_push_ + kPushInterval));
}

TimePoint Gossip::next_deadline() const {
  const TimePoint fetch =
      next_fetch_peer_.empty() ? TimePoint::max() : fetch_deadline_;
  return std::min({next_exchange_, next_push_, fetch});
}

std::vector<std::string> Gossip::ChoosePeers(TimePoint now, size_t count,
                                             uint64_t revision) {
  const auto needs_update = [&](const std::string& name) {
    const auto peer = context_->peers.find(name);
    if (peer == context_->peers.end()) return true;
    return peer->second.retry_at <= now && peer->second.revision < revision;
  };
  std::vector<std::string> candidates;
  for (const std::string& name : context_->neighbours()) {
    if (needs_update(name)) candidates.push_back(name);
  }
  std::vector<std::string> chosen;
  while (chosen.size() < count && !candidates.empty()) {
    const size_t at = context_->RandomBelow(candidates.size());
    chosen.push_back(candidates[at]);
    candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(at));
  }
  return chosen;
}

Exchange Gossip::MakeExchange(TimePoint now, const std::string& name) {
  Exchange exchange;
  exchange.from = context_->options.self.name;
  exchange.sync_state = context_->CurrentSyncState(now);
  exchange.sync_state.want_documents =
      fetch_deadline_ <= now || fetch_peer_.empty() || fetch_peer_ == name;
  exchange.sync_state.want_members = true;
  return exchange;
}

void Gossip::Tick(TimePoint now) {
  if (!next_fetch_peer_.empty() && fetch_deadline_ <= now) FetchFromNext(now);
  if (next_push_ <= now) PushUpdates(now);
  if (next_exchange_ <= now) ExchangeWithRandomPeer(now);
}

void Gossip::PushUpdates(TimePoint now) {
  next_push_ = TimePoint::max();
  last_push_ = now;
  // Notices go to all neighbours, documents only to those that lack them.
  const uint64_t revision =
      notices_.empty() ? context_->documents.revision() : UINT64_MAX;
  const std::vector<std::string> names =
      ChoosePeers(now, context_->options.fanout, revision);
  for (const std::string& name : names) {
    Exchange exchange = MakeExchange(now, name);
    exchange.notices = notices_;
    Send(now, name, context_->AddressOf(name), std::move(exchange));
  }
  // A new instance has no peers until it receives the list, so its notice is
  // kept until then. Without the notice, the other instances would still
  // consider it leaving if its predecessor of the same name had announced that.
  if (!names.empty()) notices_.clear();
}

void Gossip::PushRevision(TimePoint now, uint64_t revision, size_t count) {
  std::vector<std::string> names = ChoosePeers(now, count, revision);
  const std::vector<std::string>& others = context_->other_instances();
  for (size_t i = 0; names.size() < count && i < 2 * count; ++i) {
    if (others.empty()) break;
    const std::string& name = others[context_->RandomBelow(others.size())];
    const bool already_chosen =
        std::find(names.begin(), names.end(), name) != names.end();
    if (!already_chosen && context_->peers[name].revision < revision) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    Send(now, name, context_->AddressOf(name), MakeExchange(now, name));
  }
}

void Gossip::ExchangeWithRandomPeer(TimePoint now) {
  const milliseconds interval = context_->options.exchange_interval;
  const bool unloaded = !context_->documents.IsLoaded();
  next_exchange_ =
      now + context_->WithJitter(unloaded ? interval / kUnloadedRateFactor
                                          : interval * 4 / 3);
  ++exchange_count_;
  postponed_exchanges_ = 0;
  // The platform's list may omit an instance throughout a long outage; without
  // renewal it would disappear from the member lists when its notice expires.
  const bool renew = exchange_count_ % kNoticeRenewalRounds == 0;
  if (renew && !context_->members.IsListed(announced_member_)) {
    AnnounceSelf(now, announced_member_.state);
  }
  const TimePoint staging_deadline =
      fetch_deadline_ + 2 * context_->options.peer_timeout;
  if (context_->documents.IsStaging() && staging_deadline < now) {
    context_->documents.DropStaged();
  }
  const std::vector<std::string>& others = context_->other_instances();
  std::vector<std::string> chosen = ChoosePeers(now, 1, UINT64_MAX);
  if (!others.empty() &&
      (chosen.empty() || exchange_count_ % kRandomPeerRounds == 0)) {
    chosen = {others[context_->RandomBelow(others.size())]};
  }
  if (!chosen.empty()) {
    Send(now, chosen[0], context_->AddressOf(chosen[0]),
         MakeExchange(now, chosen[0]));
    return;
  }
  const std::vector<std::string>& seeds = context_->options.seeds;
  if (seeds.empty()) return;
  const std::string& seed = seeds[context_->RandomBelow(seeds.size())];
  if (seed != context_->options.self.peer_address) {
    Send(now, std::string(), seed, MakeExchange(now, std::string()));
  }
}

void Gossip::Send(TimePoint now, const std::string& name,
                  const std::string& address, Exchange exchange) {
  if (address.empty()) return;
  context_->CallPeer(
      now, name, address, std::move(exchange),
      [this, name, address](TimePoint when, const PeerAnswer* answer) {
        const auto* reply =
            answer == nullptr ? nullptr : std::get_if<ExchangeReply>(answer);
        if (reply != nullptr) {
          HandleReply(when, name, address, *reply);
        }
      });
}

void Gossip::FillBlocks(const SyncState& peer_state, DocumentBlock* documents,
                        MemberBlock* members) const {
  const Documents& own = context_->documents;
  const bool behind = peer_state.have_documents < own.revision();
  if (peer_state.want_documents && own.IsLoaded() && behind) {
    *documents = own.ChangesSince(peer_state.have_documents,
                                  context_->options.max_block_bytes);
  }
  if (peer_state.want_members &&
      peer_state.list_version < context_->members.version()) {
    *members = context_->members.ChangesSince(peer_state.list_version);
  }
}

bool Gossip::ShouldFetchFrom(TimePoint now, const std::string& name,
                             const SyncState& sync_state) {
  if (sync_state.revision <= context_->documents.revision()) return false;
  const bool fetching_elsewhere =
      fetch_deadline_ > now && !fetch_peer_.empty() && fetch_peer_ != name;
  if (fetching_elsewhere) {
    next_fetch_peer_ = name;
    return false;
  }
  // Without a state, an instance accepts documents only from a ready peer.
  if (!context_->documents.IsLoaded() && !sync_state.ready) return false;
  StartFetch(now, name);
  return true;
}

void Gossip::StartFetch(TimePoint now, const std::string& name) {
  fetch_peer_ = name;
  next_fetch_peer_.clear();
  fetch_deadline_ = now + context_->options.peer_timeout / kFetchTimeoutDivisor;
}

void Gossip::FetchFromNext(TimePoint now) {
  // The selected peer has failed or is slow.
  const std::string name = next_fetch_peer_;
  next_fetch_peer_.clear();
  fetch_peer_.clear();
  Send(now, name, context_->AddressOf(name), MakeExchange(now, name));
}

void Gossip::ApplyBlocks(TimePoint now, const std::string& from,
                         const SyncState& sync_state,
                         const DocumentBlock& documents,
                         const MemberBlock& members) {
  context_->RecordPeerState(now, from, sync_state);
  const bool has_documents = documents.complete || !documents.documents.empty();
  if (has_documents && (context_->documents.IsLoaded() || sync_state.ready)) {
    context_->ReportChangedKeys(
        context_->documents.Merge(sync_state.revision, documents));
  }
  const bool has_members =
      members.full || !members.changed.empty() || !members.removed.empty();
  if (has_members &&
      context_->members.Merge(sync_state.list_version, members)) {
    context_->ScheduleMemberUpdate(now);
  }
}

ExchangeReply Gossip::HandleExchange(TimePoint now, const Exchange& exchange) {
  // The peer's exchange compares both sides, so the local exchange can be
  // postponed. The number of postponements is limited because that peer might
  // have an outdated view and be the only one to call.
  if (context_->documents.IsLoaded() &&
      postponed_exchanges_ < kMaxPostponements) {
    ++postponed_exchanges_;
    next_exchange_ = std::max(
        next_exchange_, now + context_->WithJitter(
                                  context_->options.exchange_interval * 4 / 3));
  }
  ApplyBlocks(now, exchange.from, exchange.sync_state, exchange.documents,
              exchange.members);
  bool has_new_notice = false;
  for (const Notice& notice : exchange.notices) {
    if (!context_->members.ApplyNotice(now, notice)) continue;
    has_new_notice = true;
    if (notices_.size() < kMaxPendingNotices) notices_.push_back(notice);
  }
  if (has_new_notice) context_->ScheduleMemberUpdate(now);
  ExchangeReply reply;
  reply.sync_state = context_->CurrentSyncState(now);
  reply.sync_state.want_documents =
      ShouldFetchFrom(now, exchange.from, exchange.sync_state);
  reply.sync_state.want_members =
      exchange.sync_state.list_version > context_->members.version();
  FillBlocks(exchange.sync_state, &reply.documents, &reply.members);
  return reply;
}

void Gossip::HandleReply(TimePoint now, const std::string& name,
                         const std::string& address,
                         const ExchangeReply& reply) {
  ApplyBlocks(now, name, reply.sync_state, reply.documents, reply.members);
  const bool more = reply.documents.after < reply.documents.through &&
                    !reply.documents.complete;
  Exchange next = MakeExchange(now, name);
  FillBlocks(reply.sync_state, &next.documents, &next.members);
  const bool documents =
      !next.documents.documents.empty() || next.documents.complete;
  const bool members = !next.members.changed.empty() ||
                       !next.members.removed.empty() || next.members.full;
  if (more) StartFetch(now, name);
  if (more || documents || members) Send(now, name, address, std::move(next));
}

}  // namespace ryefold::core::configuration
