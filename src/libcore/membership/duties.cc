#include "ryefold/core/membership/duties.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace ryefold::core::membership {

using configuration::DutyCheck;
using configuration::DutyReply;

class Duties::Impl {
 public:
  Impl(std::string self, Roster* roster, DutyTiming timing)
      : self_(std::move(self)), roster_(roster), timing_(timing) {}

  void Handle(TimePoint now, const DutyEvent& event,
              std::vector<DutyAction>* actions) {
    actions_ = actions;
    std::visit([this, now](const auto& e) { On(now, e); }, event);
    Update(now);
    actions_ = nullptr;
  }
  bool AcceptRequest(TimePoint now, const std::string& group,
                     std::vector<DutyAction>* actions);
  DutyReply AnswerCheck(const DutyCheck& check) const;
  bool Keeps(const std::string& group) const {
    const auto found = duties_.find(group);
    return found != duties_.end() && found->second.keeping;
  }
  std::vector<std::string> kept_groups() const;
  std::vector<std::string> watched_groups() const;
  TimePoint next_deadline() const { return next_check_; }

 private:
  /// State of a group for which this instance is among the first `max_ranks`,
  /// or which it keeps.
  struct Duty {
    bool keeping = false;
    /// The group is kept until then because entries request it.
    TimePoint requested_until;
    /// The group is kept until then because the intended keeper does not serve
    /// it yet.
    TimePoint covering_until;
    /// All instances ranked before this one are checked until then.
    TimePoint inspecting_until;
    /// Since when the intended keeper answers checks without serving the group.
    TimePoint not_served_since;
  };
  struct TargetState {
    uint32_t failed_checks = 0;
    bool check_in_flight = false;
  };
  struct PendingCheck {
    std::string instance;
    std::vector<std::string> groups;
  };

  void On(TimePoint now, const GroupsChanged& event);
  void On(TimePoint now, const RosterChanged&) { SelectGroups(now); }
  void On(TimePoint now, const CheckAnswered& event);
  void On(TimePoint now, const CheckFailed& event);
  void On(TimePoint now, const Retire&);
  void On(TimePoint, const DutyTick&) {}

  void SelectGroups(TimePoint now);
  void Update(TimePoint now);
  void UpdateDuty(TimePoint now, const std::string& group, Duty* duty);
  void SendChecks(TimePoint now);
  std::vector<std::string> InstancesToCheck(TimePoint now,
                                            const std::string& group,
                                            const Duty& duty) const;
  std::vector<std::string> Predecessors(const std::string& group) const;
  bool InSameDomain(const std::string& a, const std::string& b) const;
  bool IsOutsideWatcher(const std::vector<std::string>& ranked,
                        ptrdiff_t place) const;
  void RecordCheckResult(TimePoint now, const std::string& group, bool served);

  const std::string self_;
  Roster* const roster_;
  const DutyTiming timing_;
  std::vector<DutyAction>* actions_ = nullptr;
  std::vector<std::string> groups_;
  std::map<std::string, Duty> duties_;
  std::unordered_map<std::string, TargetState> targets_;
  std::unordered_map<CallId, PendingCheck> calls_;
  CallId next_call_ = 1;
  TimePoint next_check_;
  bool retired_ = false;
};

void Duties::Impl::On(TimePoint now, const GroupsChanged& event) {
  groups_ = event.groups;
  SelectGroups(now);
}

void Duties::Impl::SelectGroups(TimePoint now) {
  std::map<std::string, Duty> selected;
  for (const std::string& group : groups_) {
    const std::vector<std::string>& order = roster_->RankOrder(group);
    const size_t count = std::min(timing_.max_ranks, order.size());
    const auto end = order.begin() + static_cast<ptrdiff_t>(count);
    const bool in_ranks = std::find(order.begin(), end, self_) != end;
    const auto old = duties_.find(group);
    const bool keeping = old != duties_.end() && old->second.keeping;
    if (!in_ranks && !keeping) continue;
    Duty& duty = selected[group];
    if (old != duties_.end()) duty = old->second;
  }
  for (const auto& [group, duty] : duties_) {
    if (duty.keeping && !selected.contains(group)) {
      actions_->push_back(ReleaseGroup{group});
    }
  }
  duties_ = std::move(selected);
  next_check_ = std::min(next_check_, now);
}

std::vector<std::string> Duties::Impl::Predecessors(
    const std::string& group) const {
  const std::vector<std::string>& order = roster_->RankOrder(group);
  const auto own = std::find(order.begin(), order.end(), self_);
  return {order.begin(), own};
}

bool Duties::Impl::InSameDomain(const std::string& a,
                                const std::string& b) const {
  const Member* first = roster_->Find(a);
  const Member* second = roster_->Find(b);
  return first != nullptr && second != nullptr &&
         first->failure_domain == second->failure_domain;
}

std::vector<std::string> Duties::Impl::InstancesToCheck(
    TimePoint now, const std::string& group, const Duty& duty) const {
  std::vector<std::string> predecessors = Predecessors(group);
  if (duty.inspecting_until > now) return predecessors;
  const std::vector<std::string> ranked = roster_->RankedInstances(now, group);
  const auto own = std::find(ranked.begin(), ranked.end(), self_);
  const auto place = own - ranked.begin();
  if (place == 0) {
    // The group is kept in place of suspected instances and returns to the
    // first of them that answers. All are checked; otherwise their suspicions
    // would expire and the group would be released to a failed instance.
    return predecessors;
  }
  if (IsOutsideWatcher(ranked, place)) {
    // A failed check may mean that the whole failure domain is lost, so all its
    // instances are checked at once instead of one after another.
    const auto front = targets_.find(ranked[0]);
    const bool check_failed =
        front != targets_.end() && front->second.failed_checks > 0;
    return {ranked.begin(), ranked.begin() + (check_failed ? place : 1)};
  }
  if (place == 1 || duty.keeping) return {ranked[0]};
  return {};
}

/// Returns whether this instance is the first in rank outside the keeper's
/// failure domain. It checks the keeper too, because the loss of that domain
/// takes the keeper and all successors in it at once, and the group would stay
/// unserved until an entry requests it.
bool Duties::Impl::IsOutsideWatcher(const std::vector<std::string>& ranked,
                                    ptrdiff_t place) const {
  if (place < 2 || InSameDomain(ranked[0], self_)) return false;
  return std::all_of(
      ranked.begin() + 1, ranked.begin() + place,
      [&](const std::string& name) { return InSameDomain(ranked[0], name); });
}

void Duties::Impl::UpdateDuty(TimePoint now, const std::string& group,
                              Duty* duty) {
  const std::vector<std::string> ranked = roster_->RankedInstances(now, group);
  const bool first = !ranked.empty() && ranked.front() == self_;
  if (duty->keeping && !first && duty->covering_until == TimePoint()) {
    // The new first instance may not keep the group yet. Entries that it
    // refuses are served here until it confirms.
    duty->covering_until = now + 3 * timing_.check_interval;
    next_check_ = now;
  }
  const bool keep = !retired_ && (first || duty->requested_until > now ||
                                  duty->covering_until > now);
  if (first) {
    duty->covering_until = TimePoint();
    duty->not_served_since = TimePoint();
  }
  if (keep == duty->keeping) return;
  duty->keeping = keep;
  if (keep) {
    actions_->push_back(KeepGroup{group});
  } else {
    duty->covering_until = TimePoint();
    actions_->push_back(ReleaseGroup{group});
  }
}

void Duties::Impl::Update(TimePoint now) {
  for (auto& [group, duty] : duties_) UpdateDuty(now, group, &duty);
  if (next_check_ > now) return;
  next_check_ = now + timing_.check_interval;
  SendChecks(now);
}

void Duties::Impl::SendChecks(TimePoint now) {
  if (retired_) return;
  std::map<std::string, std::vector<std::string>> by_target;
  for (const auto& [group, duty] : duties_) {
    for (const std::string& name : InstancesToCheck(now, group, duty)) {
      by_target[name].push_back(group);
    }
  }
  for (auto& [name, groups] : by_target) {
    const Member* member = roster_->Find(name);
    TargetState& target = targets_[name];
    if (member == nullptr || target.check_in_flight) continue;
    target.check_in_flight = true;
    const CallId call = next_call_++;
    calls_[call] = {name, groups};
    actions_->push_back(CheckKeeper{call, name, member->peer_address,
                                    DutyCheck{std::move(groups)},
                                    now + timing_.check_timeout});
  }
}

void Duties::Impl::RecordCheckResult(TimePoint now, const std::string& group,
                                     bool served) {
  const auto found = duties_.find(group);
  if (found == duties_.end()) return;
  Duty& duty = found->second;
  if (served) {
    duty.not_served_since = TimePoint();
    if (duty.covering_until != TimePoint()) duty.covering_until = now;
    return;
  }
  if (duty.not_served_since == TimePoint()) duty.not_served_since = now;
  // The first negative answer is ignored: the two instances may have received
  // different member lists for a short time.
  const bool persistent =
      now - duty.not_served_since >= 2 * timing_.check_interval;
  if (duty.keeping || persistent) {
    duty.covering_until = now + 3 * timing_.check_interval;
  }
}

void Duties::Impl::On(TimePoint now, const CheckAnswered& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const PendingCheck pending = std::move(found->second);
  calls_.erase(found);
  targets_.erase(pending.instance);
  roster_->Trust(pending.instance);
  const std::set<std::string> keeping(event.reply.keeping.begin(),
                                      event.reply.keeping.end());
  for (const std::string& group : pending.groups) {
    RecordCheckResult(now, group, keeping.contains(group));
  }
}

void Duties::Impl::On(TimePoint now, const CheckFailed& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const PendingCheck pending = std::move(found->second);
  calls_.erase(found);
  TargetState& target = targets_[pending.instance];
  target.check_in_flight = false;
  target.failed_checks += event.refused ? timing_.suspicion_threshold : 1;
  if (target.failed_checks >= timing_.suspicion_threshold) {
    roster_->Suspect(now, pending.instance);
  } else {
    next_check_ = now;
  }
}

void Duties::Impl::On(TimePoint /*now*/, const Retire&) {
  retired_ = true;
  next_check_ = TimePoint::max();
}

bool Duties::Impl::AcceptRequest(TimePoint now, const std::string& group,
                                 std::vector<DutyAction>* actions) {
  const auto found = duties_.find(group);
  if (retired_ || found == duties_.end()) return false;
  Duty& duty = found->second;
  actions_ = actions;
  const std::vector<std::string> ranked = roster_->RankedInstances(now, group);
  const auto own = std::find(ranked.begin(), ranked.end(), self_);
  if (own - ranked.begin() < static_cast<ptrdiff_t>(timing_.immediate_ranks)) {
    duty.requested_until = now + timing_.request_hold_time;
    UpdateDuty(now, group, &duty);
  } else if (duty.inspecting_until <= now) {
    duty.inspecting_until = now + timing_.request_hold_time / 2;
    SendChecks(now);
  }
  actions_ = nullptr;
  return duty.keeping;
}

DutyReply Duties::Impl::AnswerCheck(const DutyCheck& check) const {
  DutyReply reply;
  for (const std::string& group : check.groups) {
    if (Keeps(group)) reply.keeping.push_back(group);
  }
  return reply;
}

std::vector<std::string> Duties::Impl::kept_groups() const {
  std::vector<std::string> names;
  for (const auto& [group, duty] : duties_) {
    if (duty.keeping) names.push_back(group);
  }
  return names;
}

std::vector<std::string> Duties::Impl::watched_groups() const {
  std::vector<std::string> names;
  for (const auto& [group, duty] : duties_) {
    const std::vector<std::string>& order = roster_->RankOrder(group);
    if (order.size() > 1 && order[1] == self_) names.push_back(group);
  }
  return names;
}

Duties::Duties(std::string self, Roster* roster, DutyTiming timing)
    : impl_(std::make_unique<Impl>(std::move(self), roster, timing)) {}
Duties::~Duties() = default;

void Duties::Handle(TimePoint now, const DutyEvent& event,
                    std::vector<DutyAction>* actions) {
  impl_->Handle(now, event, actions);
}
bool Duties::AcceptRequest(TimePoint now, const std::string& group,
                           std::vector<DutyAction>* actions) {
  return impl_->AcceptRequest(now, group, actions);
}
DutyReply Duties::AnswerCheck(const DutyCheck& check) const {
  return impl_->AnswerCheck(check);
}
bool Duties::Keeps(const std::string& group) const {
  return impl_->Keeps(group);
}
std::vector<std::string> Duties::kept_groups() const {
  return impl_->kept_groups();
}
std::vector<std::string> Duties::watched_groups() const {
  return impl_->watched_groups();
}
TimePoint Duties::next_deadline() const { return impl_->next_deadline(); }

}  // namespace ryefold::core::membership
