#include "census.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

/// Most peers that one instance asks for one query.
constexpr size_t kFanout = 32;
/// A delegate first waits for those that it asks itself.
constexpr int kDelegateFactor = 3;
constexpr size_t kMissingListed = 32;

using Names = std::vector<std::string>;

std::vector<Names> Chunks(const Names& names) {
  const size_t count = std::min(kFanout, names.size());
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

bool Census::InForceHere(uint64_t revision) const {
  return context_->documents.known() &&
         context_->documents.revision() >= revision;
}

void Census::Arrived(TimePoint now, const ForceArrived& request) {
  Names unheard;
  uint64_t heard = 0;
  for (const std::string& name : context_->others()) {
    const auto peer = context_->peers.find(name);
    const bool holds = peer != context_->peers.end() &&
                       peer->second.revision >= request.revision;
    holds ? ++heard : (unheard.push_back(name), heard);
  }
  const size_t instances = context_->others().size() + 1;
  const bool here = InForceHere(request.revision);
  const auto patience =
      std::chrono::duration_cast<milliseconds>(request.deadline - now);
  Begin(now, request.revision, unheard, patience,
        [this, tag = request.tag, heard, here, instances,
         revision = request.revision](TimePoint, const Result& result) {
          ForceDone done;
          done.tag = tag;
          done.revision = revision;
          done.in_force = result.in_force + heard + (here ? 1 : 0);
          done.instances = instances;
          done.missing = result.missing;
          if (!here) done.missing.push_back(context_->options.self.name);
          std::sort(done.missing.begin(), done.missing.end());
          if (done.missing.size() > kMissingListed) {
            done.missing.resize(kMissingListed);
          }
          context_->Emit(std::move(done));
        });
}

void Census::Query(TimePoint now, Tag tag, const ForceQuery& query) {
  const milliseconds patience =
      context_->options.peer_timeout * (kDelegateFactor - 1);
  Begin(
      now, query.revision, query.others, patience,
      [this, tag, revision = query.revision](TimePoint, const Result& result) {
        ForceReply reply{result.in_force, result.missing};
        if (InForceHere(revision)) {
          ++reply.in_force;
        } else {
          reply.missing.push_back(context_->options.self.name);
        }
        context_->Emit(ReplyToPeer{tag, std::move(reply)});
      });
}

void Census::Begin(TimePoint now, uint64_t revision, const Names& names,
                   milliseconds patience, Done done) {
  const uint64_t id = next_id_++;
  Round& round = rounds_[id];
  round.revision = revision;
  round.deadline = now + patience;
  round.done = std::move(done);
  ++round.open;  // Held until all are asked: answers may come at once.
  for (Names& chunk : Chunks(names)) Ask(now, id, std::move(chunk));
  if (--round.open == 0) End(now, id);
}

void Census::Ask(TimePoint now, uint64_t id, Names names) {
  Round& round = rounds_.at(id);
  while (!names.empty()) {
    const std::string delegate = names.front();
    const std::string address = context_->AddressOf(delegate);
    if (address.empty()) {
      round.result.missing.push_back(delegate);
      names.erase(names.begin());
      continue;
    }
    ForceQuery query;
    query.revision = round.revision;
    query.others.assign(std::next(names.begin()), names.end());
    const uint64_t question = next_id_++;
    round.asked.emplace(question, std::move(names));
    ++round.open;
    const milliseconds patience = context_->options.peer_timeout *
                                  (query.others.empty() ? 1 : kDelegateFactor);
    context_->CallPeer(
        now, delegate, address, std::move(query),
        [this, id, question](TimePoint when, const PeerAnswer* answer) {
          Returned(when, id, question, answer);
        },
        patience);
    return;
  }
}

void Census::Returned(TimePoint now, uint64_t id, uint64_t question,
                      const PeerAnswer* answer) {
  const auto found = rounds_.find(id);
  if (found == rounds_.end()) return;
  Round& round = found->second;
  Names names = std::move(round.asked.extract(question).mapped());
  const auto* reply =
      answer == nullptr ? nullptr : std::get_if<ForceReply>(answer);
  if (reply != nullptr) {
    round.result.in_force += reply->in_force;
    Append(reply->missing, &round.result.missing);
  } else {
    round.result.missing.push_back(names.front());
    names.erase(names.begin());
    Ask(now, id, std::move(names));
  }
  if (--round.open == 0) End(now, id);
}

void Census::End(TimePoint now, uint64_t id) {
  const auto found = rounds_.find(id);
  Round round = std::move(found->second);
  rounds_.erase(found);
  for (const auto& [question, names] : round.asked) {
    Append(names, &round.result.missing);
  }
  round.done(now, round.result);
}

void Census::Tick(TimePoint now) {
  std::vector<uint64_t> due;
  for (const auto& [id, round] : rounds_) {
    if (round.deadline <= now) due.push_back(id);
  }
  for (const uint64_t id : due) End(now, id);
}

TimePoint Census::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, round] : rounds_) next = std::min(next, round.deadline);
  return next;
}

}  // namespace ryefold::core::configuration
