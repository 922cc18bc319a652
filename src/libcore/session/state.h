#pragma once

// Records of the session proxy: callers, requests, connections, databases,
// groups. Plain data; the logic is in the proxy_*.cc files.

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/admission/concurrency_limit.h"
#include "ryefold/core/admission/queue.h"
#include "ryefold/core/admission/usual_demand.h"
#include "ryefold/core/admission/work_estimator.h"
#include "ryefold/core/session/attempt.h"
#include "ryefold/core/session/call_statistics.h"
#include "ryefold/core/session/connection_session.h"
#include "ryefold/core/session/database_pool.h"
#include "ryefold/core/session/forwarding.h"
#include "ryefold/core/session/leadership_proof.h"
#include "ryefold/core/session/own_commits.h"
#include "ryefold/core/session/placement.h"
#include "ryefold/core/session/port.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/core/session/watermarks.h"

namespace ryefold::core::session {

using RequestId = uint64_t;

/// Maximum length of one queue. A request takes about 1 KB, and a longer queue
/// could not be served within any route's response-time goal.
inline constexpr uint32_t kQueueLimit = 500;

/// A group without statements for this long is not probed.
inline constexpr std::chrono::milliseconds kGroupIdleTimeout{2000};

struct Transaction {
  /// Route in force when the transaction began. A route change, which may
  /// select another group, applies from the next transaction on.
  std::shared_ptr<const Route> route;
  /// 0 once the transaction has failed and released its connection.
  ConnectionId connection = 0;
  /// Keeper that runs the transaction; empty when it runs here.
  std::string keeper;
  bool wrote = false;
  /// Time at which the begin was sent to a primary whose leadership at that
  /// time is not proved yet; epoch when no proof is needed.
  TimePoint unproved_since;
  TimePoint idle_deadline;
};

struct Caller {
  CallerId id = 0;
  /// Represents a caller of another instance that forwards its statements here.
  bool adopted = false;
  /// Route received with a forwarded statement.
  std::shared_ptr<const Route> forwarded_route;
  std::string route;
  /// Digest of the API key that the caller presented.
  workspace::KeyDigest key;
  /// Empty for a caller without a workspace. Statements run only on connections
  /// of the same workspace.
  std::string workspace;
  /// Adopted callers only: version of the configuration that admitted the
  /// caller.
  uint64_t admission_version = 0;
  /// The caller's key was revoked: the session closes after the pending reply.
  bool revoked = false;
  Variables variables;
  std::map<std::string, PreparedRef> prepared;
  TransactionState state = TransactionState::kIdle;
  Transaction transaction;
  /// Transactions and single statements forwarded so far, counting each
  /// attempt.
  uint64_t forward_count = 0;
  OwnCommits commits;
  std::optional<LogPosition> position;
  /// Pending request; 0 when there is none.
  RequestId request = 0;
};

/// What a request requires of the connection that runs it.
enum class Requirement : uint8_t {
  kPrimary,         ///< The primary; a replica refuses the statement itself.
  kProvedRead,      ///< A read on the primary, with proof of its leadership.
  kReadAtPosition,  ///< A read on any database whose log holds a given
                    ///< position.
  kTransaction,     ///< The connection of the open transaction.
};

struct Request {
  RequestId id = 0;
  CallerId caller = 0;
  std::string statement_id;
  Statement statement;
  /// Identifies the request's share in the group's queues: its route and
  /// workspace.
  std::string queue_key;
  /// Set for kExecute only.
  PreparedRef prepared;
  std::shared_ptr<const Route> route;
  Requirement requirement = Requirement::kPrimary;
  bool writes = false;
  /// A success means that its session has made a commit that writes.
  bool commits_writes = false;
  TimePoint arrived_at;
  TimePoint goal_deadline;
  TimePoint timeout_at;
  /// Time of the next timer event; the request's key in the set of timers.
  TimePoint timer;
  bool queued = false;
  /// The rate limit of its workspace has not been decided yet.
  bool awaits_limit = false;
  /// Additional attempts sent because an earlier one was not answered in time.
  uint32_t hedges = 0;
  /// A read failed on one database and was retried once on another.
  bool failed_once = false;
  uint32_t attempts = 0;
  /// Instance that runs the request; empty when it runs here.
  std::string forwarded_to;
  /// Forwarded to an instance that may reach a primary which is unreachable
  /// from here.
  bool detour = false;
  /// Sent to another keeper after one refused it as overloaded.
  bool keeper_retried = false;
  /// Waits until a keeper that has just started is ready.
  bool awaits_keeper = false;
  /// Connections on which the request is in flight.
  std::vector<ConnectionId> running_on;
  /// Times that its session's variables had to be confirmed first.
  uint32_t session_waits = 0;
  /// Databases or instances that rejected the request and are not retried at
  /// once.
  std::vector<std::string> rejected_by;
  /// Database or keeper of the last attempt, for the log.
  std::string database;
  TimePoint sent_at;
  /// Position that the last attempt required of the database's log; empty if it
  /// required none.
  std::optional<LogPosition> required_position;
  ErrorCode last_error = ErrorCode::kNone;
  /// The primary's reply to a commit that no replica is known to have received
  /// yet, and its time of arrival.
  std::optional<Reply> unconfirmed_reply;
  TimePoint committed_at;
  /// The primary that made the commit has been replaced since, or was about to
  /// be; it may have become primary again.
  bool primary_replaced = false;
  /// First database known to replace that primary; empty while none is.
  std::string successor;
  /// Reply to a read that is held back until the database is proved to have led
  /// at `leadership_time` under `leadership_term`, and the time since which it
  /// is held.
  std::optional<Reply> unproved_reply;
  TimePoint leadership_time;
  uint64_t leadership_term = 0;
  TimePoint proof_pending_since;
  /// Times that replicas were polled for this request.
  uint32_t replica_polls = 0;
};

enum class PendingCallKind : uint8_t {
  kSession,    ///< Variable or prepared statement of the session.
  kProof,      ///< Begin that accompanies a proved read or probes leadership.
  kBegin,      ///< Begin of a caller's transaction.
  kStatement,  ///< A caller's statement.
  kProxyRollback,  ///< Rollback issued by the proxy.
  kStatus,
};

/// One unanswered call on a connection.
struct PendingCall {
  PendingCallKind kind = PendingCallKind::kSession;
  RequestId request = 0;
  TimePoint sent_at;
  /// Age, when sent, of the log position that the call requires.
  std::chrono::milliseconds position_age{0};
  /// A read without a required position: only a proved primary may answer it.
  bool needs_proof = false;
  /// kStatement only: how the call counts in the statistics.
  CallUse use = CallUse::kStatement;
  /// kStatement only: a slot of the database was free as far as this instance
  /// knows, so that the response time is the statement's work.
  bool found_free_slot = false;
  /// kStatement only: the request's route. The request may have ended before
  /// the reply arrives.
  std::shared_ptr<const Route> route = nullptr;
  /// kStatement only: the begin that accompanies this proved read was refused,
  /// or accepted under an outdated term.
  bool proof_failed = false;
};

struct Connection {
  ConnectionId id = 0;
  std::string database;
  /// Fixed for the connection's lifetime; empty for connections without a
  /// workspace.
  std::string workspace;
  bool open = false;
  TimePoint requested_at;
  TimePoint open_deadline;
  ConnectionSession session;
  std::deque<PendingCall> pending_calls;
  /// Request whose statement is sent once its session's variables are
  /// confirmed, 0 when there is none, and the position that it requires.
  RequestId awaiting_session = 0;
  std::optional<Watermarks::Mark> awaiting_mark;
  /// Caller whose transaction runs on this connection; 0 when there is none.
  CallerId pinned_caller = 0;
  /// As reported by the last reply.
  TransactionState state = TransactionState::kIdle;
  /// The connection is closed once its last pending call is answered.
  bool unusable = false;
  /// Time at which it was last taken from the pool, and callers' statements
  /// sent since.
  TimePoint taken_at;
  uint32_t statements = 0;
};

struct DatabaseState {
  Database info;
  /// Missing from the platform's list; removed at `removal_at`.
  bool unlisted = false;
  TimePoint unlisted_at;
  TimePoint removal_at;
  TimePoint draining_since;
  DatabasePool pool;
  /// Callers' statements sent and not answered.
  uint32_t in_flight = 0;
  /// Calls of any kind and connection attempts that are not answered.
  uint32_t unanswered = 0;
  Latency latency;
  CallStatistics usage;
  /// `usage.calls()` at the last log line about it, and the time of that line.
  uint64_t logged_calls = 0;
  TimePoint usage_logged_at;
  /// Time for which a connection stays in use: a statement or a whole
  /// transaction.
  Latency hold_time;
  /// Moving average of callers' statements for each such use of a connection.
  double statements_per_hold = 1;
  /// Null with the fixed limit.
  std::unique_ptr<admission::ConcurrencyLimit> concurrency;
  /// Limit at the last log line about it, and the time of that line.
  uint32_t logged_limit = 0;
  TimePoint limit_logged_at;
  LagEstimate lag;
  LogPosition applied_position;
  TimePoint last_contact;
  TimePoint unanswered_since;
  uint32_t refusals = 0;
  /// Time since which the list shows the database as primary; epoch when it
  /// does not.
  TimePoint claims_since;
  TimePoint open_not_before;
  /// The database's queue was full: no new statements until this time.
  TimePoint busy_until;
  StatusReport status;
  TimePoint last_status_request_at;
  /// Time at which the known status was requested; a later request may be
  /// pending.
  TimePoint status_as_of;
  /// Replies to requests sent earlier are from a process that has ended.
  TimePoint status_valid_after;
  bool status_pending = false;
  /// No further order to step down before this time.
  TimePoint step_down_not_before;
  /// A status request could not be sent because no connection was idle.
  bool status_deferred = false;
  /// Pause or resume of replication that waits for an idle connection, and the
  /// time at which it is given up.
  std::optional<BackendCall> replication_call;
  TimePoint replication_call_deadline;
};

/// What is known of the terms of a database.
struct KnownTerms {
  StatusReport status;
  /// Time at which the status was requested; epoch if there is none.
  TimePoint status_as_of;
  LogPosition applied;
};

/// A database that was removed from the list. It may run on, cut off from the
/// platform's store.
struct DepartedDatabase {
  KnownTerms known;
  /// Since when other instances could know that it does not confirm commits: it
  /// drained, or was not listed any more.
  TimePoint leaving_since;
  TimePoint removed_at;
};

/// State of another instance as observed by this one.
struct InstanceState {
  /// Statements forwarded to it and not answered.
  uint32_t forwards_in_flight = 0;
  /// The instance did not respond and is not used until this time.
  TimePoint suspected_until;
  /// The instance has just started, without a list of databases; not used until
  /// this time.
  TimePoint starting_until;
  /// Groups whose primary the instance could not reach, each with the end of
  /// its backoff.
  std::map<std::string, TimePoint> no_primary_until;
};

struct Group {
  Group(const std::string& group_name, uint64_t seed,
        admission::QueueShares shares);

  std::string name;
  GroupLimits limits;
  /// Whether this instance holds connections to the group's databases. If not,
  /// its statements go to `keepers`. With forwarding, false until the instances
  /// are known.
  bool is_keeper = true;
  /// Whether `keepers` and `is_keeper` follow from the list of instances.
  bool keepers_assigned = false;
  /// Empty when every instance is a keeper.
  std::vector<KeeperCandidate> keepers;
  /// `keepers` by failure domain.
  std::map<std::string, std::vector<KeeperCandidate>> keepers_by_domain;
  /// Database ids.
  std::vector<std::string> databases;
  /// Presumed primary; empty when unknown.
  std::string primary;
  uint64_t term = 0;
  /// Time at which `term` was first known.
  TimePoint term_since;
  /// Databases known to have led each of the last terms.
  std::map<uint64_t, std::string> leaders;
  /// Databases that were removed from the list, for as long as they may run on.
  std::map<std::string, DepartedDatabase> departed;
  /// Database that the list named as primary last, also if it is gone, and the
  /// time.
  std::string listed_primary;
  TimePoint listed_primary_since;
  /// Time at which the newest call that the primary accepted was sent.
  TimePoint last_claim_at;
  /// Databases that refused to act as primary, until they claim it again.
  std::set<std::string> deposed;
  /// Database whose promotion was announced, and how long to wait for it.
  std::string expected_primary;
  TimePoint expected_until;
  Watermarks watermarks;
  LeadershipProof proof;
  /// Latest time at which the primary must be proved to have led.
  TimePoint proof_required_at;
  /// Reads that wait for a proof, oldest first.
  std::vector<RequestId> unproved_reads;
  /// Work per statement of each queue key.
  admission::WorkEstimator work;
  admission::Queue primary_queue;
  admission::Queue read_queue;
  /// Classes that were short when it was last logged.
  std::vector<uint32_t> logged_primary_shortage;
  std::vector<uint32_t> logged_read_shortage;
  /// Usual demand per queue key, and the time of the next update of queue
  /// weights from it.
  admission::DemandEstimator demand;
  /// Priority of each queue key seen so far.
  std::map<std::string, uint32_t> queue_priorities;
  TimePoint next_weight_update;
  /// Routes to this group.
  std::vector<std::shared_ptr<const Route>> routes;
  /// Not logged again before this time: that a keeper was passed over.
  TimePoint pass_over_log_not_before;
  /// Time of the last statement; idle groups are not probed.
  TimePoint last_used_at;
  TimePoint probe_not_before;
  /// No other instance reached the primary: no detours until this time.
  TimePoint no_detour_until;
  /// Requests whose commits wait for a replica, oldest first.
  std::vector<RequestId> unconfirmed_commits;
  /// Unreplicated position for which writes are refused; empty while writes
  /// are accepted.
  LogPosition writes_held_position;
  /// Primary whose log holds that position.
  std::string writes_held_primary;
  TimePoint writes_held_since;
  TimePoint next_replica_poll_at;
};

}  // namespace ryefold::core::session
