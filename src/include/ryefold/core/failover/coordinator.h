#pragma once

// Decides when a database group needs another primary, and which.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

/// What became of an order to promote.
enum class PromotionOutcome : uint8_t {
  kAccepted,    ///< The database will lead within about a second.
  kFenced,      ///< A higher token has been seen: another holds the duty.
  kNotRunning,  ///< The database named is not there.
  kNotDone,     ///< Turned away, or never reached: nothing will happen.
  kUnknown,     ///< No answer: it may still be executed, seconds later.
};

/// Who can make a database the primary. The order carries the token, so that
/// a late one of an earlier holder is refused.
class PromotionAuthority {
 public:
  virtual ~PromotionAuthority() = default;
  /// Leads to `Coordinator::PromotionAnswered`, never before it returns.
  virtual void Promote(const std::string& group, const std::string& database,
                       uint64_t token) = 0;
};

/// What the coordinator wants done besides promotions.
class CoordinatorPort {
 public:
  virtual ~CoordinatorPort() = default;
  /// Ask all databases of the group for their status.
  virtual void Probe(const std::string& group) = 0;
  /// `database` was ordered to lead: tell the other instances.
  virtual void Announce(const std::string& group,
                        const std::string& database) = 0;
  /// The present token must not be used any more; get another.
  virtual void ReplaceToken(const std::string& reason) = 0;
};

struct CoordinatorTiming {
  /// Pace of asking the databases of a healthy group. Bounds how late the
  /// silence of an idle primary is noticed.
  std::chrono::milliseconds probe{1000};
  /// The same while a primary is doubted.
  std::chrono::milliseconds probe_doubted{150};
  /// Silence on every connection after which a primary is taken for lost. It
  /// is probed with calls that need no slot meanwhile, so that a busy one is
  /// heard of several times in this span.
  std::chrono::milliseconds silent{750};
  /// Refused connections in a row that mean the same: nothing listens there.
  uint32_t refusals = 3;
  /// How long a group may be without anybody who leads before one is named.
  std::chrono::milliseconds leaderless{1200};
  /// How long the primary may hold entries that no replica receives before it
  /// is taken to be cut off from all of them. Commits are not acknowledged
  /// meanwhile, so a promotion discards none that was.
  std::chrono::milliseconds unreceived{1500};
  /// Age up to which a replica's status counts in the choice.
  std::chrono::milliseconds status_age{700};
  /// The same for the comparison of what replicas receive, which is made with
  /// the usual pace of probes.
  std::chrono::milliseconds status_known{1500};
  /// How long a choice waits for the status of replicas that answer otherwise:
  /// a busy one is asked in its turn, and may have received the most.
  std::chrono::milliseconds choice{500};
  /// How long an ordered promotion is waited for before the group is judged
  /// again; promoting takes about a second.
  std::chrono::milliseconds settle{2500};
  /// Pause after an order that was turned away.
  std::chrono::milliseconds retry{400};
};

/// State machine for all groups; only acts while this instance holds the duty.
class Coordinator {
 public:
  Coordinator(CoordinatorTiming timing, PromotionAuthority* authority,
              CoordinatorPort* port, EventSink* events);

  /// Looks at every group. `token` is empty while the duty is not held.
  void Observe(TimePoint now, const std::vector<session::GroupView>& groups,
               std::optional<uint64_t> token);

  void PromotionAnswered(TimePoint now, const std::string& group,
                         uint64_t token, PromotionOutcome outcome);

 private:
  struct GroupState {
    TimePoint probe_at;
    /// Since when nobody leads; epoch when somebody does.
    TimePoint leaderless_since;
    /// Since when another primary is needed; epoch when it is not.
    TimePoint needed_since;
    /// Newest position that any replica had received, and since when that is
    /// so although the primary has newer ones; epoch when it has not.
    LogPosition received;
    TimePoint unreceived_since;
    /// An order was given; the group is let alone until then.
    TimePoint settle_until;
    std::string ordered;
  };
  /// Why the group needs another primary; empty when it does not.
  std::string Cause(TimePoint now, const session::GroupView& group,
                    GroupState* state) const;
  void NoteReceived(TimePoint now, const session::GroupView& group,
                    GroupState* state) const;
  bool StatusMissing(TimePoint now, const session::GroupView& group) const;
  static bool WouldDiscard(const session::GroupView& group,
                           const session::DatabaseView& candidate);
  const session::DatabaseView* Candidate(TimePoint now,
                                         const session::GroupView& group) const;
  void Probe(TimePoint now, const session::GroupView& group, GroupState* state,
             bool doubt);

  const CoordinatorTiming timing_;
  PromotionAuthority* authority_;
  CoordinatorPort* port_;
  EventSink* events_;
  std::map<std::string, GroupState> groups_;
};

}  // namespace ryefold::core::failover
