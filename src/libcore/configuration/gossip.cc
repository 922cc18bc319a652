#include "gossip.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

/// News that arrives within this time is passed on together, which bounds
/// the messages of a burst of changes.
constexpr milliseconds kPushInterval{50};
/// One exchange in so many goes to any instance instead of a neighbour, so
/// that no fault in the choice of neighbours can split the fleet for good.
constexpr uint64_t kFarRounds = 16;
/// The time that one peer is given to send documents before another one is
/// asked, as a share of the time that a call may take.
constexpr int kFetchShare = 3;
/// Exchanges between two notices of an instance that the list leaves out.
constexpr uint64_t kRenewRounds = 60;
/// How often in a row a peer's exchange may stand for an own one.
constexpr int kMostPostponed = 2;
/// While nothing is known, peers are asked this much more often.
constexpr int kHurry = 8;
/// Copies of a notice that one instance passes on.
constexpr size_t kNoticesAtOnce = 32;

}  // namespace

void Gossip::Start(TimePoint now) {
  next_exchange_ = now;
  Announce(now, context_->options.self.state);
}

void Gossip::Announce(TimePoint now, membership::MemberState state) {
  Notice notice;
  notice.member = context_->options.self;
  notice.member.state = state;
  notice.sequence = context_->options.incarnation + own_sequence_++;
  announced_ = notice.member;
  context_->members.Take(now, notice);
  notices_.push_back(notice);
  context_->MembersTouched(now);
}

void Gossip::NewsSoon(TimePoint now) {
  push_at_ = std::min(push_at_, std::max(now, last_push_ + kPushInterval));
}

TimePoint Gossip::next_deadline() const {
  const TimePoint fetch = fetch_next_.empty() ? TimePoint::max() : fetch_until_;
  return std::min({next_exchange_, push_at_, fetch});
}

std::vector<std::string> Gossip::Choose(TimePoint now, size_t count,
                                        uint64_t revision) {
  const auto lacks = [&](const std::string& name) {
    const auto peer = context_->peers.find(name);
    if (peer == context_->peers.end()) return true;
    return peer->second.avoid_until <= now && peer->second.revision < revision;
  };
  std::vector<std::string> able;
  for (const std::string& name : context_->neighbours()) {
    if (lacks(name)) able.push_back(name);
  }
  std::vector<std::string> chosen;
  while (chosen.size() < count && !able.empty()) {
    const size_t at = context_->Random(able.size());
    chosen.push_back(able[at]);
    able.erase(able.begin() + static_cast<ptrdiff_t>(at));
  }
  return chosen;
}

Exchange Gossip::Compose(TimePoint now, const std::string& name) {
  Exchange exchange;
  exchange.from = context_->options.self.name;
  exchange.standing = context_->StandingNow(now);
  exchange.standing.want_documents =
      fetch_until_ <= now || fetch_from_.empty() || fetch_from_ == name;
  exchange.standing.want_members = true;
  return exchange;
}

void Gossip::Tick(TimePoint now) {
  if (!fetch_next_.empty() && fetch_until_ <= now) FetchElsewhere(now);
  if (push_at_ <= now) Push(now);
  if (next_exchange_ <= now) ExchangeWithOne(now);
}

void Gossip::Push(TimePoint now) {
  push_at_ = TimePoint::max();
  last_push_ = now;
  // A notice interests everybody; documents only those that lack them.
  const uint64_t revision =
      notices_.empty() ? context_->documents.revision() : UINT64_MAX;
  const std::vector<std::string> names =
      Choose(now, context_->options.fanout, revision);
  for (const std::string& name : names) {
    Exchange exchange = Compose(now, name);
    exchange.notices = notices_;
    Send(now, name, context_->AddressOf(name), std::move(exchange));
  }
  // A new instance has nobody to tell before it knows the list. Dropped here,
  // its notice would leave it "leaving" for all others if its predecessor of
  // the same name had said so.
  if (!names.empty()) notices_.clear();
}

void Gossip::Spread(TimePoint now, uint64_t revision, size_t count) {
  std::vector<std::string> names = Choose(now, count, revision);
  const std::vector<std::string>& others = context_->others();
  for (size_t i = 0; names.size() < count && i < 2 * count; ++i) {
    if (others.empty()) break;
    const std::string& name = others[context_->Random(others.size())];
    const bool twice =
        std::find(names.begin(), names.end(), name) != names.end();
    if (!twice && context_->peers[name].revision < revision) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    Send(now, name, context_->AddressOf(name), Compose(now, name));
  }
}

void Gossip::ExchangeWithOne(TimePoint now) {
  const milliseconds interval = context_->options.exchange_interval;
  const bool hurry = !context_->documents.known();
  next_exchange_ =
      now + context_->Jitter(hurry ? interval / kHurry : interval * 4 / 3);
  ++rounds_;
  postponed_ = 0;
  // An instance that the list leaves out, as it may through a long outage of
  // the platform, would be forgotten with its notice.
  const bool renew = rounds_ % kRenewRounds == 0;
  if (renew && !context_->members.Lists(announced_)) {
    Announce(now, announced_.state);
  }
  const TimePoint stuck = fetch_until_ + 2 * context_->options.peer_timeout;
  if (context_->documents.staging() && stuck < now) {
    context_->documents.DropStaged();
  }
  const std::vector<std::string>& others = context_->others();
  std::vector<std::string> chosen = Choose(now, 1, UINT64_MAX);
  if (!others.empty() && (chosen.empty() || rounds_ % kFarRounds == 0)) {
    chosen = {others[context_->Random(others.size())]};
  }
  if (!chosen.empty()) {
    Send(now, chosen[0], context_->AddressOf(chosen[0]),
         Compose(now, chosen[0]));
    return;
  }
  const std::vector<std::string>& seeds = context_->options.seeds;
  if (seeds.empty()) return;
  const std::string& seed = seeds[context_->Random(seeds.size())];
  if (seed != context_->options.self.peer_address) {
    Send(now, std::string(), seed, Compose(now, std::string()));
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
          Answered(when, name, address, *reply);
        }
      });
}

void Gossip::Fill(const Standing& wants, DocumentBlock* documents,
                  MemberBlock* members) const {
  const Documents& own = context_->documents;
  const bool behind = wants.have_documents < own.revision();
  if (wants.want_documents && own.known() && behind) {
    *documents = own.Since(wants.have_documents, context_->options.block_bytes);
  }
  if (wants.want_members && wants.list_version < context_->members.version()) {
    *members = context_->members.Since(wants.list_version);
  }
}

bool Gossip::WantsFrom(TimePoint now, const std::string& name,
                       const Standing& standing) {
  if (standing.revision <= context_->documents.revision()) return false;
  const bool elsewhere =
      fetch_until_ > now && !fetch_from_.empty() && fetch_from_ != name;
  if (elsewhere) {
    fetch_next_ = name;
    return false;
  }
  // An instance that knows nothing yet believes only one that does.
  if (!context_->documents.known() && !standing.ready) return false;
  FetchFrom(now, name);
  return true;
}

void Gossip::FetchFrom(TimePoint now, const std::string& name) {
  fetch_from_ = name;
  fetch_next_.clear();
  fetch_until_ = now + context_->options.peer_timeout / kFetchShare;
}

void Gossip::FetchElsewhere(TimePoint now) {
  // The one that was going to send the documents has died or is slow.
  const std::string name = fetch_next_;
  fetch_next_.clear();
  fetch_from_.clear();
  Send(now, name, context_->AddressOf(name), Compose(now, name));
}

void Gossip::Take(TimePoint now, const std::string& from,
                  const Standing& standing, const DocumentBlock& documents,
                  const MemberBlock& members) {
  context_->Heard(now, from, standing);
  const bool filled = documents.complete || !documents.documents.empty();
  if (filled && (context_->documents.known() || standing.ready)) {
    context_->DocumentsApplied(
        context_->documents.Merge(standing.revision, documents));
  }
  const bool listed =
      members.full || !members.changed.empty() || !members.removed.empty();
  if (listed && context_->members.Merge(standing.list_version, members)) {
    context_->MembersTouched(now);
  }
}

ExchangeReply Gossip::Answer(TimePoint now, const Exchange& exchange) {
  // The peer's exchange compares both sides, so this side's own can wait, but
  // not for ever: a peer that is wrong about others would be all it hears.
  if (context_->documents.known() && postponed_ < kMostPostponed) {
    ++postponed_;
    next_exchange_ = std::max(
        next_exchange_,
        now + context_->Jitter(context_->options.exchange_interval * 4 / 3));
  }
  Take(now, exchange.from, exchange.standing, exchange.documents,
       exchange.members);
  bool fresh = false;
  for (const Notice& notice : exchange.notices) {
    if (!context_->members.Take(now, notice)) continue;
    fresh = true;
    if (notices_.size() < kNoticesAtOnce) notices_.push_back(notice);
  }
  if (fresh) context_->MembersTouched(now);
  ExchangeReply reply;
  reply.standing = context_->StandingNow(now);
  reply.standing.want_documents =
      WantsFrom(now, exchange.from, exchange.standing);
  reply.standing.want_members =
      exchange.standing.list_version > context_->members.version();
  Fill(exchange.standing, &reply.documents, &reply.members);
  return reply;
}

void Gossip::Answered(TimePoint now, const std::string& name,
                      const std::string& address, const ExchangeReply& reply) {
  Take(now, name, reply.standing, reply.documents, reply.members);
  const bool more = reply.documents.after < reply.documents.through &&
                    !reply.documents.complete;
  Exchange next = Compose(now, name);
  Fill(reply.standing, &next.documents, &next.members);
  const bool filled =
      !next.documents.documents.empty() || next.documents.complete;
  const bool listed = !next.members.changed.empty() ||
                      !next.members.removed.empty() || next.members.full;
  if (more) FetchFrom(now, name);
  if (more || filled || listed) Send(now, name, address, std::move(next));
}

}  // namespace ryefold::core::configuration
