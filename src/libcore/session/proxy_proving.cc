// Reads that only the primary may answer, and the marks that cover reads
// elsewhere, wait until the primary is proved to have led.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Age of a read that waits for its proof from which the lead is in doubt and
/// no more such reads are let in. Over ten times what a witness takes beside
/// busy replicas, and early enough to be of use elsewhere.
constexpr milliseconds kDoubtAfter{400};
/// Retry hint of a read whose primary could not be proved to lead: by then the
/// proof fails for good, or there is a successor.
constexpr milliseconds kDoubtRetry{300};

}  // namespace

/// How many of the `others` prove the lead of a primary beside them.
size_t Proxy::Impl::Witnesses(const Group& group, size_t others) const {
  // Databases that confirm commits themselves acknowledge none without a copy.
  const size_t least = group.limits.confirms_commits ? 2 : 1;
  return WitnessesNeeded(
      others + 1, std::max(settings_.confirmation->required_copies(), least));
}

/// Up to which moment the group's primary is proved to have led.
TimePoint Proxy::Impl::ProvedUntil(const Group& group) const {
  std::vector<std::string> others;
  for (const std::string& id : group.databases) {
    if (id != group.proof.leader()) others.push_back(id);
  }
  return group.proof.ProvedUntil(others, Witnesses(group, others.size()));
}

bool Proxy::Impl::ProofWanted(const Group& group) const {
  return group.proof_wanted > ProvedUntil(group);
}

/// A proof that the primary led at `since` will be needed: others are asked
/// while the primary is still at work on the statement, so that the proof costs
/// no time of its own. One answer serves all that was sent before its question.
void Proxy::Impl::WantProof(TimePoint now, Group* group, TimePoint since) {
  if (group == nullptr) return;
  group->proof_wanted = std::max(group->proof_wanted, since);
  AskReplicas(now, group);
}

/// The statement's answer holds if its database led at `led_at`.
void Proxy::Impl::TellOnceProved(TimePoint now, Request* request,
                                 TimePoint led_at, Reply reply) {
  Group* group = GroupOf(*request);
  if (group == nullptr) {
    Finish(now, request, std::move(reply));
    return;
  }
  request->led_at = led_at;
  request->led_term = group->proof.term();
  request->kept_since = now;
  request->unproved = std::move(reply);
  group->unproved.push_back(request->id);
  group->proof_wanted = std::max(group->proof_wanted, led_at);
  SetTimer(request, request->timeout_at);
  const RequestId id = request->id;
  SettleProofs(now, group);
  request = FindRequest(id);
  if (request != nullptr && request->unproved.has_value()) {
    AskAgain(now, request);
  }
}

/// Another database has told which term it knows, or the primary has claimed
/// to lead: hands out what is proved by now.
void Proxy::Impl::SettleProofs(TimePoint now, Group* group) {
  const TimePoint until = ProvedUntil(*group);
  for (const Watermarks::Mark& mark : group->proof.TakeClaims(until)) {
    group->watermarks.StartTerm(group->proof.term());
    group->watermarks.Record(mark.at, mark.position);
  }
  const std::vector<RequestId> waiting = group->unproved;
  for (const RequestId id : waiting) {
    Request* request = FindRequest(id);
    if (request == nullptr || !request->unproved.has_value()) {
      std::erase(group->unproved, id);
      continue;
    }
    if (group->term > request->led_term) {
      ProofFailed(now, request, "primary_replaced");
    } else if (request->led_at <= until &&
               group->proof.leader() == request->database) {
      Caller* caller = FindCaller(request->caller);
      if (request->need == Need::kTransaction && caller != nullptr) {
        caller->transaction.unproved_since = TimePoint();
      }
      Finish(now, request, std::move(*request->unproved));
    }
  }
}

/// The answer may miss acknowledged commits and is thrown away. A single read
/// is sent once more, a transaction cannot go on.
void Proxy::Impl::ProofFailed(TimePoint now, Request* request,
                              const std::string& why) {
  Group* group = GroupOf(*request);
  if (group != nullptr) std::erase(group->unproved, request->id);
  request->unproved.reset();
  if (request->need == Need::kTransaction) {
    Caller* caller = FindCaller(request->caller);
    if (caller != nullptr) FailTransaction(now, caller);
    Refuse(now, request, ErrorCode::kAborted, kDoubtRetry, why);
    return;
  }
  if (now >= request->timeout_at) {
    Refuse(now, request, ErrorCode::kBusy, kDoubtRetry, why);
    return;
  }
  Retry(now, request);
}

/// Whether a read sent to the primary now would only wait for a proof that
/// does not come.
bool Proxy::Impl::LeadInDoubt(TimePoint now, const Group& group) {
  if (group.unproved.empty()) return false;
  const Request* oldest = FindRequest(group.unproved.front());
  return oldest != nullptr && now - oldest->kept_since >= kDoubtAfter;
}

/// Whether the request reads what only a primary that leads may answer.
bool Proxy::Impl::NeedsLead(const Request& request, const Group& group) const {
  if (request.need == Need::kProvedRead) return true;
  if (request.statement.kind == StatementKind::kBegin) return true;
  return request.need == Need::kCoveredRead &&
         !NeededMark(request, group).has_value();
}

}  // namespace ryefold::core::session
