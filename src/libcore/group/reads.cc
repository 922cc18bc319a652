#include "ryefold/core/group/reads.h"

#include <algorithm>

#include "ryefold/core/group/log.h"
#include "ryefold/core/session/token.h"

namespace ryefold::core::group {
namespace {

constexpr size_t kMaxMarks = 4096;
/// Weight of a new sample in the smoothed delay, as a divisor.
constexpr int kDelaySmoothing = 8;
/// Reported of a replica about which nothing is known.
constexpr std::chrono::milliseconds kMostLag = std::chrono::hours(24);
/// A round that got no majority by then is sent again.
constexpr std::chrono::milliseconds kRoundPatience{100};

using std::chrono::milliseconds;

/// The last moment the read's data may be from, for its age to be accepted.
TimePoint OldestAccepted(const ReadState& read) {
  return read.arrived - read.max_age;
}

}  // namespace

void Reads::PrimaryAt(TimePoint now, TimePoint sent, const LogPosition& last) {
  // It had no more than `last` when the call was sent; since then it can have
  // moved on unseen.
  ages_.RecordPrimary(sent, last);
  if (!marks_.empty() && last <= marks_.back().position) return;
  marks_.push_back({last, now});
  if (marks_.size() > kMaxMarks) marks_.pop_front();
}

void Reads::ReplicaAt(TimePoint now, const std::string& database,
                      const LogPosition& last) {
  const auto it =
      std::upper_bound(marks_.begin(), marks_.end(), last,
                       [](const LogPosition& position, const Mark& mark) {
                         return position < mark.position;
                       });
  if (it == marks_.begin()) return;
  const auto sample = std::chrono::duration_cast<std::chrono::microseconds>(
      now - std::prev(it)->first_seen);
  const auto known = delays_.find(database);
  if (known == delays_.end()) {
    delays_[database] = sample;
  } else {
    known->second += (sample - known->second) / kDelaySmoothing;
  }
}

bool Reads::NeedsRound(const ReadView& view, ReadState* read) const {
  if (read->floor.has_value()) return false;
  if (read->max_age > milliseconds(0)) {
    return view.vouched < OldestAccepted(*read);
  }
  if (std::min(view.vouched, view.heard) < read->arrived) return true;
  const DatabaseStatus* primary = view.health.status(view.primary);
  if (primary == nullptr || primary->adopted_term != view.term) return true;
  read->floor = primary->last;
  return false;
}

std::optional<TimePoint> Reads::CatchesUpAt(const std::string& database,
                                            const LogPosition& wanted) const {
  const auto delay = delays_.find(database);
  if (delay == delays_.end()) return std::nullopt;
  const auto it =
      std::lower_bound(marks_.begin(), marks_.end(), wanted,
                       [](const Mark& mark, const LogPosition& position) {
                         return mark.position < position;
                       });
  if (it == marks_.end()) return std::nullopt;
  return it->first_seen + delay->second;
}

routing::Route Reads::Choose(TimePoint now, const ReadView& view,
                             const ReadState& read, TimePoint deadline) const {
  routing::ReadRequirements needs;
  needs.max_age = read.max_age;
  needs.near_domain = near_;
  needs.deadline = deadline;
  needs.seen = read.seen;
  if (const DatabaseStatus* primary = view.health.status(view.primary)) {
    needs.seen = session::LimitToExisting(read.seen, primary->term_starts);
  }
  const LogPosition wanted =
      std::max(needs.seen, read.floor.value_or(LogPosition{}));
  std::vector<routing::Candidate> candidates;
  for (const DatabaseSpec& spec : view.group.databases) {
    const DatabaseStatus* status = view.health.status(spec.database);
    if (status == nullptr) continue;
    routing::Candidate candidate;
    candidate.database = spec.database;
    candidate.failure_domain = spec.failure_domain;
    candidate.primary = spec.database == view.primary;
    candidate.usable = !spec.leaving && !view.health.doubted(spec.database) &&
                       view.health.reachable(now, spec.database) &&
                       status->adopted_term == view.term;
    candidate.has_free_slot = view.pool.HasSlot(spec.database) &&
                              view.pool.IdleOn(spec.database).has_value();
    candidate.last = status->last;
    candidate.term_starts = status->term_starts;
    candidate.running = view.pool.running(spec.database);
    const bool level =
        read.floor.has_value() &&
        HoldsEntry(status->last, status->term_starts, *read.floor);
    candidate.age = level ? milliseconds(0)
                          : ages_.AgeBound(now, status->last, view.vouched);
    if (!level && read.max_age == milliseconds(0)) {
      candidate.age = std::max(candidate.age, milliseconds(1));
    }
    if (status->last < wanted) {
      candidate.catches_up_at = CatchesUpAt(spec.database, wanted);
    }
    candidates.push_back(std::move(candidate));
  }
  return routing::ChooseReadRoute(now, needs, candidates);
}

bool Reads::StartRound(TimePoint now, const ReadView& view, TimePoint wanted) {
  const bool over =
      std::min(view.vouched, view.heard) >= round_begun_ || now >= round_until_;
  if (!over || wanted > now) return false;
  round_begun_ = now;
  round_until_ = now + kRoundPatience;
  return true;
}

TimePoint Reads::next_deadline(TimePoint now) const {
  return round_until_ > now ? round_until_ : TimePoint::max();
}

milliseconds Reads::lag(TimePoint now, const ReadView& view,
                        const std::string& database) const {
  const DatabaseStatus* status = view.health.status(database);
  if (status == nullptr) return milliseconds(0);
  return std::min(ages_.AgeBound(now, status->last, now), kMostLag);
}

}  // namespace ryefold::core::group
