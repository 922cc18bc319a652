#include "census.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

/// Maximum number of peers that one instance queries for one request.
constexpr size_t kMaxDelegates = 32;
/// A delegate needs time for its own queries before it can reply.
constexpr int kDelegateTimeoutFactor = 3;
constexpr size_t kMaxMissingListed = 32;

using Names = std::vector<std::string>;

std::vector<Names> SplitNames(const Names& names) {
  const size_t count = std::min(kMaxDelegates, names.size());
  std::vector<Names> chunks(count);
  for (size_t i = 0; i < names.size(); ++i) {
    chunks[i % count].push_back(names[i]);
  }
  return chunks;
}

void Append(const Names& from, Names* to) {
  to->insert(to->end(), from.begin(), from.end());
}

}  // namespace

bool InForceCounter::IsInForceHere(uint64_t revision) const {
  return context_->documents.IsLoaded() &&
         context_->documents.revision() >= revision;
}

void InForceCounter::HandleRequest(TimePoint now,
                                   const InForceRequested& request) {
  Names unconfirmed;
  uint64_t confirmed = 0;
  for (const std::string& name : context_->other_instances()) {
    const auto peer = context_->peers.find(name);
    const bool holds = peer != context_->peers.end() &&
                       peer->second.revision >= request.revision;
    holds ? ++confirmed : (unconfirmed.push_back(name), confirmed);
  }
  const size_t instances = context_->other_instances().size() + 1;
  const bool here = IsInForceHere(request.revision);
  const auto timeout =
      std::chrono::duration_cast<milliseconds>(request.deadline - now);
  StartRound(now, request.revision, unconfirmed, timeout,
             [this, tag = request.tag, confirmed, here, instances,
              revision = request.revision](TimePoint, const Result& result) {
               InForceDone done;
               done.tag = tag;
               done.revision = revision;
               done.in_force = result.in_force + confirmed + (here ? 1 : 0);
               done.instances = instances;
               done.missing = result.missing;
               if (!here) done.missing.push_back(context_->options.self.name);
               std::sort(done.missing.begin(), done.missing.end());
               if (done.missing.size() > kMaxMissingListed) {
                 done.missing.resize(kMaxMissingListed);
               }
               context_->Emit(std::move(done));
             });
}

void InForceCounter::HandleQuery(TimePoint now, Tag tag,
                                 const InForceQuery& query) {
  const milliseconds timeout =
      context_->options.peer_timeout * (kDelegateTimeoutFactor - 1);
  StartRound(
      now, query.revision, query.others, timeout,
      [this, tag, revision = query.revision](TimePoint, const Result& result) {
        InForceReply reply{result.in_force, result.missing};
        if (IsInForceHere(revision)) {
          ++reply.in_force;
        } else {
          reply.missing.push_back(context_->options.self.name);
        }
        context_->Emit(ReplyToPeer{tag, std::move(reply)});
      });
}

void InForceCounter::StartRound(TimePoint now, uint64_t revision,
                                const Names& names, milliseconds timeout,
                                RoundCallback done) {
  const uint64_t id = next_id_++;
  Round& round = rounds_[id];
  round.revision = revision;
  round.deadline = now + timeout;
  round.done = std::move(done);
  ++round.outstanding;  // Replies may arrive during the loop.
  for (Names& chunk : SplitNames(names)) QueryNext(now, id, std::move(chunk));
  if (--round.outstanding == 0) FinishRound(now, id);
}

void InForceCounter::QueryNext(TimePoint now, uint64_t id, Names names) {
  Round& round = rounds_.at(id);
  while (!names.empty()) {
    const std::string delegate = names.front();
    const std::string address = context_->AddressOf(delegate);
    if (address.empty()) {
      round.result.missing.push_back(delegate);
      names.erase(names.begin());
      continue;
    }
    InForceQuery query;
    query.revision = round.revision;
    query.others.assign(std::next(names.begin()), names.end());
    const uint64_t query_id = next_id_++;
    round.queried.emplace(query_id, std::move(names));
    ++round.outstanding;
    const milliseconds timeout =
        context_->options.peer_timeout *
        (query.others.empty() ? 1 : kDelegateTimeoutFactor);
    context_->CallPeer(
        now, delegate, address, std::move(query),
        [this, id, query_id](TimePoint when, const PeerAnswer* answer) {
          HandleReply(when, id, query_id, answer);
        },
        timeout);
    return;
  }
}

void InForceCounter::HandleReply(TimePoint now, uint64_t id, uint64_t query_id,
                                 const PeerAnswer* answer) {
  const auto found = rounds_.find(id);
  if (found == rounds_.end()) return;
  Round& round = found->second;
  Names names = std::move(round.queried.extract(query_id).mapped());
  const auto* reply =
      answer == nullptr ? nullptr : std::get_if<InForceReply>(answer);
  if (reply != nullptr) {
    round.result.in_force += reply->in_force;
    Append(reply->missing, &round.result.missing);
  } else {
    round.result.missing.push_back(names.front());
    names.erase(names.begin());
    QueryNext(now, id, std::move(names));
  }
  if (--round.outstanding == 0) FinishRound(now, id);
}

void InForceCounter::FinishRound(TimePoint now, uint64_t id) {
  const auto found = rounds_.find(id);
  Round round = std::move(found->second);
  rounds_.erase(found);
  for (const auto& [query_id, names] : round.queried) {
    Append(names, &round.result.missing);
  }
  round.done(now, round.result);
}

void InForceCounter::Tick(TimePoint now) {
  std::vector<uint64_t> due;
  for (const auto& [id, round] : rounds_) {
    if (round.deadline <= now) due.push_back(id);
  }
  for (const uint64_t id : due) FinishRound(now, id);
}

TimePoint InForceCounter::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, round] : rounds_) next = std::min(next, round.deadline);
  return next;
}

}  // namespace ryefold::core::configuration
