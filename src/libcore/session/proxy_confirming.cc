// Commits that the primary has acknowledged and that wait until a replica is
// known to have received them.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Pause before a replica that had not received a commit is asked again: some
/// times the delay of a network between failure domains, which is all that a
/// commit takes to arrive.
constexpr milliseconds kAskAgain{5};
constexpr uint32_t kMaxDoublings = 4;
/// Age of a commit from which all replicas are asked, not the likeliest alone:
/// about the time that a busy replica takes to get to the question.
constexpr milliseconds kAskAll{20};
/// Age of an unconfirmed commit from which no more are let in. Twenty times
/// what a confirmation takes beside busy replicas, and still early enough that
/// callers can be told in time that their write has not run.
constexpr milliseconds kHoldAfter{400};
/// A status that has not come by then is asked for on another connection: the
/// first may have fallen silent.
constexpr milliseconds kStatusOverdue{300};
/// Pace of asking replicas while commits are held back.
constexpr milliseconds kHeldPace{100};
/// Retry hint of writes that are turned away meanwhile: replicas cut off from
/// their primary for longer than a second and a half get another one.
constexpr milliseconds kHeldRetry{500};

}  // namespace

/// Databases that can receive a commit of `primary`. Leaving ones only where
/// there are no others: they end within seconds.
std::vector<std::string> Proxy::Impl::ReplicasOf(
    const Group& group, const std::string& primary) const {
  std::vector<std::string> staying;
  std::vector<std::string> leaving;
  for (const std::string& id : group.databases) {
    // One that is missing from the list counts until it is forgotten: entries
    // lapse while the store is away.
    const DatabaseState& database = databases_.at(id);
    if (id == primary) continue;
    (database.info.draining ? leaving : staying).push_back(id);
  }
  return staying.empty() ? leaving : staying;
}

bool Proxy::Impl::IsConfirmed(TimePoint now, const Group& group,
                              const LogPosition& position,
                              const std::string& committed_by) const {
  if (group.limits.confirms_commits) return true;
  const std::vector<std::string> replicas = ReplicasOf(group, committed_by);
  // Nobody could be promoted, so nothing can be discarded: the primary alone
  // has the log, and comes back with it.
  if (replicas.empty()) return true;
  const bool expecting =
      !group.expected_primary.empty() && now < group.expected_until;
  std::vector<LogPosition> received;
  for (const std::string& id : replicas) {
    // What the coming primary lacks when it takes over is discarded, whoever
    // else may have it.
    if (expecting && id != group.expected_primary) continue;
    // What it has applied it has received; ordinary answers tell that much.
    const DatabaseState& database = databases_.at(id);
    received.push_back(std::max(database.status.received, database.known));
  }
  return settings_.confirmation->IsSatisfied(position, received);
}

/// The primary has acknowledged the commit of `request`.
void Proxy::Impl::Confirm(TimePoint now, Request* request, Reply reply) {
  Group* group = GroupOf(*request);
  if (group == nullptr || !reply.position.has_value() ||
      IsConfirmed(now, *group, *reply.position, request->database)) {
    Acknowledge(now, request, std::move(reply));
    return;
  }
  request->committed_at = now;
  request->unconfirmed = std::move(reply);
  group->unconfirmed.push_back(request->id);
  AskAgain(now, request);
}

/// Tells the caller that the commit is saved. Only from now on do its reads
/// have to see it: one that stays in doubt must not take the place of an
/// earlier one that was acknowledged, or the session would miss its own data.
void Proxy::Impl::Acknowledge(TimePoint now, Request* request, Reply reply) {
  Caller* caller = FindCaller(request->caller);
  if (caller != nullptr) NoteCommit(now, caller, reply);
  Finish(now, request, std::move(reply));
}

/// Asks at a pace that slows down: a replica that has not received the commit
/// after some milliseconds is behind for longer, and each question takes one of
/// its slots.
void Proxy::Impl::AskAgain(TimePoint now, Request* request) {
  const milliseconds pause =
      kAskAgain * (1 << std::min(request->asked, kMaxDoublings));
  ++request->asked;
  SetTimer(request, std::min(request->timeout_at, now + pause));
  AskReplicas(now, GroupOf(*request));
}

/// Asks the database for its status, unless it has been asked just now. With
/// all connections taken, it is asked on the next that is given back, or on one
/// `beyond_cap`.
void Proxy::Impl::AskStatus(TimePoint now, DatabaseState* database,
                            bool beyond_cap) {
  const bool pending =
      database->status_pending && now - database->status_asked < kStatusOverdue;
  database->status_wanted = false;
  if (pending) return;
  const std::optional<ConnectionId> idle = database->pool.newest_idle();
  if (!idle.has_value()) {
    database->status_wanted = true;
    const uint32_t cap = ConnectionCap(now, *database) + (beyond_cap ? 1 : 0);
    const bool room = database->pool.size() < cap;
    const bool opening = database->pool.opening() > 0;
    if (!opening && room && now >= database->open_not_before) {
      Open(now, database, "");
    }
    return;
  }
  Connection* connection = FindConnection(*idle);
  database->pool.Take(*idle);
  database->status_pending = true;
  database->status_asked = now;
  if (database->info.id != EnsureGroup(database->info.group)->primary) {
    SendOwn(now, connection, {BackendCall{}}, {ExpectedKind::kStatus});
    return;
  }
  // A status waits for a slot; a begin is answered at once by a database that
  // lives, however busy it is.
  SendOwn(
      now, connection,
      {BackendCall{CallKind::kBegin, {}, {}, {}, {}, false},
       BackendCall{CallKind::kRollback, {}, {}, {}, {}, false}, BackendCall{}},
      {ExpectedKind::kProof, ExpectedKind::kEnd, ExpectedKind::kStatus});
}

/// Asks what replicas have received: the one that answers soonest, after a
/// while all.
void Proxy::Impl::AskReplicas(TimePoint now, Group* group) {
  const bool confirming =
      !group->unconfirmed.empty() || group->held_at != LogPosition();
  if (!confirming && !ProofWanted(*group)) return;
  std::vector<std::string> replicas = ReplicasOf(*group, group->primary);
  const auto cost = [this, now](const std::string& id) {
    const DatabaseState& database = databases_.at(id);
    const bool near = database.info.failure_domain == settings_.failure_domain;
    return std::make_pair(
        Suspect(now, database),
        database.latency.mean() * (database.in_flight + (near ? 1 : 2)));
  };
  std::sort(replicas.begin(), replicas.end(),
            [&cost](const std::string& a, const std::string& b) {
              return cost(a) < cost(b);
            });
  size_t wanted = Witnesses(*group, group->databases.size() - 1);
  if (LongUnsettled(now, *group)) wanted = replicas.size();
  for (const std::string& id : replicas) {
    DatabaseState* database = FindDatabase(id);
    AskStatus(now, database, /*beyond_cap=*/confirming);
    if (!database->status_pending) continue;
    if (wanted <= 1) return;
    --wanted;
  }
}

/// Whether something waits for replicas for so long that all are asked.
bool Proxy::Impl::LongUnsettled(TimePoint now, const Group& group) {
  if (group.held_at != LogPosition()) return true;
  TimePoint since = now;
  if (!group.unconfirmed.empty()) {
    const Request* oldest = FindRequest(group.unconfirmed.front());
    if (oldest != nullptr) since = oldest->committed_at;
  }
  if (!group.unproved.empty()) {
    const Request* oldest = FindRequest(group.unproved.front());
    if (oldest != nullptr) since = std::min(since, oldest->kept_since);
  }
  return now - since >= kAskAll;
}

/// A replica has told what it has received, or another primary is known.
void Proxy::Impl::SettleCommits(TimePoint now, Group* group) {
  const std::vector<RequestId> waiting = group->unconfirmed;
  for (const RequestId id : waiting) {
    Request* request = FindRequest(id);
    if (request == nullptr) {
      std::erase(group->unconfirmed, id);
      continue;
    }
    const LogPosition position = *request->unconfirmed->position;
    if (IsConfirmed(now, *group, position, request->database)) {
      Acknowledge(now, request, std::move(*request->unconfirmed));
    } else if (group->term > position.term) {
      // Another primary leads, and whether it had received the commit nobody
      // can tell any more.
      CommitInDoubt(now, request, "primary replaced");
    }
  }
  if (group->held_at == LogPosition()) return;
  const bool over = group->term > group->held_at.term ||
                    IsConfirmed(now, *group, group->held_at, group->held_by);
  if (!over) return;
  Event(events_, EventPriority::kState, "writes_let_in")
      .Add("group", group->name)
      .Add("position", group->held_at.index)
      .Add("term", group->term)
      .Add("held", now - group->held_since);
  group->held_at = LogPosition();
}

void Proxy::Impl::CommitInDoubt(TimePoint now, Request* request,
                                const std::string& why) {
  Reply reply;
  reply.error = ErrorCode::kInDoubt;
  reply.error_text = why;
  Finish(now, request, std::move(reply));
}

/// Looks after commits that wait: asks again, and stops letting in writes that
/// would only have to be told that their outcome is open.
void Proxy::Impl::MaintainCommits(TimePoint now, Group* group) {
  if (!group->unconfirmed.empty()) {
    const Request* oldest = FindRequest(group->unconfirmed.front());
    const bool late =
        oldest != nullptr && now - oldest->committed_at >= kHoldAfter;
    if (late && group->held_at == LogPosition()) {
      group->held_at = *oldest->unconfirmed->position;
      group->held_by = oldest->database;
      group->held_since = now;
      Event(events_, EventPriority::kState, "writes_held")
          .Add("group", group->name)
          .Add("primary", group->held_by)
          .Add("position", group->held_at.index)
          .Add("term", group->held_at.term)
          .Add("unconfirmed", group->unconfirmed.size())
          .Add("waited", now - oldest->committed_at);
    }
  }
  if (group->held_at == LogPosition() || now < group->ask_not_before) return;
  // Replicas that are gone do not answer any more: nothing else would show that
  // there is none left to wait for.
  SettleCommits(now, group);
  group->ask_not_before = now + kHeldPace;
  AskReplicas(now, group);
}

/// Whether a write would have to wait for replicas that receive nothing.
bool Proxy::Impl::WritesHeld(const Request& request) {
  const Group* group = GroupOf(request);
  return group != nullptr && group->held_at != LogPosition();
}

/// Turns a write away before it runs: afterwards nothing could be promised.
void Proxy::Impl::RefuseHeld(TimePoint now, Request* request, ErrorCode error) {
  Refuse(now, request, error, kHeldRetry, "not_replicated");
}

}  // namespace ryefold::core::session
