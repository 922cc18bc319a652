// Proofs of leadership: reads that only the primary may answer, and the marks
// that allow reads elsewhere, wait until the primary is proved to have led.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Age of the oldest unproved read from which leadership is in doubt and no new
/// ones are accepted. Over ten times the response time of a witness with busy
/// replicas, and early enough to retry elsewhere.
constexpr milliseconds kProofOverdueAfter{400};
/// Retry hint for a read whose proof failed: by then the proof has failed for
/// good or a successor leads.
constexpr milliseconds kProofRetryAfter{300};

}  // namespace

/// Returns how many of the `others` must act as witnesses for a proof. All of
/// them if the list has named another primary since the term of the present one
/// was first known: databases that hold its commits may have left the list.
size_t Proxy::Impl::WitnessCount(const Group& group, size_t others) const {
  const std::string& leader = group.proof.leader();
  if (!leader.empty() && group.listed_primary != leader &&
      group.listed_primary_since > group.term_since) {
    return others;
  }
  if (others == 0) return 0;
  // An instance with an older list may let a database that has left it confirm
  // commits. Once the list has been current for longer, it would also name the
  // primary of these commits.
  const auto departed = static_cast<size_t>(std::count_if(
      group.departed.begin(), group.departed.end(), [this](const auto& each) {
        return routes_confirmed_at_ <
               each.second.leaving_since + kListCurrentFor;
      }));
  // Databases that confirm commits themselves acknowledge none without a second
  // copy.
  const size_t min_copies = group.limits.confirms_commits ? 2 : 1;
  return WitnessesNeeded(
      others + departed + 1,
      std::max(settings_.confirmation->required_copies(), min_copies));
}

/// Returns the time up to which the group's primary is proved to have led.
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

/// Asks other databases for a proof that the primary led at `since`. They
/// answer while the primary runs the statement, so the proof adds no latency.
/// One answer covers all calls sent before its request.
void Proxy::Impl::RequestProof(TimePoint now, Group* group, TimePoint since) {
  if (group == nullptr) return;
  group->proof_required_at = std::max(group->proof_required_at, since);
  PollReplicas(now, group);
}

/// Finishes the request with `reply` once its database is proved to have led at
/// `leadership_time`.
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

/// Completes what is proved after another database reported its term or the
/// primary claimed leadership.
void Proxy::Impl::SettleProofs(TimePoint now, Group* group) {
  const TimePoint proved_until = ProvedUntil(*group);
  for (const Watermarks::Mark& mark : group->proof.TakeClaims(proved_until)) {
    group->watermarks.StartTerm(group->proof.term());
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
    } else if (request->leadership_time <= proved_until &&
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

/// Discards a reply that may miss acknowledged commits. A single read is
/// retried; a transaction fails.
void Proxy::Impl::OnProofFailed(TimePoint now, Request* request,
                                const std::string& why) {
  Group* group = GroupOf(*request);
  if (group != nullptr) std::erase(group->unproved_reads, request->id);
  request->unproved_reply.reset();
  if (request->requirement == Requirement::kTransaction) {
    Caller* caller = FindCaller(request->caller);
    if (caller != nullptr) FailTransaction(now, caller);
    RefuseRequest(now, request, ErrorCode::kAborted,
                  WithinPatience(now, *request, kProofRetryAfter), why);
    return;
  }
  if (now >= request->timeout_at) {
    RefuseRequest(now, request, ErrorCode::kBusy,
                  WithinPatience(now, *request, kProofRetryAfter), why);
    return;
  }
  RetryRequest(now, request, AttemptEnd::kUnusable);
}

/// Whether a new read on the primary would wait for a proof that is already
/// overdue.
bool Proxy::Impl::IsLeadershipInDoubt(TimePoint now, const Group& group) {
  if (group.unproved_reads.empty()) return false;
  const Request* oldest = FindRequest(group.unproved_reads.front());
  return oldest != nullptr &&
         now - oldest->proof_pending_since >= kProofOverdueAfter;
}

/// Whether only a proved primary may serve the request.
bool Proxy::Impl::NeedsLeadership(const Request& request,
                                  const Group& group) const {
  if (request.requirement == Requirement::kProvedRead) return true;
  if (request.statement.kind == StatementKind::kBegin) return true;
  return request.requirement == Requirement::kReadAtPosition &&
         !RequiredMark(request, group).has_value();
}

}  // namespace ryefold::core::session
