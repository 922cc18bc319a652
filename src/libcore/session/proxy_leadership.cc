// The presumed primary of each group.
//
// Correctness does not depend on it: a commit is acknowledged once a replica
// has received it under the primary's term, and a read that needs the primary
// is answered once the primary is proved to have led (`LeadershipProof`). A
// wrong presumption costs one attempt.

#include <algorithm>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Interval between status requests to all databases while no primary is known.
constexpr milliseconds kPrimarySearchInterval{120};
/// The same during a promotion, since statements wait for it.
constexpr milliseconds kPromotionSearchInterval{40};
/// Time to wait for an announced promotion; one takes about one second.
constexpr milliseconds kPromotionTimeout{2500};
/// Leadership is probed when the newest mark is within this margin of the
/// strictest route's maximum staleness, so that replicas can keep serving its
/// reads. The margin covers a probe and its proof with busy databases.
/// Statements on the primary also renew marks; probes fill the gaps.
constexpr milliseconds kMarkRenewalMargin{500};
/// Lower bound of the probe interval for routes with a very low maximum
/// staleness, whose reads go to the primary.
constexpr milliseconds kMinMarkAge{300};
/// Time without a response after which a primary is probed on one connection
/// beyond the limit. Well above the response time of a busy primary, since
/// opening takes one of its slots.
constexpr milliseconds kExtraProbeAfter{500};

}  // namespace

/// Records that the database accepted a call that only a primary accepts. Other
/// databases have to prove that it still led. Returns false if its term is
/// outdated.
bool Proxy::Impl::RecordClaim(TimePoint now, Group* group,
                              const std::string& database, TimePoint sent_at,
                              const LogPosition& position) {
  // The position has the term of the last commit; only a status shows that the
  // database leads a newer term.
  const DatabaseState* state = FindDatabase(database);
  const uint64_t status_term = state == nullptr ? 0 : state->status.term;
  const uint64_t term = std::max(status_term, position.term);
  if (term < group->term) {
    MarkDeposed(now, group, database, "claims an outdated term");
    return false;
  }
  if (group->primary != database) {
    Event(events_, EventPriority::kState, "primary_known")
        .Add("group", group->name)
        .Add("database", database)
        .Add("term", term)
        .Add("previous", group->primary)
        .Add("source", "answer")
        .Add("age", now - sent_at);
    group->primary = database;
  }
  const bool newer = term > group->term;
  SetTerm(now, group, term);
  if (newer) {
    SettleCommits(now, group);
    SettleOlderTerms(now, group);
  }
  group->last_claim_at = std::max(group->last_claim_at, sent_at);
  group->deposed.erase(database);
  // A replaced primary that is promoted again may still accept calls under its
  // old term, so only a newer term shows that the promotion took effect.
  if (newer && group->expected_primary == database) {
    group->expected_primary.clear();
  }
  group->proof.RecordClaim(database, term, sent_at, position);
  SettleProofs(now, group);
  return true;
}

void Proxy::Impl::MarkDeposed(TimePoint now, Group* group,
                              const std::string& database,
                              const std::string& why) {
  group->deposed.insert(database);
  if (group->primary != database) return;
  Event(events_, EventPriority::kState, "primary_lost")
      .Add("group", group->name)
      .Add("database", database)
      .Add("term", group->term)
      .Add("reason", why)
      .Add("proved", now - group->last_claim_at);
  group->primary.clear();
  AdoptNewestClaim(now, group);
  if (group->primary.empty()) ProbeGroup(now, group);
}

/// Whether the presumed primary itself claims the newest term known.
bool Proxy::Impl::PrimaryClaimsNewestTerm(const Group& group) const {
  return !group.primary.empty() && group.proof.leader() == group.primary &&
         group.proof.term() == group.term;
}

/// Records a term reported by `database`. If it is newer than the term that the
/// primary claims, the primary has been replaced.
void Proxy::Impl::ObserveTerm(TimePoint now, Group* group,
                              const std::string& database, uint64_t term) {
  if (term <= group->term || database == group->primary) return;
  if (!PrimaryClaimsNewestTerm(*group)) return;
  // The primary may itself lead the newer term: if it became primary after its
  // last status, its status is requested first. Deposing it at once would
  // refuse statements for a moment in each failover.
  DatabaseState* primary = FindDatabase(group->primary);
  const bool may_be_newer =
      primary != nullptr && primary->status_as_of < primary->claims_since;
  if (may_be_newer) {
    RequestStatus(now, primary, /*beyond_limit=*/false);
    return;
  }
  SetTerm(now, group, term);
  MarkDeposed(now, group, group->primary, "newer term observed");
}

/// Makes the database with the newest claim in the list the presumed primary,
/// unless it has refused to act as primary since. The list arrives in batches;
/// if the two newest claims arrive together, neither is used. Returns whether
/// the presumed primary changed.
bool Proxy::Impl::AdoptNewestClaim(TimePoint now, Group* group, bool log) {
  const DatabaseState* claimant = nullptr;
  bool tied = false;
  for (const std::string& id : group->databases) {
    const DatabaseState& database = databases_.at(id);
    if (!database.info.claims_primary || database.unlisted) continue;
    if (group->deposed.count(id) > 0) continue;
    const TimePoint since = database.claims_since;
    tied = claimant != nullptr && since == claimant->claims_since;
    if (claimant == nullptr || since > claimant->claims_since) {
      claimant = &database;
    }
  }
  if (claimant == nullptr || tied) return false;
  const std::string& id = claimant->info.id;
  if (group->primary == id) return false;
  // A call that the presumed primary accepted later overrides the claim.
  if (!group->primary.empty() &&
      group->last_claim_at >= claimant->claims_since) {
    return false;
  }
  Event(log ? events_ : nullptr, EventPriority::kState, "primary_known")
      .Add("group", group->name)
      .Add("database", id)
      .Add("term", group->term)
      .Add("previous", group->primary)
      .Add("source", "list")
      .Add("age", now - claimant->claims_since);
  group->primary = id;
  return true;
}

void Proxy::Impl::OnStatus(TimePoint now, Group* group, DatabaseState* database,
                           TimePoint requested_at, const StatusReport& report) {
  if (requested_at < database->status_as_of) return;
  if (requested_at < database->status_valid_after) return;
  database->status = report;
  database->status_as_of = requested_at;
  if (settings_.database_concurrency == DatabaseConcurrency::kAdaptive &&
      report.lag.has_value()) {
    database->lag.RecordReport(requested_at, *report.lag);
  }
  if (database->concurrency != nullptr && report.busy_slots.has_value()) {
    database->concurrency->OnBusySlots(requested_at, *report.busy_slots);
  }
  const std::string& id = database->info.id;
  group->proof.RecordWitness(id, requested_at, report.term);
  if (!report.primary) {
    ObserveTerm(now, group, id, report.term);
  } else if (report.term >= group->term) {
    group->proof.RecordClaim(id, report.term, requested_at, report.received);
    RecordLeader(group, report.term, id);
  }
  SettleCommits(now, group);
  SettleProofs(now, group);
  // The status was requested too early for the pending proof. A status
  // requested in time that proves nothing is repeated at the polling interval
  // instead; repeating it here would loop at network speed.
  const bool too_early = requested_at < group->proof_required_at;
  if (too_early && NeedsProof(*group)) PollReplicas(now, group);
  if (!report.primary) {
    if (group->primary == id) {
      MarkDeposed(now, group, id, "status reports a replica");
    }
    return;
  }
  if (report.term < group->term || group->primary == id) return;
  const bool newer = report.term > group->term;
  if (!newer && !group->primary.empty()) return;
  Event(events_, EventPriority::kState, "primary_known")
      .Add("group", group->name)
      .Add("database", id)
      .Add("term", report.term)
      .Add("previous", group->primary)
      .Add("source", "status")
      .Add("age", now - requested_at);
  group->primary = id;
  SetTerm(now, group, report.term);
  group->deposed.erase(id);
  SettleCommits(now, group);
  SettleProofs(now, group);
  SettleOlderTerms(now, group);
  ServeQueues(now, group);
}

void Proxy::Impl::ExpectPrimary(TimePoint now, Group* group,
                                const std::string& database) {
  Activate(now, group);
  // Before the previous announcement and refusals are forgotten, commits of the
  // primaries that they replaced are marked.
  SettleCommits(now, group);
  group->expected_primary = database;
  group->expected_until = now + kPromotionTimeout;
  group->deposed.erase(database);
  SettleCommits(now, group);
}

/// Returns the age of the newest mark at which leadership is probed.
milliseconds Proxy::Impl::MaxMarkAge(const Group& group) const {
  milliseconds strictest = milliseconds::max();
  for (const std::shared_ptr<const Route>& route : group.routes) {
    if (route->freshness == Freshness::kPrimary) continue;
    strictest = std::min(strictest, route->max_staleness);
  }
  return std::max(strictest - kMarkRenewalMargin, kMinMarkAge);
}

/// Probes an unresponsive primary on one connection beyond the limit. All its
/// connections can stop delivering data at once, each with a pending statement,
/// while new ones work; at the limit the primary would appear lost until they
/// time out. Returns false if no probe is due.
bool Proxy::Impl::ProbeUnresponsivePrimary(TimePoint now,
                                           DatabaseState* primary) {
  if (primary == nullptr || !primary->pool.idle().empty()) return false;
  if (primary->unanswered_since == TimePoint()) return false;
  if (now - primary->unanswered_since < kExtraProbeAfter) return false;
  RequestStatus(now, primary, /*beyond_limit=*/true);
  return true;
}

/// Renews the mark that reads on replicas rely on. A begin is answered without
/// waiting for a slot, and accepted only by a database that considers itself
/// primary.
void Proxy::Impl::ProbeLeadership(TimePoint now, Group* group) {
  DatabaseState* database = FindDatabase(group->primary);
  if (database == nullptr) return;
  const std::optional<ConnectionId> idle = database->pool.newest_idle();
  if (!idle.has_value()) return;
  Connection* connection = FindConnection(*idle);
  database->pool.Take(*idle);
  BackendCall begin;
  begin.kind = CallKind::kBegin;
  BackendCall end;
  end.kind = CallKind::kRollback;
  SendInternalCalls(now, connection, {begin, end},
                    {PendingCallKind::kProof, PendingCallKind::kProxyRollback});
  RequestProof(now, group, now);
}

void Proxy::Impl::MaintainLeadership(TimePoint now, Group* group) {
  const bool recently_used = now - group->last_used_at < kGroupIdleTimeout;
  const bool awaits_promotion = AwaitsPromotion(now, *group);
  DatabaseState* primary = FindDatabase(group->primary);
  // A successor is about to be promoted and the primary does not respond:
  // statements wait for the successor. The announcement remains for a while
  // after the promotion, when both are the same database.
  const bool superseded =
      awaits_promotion && group->primary != group->expected_primary;
  if (superseded && primary != nullptr && IsDatabaseSuspected(now, *primary)) {
    MarkDeposed(now, group, group->primary, "unresponsive during a promotion");
  }
  if (group->primary.empty()) {
    AdoptNewestClaim(now, group);
    if (group->primary.empty() && (recently_used || awaits_promotion) &&
        now >= group->probe_not_before) {
      group->probe_not_before =
          now + (awaits_promotion ? kPromotionSearchInterval
                                  : kPrimarySearchInterval);
      ProbeGroup(now, group);
    }
    return;
  }
  if (!recently_used || now < group->probe_not_before) return;
  if (ProbeUnresponsivePrimary(now, primary)) {
    group->probe_not_before = now + kPrimarySearchInterval;
    return;
  }
  const auto newest = group->watermarks.newest();
  if (newest.has_value() && now - newest->at < MaxMarkAge(*group)) return;
  group->probe_not_before = now + kPrimarySearchInterval;
  ProbeLeadership(now, group);
}

}  // namespace ryefold::core::session
