#pragma once

// The records that the session proxy keeps: callers, requests, connections,
// databases, groups. Plain data; the rules are in the proxy's sources.

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/admission/queue.h"
#include "ryefold/core/admission/usual_demand.h"
#include "ryefold/core/session/database_pool.h"
#include "ryefold/core/session/forwarding.h"
#include "ryefold/core/session/leadership_proof.h"
#include "ryefold/core/session/placement.h"
#include "ryefold/core/session/port.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/core/session/watermarks.h"

namespace ryefold::core::session {

using RequestId = uint64_t;

/// Requests that wait in one queue at most. A request holds about 1 KB, and a
/// queue this long could not be served within any route's goal.
inline constexpr uint32_t kQueueLimit = 500;

/// A prepared statement as databases know it. Callers' names collide, so each
/// distinct statement has one number, which makes the name on connections.
struct Prepared {
  uint64_t number = 0;
  bool writes = false;
  std::string shape;
};
using PreparedRef = std::shared_ptr<const Prepared>;

struct Transaction {
  /// What it began under: a change of the route applies from the next one on,
  /// and may move the route to another group.
  std::shared_ptr<const Route> route;
  /// 0 once it has failed and given its connection back.
  ConnectionId connection = 0;
  /// Keeper that holds it instead; empty when it is held here.
  std::string keeper;
  bool wrote = false;
  /// When its begin was sent to the primary that is still to be proved to have
  /// led then; epoch when nothing is to be proved.
  TimePoint unproved_since;
  TimePoint idle_deadline;
};

struct Caller {
  CallerId id = 0;
  /// Stands in for a caller of another instance that forwards its statements.
  bool adopted = false;
  /// Route that came with a forwarded statement.
  std::shared_ptr<const Route> forwarded_route;
  std::string route;
  /// Of the key that it came with.
  workspace::KeyDigest key;
  /// Empty for a caller without one. Connections of no other are used for it.
  std::string workspace;
  /// Adopted only: version of the configuration by which it was admitted.
  uint64_t admission_version = 0;
  /// Its key was taken away: the session ends with the answer under way.
  bool revoked = false;
  std::map<std::string, std::string> variables;
  std::map<std::string, PreparedRef> prepared;
  TransactionState state = TransactionState::kIdle;
  Transaction transaction;
  /// Transactions and single statements sent through other instances so far,
  /// each attempt counted.
  uint64_t forward_count = 0;
  /// Group of `committed`; the route may move to another.
  std::string group;
  /// Position that holds the session's last acknowledged commit.
  LogPosition committed;
  TimePoint committed_at;
  std::optional<LogPosition> position;
  /// 0 when nothing is unanswered.
  RequestId request = 0;
};

/// What a statement outside of a transaction, or its beginning, needs.
enum class Requirement : uint8_t {
  kPrimary,         ///< Runs on the primary, which itself refuses if it is not.
  kProvedRead,      ///< A read on a primary that proves its lead beside it.
  kReadAtPosition,  ///< A read on any log that holds a given position.
  kTransaction,     ///< Belongs to an open transaction, on its connection.
};

struct Request {
  RequestId id = 0;
  CallerId caller = 0;
  std::string statement_id;
  Statement statement;
  /// Names the line in the group's queues: the route's callers of one
  /// workspace.
  std::string queue_key;
  /// kExecute only.
  PreparedRef prepared;
  std::shared_ptr<const Route> route;
  Requirement requirement = Requirement::kPrimary;
  bool writes = false;
  TimePoint arrived_at;
  TimePoint goal_deadline;
  TimePoint timeout_at;
  /// Next time at which something is due; the key in the timer set.
  TimePoint timer;
  bool queued = false;
  /// Waits for the word that its workspace is below its limit.
  bool awaits_limit = false;
  /// How often another database was asked since one kept silent.
  uint32_t hedges = 0;
  /// A read that a database failed was asked once more elsewhere.
  bool failed_once = false;
  uint32_t attempts = 0;
  /// Keeper that runs it; empty when it runs here.
  std::string forwarded_to;
  /// Sent to an instance that may reach a primary which this one cannot.
  bool detour = false;
  /// Waits for a keeper that has only just started.
  bool awaits_keeper = false;
  /// Connections on which it runs now.
  std::vector<ConnectionId> running_on;
  /// Databases that have turned it down and are not asked again at once.
  std::vector<std::string> rejected_by;
  /// Where it ran last, for the log.
  std::string database;
  TimePoint sent_at;
  ErrorCode last_error = ErrorCode::kNone;
  /// The primary's answer to a commit that no replica is known to have
  /// received yet, and when it came.
  std::optional<Reply> unconfirmed_reply;
  TimePoint committed_at;
  /// What a database answered to a read that is told once the database is
  /// proved to have led at `led_at`, and since when it is kept back.
  std::optional<Reply> unproved_reply;
  TimePoint leadership_time;
  uint64_t leadership_term = 0;
  TimePoint proof_pending_since;
  /// How often replicas were asked since.
  uint32_t replica_polls = 0;
};

enum class PendingCallKind : uint8_t {
  kSync,       ///< Variable or prepared statement brought to the connection.
  kProof,      ///< Begin beside a proved read, or a probe of the lead.
  kBegin,      ///< Begin of a caller's transaction.
  kStatement,  ///< A caller's statement.
  kProxyRollback,  ///< Rollback by the proxy.
  kStatus,
};

/// One unanswered call on a connection.
struct PendingCall {
  PendingCallKind kind = PendingCallKind::kSync;
  RequestId request = 0;
  TimePoint sent_at;
  /// Age, when sent, of the position that the call asks for.
  std::chrono::milliseconds position_age{0};
  /// A read that no position covers: only a primary that leads may answer it.
  bool needs_proof = false;
};

struct Connection {
  ConnectionId id = 0;
  std::string database;
  /// For its whole life; empty: of none.
  std::string workspace;
  bool open = false;
  TimePoint open_deadline;
  std::map<std::string, std::string> variables;
  std::set<uint64_t> prepared;
  std::deque<PendingCall> pending_calls;
  /// Caller whose transaction it carries; 0 when none.
  CallerId pinned_caller = 0;
  /// The begin beside the read that follows was refused, or accepted under an
  /// old term.
  bool proof_failed = false;
  /// To be closed when the last answer has come.
  bool unusable = false;
  /// When it was last taken out of the pool.
  TimePoint taken_at;
};

struct DatabaseState {
  Database info;
  /// Missing from the list; forgotten at `gone_at`.
  bool unlisted = false;
  TimePoint removal_at;
  TimePoint draining_since;
  DatabasePool pool;
  /// Statements of callers that it has not answered.
  uint32_t in_flight = 0;
  /// Calls of any kind, and openings, that it has not answered.
  uint32_t unanswered = 0;
  Latency latency;
  /// How long a connection stays taken: a statement, or a whole transaction.
  Latency hold_time;
  LagEstimate lag;
  LogPosition applied_position;
  TimePoint last_heard;
  TimePoint silent_since;
  uint32_t refusals = 0;
  /// When it began to claim to lead; epoch when it does not.
  TimePoint claims_since;
  TimePoint open_not_before;
  /// Its own queue was full; nothing new until then.
  TimePoint busy_until;
  StatusReport status;
  TimePoint last_status_request_at;
  /// When the status that is known was asked for; a later one may be pending.
  TimePoint status_as_of;
  /// Answers to earlier questions are those of a process that has ended.
  TimePoint status_valid_after;
  bool status_pending = false;
  /// It was to be asked for its status and had no connection free.
  bool status_deferred = false;
};

/// Another instance as this one has seen it.
struct InstanceState {
  /// Statements forwarded there that it has not answered.
  uint32_t forwards_in_flight = 0;
  /// It gave no sign of life and is passed over until then.
  TimePoint suspected_until;
  /// It has only just started and knows no databases yet; not asked until then.
  TimePoint starting_until;
  /// Groups of which it has no primary in reach, and until when that is
  /// believed.
  std::map<std::string, TimePoint> no_primary_until;
};

struct Group {
  Group(const std::string& group_name, uint64_t seed);

  std::string name;
  GroupLimits limits;
  /// Whether this instance holds connections to the group's databases; if not,
  /// its statements go to `keepers`, as while the instances are not known.
  bool is_keeper = true;
  /// Empty: every instance holds connections.
  std::vector<KeeperCandidate> keepers;
  /// The same by failure domain.
  std::map<std::string, std::vector<KeeperCandidate>> keepers_by_domain;
  /// Ids of its databases.
  std::vector<std::string> databases;
  /// Database taken for the primary; empty when unknown.
  std::string primary;
  uint64_t term = 0;
  /// When the lead was last proved, by the time of the call.
  TimePoint proved_at;
  /// Databases that refused to lead since they were last proved.
  std::set<std::string> deposed;
  /// A promotion was announced: who, and until when it is waited for.
  std::string expected_primary;
  TimePoint expected_until;
  Watermarks watermarks;
  LeadershipProof proof;
  /// Newest moment for which the lead of the primary is to be proved.
  TimePoint proof_required_at;
  /// Reads that wait for a proof, the oldest first.
  std::vector<RequestId> unproved_reads;
  admission::Queue primary_queue;
  admission::Queue read_queue;
  /// What each line asks for as a rule, and when their shares are worked out
  /// from it anew.
  admission::UsualDemand demand;
  /// Lines of which statements have come, and their classes.
  std::map<std::string, uint32_t> queue_priorities;
  TimePoint next_weight_update;
  /// Routes that lead here.
  std::vector<std::shared_ptr<const Route>> routes;
  /// Last time a statement came in; idle groups are not probed.
  TimePoint last_used_at;
  TimePoint probe_not_before;
  /// No other instance reached the primary either: not tried until then.
  TimePoint no_detour_until;
  /// Requests whose commits wait for a replica, the oldest first.
  std::vector<RequestId> unconfirmed_commits;
  /// Position that no replica receives, while writes are turned away for it;
  /// empty when they are let in.
  LogPosition writes_held_position;
  /// The primary that holds it.
  std::string writes_held_primary;
  TimePoint writes_held_since;
  TimePoint next_replica_poll_at;
};

}  // namespace ryefold::core::session
