// Who is the primary of a group, as this instance believes.
//
// Nothing rests on this belief: commits are acknowledged once a replica has
// received them under the primary's term, and reads that need a primary are
// answered once it is proved to have led (`LeadershipProof`). A wrong belief
// costs an attempt.

#include <algorithm>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Pace of asking all databases who leads while nobody is known to.
constexpr milliseconds kSearchPace{120};
/// The same while a promotion is under way: statements wait for its end.
constexpr milliseconds kExpectingPace{40};
/// How long an announced promotion is waited for: it takes about a second.
constexpr milliseconds kExpectFor{2500};
/// A group without statements for this long is not probed.
constexpr milliseconds kGroupIdle{2000};
/// The lead is probed when the newest mark is this much short of the age that
/// the strictest route allows, so that replicas can go on serving its reads.
/// It is the time that a probe and its proof take beside busy databases.
/// Statements on the primary renew marks for nothing; probes fill the gaps
/// between them.
constexpr milliseconds kProbeTime{500};
/// Marks are not renewed more often for routes that allow next to nothing:
/// their reads go to the primary.
constexpr milliseconds kLeastMarkAge{300};
/// Silence of a primary after which it is asked on one connection beyond those
/// that may be open. Well above the time that a busy one takes, since each
/// opening takes a slot of it.
constexpr milliseconds kAskAnewAfter{500};

}  // namespace

/// The database has accepted what only a primary accepts. Whether it still led
/// is for others to prove. False when its term is known to be over.
bool Proxy::Impl::Claimed(TimePoint now, Group* group,
                          const std::string& database, TimePoint sent,
                          const LogPosition& position) {
  // The position shows the term of the last commit. That the database leads a
  // newer one is known from its status.
  const DatabaseState* state = FindDatabase(database);
  const uint64_t led = state == nullptr ? 0 : state->status.term;
  const uint64_t term = std::max(led, position.term);
  if (term < group->term) {
    Deposed(now, group, database, "goes on under an old term");
    return false;
  }
  if (group->primary != database) {
    Event(events_, EventPriority::kState, "primary_known")
        .Add("group", group->name)
        .Add("database", database)
        .Add("term", term)
        .Add("previous", group->primary)
        .Add("source", "answer")
        .Add("age", now - sent);
    group->primary = database;
  }
  const bool newer = term > group->term;
  group->term = term;
  if (newer) SettleCommits(now, group);
  group->proved_at = std::max(group->proved_at, sent);
  group->deposed.erase(database);
  if (group->expected_primary == database) group->expected_primary.clear();
  group->proof.RecordClaim(database, term, sent, position);
  SettleProofs(now, group);
  return true;
}

void Proxy::Impl::Deposed(TimePoint now, Group* group,
                          const std::string& database, const std::string& why) {
  group->deposed.insert(database);
  if (group->primary != database) return;
  Event(events_, EventPriority::kState, "primary_lost")
      .Add("group", group->name)
      .Add("database", database)
      .Add("term", group->term)
      .Add("reason", why)
      .Add("proved", now - group->proved_at);
  group->primary.clear();
  AdoptClaims(now, group);
  if (group->primary.empty()) ProbeGroup(now, group);
}

/// Whether the group's primary has said itself that it leads the newest term
/// that is known.
bool Proxy::Impl::KnownByItsWord(const Group& group) const {
  return !group.primary.empty() && group.proof.leader() == group.primary &&
         group.proof.term() == group.term;
}

/// `database` knows the term. If it is newer than that of the primary, which is
/// known by its own word, that one has been replaced and goes on.
void Proxy::Impl::NoteTerm(TimePoint now, Group* group,
                           const std::string& database, uint64_t term) {
  if (term <= group->term || database == group->primary) return;
  if (!KnownByItsWord(*group)) return;
  // It may be the new term's primary itself: one that began to claim the lead
  // after it last told its term is asked first. Giving it up at once would turn
  // statements away for a moment of each failover.
  DatabaseState* primary = FindDatabase(group->primary);
  const bool may_be_newer =
      primary != nullptr && primary->status_from < primary->claims_since;
  if (may_be_newer) {
    AskStatus(now, primary, /*beyond_cap=*/false);
    return;
  }
  group->term = term;
  Deposed(now, group, group->primary, "a newer term is known");
}

/// Takes the database that was the last to claim that it leads, unless it has
/// refused since. The list is read in lumps; of two whose claims came together
/// neither is taken.
void Proxy::Impl::AdoptClaims(TimePoint now, Group* group) {
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
  if (claimant == nullptr || tied) return;
  const std::string& id = claimant->info.id;
  if (group->primary == id) return;
  // A proof later than the claim outweighs it.
  if (!group->primary.empty() && group->proved_at >= claimant->claims_since) {
    return;
  }
  Event(events_, EventPriority::kState, "primary_known")
      .Add("group", group->name)
      .Add("database", id)
      .Add("term", group->term)
      .Add("previous", group->primary)
      .Add("source", "list")
      .Add("age", now - claimant->claims_since);
  group->primary = id;
}

void Proxy::Impl::StatusArrived(TimePoint now, Group* group,
                                DatabaseState* database, TimePoint asked,
                                const StatusReport& report) {
  if (asked < database->status_from) return;
  if (asked < database->status_not_before) return;
  database->status = report;
  database->status_from = asked;
  const std::string& id = database->info.id;
  group->proof.RecordWitness(id, asked, report.term);
  if (!report.primary) {
    NoteTerm(now, group, id, report.term);
  } else if (report.term >= group->term) {
    group->proof.RecordClaim(id, report.term, asked, report.received);
  }
  SettleCommits(now, group);
  SettleProofs(now, group);
  // It was asked before what has to be proved by now. One that was asked later
  // and proves nothing is asked again at the pace of those that wait, or its
  // answers would follow each other as fast as the network allows.
  const bool too_early = asked < group->proof_wanted;
  if (too_early && ProofWanted(*group)) AskReplicas(now, group);
  if (!report.primary) {
    if (group->primary == id) Deposed(now, group, id, "is a replica");
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
      .Add("age", now - asked);
  group->primary = id;
  group->term = report.term;
  group->deposed.erase(id);
  SettleCommits(now, group);
  SettleProofs(now, group);
  Pump(now, group);
}

void Proxy::Impl::ExpectPrimary(TimePoint now, Group* group,
                                const std::string& database) {
  group->expected_primary = database;
  group->expected_until = now + kExpectFor;
  group->deposed.erase(database);
}

/// How old the newest mark may become before the lead is probed.
milliseconds Proxy::Impl::MarkAge(const Group& group) const {
  milliseconds strictest = milliseconds::max();
  for (const std::shared_ptr<const Route>& route : group.routes) {
    if (route->freshness == Freshness::kPrimary) continue;
    strictest = std::min(strictest, route->max_staleness);
  }
  return std::max(strictest - kProbeTime, kLeastMarkAge);
}

/// Connections can fall silent all at once, each with a statement on it, while
/// new ones work. With as many as may be open the primary would seem lost until
/// they are given up; one more finds out, and then serves.
bool Proxy::Impl::AskAnew(TimePoint now, DatabaseState* primary) {
  if (primary == nullptr || !primary->pool.idle().empty()) return false;
  if (primary->silent_since == TimePoint()) return false;
  if (now - primary->silent_since < kAskAnewAfter) return false;
  AskStatus(now, primary, /*beyond_cap=*/true);
  return true;
}

/// Renews the mark that covers reads on replicas: a begin is answered without
/// a slot, and only by a database that takes itself for the primary.
void Proxy::Impl::ProbeLead(TimePoint now, Group* group) {
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
  SendOwn(now, connection, {begin, end},
          {ExpectedKind::kProof, ExpectedKind::kEnd});
  WantProof(now, group, now);
}

void Proxy::Impl::MaintainLeadership(TimePoint now, Group* group) {
  const bool used = now - group->used_at < kGroupIdle;
  const bool expecting =
      !group->expected_primary.empty() && now < group->expected_until;
  DatabaseState* primary = FindDatabase(group->primary);
  // Its successor is about to lead, and it does not answer: statements wait for
  // the successor instead. Not when it is the successor: the word that it was
  // about to lead outlasts the moment from which it leads.
  const bool replaced = expecting && group->primary != group->expected_primary;
  if (replaced && primary != nullptr && Suspect(now, *primary)) {
    Deposed(now, group, group->primary, "silent, another is about to lead");
  }
  if (group->primary.empty()) {
    AdoptClaims(now, group);
    if (group->primary.empty() && (used || expecting) &&
        now >= group->probe_not_before) {
      group->probe_not_before =
          now + (expecting ? kExpectingPace : kSearchPace);
      ProbeGroup(now, group);
    }
    return;
  }
  if (!used || now < group->probe_not_before) return;
  if (AskAnew(now, primary)) {
    group->probe_not_before = now + kSearchPace;
    return;
  }
  const auto newest = group->watermarks.newest();
  if (newest.has_value() && now - newest->at < MarkAge(*group)) return;
  group->probe_not_before = now + kSearchPace;
  ProbeLead(now, group);
}

}  // namespace ryefold::core::session
