#include "ryefold/core/group/reads.h"

#include <algorithm>

#include "ryefold/core/group/log.h"
#include "ryefold/core/session/token.h"

namespace ryefold::core::group {
namespace {

constexpr size_t kMaxPrimarySamples = 4096;
/// Divisor of the weight of a new sample in the smoothed delay.
constexpr int kDelaySmoothingDivisor = 8;
/// Upper limit of the reported lag, also reported when the lag is unknown.
constexpr std::chrono::milliseconds kMaxReportedLag = std::chrono::hours(24);
/// A round without answers from a majority is repeated after this time.
constexpr std::chrono::milliseconds kRoundTimeout{100};

using std::chrono::milliseconds;

/// Returns the oldest time of the data that the read accepts.
TimePoint OldestAcceptedTime(const ReadState& read) {
  return read.arrived - read.max_age;
}

}  // namespace

void ReadPlanner::RecordPrimaryPosition(TimePoint now, TimePoint sent,
                                        const LogPosition& last) {
  // The primary had reached no more than `last` when the call was sent, and may
  // have advanced since.
  ages_.RecordPrimary(sent, last);
  if (!samples_.empty() && last <= samples_.back().position) return;
  samples_.push_back({last, now});
  if (samples_.size() > kMaxPrimarySamples) samples_.pop_front();
}

void ReadPlanner::RecordReplicaPosition(TimePoint now,
                                        const std::string& database,
                                        const LogPosition& last) {
  const auto it = std::upper_bound(
      samples_.begin(), samples_.end(), last,
      [](const LogPosition& position, const PrimarySample& observed) {
        return position < observed.position;
      });
  if (it == samples_.begin()) return;
  const auto sample = std::chrono::duration_cast<std::chrono::microseconds>(
      now - std::prev(it)->first_seen);
  const auto known = replication_delays_.find(database);
  if (known == replication_delays_.end()) {
    replication_delays_[database] = sample;
  } else {
    known->second += (sample - known->second) / kDelaySmoothingDivisor;
  }
}

bool ReadPlanner::NeedsHeartbeatRound(const ReadContext& context,
                                      ReadState* read) const {
  if (read->fresh_position.has_value()) return false;
  if (read->max_age > milliseconds(0)) {
    return context.term_confirmed_at < OldestAcceptedTime(*read);
  }
  if (std::min(context.term_confirmed_at, context.primary_contact_at) <
      read->arrived) {
    return true;
  }
  const DatabaseStatus* primary = context.health.status(context.primary);
  if (primary == nullptr || primary->adopted_term != context.term) return true;
  read->fresh_position = primary->last;
  return false;
}

std::optional<TimePoint> ReadPlanner::EstimateCatchUp(
    const std::string& database, const LogPosition& wanted) const {
  const auto delay = replication_delays_.find(database);
  if (delay == replication_delays_.end()) return std::nullopt;
  const auto it = std::lower_bound(
      samples_.begin(), samples_.end(), wanted,
      [](const PrimarySample& observed, const LogPosition& position) {
        return observed.position < position;
      });
  if (it == samples_.end()) return std::nullopt;
  return it->first_seen + delay->second;
}

routing::Route ReadPlanner::ChooseRoute(TimePoint now,
                                        const ReadContext& context,
                                        const ReadState& read,
                                        TimePoint deadline) const {
  routing::ReadRequirements needs;
  needs.max_age = read.max_age;
  needs.near_domain = preferred_domain_;
  needs.deadline = deadline;
  needs.seen = read.seen;
  if (const DatabaseStatus* primary = context.health.status(context.primary)) {
    needs.seen = session::LimitToExisting(read.seen, primary->term_starts);
  }
  const LogPosition wanted =
      std::max(needs.seen, read.fresh_position.value_or(LogPosition{}));
  std::vector<routing::Candidate> candidates;
  for (const DatabaseSpec& spec : context.group.databases) {
    const DatabaseStatus* status = context.health.status(spec.database);
    if (status == nullptr) continue;
    routing::Candidate candidate;
    candidate.database = spec.database;
    candidate.failure_domain = spec.failure_domain;
    candidate.primary = spec.database == context.primary;
    candidate.usable = !spec.leaving &&
                       !context.health.IsSuspected(spec.database) &&
                       context.health.IsReachable(now, spec.database) &&
                       status->adopted_term == context.term;
    candidate.has_free_slot = context.pool.HasFreeSlot(spec.database) &&
                              context.pool.FindIdle(spec.database).has_value();
    candidate.last = status->last;
    candidate.term_starts = status->term_starts;
    candidate.running = context.pool.running_count(spec.database);
    const bool is_fresh =
        read.fresh_position.has_value() &&
        HoldsEntry(status->last, status->term_starts, *read.fresh_position);
    candidate.age =
        is_fresh ? milliseconds(0)
                 : ages_.AgeBound(now, status->last, context.term_confirmed_at);
    if (!is_fresh && read.max_age == milliseconds(0)) {
      candidate.age = std::max(candidate.age, milliseconds(1));
    }
    if (status->last < wanted) {
      candidate.catches_up_at = EstimateCatchUp(spec.database, wanted);
    }
    candidates.push_back(std::move(candidate));
  }
  return routing::ChooseReadRoute(now, needs, candidates);
}

bool ReadPlanner::StartRoundIfDue(TimePoint now, const ReadContext& context,
                                  TimePoint newest_read) {
  const bool previous_finished =
      std::min(context.term_confirmed_at, context.primary_contact_at) >=
          round_started_ ||
      now >= round_deadline_;
  if (!previous_finished || newest_read > now) return false;
  round_started_ = now;
  round_deadline_ = now + kRoundTimeout;
  return true;
}

TimePoint ReadPlanner::next_deadline(TimePoint now) const {
  return round_deadline_ > now ? round_deadline_ : TimePoint::max();
}

milliseconds ReadPlanner::lag(TimePoint now, const ReadContext& context,
                              const std::string& database) const {
  const DatabaseStatus* status = context.health.status(database);
  if (status == nullptr) return milliseconds(0);
  return std::min(ages_.AgeBound(now, status->last, now), kMaxReportedLag);
}

}  // namespace ryefold::core::group
