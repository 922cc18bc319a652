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
constexpr milliseconds kProofOverdueAfter{400};
/// Retry hint of a read whose primary could not be proved to lead: by then the
/// proof fails for good, or there is a successor.
constexpr milliseconds kProofRetryAfter{300};

}  // namespace

/// How many of the `others` prove the lead of a primary beside them.
size_t Proxy::Impl::WitnessCount(const Group& group, size_t others) const {
  // Databases that confirm commits themselves acknowledge none without a copy.
  const size_t least = group.limits.confirms_commits ? 2 : 1;
  return WitnessesNeeded(others + 1,
                         std::max(settings_.confirmation->copies(), least));
}

/// Up to which moment the group's primary is proved to have led.
TimePoint Proxy::Impl::ProvedUntil(const Group& group) const {
  std::vector<std::string> others;
  for (const std::string& id : group.databases) {
    if (id != group.proof.leader()) others.push_back(id);
  }
  return group.proof.ProvedUntil(others, WitnessCount(group, others.size()));
}

bool Proxy::Impl::NeedsProof(const Group& group) const {
  return group.proof_required_at > ProvedUntil(group);
}

/// A proof that the primary led at `since` will be needed: others are asked
/// while the primary is still at work on the statement, so that the proof costs
/// no time of its own. One answer serves all that was sent before its question.
void Proxy::Impl::RequestProof(TimePoint now, Group* group, TimePoint since) {
  if (group == nullptr) return;
  group->proof_required_at = std::max(group->proof_required_at, since);
  PollReplicas(now, group);
}

/// The statement's answer holds if its database led at `led_at`.
void Proxy::Impl::FinishOnceProved(TimePoint now, Request* request,
                                   TimePoint leadership_time, Reply reply) {
  Group* group = GroupOf(*request);
  if (group == nullptr) {
    FinishRequest(now, request, std::move(reply));
    return;
  }
  request->leadership_time = leadership_time;
  request->leadership_term = group->proof.term();
  request->proof_pending_since = now;
  request->unproved_reply = std::move(reply);
  group->unproved_reads.push_back(request->id);
  group->proof_required_at =
      std::max(group->proof_required_at, leadership_time);
  SetTimer(request, request->timeout_at);
  const RequestId id = request->id;
  SettleProofs(now, group);
  request = FindRequest(id);
  if (request != nullptr && request->unproved_reply.has_value()) {
    PollReplicasAgain(now, request);
  }
}

/// Another database has told which term it knows, or the primary has claimed
/// to lead: hands out what is proved by now.
void Proxy::Impl::SettleProofs(TimePoint now, Group* group) {
  const TimePoint until = ProvedUntil(*group);
  for (const Watermarks::Mark& mark : group->proof.TakeClaims(until)) {
    group->watermarks.NewTerm(group->proof.term());
    group->watermarks.Record(mark.at, mark.position);
  }
  const std::vector<RequestId> waiting = group->unproved_reads;
  for (const RequestId id : waiting) {
    Request* request = FindRequest(id);
    if (request == nullptr || !request->unproved_reply.has_value()) {
      std::erase(group->unproved_reads, id);
      continue;
    }
    if (group->term > request->leadership_term) {
      OnProofFailed(now, request, "primary_replaced");
    } else if (request->leadership_time <= until &&
               group->proof.leader() == request->database) {
      Caller* caller = FindCaller(request->caller);
      if (request->requirement == Requirement::kTransaction &&
          caller != nullptr) {
        caller->transaction.unproved_since = TimePoint();
      }
      FinishRequest(now, request, std::move(*request->unproved_reply));
    }
  }
}

/// The answer may miss acknowledged commits and is thrown away. A single read
/// is sent once more, a transaction cannot go on.
void Proxy::Impl::OnProofFailed(TimePoint now, Request* request,
                                const std::string& why) {
  Group* group = GroupOf(*request);
  if (group != nullptr) std::erase(group->unproved_reads, request->id);
  request->unproved_reply.reset();
  if (request->requirement == Requirement::kTransaction) {
    Caller* caller = FindCaller(request->caller);
    if (caller != nullptr) FailTransaction(now, caller);
    RefuseRequest(now, request, ErrorCode::kAborted, kProofRetryAfter, why);
    return;
  }
  if (now >= request->timeout_at) {
    RefuseRequest(now, request, ErrorCode::kBusy, kProofRetryAfter, why);
    return;
  }
  RetryRequest(now, request);
}

/// Whether a read sent to the primary now would only wait for a proof that
/// does not come.
bool Proxy::Impl::IsLeadershipInDoubt(TimePoint now, const Group& group) {
  if (group.unproved_reads.empty()) return false;
  const Request* oldest = FindRequest(group.unproved_reads.front());
  return oldest != nullptr &&
         now - oldest->proof_pending_since >= kProofOverdueAfter;
}

/// Whether the request reads what only a primary that leads may answer.
bool Proxy::Impl::NeedsLeadership(const Request& request,
                                  const Group& group) const {
  if (request.requirement == Requirement::kProvedRead) return true;
  if (request.statement.kind == StatementKind::kBegin) return true;
  return request.requirement == Requirement::kReadAtPosition &&
         !RequiredMark(request, group).has_value();
}

}  // namespace ryefold::core::session
