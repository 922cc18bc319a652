#pragma once

// Failover of database groups: detects that a group needs a new primary and
// chooses the replica to promote.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/failover/group_health.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

/// Result of a promotion order.
enum class PromotionOutcome : uint8_t {
  kAccepted,     ///< The database becomes primary within about 1 s.
  kFenced,       ///< Rejected: a higher fencing token has been used.
  kNotRunning,   ///< The database is not running.
  kNotExecuted,  ///< Rejected or not delivered; has no effect.
  kUnknown,      ///< No answer; the order may still be executed.
};

/// Interface to the platform's promotion call. Each order carries the fencing
/// token of the duty, so that delayed orders of an earlier holder are rejected.
class PromotionAuthority {
 public:
  virtual ~PromotionAuthority() = default;
  /// Orders `database` to become primary. The result is reported through
  /// `Coordinator::PromotionAnswered`, never before this call returns.
  virtual void Promote(const std::string& group, const std::string& database,
                       uint64_t token) = 0;
};

/// Requests of the coordinator to its owner, other than promotions.
class CoordinatorPort {
 public:
  virtual ~CoordinatorPort() = default;
  /// Requests the status of all databases of the group.
  virtual void Probe(const std::string& group) = 0;
  /// Stops a replica from receiving under terms below `term` until a promotion
  /// or `ResumeReplication`. Its next status shows whether it stopped.
  virtual void PauseReplication(const std::string& database, uint64_t term) = 0;
  virtual void ResumeReplication(const std::string& database) = 0;
  /// Notifies all instances that `database` becomes the primary; an empty id
  /// withdraws the last notification.
  virtual void Announce(const std::string& group,
                        const std::string& database) = 0;
  /// Discards the current fencing token and requests a higher one.
  virtual void ReplaceToken(const std::string& reason) = 0;
};

struct CoordinatorTiming {
  /// Interval between status probes of a healthy group. Bounds how late the
  /// failure of an idle primary is detected.
  std::chrono::milliseconds probe_interval{1000};
  /// Probe interval while the primary is suspected.
  std::chrono::milliseconds suspected_probe_interval{150};
  /// Time without an answer on any connection after which the primary counts
  /// as failed. Probes need no slot, so a busy primary answers several times
  /// within this time.
  std::chrono::milliseconds primary_timeout{750};
  /// Consecutive refused connections after which the primary counts as failed:
  /// no process listens on its address.
  uint32_t refusal_limit = 3;
  /// Time without an answer to this instance that confirms a longer silence
  /// reported by another one.
  std::chrono::milliseconds silence_confirmation{250};
  /// Age of such a report up to which it counts.
  std::chrono::milliseconds silence_report_age{1500};
  /// Time without a primary after which a replica is promoted.
  std::chrono::milliseconds no_primary_timeout{1200};
  /// Time after which a primary whose newer log entries reach no replica counts
  /// as partitioned from all of them. Commits are not acknowledged during this
  /// time, so the promotion discards no acknowledged commit.
  std::chrono::milliseconds replication_stall_timeout{1500};
  /// Maximum age of a replica's last contact and status at promotion.
  std::chrono::milliseconds max_status_age{700};
  /// Maximum status age for the detection of a replication stall, which relies
  /// on probes at the normal interval.
  std::chrono::milliseconds max_stall_status_age{1500};
  /// Maximum wait for the status of replicas that answer other calls. A busy
  /// replica answers status calls late and may have received the most.
  std::chrono::milliseconds status_wait{500};
  /// Interval between requests to pause or resume a replica that has not
  /// answered.
  std::chrono::milliseconds pause_interval{150};
  /// Maximum wait for the other replicas to pause and for the candidate to
  /// receive what they have. After that only the announcement keeps commits
  /// that the candidate lacks from being acknowledged.
  std::chrono::milliseconds pause_wait{500};
  /// Time allowed for a promotion, which takes about 1 s, before the group is
  /// evaluated again.
  std::chrono::milliseconds promotion_timeout{2500};
  /// Delay before the next promotion after a rejected order.
  std::chrono::milliseconds retry_delay{400};
};

/// Failover state machine for all groups. Acts only while this instance holds
/// the duty, which is the right to order promotions.
class Coordinator {
 public:
  Coordinator(CoordinatorTiming timing, PromotionAuthority* authority,
              CoordinatorPort* port, EventSink* events);

  /// Evaluates these groups and orders promotions where needed. What is known
  /// of other groups is forgotten. `token` is the fencing token of the duty;
  /// nullopt while this instance does not hold it.
  void EvaluateGroups(TimePoint now,
                      const std::vector<session::GroupView>& groups,
                      std::optional<uint64_t> token);

  /// Records that another instance has had no answer from the group's primary
  /// since `since`.
  void SilenceReported(TimePoint now, const std::string& group,
                       TimePoint since);
  /// Returns the groups that have to be evaluated until something has come to
  /// an end: a suspicion, a promotion or an announcement.
  std::vector<std::string> OpenGroups(TimePoint now) const;

  void PromotionAnswered(TimePoint now, const std::string& group,
                         uint64_t token, PromotionOutcome outcome);

  /// Records an announcement of any instance as read from the store. It is
  /// withdrawn if the promotion has not taken effect in time: instances that
  /// start later would wait for it.
  void AnnouncementRead(TimePoint now, const std::string& group,
                        const std::string& database);

  /// Whether a promotion waits for nothing but answers of replicas, so that it
  /// should be evaluated again within milliseconds.
  bool AwaitsReplies() const;

 private:
  struct GroupState {
    TimePoint next_probe_at;
    /// Until when an order of an earlier holder of the duty may take effect.
    TimePoint earlier_orders_end;
    /// Newest term reported by any database.
    uint64_t term = 0;
    /// Last known primary.
    std::string primary;
    /// When this instance noticed the last change of `term` or `primary`.
    TimePoint leadership_since;
    /// The primary changed and has not reported yet which term it leads.
    bool term_unknown = false;
    /// Start of the time without a primary; epoch while there is one.
    TimePoint no_primary_since;
    /// Since when the primary seems to fail; epoch while it does not.
    TimePoint suspected_since;
    /// When a promotion became necessary; epoch while none is needed.
    TimePoint needed_since;
    /// End of the wait for statuses. Meaningful while `deferral` says that the
    /// promotion waits for nothing but replies of replicas.
    TimePoint reply_deadline;
    /// Database for which the other replicas are paused; empty if none are.
    std::string candidate;
    /// End of the wait for the other replicas to pause.
    TimePoint pause_deadline;
    /// Earliest time of the next requests to pause or resume replicas.
    TimePoint next_pause_at;
    ReplicationProgress replication;
    /// End of the wait for `ordered_database` to become primary; the group is
    /// not evaluated before.
    TimePoint promotion_deadline;
    std::string ordered_database;
    /// Why a necessary promotion was deferred last; empty if it was not.
    std::string deferral;
  };
  struct Announcement {
    std::string database;
    /// When it is withdrawn unless the database has become primary.
    TimePoint withdrawal_at;
  };
  struct ReportedSilence {
    TimePoint since;
    TimePoint reported_at;
  };
  void EvaluateGroup(TimePoint now, const session::GroupView& group,
                     uint64_t token);
  bool IsUnreachable(TimePoint now, const std::string& group,
                     const session::DatabaseView& primary) const;
  /// Returns why the group needs a new primary; empty if it does not.
  std::string PromotionReason(TimePoint now, const session::GroupView& group,
                              GroupState* state) const;
  static void UpdateLeadership(TimePoint now, const session::GroupView& group,
                               GroupState* state);
  static bool IsOfPresentTerm(const GroupState& state, uint64_t term);
  static std::optional<LogPosition> ReceivedPosition(
      const GroupState& state, const session::DatabaseView& database);
  static void UpdateSuspicion(TimePoint now, bool failing, GroupState* state);
  static bool IsReadSinceFailure(const GroupState& state,
                                 const session::DatabaseView& database);
  static bool IsPaused(const GroupState& state,
                       const session::DatabaseView& database);
  bool HasStaleReplicaStatus(TimePoint now, const session::GroupView& group,
                             const GroupState& state) const;
  static bool WouldDiscardCommits(const session::GroupView& group,
                                  const GroupState& state,
                                  const session::DatabaseView& candidate);
  bool MayLackUnreadCommits(TimePoint now, const session::GroupView& group,
                            const GroupState& state,
                            const session::DatabaseView& candidate) const;
  static bool MayLackPresentTerm(const session::GroupView& group,
                                 const GroupState& state,
                                 const session::DatabaseView& candidate);
  bool IsEligible(TimePoint now, const session::GroupView& group,
                  const session::DatabaseView& database) const;
  const session::DatabaseView* FindMostAdvanced(TimePoint now,
                                                const session::GroupView& group,
                                                const GroupState& state) const;
  const session::DatabaseView* ChooseCandidate(TimePoint now,
                                               const session::GroupView& group,
                                               const GroupState& state) const;
  std::vector<const session::DatabaseView*> UnpausedReplicas(
      TimePoint now, const session::GroupView& group, const GroupState& state,
      const session::DatabaseView& candidate) const;
  bool PauseOtherReplicas(TimePoint now, const session::GroupView& group,
                          const session::DatabaseView& candidate,
                          GroupState* state);
  void RequestPauses(TimePoint now, const session::GroupView& group,
                     const session::DatabaseView& candidate,
                     const std::vector<const session::DatabaseView*>& replicas,
                     const GroupState& state);
  void ResumeReplicas(TimePoint now, const session::GroupView& group,
                      GroupState* state);
  /// Returns why the promotion has to wait; empty if it does not.
  std::string DeferralReason(TimePoint now, const session::GroupView& group,
                             const GroupState& state,
                             const session::DatabaseView* candidate) const;
  void DeferPromotion(TimePoint now, const session::GroupView& group,
                      const std::string& cause, const std::string& reason,
                      GroupState* state);
  static std::string DescribeDatabases(TimePoint now,
                                       const session::GroupView& group,
                                       const GroupState& state);
  void PromoteOrDefer(TimePoint now, const session::GroupView& group,
                      const std::string& cause, uint64_t token,
                      GroupState* state);
  void RecordAnnouncement(TimePoint now, const std::string& group,
                          const std::string& database);
  void OrderPromotion(TimePoint now, const session::GroupView& group,
                      const session::DatabaseView& candidate,
                      const std::string& cause, uint64_t token,
                      GroupState* state);
  void WithdrawOutdatedAnnouncement(TimePoint now,
                                    const session::GroupView& group);
  void ProbeIfDue(TimePoint now, const session::GroupView& group,
                  GroupState* state, bool suspected);

  const CoordinatorTiming timing_;
  PromotionAuthority* authority_;
  CoordinatorPort* port_;
  EventSink* events_;
  std::map<std::string, GroupState> groups_;
  std::map<std::string, ReportedSilence> silences_;
  /// Last announcement of each group; kept while the duty is elsewhere.
  std::map<std::string, Announcement> announcements_;
};

}  // namespace ryefold::core::failover
