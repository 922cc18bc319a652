// What is known of the terms of a group's databases, and orders to step down:
// commits wait until no read can be proved under an older term.

#include <algorithm>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Interval between orders to one database to step down: several times the
/// response time of a busy database.
constexpr milliseconds kStepDownInterval{100};
/// Maximum number of terms whose leaders are kept.
constexpr size_t kMaxKnownLeaders = 32;

}  // namespace

void Proxy::Impl::SetTerm(TimePoint now, Group* group, uint64_t term) {
  if (term > group->term) group->term_since = now;
  group->term = term;
}

/// Records the leader of a term that a status or the position of a commit
/// shows; a begin may show the term before.
void Proxy::Impl::RecordLeader(Group* group, uint64_t term,
                               const std::string& database) {
  group->leaders[term] = database;
  if (group->leaders.size() > kMaxKnownLeaders) {
    group->leaders.erase(group->leaders.begin());
  }
}

/// Returns whether the database may lead a term after `after` and before
/// `before`. Each term has one leader.
bool Proxy::Impl::MayLeadBetween(const Group& group,
                                 const std::string& database, uint64_t after,
                                 uint64_t before) {
  for (uint64_t term = after + 1; term < before; ++term) {
    const auto leader = group.leaders.find(term);
    if (leader == group.leaders.end() || leader->second == database) {
      return true;
    }
  }
  return false;
}

KnownTerms Proxy::Impl::TermsOf(const DatabaseState& database) {
  return {database.status, database.status_as_of, database.applied_position};
}

/// Evaluates what is known of a database of the group for commits of the
/// present term.
MemberEvidence Proxy::Impl::EvidenceOf(const Group& group,
                                       const std::string& database,
                                       const KnownTerms& known) {
  MemberEvidence evidence;
  evidence.term = std::max(
      {known.status.term, known.status.received.term, known.applied.term});
  // A replica may lead a later term than its own only.
  const bool asked_since = known.status_as_of >= group.term_since;
  evidence.replica =
      known.status_as_of != TimePoint() && !known.status.primary &&
      (asked_since ||
       !MayLeadBetween(group, database, known.status.term, group.term));
  return evidence;
}

/// Returns what is known of the group's databases but `primary`, also of those
/// that left the list lately.
std::vector<MemberEvidence> Proxy::Impl::EvidenceOfOthers(
    const Group& group, const std::string& primary) const {
  std::vector<MemberEvidence> evidence;
  for (const std::string& id : group.databases) {
    if (id == primary) continue;
    evidence.push_back(EvidenceOf(group, id, TermsOf(databases_.at(id))));
  }
  for (const auto& [id, departed] : group.departed) {
    if (id == primary) continue;
    evidence.push_back(EvidenceOf(group, id, departed.known));
  }
  return evidence;
}

/// Formats the databases that are not known to have seen the present term, for
/// the log.
std::string Proxy::Impl::DescribeOlderTerms(const Group& group) const {
  std::string text;
  const auto add = [&group, &text](const std::string& id,
                                   const KnownTerms& known, const char* state) {
    if (EvidenceOf(group, id, known).term >= group.term) return;
    if (!text.empty()) text.append(",");
    text.append(id).append(":").append(std::to_string(known.status.term));
    text.append(known.status.primary ? "(primary)" : "(replica)");
    text.append(known.status_as_of >= group.term_since ? "" : "(outdated)");
    text.append(state);
  };
  for (const std::string& id : group.databases) {
    if (id != group.primary) add(id, TermsOf(databases_.at(id)), "");
  }
  for (const auto& [id, departed] : group.departed) {
    add(id, departed.known, "(departed)");
  }
  return text.empty() ? "none" : text;
}

/// Whether the list of databases was confirmed recently. It arrives in one copy
/// with the routes.
bool Proxy::Impl::IsListCurrent(TimePoint now) const {
  return now - routes_confirmed_at_ <= kListCurrentFor;
}

/// Whether commits of the present term can be acknowledged as soon as a replica
/// has received them.
bool Proxy::Impl::WillExcludeOlderTerms(TimePoint now,
                                        const Group& group) const {
  std::vector<MemberEvidence> evidence = EvidenceOfOthers(group, group.primary);
  const bool none_seen = std::none_of(
      evidence.begin(), evidence.end(),
      [&group](const MemberEvidence& each) { return each.term >= group.term; });
  // The replica that confirms the commit will have seen the term.
  if (none_seen && !evidence.empty()) evidence.pop_back();
  return ExcludesOlderTerms(group.term, evidence, IsListCurrent(now));
}

/// Orders databases that may lead an older term to step down. Asks the others
/// that were not asked since the present term began for their status, if
/// commits have to wait for it.
void Proxy::Impl::SettleOlderTerms(TimePoint now, Group* group) {
  const bool settled = WillExcludeOlderTerms(now, *group);
  for (const std::string& id : group->databases) {
    if (id == group->primary) continue;
    DatabaseState* database = FindDatabase(id);
    const StatusReport& status = database->status;
    const bool in_term =
        std::max(status.term, status.received.term) >= group->term;
    const bool asked = database->status_as_of >= group->term_since;
    if (in_term || (asked && !status.primary)) continue;
    if (status.primary || database->info.claims_primary) {
      OrderStepDown(now, *group, database);
    } else if (!settled) {
      RequestStatus(now, database, /*beyond_limit=*/false);
    }
  }
}

void Proxy::Impl::OrderStepDown(TimePoint now, const Group& group,
                                DatabaseState* database) {
  // A pause or resume that waits for a connection goes first.
  if (database->replication_call.has_value()) return;
  if (now < database->step_down_not_before) return;
  database->step_down_not_before = now + kStepDownInterval;
  Event(events_, EventPriority::kState, "step_down_ordered")
      .Add("group", group.name)
      .Add("database", database->info.id)
      .Add("database_term", database->status.term)
      .Add("term", group.term)
      .Add("primary", group.primary)
      .Add("status_age", now - database->status_as_of);
  BackendCall call;
  call.kind = CallKind::kStepDown;
  call.term = group.term;
  CallReplica(now, database->info.id, call);
}

}  // namespace ryefold::core::session
